//! Common Media Server Data (CTA-5006): what servers and intermediaries say with an answer.
//!
//! `CMSD-Static` is a dictionary set by the origin and kept along the path; `CMSD-Dynamic` a list with one
//! member an intermediary, the one nearest the origin first (section 3). What the standard lacks rides as
//! custom keys with our prefix.

use crate::faults::{Fault, Faults};
use sfv::{
    BareItem, DictSerializer, Dictionary, KeyRef, List, ListEntry, ListSerializer, Parameters, Parser,
};
use sfv::{Decimal, StringRef, TokenRef};

/// Name of the header that the origin sets.
pub const STATIC_HEADER: &str = "cmsd-static";
/// Name of the header that each intermediary adds to.
pub const DYNAMIC_HEADER: &str = "cmsd-dynamic";
/// Most members of a `CMSD-Dynamic` that are read; a longer path is a loop.
pub const MAX_HOPS: usize = 16;
/// Longest text of either header that is read.
pub const MAX_HEADER_BYTES: usize = 8192;

/// Custom keys: our prefix, and what the standard has no key for.
mod own {
    use sfv::{key_ref, KeyRef};
    /// Streams in flight at the server.
    pub(super) const STREAMS: &KeyRef = key_ref("com.cloverhollow-streams");
    /// What is asked of its link over what the link gives.
    pub(super) const LINK: &KeyRef = key_ref("com.cloverhollow-link");
    /// The same for its rack's uplink.
    pub(super) const RACK: &KeyRef = key_ref("com.cloverhollow-rack");
    /// The set-up did not run, for certain.
    pub(super) const UNRUN: &KeyRef = key_ref("com.cloverhollow-unrun");
    /// Why there is no session.
    pub(super) const REASON: &KeyRef = key_ref("com.cloverhollow-reason");
    /// The rung in force.
    pub(super) const RUNG: &KeyRef = key_ref("com.cloverhollow-rung");
}

/// One intermediary's member of `CMSD-Dynamic`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hop {
    /// Who it is.
    pub name: String,
    /// `du`: under duress.
    pub duress: bool,
    /// `etp`: estimated throughput to the client, kbps.
    pub throughput_kbps: Option<u32>,
    /// `mb`: most suggested bitrate, kbps.
    pub max_bitrate_kbps: Option<u32>,
    /// `rd`: response delay, ms.
    pub response_delay_ms: Option<u32>,
    /// `rtt`: estimated round trip, ms.
    pub rtt_ms: Option<u32>,
    /// Streams in flight.
    pub streams: Option<u32>,
    /// What is asked of the link over what it gives; over 1 when short.
    pub link_utilization: Option<f64>,
    /// The same for the rack's uplink.
    pub rack_utilization: Option<f64>,
    /// The set-up did not run, for certain.
    pub not_executed: bool,
    /// Why there is no session.
    pub reason: Option<String>,
    /// The rung in force.
    pub rung: Option<u32>,
}

/// Takes a value if it is there and of its type; else counts why not.
struct Reader<'a> {
    params: &'a Parameters,
    faults: &'a mut Faults,
}

impl Reader<'_> {
    fn with<T>(&mut self, key: &str, read: impl Fn(&BareItem) -> Result<T, Fault>) -> Option<T> {
        match read(self.params.get(key)?) {
            Ok(value) => Some(value),
            Err(fault) => {
                self.faults.add(fault);
                None
            }
        }
    }

    fn whole(&mut self, key: &str) -> Option<u32> {
        self.with(key, as_whole)
    }

    fn flag(&mut self, key: &str) -> bool {
        self.with(key, |v| v.as_boolean().ok_or(Fault::WrongType)).unwrap_or(false)
    }

    /// A share: a decimal or whole number from 0 to 1,000.
    fn share(&mut self, key: &str) -> Option<f64> {
        self.with(key, |v| {
            let n = match v {
                BareItem::Integer(n) => i64::from(*n) as f64,
                BareItem::Decimal(n) => f64::from(*n),
                _ => return Err(Fault::WrongType),
            };
            if (0.0..=1000.0).contains(&n) {
                Ok(n)
            } else {
                Err(Fault::OutOfRange)
            }
        })
    }

    fn token(&mut self, key: &str) -> Option<String> {
        self.with(key, |v| v.as_token().map(|t| t.as_str().to_string()).ok_or(Fault::WrongType))
    }
}

