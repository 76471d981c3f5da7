//! Common Media Client Data (CTA-5004): what a player says with each request, and its reports.

use crate::faults::{Fault, Faults};
use crate::keys::{Fold, Group, Key, Kind};
use crate::scan::{unescape, Raw, Scan};

/// Name of the query argument that carries all groups together (CTA-5004, section 2.1).
pub const QUERY_PARAM: &str = "CMCD";
/// Content type of event and response reports (CTA-5004-A, report modes).
pub const REPORT_MIME_TYPE: &str = "application/cmcd";
/// Most custom keys kept of one record.
pub const MAX_CUSTOM_KEYS: usize = 16;
/// Longest value of a custom key kept.
pub const MAX_CUSTOM_LENGTH: usize = 256;
/// Most lines read of one report.
pub const MAX_REPORTS: usize = 256;

/// Kilobits a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kbps(pub u32);

/// Milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u32);

macro_rules! tokens {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident $token:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name { $($(#[$vdoc])* $variant,)* }

        impl $name {
            /// All of them.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// Its token.
            pub fn token(self) -> &'static str {
                match self { $($name::$variant => $token,)* }
            }

            fn find(token: &str) -> Option<Self> {
                match token { $($token => Some($name::$variant),)* _ => None }
            }
        }
    };
}

tokens! {
    /// Kind of object (`ot`).
    ObjectType {
        /// Text file, such as a manifest or playlist.
        Manifest "m",
        /// Audio only.
        Audio "a",
        /// Video only.
        Video "v",
        /// Muxed audio and video.
        Muxed "av",
        /// Init segment.
        Init "i",
        /// Caption or subtitle.
        Caption "c",
        /// ISOBMFF timed text track.
        TimedText "tt",
        /// Key, licence or certificate.
        Key "k",
        /// Other.
        Other "o",
    }
}

tokens! {
    /// Streaming format (`sf`).
    Format {
        /// MPEG DASH.
        Dash "d",
        /// HTTP Live Streaming.
        Hls "h",
        /// Smooth Streaming.
        Smooth "s",
        /// Other.
        Other "o",
    }
}

tokens! {
    /// Stream type (`st`).
    StreamType {
        /// All segments are available.
        OnDemand "v",
        /// Segments become available over time.
        Live "l",
    }
}

tokens! {
    /// State of the player (`sta`, version 2).
    PlayState {
        /// Starting: the user asked for it, nothing is rendered yet.
        Starting "s",
        /// Playing.
        Playing "p",
        /// Seeking.
        Seeking "k",
        /// Rebuffering.
        Rebuffering "r",
        /// Paused.
        Paused "a",
        /// Waiting for user or network.
        Waiting "w",
        /// Ended at the end of the content.
        Ended "e",
        /// Fatal error.
        Fatal "f",
        /// Quit by the user.
        Quit "q",
        /// Preloading before a start.
        Preloading "d",
    }
}

impl PlayState {
    /// Whether the session is over for good.
    pub fn has_ended(self) -> bool {
        matches!(self, PlayState::Ended | PlayState::Fatal | PlayState::Quit)
    }
}

tokens! {
    /// Kind of event (`e`, version 2).
    EventKind {
        /// The play state changed.
        PlayState "ps",
        /// An error.
        Error "e",
        /// A report at an interval of time.
        Interval "t",
        /// The content id changed.
        Content "c",
        /// Put into or out of the background.
        Background "b",
        /// Muted.
        Mute "m",
        /// Unmuted.
        Unmute "um",
        /// Player expanded.
        Expand "pe",
        /// Player collapsed.
        Collapse "pc",
        /// A response was received.
        Response "rr",
        /// A custom event.
        Custom "ce",
    }
}

/// The value of a custom key.
#[derive(Clone, Debug, PartialEq)]
pub enum CustomValue {
    /// Present without a value.
    True,
    /// Unquoted.
    Unquoted(Box<str>),
    /// Quoted, without its quotes and escapes.
    Quoted(Box<str>),
}

/// A custom key with a hyphenated prefix (CTA-5004, section 3.2).
#[derive(Clone, Debug, PartialEq)]
pub struct CustomKey {
    /// Its name, prefix and all.
    pub key: Box<str>,
    /// Its value.
    pub value: CustomValue,
}

/// What one request or report says. Absent values were not told, or dropped as unusable.
#[derive(Clone, Debug, Default, PartialEq)]
#[allow(missing_docs)] // the fields are the keys of `Key`, documented there
pub struct Record {
    pub bl: Option<Millis>,
    pub br: Option<Kbps>,
    pub bs: bool,
    pub cid: Option<Box<str>>,
    pub d: Option<Millis>,
    pub dl: Option<Millis>,
    pub e: Option<EventKind>,
    pub ltc: Option<Millis>,
    pub msd: Option<Millis>,
    pub mtp: Option<Kbps>,
    pub nor: Option<Box<str>>,
    pub nrr: Option<Box<str>>,
    pub ot: Option<ObjectType>,
    pub pr: Option<f64>,
    pub rc: Option<u16>,
    pub rtp: Option<Kbps>,
    pub sf: Option<Format>,
    pub sid: Option<Box<str>>,
    pub sn: Option<u64>,
    pub st: Option<StreamType>,
    pub sta: Option<PlayState>,
    pub su: bool,
    pub tb: Option<Kbps>,
    pub ts: Option<u64>,
    pub v: Option<u32>,
    /// Custom keys, in the order they came; at most [`MAX_CUSTOM_KEYS`].
    pub custom: Vec<CustomKey>,
}

impl Record {
    /// Reads one group's header into the record. Keys of other groups are dropped.
    pub fn read_header(&mut self, group: Group, text: &str, faults: &mut Faults) {
        self.read(Some(group), text, faults);
    }

    /// Reads the value of the query argument, percent-decoded: all groups together.
    pub fn read_query(&mut self, text: &str, faults: &mut Faults) {
        self.read(None, text, faults);
    }

    fn read(&mut self, group: Option<Group>, text: &str, faults: &mut Faults) {
        let mut seen = Seen::default();
        for member in Scan::new(text) {
            let taken = member.and_then(|(name, raw)| match Key::find(name) {
                Some(key) if group.is_some_and(|g| g != key.group()) => Err(Fault::WrongGroup),
                Some(key) if !seen.first(key) => Err(Fault::Duplicate),
                Some(key) => self.take(key, raw),
                None => self.take_custom(name, raw),
            });
            if let Err(fault) = taken {
                faults.add(fault);
            }
        }
    }

    fn take(&mut self, key: Key, raw: Raw<'_>) -> Result<(), Fault> {
        match key.kind() {
            Kind::Flag => {
                let set = flag(raw)?;
                match key {
                    Key::Bs => self.bs = set,
                    _ => self.su = set,
                }
            }
            Kind::Whole { most, fold, .. } => {
                let n = whole(raw, most, fold)?;
                self.take_whole(key, n);
            }
            Kind::Decimal => {
                let Raw::Plain(text) = raw else { return Err(Fault::WrongType) };
                let n: f64 = text.parse().map_err(|_| Fault::WrongType)?;
                if !(0.0..=1000.0).contains(&n) {
                    return Err(Fault::OutOfRange);
                }
                self.pr = Some(n);
            }
            Kind::Text { most } => {
                let Raw::Quoted(inside) = raw else { return Err(Fault::WrongType) };
                if inside.len() > most * 2 {
                    return Err(Fault::TooLong); // even if every character is escaped
                }
                let text = unescape(inside).ok_or(Fault::WrongType)?;
                if text.chars().count() > most {
                    return Err(Fault::TooLong);
                }
                self.take_text(key, text.into())?;
            }
            Kind::Token => {
                let Raw::Plain(token) = raw else { return Err(Fault::WrongType) };
                self.take_token(key, token)?;
            }
        }
        Ok(())
    }

    fn take_whole(&mut self, key: Key, n: u64) {
        // `whole` has checked n against the key's range, which fits its field.
        let small = n.min(u64::from(u32::MAX)) as u32;
        match key {
            Key::Bl => self.bl = Some(Millis(small)),
            Key::Br => self.br = Some(Kbps(small)),
            Key::D => self.d = Some(Millis(small)),
            Key::Dl => self.dl = Some(Millis(small)),
            Key::Ltc => self.ltc = Some(Millis(small)),
            Key::Msd => self.msd = Some(Millis(small)),
            Key::Mtp => self.mtp = Some(Kbps(small)),
            Key::Rc => self.rc = Some(small as u16),
            Key::Rtp => self.rtp = Some(Kbps(small)),
            Key::Sn => self.sn = Some(n),
            Key::Tb => self.tb = Some(Kbps(small)),
            Key::Ts => self.ts = Some(n),
            _ => self.v = Some(small),
        }
    }

    fn take_text(&mut self, key: Key, text: Box<str>) -> Result<(), Fault> {
        match key {
            // An empty id names no session and no content.
            Key::Cid | Key::Sid if text.is_empty() => return Err(Fault::OutOfRange),
            Key::Cid => self.cid = Some(text),
            Key::Sid => self.sid = Some(text),
            Key::Nor => self.nor = Some(text),
            _ => {
                let (first, last) = text.split_once('-').ok_or(Fault::WrongType)?;
                let digits = |s: &str| s.bytes().all(|b| b.is_ascii_digit());
                if !digits(first) || !digits(last) || (first.is_empty() && last.is_empty()) {
                    return Err(Fault::WrongType);
                }
                self.nrr = Some(text);
            }
        }
        Ok(())
    }

    fn take_token(&mut self, key: Key, token: &str) -> Result<(), Fault> {
        fn put<T>(slot: &mut Option<T>, found: Option<T>) -> Result<(), Fault> {
            *slot = Some(found.ok_or(Fault::OutOfRange)?);
            Ok(())
        }
        match key {
            Key::E => put(&mut self.e, EventKind::find(token)),
            Key::Ot => put(&mut self.ot, ObjectType::find(token)),
            Key::Sf => put(&mut self.sf, Format::find(token)),
            Key::St => put(&mut self.st, StreamType::find(token)),
            _ => put(&mut self.sta, PlayState::find(token)),
        }
    }

    fn take_custom(&mut self, name: &str, raw: Raw<'_>) -> Result<(), Fault> {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'*');
        if !name.bytes().all(allowed) {
            return Err(Fault::Malformed);
        }
        if name.find('-').is_none_or(|at| at == 0) {
            return Err(Fault::UnknownKey);
        }
        let long = matches!(raw, Raw::Plain(s) | Raw::Quoted(s) if s.len() > MAX_CUSTOM_LENGTH);
        if long || name.len() > MAX_CUSTOM_LENGTH {
            return Err(Fault::TooLong);
        }
        let value = match raw {
            Raw::Bare => CustomValue::True,
            Raw::Plain(s) => CustomValue::Unquoted(s.into()),
            Raw::Quoted(s) => CustomValue::Quoted(unescape(s).ok_or(Fault::WrongType)?.into()),
            Raw::List(_) => return Err(Fault::WrongType),
        };
        if self.custom.len() >= MAX_CUSTOM_KEYS {
            return Err(Fault::LimitExceeded);
        }
        if self.custom.iter().any(|c| &*c.key == name) {
            return Err(Fault::Duplicate);
        }
        self.custom.push(CustomKey { key: name.into(), value });
        Ok(())
    }

    /// Whether it says anything at all.
    pub fn is_empty(&self) -> bool {
        *self == Record::default()
    }
}

/// The keys that came in one text.
#[derive(Default)]
struct Seen(u64);

impl Seen {
    fn first(&mut self, key: Key) -> bool {
        let bit = 1u64 << key as u32;
        let first = self.0 & bit == 0;
        self.0 |= bit;
        first
    }
}

fn flag(raw: Raw<'_>) -> Result<bool, Fault> {
    match raw {
        Raw::Bare | Raw::Plain("true" | "?1") => Ok(true),
        Raw::Plain("false" | "?0") => Ok(false),
        _ => Err(Fault::WrongType),
    }
}

/// A whole number, or the fold of an inner list of them with parameters (version 2).
fn whole(raw: Raw<'_>, most: u64, fold: Fold) -> Result<u64, Fault> {
    let one = |text: &str| {
        let digits = text.split(';').next().unwrap_or_default();
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Fault::WrongType);
        }
        digits.parse::<u64>().ok().filter(|n| *n <= most).ok_or(Fault::OutOfRange)
    };
    match raw {
        Raw::Plain(text) => one(text),
        Raw::List(inside) => {
            let mut all: Option<u64> = None;
            for part in inside.split_ascii_whitespace() {
                let n = one(part)?;
                all = Some(all.map_or(n, |a| match fold {
                    Fold::Sum => a + n,
                    Fold::Least => a.min(n),
                    Fold::Most => a.max(n),
                }));
            }
            all.filter(|n| *n <= most).ok_or(Fault::OutOfRange)
        }
        Raw::Bare | Raw::Quoted(_) => Err(Fault::WrongType),
    }
}

/// Reads the body of an event or response report: one record a line. Lines past [`MAX_REPORTS`] are
/// dropped and counted.
pub fn read_reports(body: &str, faults: &mut Faults) -> Vec<Record> {
    let mut out = Vec::new();
    for line in body.lines().map(str::trim).filter(|l| !l.is_empty()) {
        if out.len() == MAX_REPORTS {
            faults.add(Fault::LimitExceeded);
            continue;
        }
        let mut record = Record::default();
        record.read_query(line, faults);
        out.push(record);
    }
    out
}
