//! Reserved CMCD keys with group, type, unit and rounding (CTA-5004, table 1; CTA-5004-A for version 2).

/// Header that a key belongs to, chosen by how often its value is expected to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Group {
    /// `CMCD-Object`: varies with the object.
    Object,
    /// `CMCD-Request`: varies with each request.
    Request,
    /// `CMCD-Session`: constant over the session.
    Session,
    /// `CMCD-Status`: varies, but not with each request or object.
    Status,
}

impl Group {
    /// All groups.
    pub const ALL: [Group; 4] = [Group::Object, Group::Request, Group::Session, Group::Status];

    /// Header name in lower case.
    pub fn header(self) -> &'static str {
        match self {
            Group::Object => "cmcd-object",
            Group::Request => "cmcd-request",
            Group::Session => "cmcd-session",
            Group::Status => "cmcd-status",
        }
    }
}

/// Function that combines the members of an inner list into one value (version 2 has one member per track).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fold {
    /// Sum over all tracks (bitrates).
    Sum,
    /// The smallest value (the buffer that runs empty first).
    Min,
    /// The largest value.
    Max,
}

/// Type of the value of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Whole number from 0 to `max`, rounded to the nearest multiple of `round` when written.
    Integer { max: u64, round: u64, fold: Fold },
    /// Boolean, true if present. `=false` is accepted and means absent.
    Flag,
    /// Unquoted token.
    Token,
    /// Quoted string of at most `max` characters.
    Text { max: usize },
    /// Decimal number from 0 to 1,000.
    Decimal,
}

macro_rules! keys {
    ($($(#[$doc:meta])* $variant:ident $name:literal $group:ident $kind:expr;)*) => {
        /// Reserved CMCD key.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Key { $($(#[$doc])* $variant,)* }

        impl Key {
            /// All reserved keys in the order of their names.
            pub const ALL: &'static [Key] = &[$(Key::$variant,)*];

            /// Name as it appears in the text.
            pub fn name(self) -> &'static str {
                match self { $(Key::$variant => $name,)* }
            }

            /// Header group that the key belongs to.
            pub fn group(self) -> Group {
                match self { $(Key::$variant => Group::$group,)* }
            }

            pub(crate) fn kind(self) -> Kind {
                match self { $(Key::$variant => $kind,)* }
            }

            pub(crate) fn from_name(name: &str) -> Option<Key> {
                match name { $($name => Some(Key::$variant),)* _ => None }
            }
        }
    };
}

const fn integer(max: u64, round: u64, fold: Fold) -> Kind {
    Kind::Integer { max, round, fold }
}

/// Maximum length of `cid`, `sid` and `nrr` in characters (CTA-5004, table 1).
pub(crate) const MAX_ID_LENGTH: usize = 64;
/// Maximum length of `nor` in characters. The standard has no limit; this one bounds the memory of a request.
pub(crate) const MAX_URL_LENGTH: usize = 1024;
const MAX_U32: u64 = u32::MAX as u64;
/// Largest integer of a structured field (RFC 9651, section 3.3.1).
const MAX_INTEGER: u64 = 999_999_999_999_999;

keys! {
    /// Buffer length for the requested media, ms, to the nearest 100.
    Bl "bl" Request integer(MAX_U32, 100, Fold::Min);
    /// Encoded bitrate of the object, kbps.
    Br "br" Object integer(MAX_U32, 1, Fold::Sum);
    /// True if the buffer ran empty since the last request.
    Bs "bs" Status Kind::Flag;
    /// Content id.
    Cid "cid" Session Kind::Text { max: MAX_ID_LENGTH };
    /// Duration of the object, ms.
    D "d" Object integer(MAX_U32, 1, Fold::Max);
    /// Deadline: time until the first sample must be available, ms, to the nearest 100.
    Dl "dl" Request integer(MAX_U32, 100, Fold::Min);
    /// Kind of event (version 2, event mode).
    E "e" Request Kind::Token;
    /// Live latency, ms (version 2).
    Ltc "ltc" Request integer(MAX_U32, 1, Fold::Max);
    /// Media start delay: time from the play command to the first frame, ms (version 2).
    Msd "msd" Session integer(MAX_U32, 1, Fold::Max);
    /// Measured throughput, kbps, to the nearest 100.
    Mtp "mtp" Request integer(MAX_U32, 100, Fold::Max);
    /// Next object to be requested: relative address, percent-encoded.
    Nor "nor" Request Kind::Text { max: MAX_URL_LENGTH };
    /// Next byte range to be requested: `first-last`.
    Nrr "nrr" Request Kind::Text { max: MAX_ID_LENGTH };
    /// Type of the requested object.
    Ot "ot" Object Kind::Token;
    /// Playback rate; 1 is normal.
    Pr "pr" Session Kind::Decimal;
    /// Response code of the reported request (version 2, response mode).
    Rc "rc" Request integer(999, 1, Fold::Max);
    /// Requested maximum throughput, kbps, to the nearest 100.
    Rtp "rtp" Status integer(MAX_U32, 100, Fold::Max);
    /// Streaming format.
    Sf "sf" Session Kind::Token;
    /// Session id.
    Sid "sid" Session Kind::Text { max: MAX_ID_LENGTH };
    /// Sequence number of the report within its session (version 2).
    Sn "sn" Request integer(MAX_INTEGER, 1, Fold::Max);
    /// Stream type.
    St "st" Session Kind::Token;
    /// State of the player (version 2).
    Sta "sta" Request Kind::Token;
    /// Startup: the object is needed urgently after start, seek or rebuffering.
    Su "su" Request Kind::Flag;
    /// Highest encoded bitrate that the client may play, kbps.
    Tb "tb" Object integer(MAX_U32, 1, Fold::Sum);
    /// Time of the request or event, ms since the Unix epoch (version 2).
    Ts "ts" Request integer(MAX_INTEGER, 1, Fold::Max);
    /// Version of the standard; 1 when absent.
    V "v" Session integer(99, 1, Fold::Max);
}
