//! Common Media Client Data (CTA-5004): hints of a player in its requests and reports.

use crate::faults::{Fault, Faults};
use crate::keys::{Fold, Group, Key, Kind};
use crate::scan::{unescape, RawValue, Scanner};

/// Name of the query argument that carries the keys of all groups (CTA-5004, section 2.1).
pub const QUERY_PARAM: &str = "CMCD";
/// Content type of event and response reports (CTA-5004-A, report modes).
pub const REPORT_MIME_TYPE: &str = "application/cmcd";
/// Maximum number of custom keys retained per record.
pub const MAX_CUSTOM_KEYS: usize = 16;
/// Maximum length of the name and of the value of a custom key, each in bytes.
pub const MAX_CUSTOM_BYTES: usize = 256;
/// Maximum number of records read from one report body.
pub const MAX_REPORTS: usize = 256;

/// Bit rate in kilobits per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kbps(pub u32);

/// Duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u32);

macro_rules! tokens {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident $token:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name { $($(#[$vdoc])* $variant,)* }

        impl $name {
            /// All values.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// Token on the wire.
            pub fn token(self) -> &'static str {
                match self { $($name::$variant => $token,)* }
            }

            fn from_token(token: &str) -> Option<Self> {
                match token { $($token => Some($name::$variant),)* _ => None }
            }
        }
    };
}

tokens! {
    /// Type of the requested object (`ot`).
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
        /// Starting: requested by the user, nothing rendered yet.
        Starting "s",
        /// Playing.
        Playing "p",
        /// Seeking.
        Seeking "k",
        /// Rebuffering.
        Rebuffering "r",
        /// Paused.
        Paused "a",
        /// Waiting for the user or the network.
        Waiting "w",
        /// Reached the end of the content.
        Ended "e",
        /// Fatal error.
        Fatal "f",
        /// Quit by the user.
        Quit "q",
        /// Preloading before playback starts.
        Preloading "d",
    }
}

impl PlayState {
    /// Returns whether the session has ended and cannot continue.
    pub fn has_ended(self) -> bool {
        matches!(self, PlayState::Ended | PlayState::Fatal | PlayState::Quit)
    }
}

tokens! {
    /// Kind of event (`e`, version 2).
    EventKind {
        /// Change of the play state.
        PlayState "ps",
        /// Error.
        Error "e",
        /// Periodic report.
        Interval "t",
        /// The content id (`cid`) changed.
        Content "c",
        /// Moved to or from the background.
        Background "b",
        /// Muted.
        Mute "m",
        /// Unmuted.
        Unmute "um",
        /// Player expanded.
        Expand "pe",
        /// Player collapsed.
        Collapse "pc",
        /// Response received.
        Response "rr",
        /// Custom event.
        Custom "ce",
    }
}

/// Value of a custom key.
#[derive(Clone, Debug, PartialEq)]
pub enum CustomValue {
    /// Key without a value.
    True,
    /// Unquoted text.
    Unquoted(Box<str>),
    /// Quoted text, without its quotes and escapes.
    Quoted(Box<str>),
}

/// Custom key with a hyphenated prefix, and its value (CTA-5004, section 3.2).
#[derive(Clone, Debug, PartialEq)]
pub struct CustomKey {
    /// Name with its prefix.
    pub key: Box<str>,
    /// Value of the key.
    pub value: CustomValue,
}

/// CMCD keys of one request or report. A value is `None` or false if it was absent or dropped as unusable.
#[derive(Clone, Debug, Default, PartialEq)]
#[allow(missing_docs)] // The fields are named for the variants of `Key`, which describe them.
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
    /// Custom keys in the order of arrival; at most [`MAX_CUSTOM_KEYS`].
    pub custom: Vec<CustomKey>,
}

impl Record {
    /// Parses the header of one group into this record. Keys of other groups are dropped.
    pub fn read_header(&mut self, group: Group, text: &str, faults: &mut Faults) {
        self.parse(Some(group), text, faults);
    }

    /// Parses the percent-decoded value of the query argument, which holds keys of all groups.
    pub fn read_query(&mut self, text: &str, faults: &mut Faults) {
        self.parse(None, text, faults);
    }

    fn parse(&mut self, group: Option<Group>, text: &str, faults: &mut Faults) {
        let mut seen = SeenKeys::default();
        for member in Scanner::new(text) {
            let result = member.and_then(|(name, raw)| match Key::from_name(name) {
                Some(key) if group.is_some_and(|g| g != key.group()) => Err(Fault::WrongGroup),
                Some(key) if !seen.insert(key) => Err(Fault::Duplicate),
                Some(key) => self.set(key, raw),
                None => self.push_custom(name, raw),
            });
            if let Err(fault) = result {
                faults.add(fault);
            }
        }
    }

    fn set(&mut self, key: Key, raw: RawValue<'_>) -> Result<(), Fault> {
        match key.kind() {
            Kind::Flag => {
                let value = parse_flag(raw)?;
                match key {
                    Key::Bs => self.bs = value,
                    _ => self.su = value,
                }
            }
            Kind::Integer { max, fold, .. } => {
                let n = parse_integer(raw, max, fold)?;
                self.set_integer(key, n);
            }
            Kind::Decimal => {
                let RawValue::Unquoted(text) = raw else { return Err(Fault::WrongType) };
                let n: f64 = text.parse().map_err(|_| Fault::WrongType)?;
                if !(0.0..=1000.0).contains(&n) {
                    return Err(Fault::OutOfRange);
                }
                self.pr = Some(n);
            }
            Kind::Text { max } => {
                let RawValue::Quoted(inside) = raw else { return Err(Fault::WrongType) };
                if inside.len() > max * 2 {
                    return Err(Fault::TooLong); // Even if every character is escaped.
                }
                let text = unescape(inside).ok_or(Fault::WrongType)?;
                if text.chars().count() > max {
                    return Err(Fault::TooLong);
                }
                self.set_text(key, text.into())?;
            }
            Kind::Token => {
                let RawValue::Unquoted(token) = raw else { return Err(Fault::WrongType) };
                self.set_token(key, token)?;
            }
        }
        Ok(())
    }

