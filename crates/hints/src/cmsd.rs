//! Common Media Server Data (CTA-5006): hints of servers and intermediaries in their responses.
//!
//! `CMSD-Static` is a dictionary set by the origin and unchanged along the path. `CMSD-Dynamic` is a list
//! with one member per intermediary, the one nearest to the origin first (section 3). Custom keys with the
//! prefix `com.cloverhollow-` carry values for which the standard has no key.

use crate::faults::{Fault, Faults};
use sfv::{
    BareItem, DictSerializer, Dictionary, KeyRef, List, ListEntry, ListSerializer, Parameters, Parser,
};
use sfv::{Decimal, StringRef, TokenRef};

/// Name of the header set by the origin, in lower case.
pub const STATIC_HEADER: &str = "cmsd-static";
/// Name of the header to which each intermediary appends its member, in lower case.
pub const DYNAMIC_HEADER: &str = "cmsd-dynamic";
/// Maximum number of members of a `CMSD-Dynamic` that are read; a longer path indicates a forwarding loop.
pub const MAX_HOPS: usize = 16;
/// Maximum length of a header text that is parsed, in bytes.
pub const MAX_HEADER_BYTES: usize = 8192;

/// Custom keys for values that the standard has no key for.
mod custom {
    use sfv::{key_ref, KeyRef};
    /// Streams in progress at the server.
    pub(super) const STREAMS: &KeyRef = key_ref("com.cloverhollow-streams");
    /// Demand on the server's link divided by the link's capacity.
    pub(super) const LINK: &KeyRef = key_ref("com.cloverhollow-link");
    /// Demand on the rack's uplink divided by the uplink's capacity.
    pub(super) const RACK: &KeyRef = key_ref("com.cloverhollow-rack");
    /// True if the set-up certainly was not executed.
    pub(super) const NOT_EXECUTED: &KeyRef = key_ref("com.cloverhollow-unrun");
    /// Reason for which no session was set up.
    pub(super) const REASON: &KeyRef = key_ref("com.cloverhollow-reason");
    /// Rung at which the session plays, as an index of the ladder.
    pub(super) const RUNG: &KeyRef = key_ref("com.cloverhollow-rung");
}

/// Member of `CMSD-Dynamic`, added by one intermediary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hop {
    /// Name of the intermediary.
    pub name: String,
    /// `du`: true if the intermediary is under duress.
    pub duress: bool,
    /// `etp`: estimated throughput to the client, kbps.
    pub throughput_kbps: Option<u32>,
    /// `mb`: maximum suggested bitrate, kbps.
    pub max_bitrate_kbps: Option<u32>,
    /// `rd`: response delay, ms.
    pub response_delay_ms: Option<u32>,
    /// `rtt`: estimated round-trip time, ms.
    pub rtt_ms: Option<u32>,
    /// Streams in progress at the server.
    pub streams: Option<u32>,
    /// Demand on the server's link divided by its capacity; above 1 if it is overloaded.
    pub link_utilization: Option<f64>,
    /// Demand on the rack's uplink divided by the uplink's capacity; above 1 if it is overloaded.
    pub rack_utilization: Option<f64>,
    /// True if the set-up certainly was not executed, so that it may be retried.
    pub not_executed: bool,
    /// Reason for which no session was set up.
    pub reason: Option<String>,
    /// Rung at which the session plays, as an index of the ladder.
    pub rung: Option<u32>,
}

/// Typed access to parameters. A value of the wrong type or range is dropped and counted as a fault.
struct ParameterReader<'a> {
    params: &'a Parameters,
    faults: &'a mut Faults,
}

impl ParameterReader<'_> {
    fn get<T>(&mut self, key: &str, parse: impl Fn(&BareItem) -> Result<T, Fault>) -> Option<T> {
        match parse(self.params.get(key)?) {
            Ok(value) => Some(value),
            Err(fault) => {
                self.faults.add(fault);
                None
            }
        }
    }

    fn integer(&mut self, key: &str) -> Option<u32> {
        self.get(key, as_u32)
    }

    fn flag(&mut self, key: &str) -> bool {
        self.get(key, |item| item.as_boolean().ok_or(Fault::WrongType)).unwrap_or(false)
    }

    /// Decimal or integer from 0 to 1,000.
    fn ratio(&mut self, key: &str) -> Option<f64> {
        self.get(key, |v| {
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
        self.get(key, |item| item.as_token().map(|t| t.as_str().to_string()).ok_or(Fault::WrongType))
    }
}

fn as_u32(item: &BareItem) -> Result<u32, Fault> {
    let n = item.as_integer().ok_or(Fault::WrongType)?;
    u32::try_from(i64::from(n)).map_err(|_| Fault::OutOfRange)
}

/// Parses a `CMSD-Dynamic`. The caller joins several header lines with commas first (RFC 9110, section 5.3).
///
/// A text that is not a structured list gives no members and one fault (RFC 9651, section 4.2).
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
        let mut reader = ParameterReader { params: &item.params, faults };
        hops.push(Hop {
            name,
            duress: reader.flag("du"),
            throughput_kbps: reader.integer("etp"),
            max_bitrate_kbps: reader.integer("mb"),
            response_delay_ms: reader.integer("rd"),
            rtt_ms: reader.integer("rtt"),
            streams: reader.integer(custom::STREAMS.as_str()),
            link_utilization: reader.ratio(custom::LINK.as_str()),
            rack_utilization: reader.ratio(custom::RACK.as_str()),
            not_executed: reader.flag(custom::NOT_EXECUTED.as_str()),
            reason: reader.token(custom::REASON.as_str()),
            rung: reader.integer(custom::RUNG.as_str()),
        });
    }
    hops
}