fn as_whole(v: &BareItem) -> Result<u32, Fault> {
    let n = v.as_integer().ok_or(Fault::WrongType)?;
    u32::try_from(i64::from(n)).map_err(|_| Fault::OutOfRange)
}

/// Reads a `CMSD-Dynamic`; several header lines are joined by commas first (RFC 9110, section 5.3).
///
/// A text that is no structured list gives nothing and counts one fault (RFC 9651, section 4.2).
pub fn read_dynamic(text: &str, faults: &mut Faults) -> Vec<Hop> {
    if text.len() > MAX_HEADER_BYTES {
        faults.add(Fault::LimitExceeded);
        return Vec::new();
    }
    let Ok(list) = Parser::new(text).parse::<List>() else {
        faults.add(Fault::Malformed);
        return Vec::new();
    };
    let mut hops = Vec::new();
    for entry in list {
        let ListEntry::Item(item) = entry else {
            faults.add(Fault::WrongType);
            continue;
        };
        let name = match &item.bare_item {
            BareItem::String(s) => s.as_str().to_string(),
            BareItem::Token(t) => t.as_str().to_string(),
            _ => {
                faults.add(Fault::WrongType);
                continue;
            }
        };
        if hops.len() == MAX_HOPS {
            faults.add(Fault::LimitExceeded);
            break;
        }
        let mut r = Reader { params: &item.params, faults };
        hops.push(Hop {
            name,
            duress: r.flag("du"),
            throughput_kbps: r.whole("etp"),
            max_bitrate_kbps: r.whole("mb"),
            response_delay_ms: r.whole("rd"),
            rtt_ms: r.whole("rtt"),
            streams: r.whole(own::STREAMS.as_str()),
            link_utilization: r.share(own::LINK.as_str()),
            rack_utilization: r.share(own::RACK.as_str()),
            not_executed: r.flag(own::UNRUN.as_str()),
            reason: r.token(own::REASON.as_str()),
            rung: r.whole(own::RUNG.as_str()),
        });
    }
    hops
}

fn share(n: f64) -> Option<Decimal> {
    Decimal::try_from(n.clamp(0.0, 1000.0)).ok()
}

impl Hop {
    /// Its member as text. A name or reason outside the field's characters is left out.
    pub fn serialize(&self) -> String {
        let mut list = ListSerializer::new();
        let name = StringRef::from_str(&self.name).unwrap_or(sfv::string_ref("unnamed"));
        let mut p = list.bare_item(name);
        if self.duress {
            p = p.parameter(DU, true);
        }
        let wholes = [
            (ETP, self.throughput_kbps),
            (MB, self.max_bitrate_kbps),
            (RD, self.response_delay_ms),
            (RTT, self.rtt_ms),
            (own::STREAMS, self.streams),
            (own::RUNG, self.rung),
        ];
        for (key, value) in wholes {
            if let Some(n) = value {
                p = p.parameter(key, i64::from(n).try_into().unwrap_or(sfv::Integer::MAX));
            }
        }
        for (key, value) in [(own::LINK, self.link_utilization), (own::RACK, self.rack_utilization)] {
            if let Some(n) = value.and_then(share) {
                p = p.parameter(key, n);
            }
        }
        if self.not_executed {
            p = p.parameter(own::UNRUN, true);
        }
        if let Some(t) = self.reason.as_deref().and_then(|r| TokenRef::from_str(r).ok()) {
            p = p.parameter(own::REASON, t);
        }
        let _ = p.finish(); // the buffer is taken from the list below
        list.finish().unwrap_or_default()
    }

    /// The text of a `CMSD-Dynamic` with this member added at the end, as the last on the path so far.
    pub fn append_to(&self, before: &str) -> String {
        let own = self.serialize();
        if before.trim().is_empty() {
            own
        } else {
            format!("{before}, {own}")
        }
    }
}

const DU: &KeyRef = sfv::key_ref("du");
const ETP: &KeyRef = sfv::key_ref("etp");
const MB: &KeyRef = sfv::key_ref("mb");
const RD: &KeyRef = sfv::key_ref("rd");
const RTT: &KeyRef = sfv::key_ref("rtt");