    fn set_integer(&mut self, key: Key, n: u64) {
        // `parse_integer` has checked `n` against the range of the key, which fits the type of its field.
        let n32 = n.min(u64::from(u32::MAX)) as u32;
        match key {
            Key::Bl => self.bl = Some(Millis(n32)),
            Key::Br => self.br = Some(Kbps(n32)),
            Key::D => self.d = Some(Millis(n32)),
            Key::Dl => self.dl = Some(Millis(n32)),
            Key::Ltc => self.ltc = Some(Millis(n32)),
            Key::Msd => self.msd = Some(Millis(n32)),
            Key::Mtp => self.mtp = Some(Kbps(n32)),
            Key::Rc => self.rc = Some(n32 as u16),
            Key::Rtp => self.rtp = Some(Kbps(n32)),
            Key::Sn => self.sn = Some(n),
            Key::Tb => self.tb = Some(Kbps(n32)),
            Key::Ts => self.ts = Some(n),
            _ => self.v = Some(n32),
        }
    }

    fn set_text(&mut self, key: Key, text: Box<str>) -> Result<(), Fault> {
        match key {
            // An empty id identifies nothing.
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

    fn set_token(&mut self, key: Key, token: &str) -> Result<(), Fault> {
        fn assign<T>(slot: &mut Option<T>, found: Option<T>) -> Result<(), Fault> {
            *slot = Some(found.ok_or(Fault::OutOfRange)?);
            Ok(())
        }
        match key {
            Key::E => assign(&mut self.e, EventKind::from_token(token)),
            Key::Ot => assign(&mut self.ot, ObjectType::from_token(token)),
            Key::Sf => assign(&mut self.sf, Format::from_token(token)),
            Key::St => assign(&mut self.st, StreamType::from_token(token)),
            _ => assign(&mut self.sta, PlayState::from_token(token)),
        }
    }

    fn push_custom(&mut self, name: &str, raw: RawValue<'_>) -> Result<(), Fault> {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b'*');
        if !name.bytes().all(allowed) {
            return Err(Fault::Malformed);
        }
        if name.find('-').is_none_or(|index| index == 0) {
            return Err(Fault::UnknownKey);
        }
        let long = matches!(raw, RawValue::Unquoted(s) | RawValue::Quoted(s) if s.len() > MAX_CUSTOM_BYTES);
        if long || name.len() > MAX_CUSTOM_BYTES {
            return Err(Fault::TooLong);
        }
        let value = match raw {
            RawValue::Absent => CustomValue::True,
            RawValue::Unquoted(text) => CustomValue::Unquoted(text.into()),
            RawValue::Quoted(text) => CustomValue::Quoted(unescape(text).ok_or(Fault::WrongType)?.into()),
            RawValue::List(_) => return Err(Fault::WrongType),
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

    /// Returns whether the record holds no key.
    pub fn is_empty(&self) -> bool {
        *self == Record::default()
    }
}

/// Set of the keys that have occurred in one text.
#[derive(Default)]
struct SeenKeys(u64);

impl SeenKeys {
    fn insert(&mut self, key: Key) -> bool {
        let bit = 1u64 << key as u32;
        let is_new = self.0 & bit == 0;
        self.0 |= bit;
        is_new
    }
}

fn parse_flag(raw: RawValue<'_>) -> Result<bool, Fault> {
    match raw {
        RawValue::Absent | RawValue::Unquoted("true" | "?1") => Ok(true),
        RawValue::Unquoted("false" | "?0") => Ok(false),
        _ => Err(Fault::WrongType),
    }
}

/// Parses an integer, or an inner list of integers with parameters (version 2) that `fold` combines.
fn parse_integer(raw: RawValue<'_>, max: u64, fold: Fold) -> Result<u64, Fault> {
    let parse_one = |text: &str| {
        let digits = text.split(';').next().unwrap_or_default();
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Fault::WrongType);
        }
        digits.parse::<u64>().ok().filter(|n| *n <= max).ok_or(Fault::OutOfRange)
    };
    match raw {
        RawValue::Unquoted(text) => parse_one(text),
        RawValue::List(inside) => {
            let mut folded: Option<u64> = None;
            for part in inside.split_ascii_whitespace() {
                let n = parse_one(part)?;
                folded = Some(folded.map_or(n, |a| match fold {
                    Fold::Sum => a + n,
                    Fold::Min => a.min(n),
                    Fold::Max => a.max(n),
                }));
            }
            folded.filter(|n| *n <= max).ok_or(Fault::OutOfRange)
        }
        RawValue::Absent | RawValue::Quoted(_) => Err(Fault::WrongType),
    }
}

/// Parses the body of an event or response report, which has one record per line. Lines after the first
/// [`MAX_REPORTS`] records are dropped and counted.
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