fn to_decimal(n: f64) -> Option<Decimal> {
    Decimal::try_from(n.clamp(0.0, 1000.0)).ok()
}

impl Hop {
    /// Serializes the member. A name with invalid characters becomes `unnamed`; an invalid reason is omitted.
    pub fn serialize(&self) -> String {
        let mut list = ListSerializer::new();
        let name = StringRef::from_str(&self.name).unwrap_or(sfv::string_ref("unnamed"));
        let mut params = list.bare_item(name);
        if self.duress {
            params = params.parameter(DU, true);
        }
        let integers = [
            (ETP, self.throughput_kbps),
            (MB, self.max_bitrate_kbps),
            (RD, self.response_delay_ms),
            (RTT, self.rtt_ms),
            (custom::STREAMS, self.streams),
            (custom::RUNG, self.rung),
        ];
        for (key, value) in integers {
            if let Some(n) = value {
                params = params.parameter(key, i64::from(n).try_into().unwrap_or(sfv::Integer::MAX));
            }
        }
        for (key, value) in [(custom::LINK, self.link_utilization), (custom::RACK, self.rack_utilization)] {
            if let Some(n) = value.and_then(to_decimal) {
                params = params.parameter(key, n);
            }
        }
        if self.not_executed {
            params = params.parameter(custom::NOT_EXECUTED, true);
        }
        if let Some(token) = self.reason.as_deref().and_then(|r| TokenRef::from_str(r).ok()) {
            params = params.parameter(custom::REASON, token);
        }
        let _ = params.finish(); // The text comes from the list below.
        list.finish().unwrap_or_default()
    }

    /// Appends this member to the text of a `CMSD-Dynamic` received from the previous hops.
    pub fn append_to(&self, previous: &str) -> String {
        let member = self.serialize();
        if previous.trim().is_empty() {
            member
        } else {
            format!("{previous}, {member}")
        }
    }
}

const DU: &KeyRef = sfv::key_ref("du");
const ETP: &KeyRef = sfv::key_ref("etp");
const MB: &KeyRef = sfv::key_ref("mb");
const RD: &KeyRef = sfv::key_ref("rd");
const RTT: &KeyRef = sfv::key_ref("rtt");

/// Contents of `CMSD-Static`: hints of the origin on the object (CTA-5006, table 1).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Static {
    /// `n`: name of the origin.
    pub name: Option<String>,
    /// `at`: time when the object became available, ms since the Unix epoch.
    pub available_at_ms: Option<u64>,
    /// `br`: encoded bitrate, kbps.
    pub bitrate_kbps: Option<u32>,
    /// `d`: duration of the object, ms.
    pub duration_ms: Option<u32>,
    /// `ht`: time for which the object was held before it was sent, ms.
    pub held_ms: Option<u32>,
    /// `nor`: next object, as a relative address.
    pub next_object: Option<String>,
    /// `nrr`: next byte range.
    pub next_range: Option<String>,
    /// `ot`: object type.
    pub object_type: Option<String>,
    /// `sf`: streaming format.
    pub format: Option<String>,
    /// `st`: stream type.
    pub stream_type: Option<String>,
    /// `su`: true if the object belongs to a startup.
    pub startup: bool,
    /// `v`: version of the standard.
    pub version: Option<u32>,
    /// All other keys, custom ones included, unchanged.
    pub other_keys: Dictionary,
}

/// Parses a `CMSD-Static`. A text that is not a structured dictionary gives an empty result and one fault.
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
        let value = &item.bare_item;
        let text = || value.as_string().map(|s| s.as_str().to_string()).ok_or(Fault::WrongType);
        let token = || value.as_token().map(|s| s.as_str().to_string()).ok_or(Fault::WrongType);
        let result = match key.as_str() {
            "n" => text().map(|t| out.name = Some(t)),
            "at" => match value.as_integer().map(|n| u64::try_from(i64::from(n))) {
                Some(Ok(n)) => {
                    out.available_at_ms = Some(n);
                    Ok(())
                }
                Some(Err(_)) => Err(Fault::OutOfRange),
                None => Err(Fault::WrongType),
            },
            "br" => as_u32(value).map(|n| out.bitrate_kbps = Some(n)),
            "d" => as_u32(value).map(|n| out.duration_ms = Some(n)),
            "ht" => as_u32(value).map(|n| out.held_ms = Some(n)),
            "nor" => text().map(|t| out.next_object = Some(t)),
            "nrr" => text().map(|t| out.next_range = Some(t)),
            "ot" => token().map(|t| out.object_type = Some(t)),
            "sf" => token().map(|t| out.format = Some(t)),
            "st" => token().map(|t| out.stream_type = Some(t)),
            "su" => value.as_boolean().map(|b| out.startup = b).ok_or(Fault::WrongType),
            "v" => as_u32(value).map(|n| out.version = Some(n)),
            _ => {
                out.other_keys.insert(key, entry);
                Ok(())
            }
        };
        if let Err(fault) = result {
            faults.add(fault);
        }
    }
    out
}

impl Static {
    /// Serializes the header value; empty if there are no keys.
    pub fn serialize(&self) -> String {
        let mut dict = DictSerializer::new();
        let to_integer = |n: u64| sfv::Integer::try_from(n).unwrap_or(sfv::Integer::MAX);
        let integers = [
            ("at", self.available_at_ms),
            ("br", self.bitrate_kbps.map(u64::from)),
            ("d", self.duration_ms.map(u64::from)),
            ("ht", self.held_ms.map(u64::from)),
            ("v", self.version.map(u64::from)),
        ];
        for (key, value) in integers {
            if let (Some(n), Ok(key)) = (value, KeyRef::from_str(key)) {
                let _ = dict.bare_item(key, to_integer(n));
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
