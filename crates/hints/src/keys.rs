//! The reserved keys of CMCD: group, type, unit, rounding (CTA-5004, table 1; CTA-5004-A for version 2).

/// The header that a key belongs to, by how often its value is expected to change.
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

    /// The name of its header, in lower case.
    pub fn header(self) -> &'static str {
        match self {
            Group::Object => "cmcd-object",
            Group::Request => "cmcd-request",
            Group::Session => "cmcd-session",
            Group::Status => "cmcd-status",
        }
    }
}

/// How several figures of one key fold into one (version 2 allows inner lists, one member a track).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fold {
    /// Tracks add up (bitrates).
    Sum,
    /// The smallest governs (the buffer that runs dry first).
    Least,
    /// The largest governs.
    Most,
}

/// The type of a key's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Whole number up to `most`, rounded to the nearest `round` on writing.
    Whole { most: u64, round: u64, fold: Fold },
    /// Present or absent; `=false` is allowed and means absent.
    Flag,
    /// A token, unquoted.
    Token,
    /// A quoted string of at most so many characters.
    Text { most: usize },
    /// A number with decimals.
    Decimal,
}

macro_rules! keys {
    ($($(#[$doc:meta])* $variant:ident $name:literal $group:ident $kind:expr;)*) => {
        /// A reserved key.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Key { $($(#[$doc])* $variant,)* }

        impl Key {
            /// All reserved keys, in the order of their names.
            pub const ALL: &'static [Key] = &[$(Key::$variant,)*];

            /// Its name.
            pub fn name(self) -> &'static str {
                match self { $(Key::$variant => $name,)* }
            }

            /// Its header group.
            pub fn group(self) -> Group {
                match self { $(Key::$variant => Group::$group,)* }
            }

            pub(crate) fn kind(self) -> Kind {
                match self { $(Key::$variant => $kind,)* }
            }

            pub(crate) fn find(name: &str) -> Option<Key> {
                match name { $($name => Some(Key::$variant),)* _ => None }
            }
        }
    };
}

const fn whole(most: u64, round: u64, fold: Fold) -> Kind {
    Kind::Whole { most, round, fold }
}

/// Longest `cid` and `sid` (CTA-5004, table 1).
pub(crate) const MAX_ID: usize = 64;
/// Longest address in `nor`; the standard names none, ours bounds the memory of a request.
pub(crate) const MAX_URL: usize = 1024;
const U32: u64 = u32::MAX as u64;
/// Largest whole number of a structured field (RFC 9651, section 3.3.1).
const LARGEST: u64 = 999_999_999_999_999;

keys! {
    /// Buffer length of the requested media, ms, to the nearest 100.
    Bl "bl" Request whole(U32, 100, Fold::Least);
    /// Encoded bitrate of the object, kbps.
    Br "br" Object whole(U32, 1, Fold::Sum);
    /// The buffer was starved since the last request.
    Bs "bs" Status Kind::Flag;
    /// Content id.
    Cid "cid" Session Kind::Text { most: MAX_ID };
    /// Playing time of the object, ms.
    D "d" Object whole(U32, 1, Fold::Most);
    /// Deadline: time until the first sample must be there, ms, to the nearest 100.
    Dl "dl" Request whole(U32, 100, Fold::Least);
    /// Kind of event (version 2, event mode).
    E "e" Request Kind::Token;
    /// Live latency, ms (version 2).
    Ltc "ltc" Request whole(U32, 1, Fold::Most);
    /// Media start delay: from play to the first frame, ms (version 2).
    Msd "msd" Session whole(U32, 1, Fold::Most);
    /// Measured throughput, kbps, to the nearest 100.
    Mtp "mtp" Request whole(U32, 100, Fold::Most);
    /// Next object request: relative address, percent-encoded.
    Nor "nor" Request Kind::Text { most: MAX_URL };
    /// Next range request: `first-last`.
    Nrr "nrr" Request Kind::Text { most: MAX_ID };
    /// Kind of object.
    Ot "ot" Object Kind::Token;
    /// Playback rate; 1 is normal.
    Pr "pr" Session Kind::Decimal;
    /// Response code of the reported request (version 2, response mode).
    Rc "rc" Request whole(999, 1, Fold::Most);
    /// Requested maximum throughput, kbps, to the nearest 100.
    Rtp "rtp" Status whole(U32, 100, Fold::Most);
    /// Streaming format.
    Sf "sf" Session Kind::Token;
    /// Session id.
    Sid "sid" Session Kind::Text { most: MAX_ID };
    /// Sequence number of the report within its session (version 2).
    Sn "sn" Request whole(LARGEST, 1, Fold::Most);
    /// Stream type.
    St "st" Session Kind::Token;
    /// State of the player (version 2).
    Sta "sta" Request Kind::Token;
    /// Startup: the object is needed urgently after start, seek or rebuffering.
    Su "su" Request Kind::Flag;
    /// Top encoded bitrate of the track that the client may play, kbps.
    Tb "tb" Object whole(U32, 1, Fold::Sum);
    /// When the request was made or the event came, ms since the Unix epoch (version 2).
    Ts "ts" Request whole(LARGEST, 1, Fold::Most);
    /// Version of the standard; 1 when absent.
    V "v" Session whole(99, 1, Fold::Most);
}