/// What the origin says of the object in `CMSD-Static` (CTA-5006, table 1). Unread keys are kept aside.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Static {
    /// `n`: the origin's name.
    pub name: Option<String>,
    /// `at`: when the object became available, ms since the Unix epoch.
    pub available_at_ms: Option<u64>,
    /// `br`: encoded bitrate, kbps.
    pub bitrate_kbps: Option<u32>,
    /// `d`: playing time, ms.
    pub duration_ms: Option<u32>,
    /// `ht`: time that the object was held before it was sent, ms.
    pub held_ms: Option<u32>,
    /// `nor`: next object.
    pub next_object: Option<String>,
    /// `nrr`: next range.
    pub next_range: Option<String>,
    /// `ot`: kind of object.
    pub object_type: Option<String>,
    /// `sf`: streaming format.
    pub format: Option<String>,
    /// `st`: stream type.
    pub stream_type: Option<String>,
    /// `su`: the object belongs to a start.
    pub startup: bool,
    /// `v`: version of the standard.
    pub version: Option<u32>,
    /// Keys that are not read here, as they came (custom ones among them).
    pub other_keys: Dictionary,
}

/// Reads a `CMSD-Static`. A text that is no dictionary gives nothing and counts one fault.
pub fn read_static(text: &str, faults: &mut Faults) -> Static {
    let mut out = Static::default();
    if text.len() > MAX_HEADER_BYTES {
        faults.add(Fault::LimitExceeded);
        return out;
    }
    let Ok(dict) = Parser::new(text).parse::<Dictionary>() else {
        faults.add(Fault::Malformed);
        return out;
    };
    for (key, entry) in dict {
        let ListEntry::Item(item) = &entry else {
            out.other_keys.insert(key, entry);
            continue;
        };
        let v = &item.bare_item;
        let text = || v.as_string().map(|s| s.as_str().to_string()).ok_or(Fault::WrongType);
        let token = || v.as_token().map(|s| s.as_str().to_string()).ok_or(Fault::WrongType);
        let taken = match key.as_str() {
            "n" => text().map(|t| out.name = Some(t)),
            "at" => match v.as_integer().map(|n| u64::try_from(i64::from(n))) {
                Some(Ok(n)) => {
                    out.available_at_ms = Some(n);
                    Ok(())
                }
                Some(Err(_)) => Err(Fault::OutOfRange),
                None => Err(Fault::WrongType),
            },
            "br" => as_whole(v).map(|n| out.bitrate_kbps = Some(n)),
            "d" => as_whole(v).map(|n| out.duration_ms = Some(n)),
            "ht" => as_whole(v).map(|n| out.held_ms = Some(n)),
            "nor" => text().map(|t| out.next_object = Some(t)),
            "nrr" => text().map(|t| out.next_range = Some(t)),
            "ot" => token().map(|t| out.object_type = Some(t)),
            "sf" => token().map(|t| out.format = Some(t)),
            "st" => token().map(|t| out.stream_type = Some(t)),
            "su" => v.as_boolean().map(|b| out.startup = b).ok_or(Fault::WrongType),
            "v" => as_whole(v).map(|n| out.version = Some(n)),
            _ => {
                out.other_keys.insert(key, entry);
                Ok(())
            }
        };
        if let Err(fault) = taken {
            faults.add(fault);
        }
    }
    out
}

impl Static {
    /// The header's text; empty when it says nothing.
    pub fn serialize(&self) -> String {
        let mut dict = DictSerializer::new();
        let int = |n: u64| sfv::Integer::try_from(n).unwrap_or(sfv::Integer::MAX);
        let wholes = [
            ("at", self.available_at_ms),
            ("br", self.bitrate_kbps.map(u64::from)),
            ("d", self.duration_ms.map(u64::from)),
            ("ht", self.held_ms.map(u64::from)),
            ("v", self.version.map(u64::from)),
        ];
        for (key, value) in wholes {
            if let (Some(n), Ok(key)) = (value, KeyRef::from_str(key)) {
                let _ = dict.bare_item(key, int(n));
            }
        }
        let texts = [("n", &self.name), ("nor", &self.next_object), ("nrr", &self.next_range)];
        for (key, value) in texts {
            let value = value.as_deref().and_then(|t| StringRef::from_str(t).ok());
            if let (Some(t), Ok(key)) = (value, KeyRef::from_str(key)) {
                let _ = dict.bare_item(key, t);
            }
        }
        for (key, value) in [("ot", &self.object_type), ("sf", &self.format), ("st", &self.stream_type)] {
            let value = value.as_deref().and_then(|t| TokenRef::from_str(t).ok());
            if let (Some(t), Ok(key)) = (value, KeyRef::from_str(key)) {
                let _ = dict.bare_item(key, t);
            }
        }
        if self.startup {
            let _ = dict.bare_item(sfv::key_ref("su"), true);
        }
        dict.members(&self.other_keys);
        dict.finish().unwrap_or_default()
    }
}
