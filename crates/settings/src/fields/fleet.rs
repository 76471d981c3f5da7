//! The fleet of servers and its load reports.

use super::MINUTE;
use crate::ranged::{Ms, Name, Num, Real};
use serde::Deserialize;
use serde_saphyr::Spanned;

/// A kind of server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name, as the list has it.
    pub name: Name,
    /// Streams that it runs at most; 1 to 1,000,000.
    pub streams: Num<1, 1_000_000>,
}

/// What is known of the servers beforehand.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// The kinds of servers; one that the list names and this does not counts as the first. Default one, 40 streams.
    pub kinds: Vec<Kind>,
    /// Link of a server for each unit of its weight, kB a second; 0.001 to 1,000,000,000. Default 10,000.
    pub link_unit_kb: Real<1, 1_000_000_000_000>,
    /// Whether the list's weights tell the servers' sizes; else their kinds' streams do. Default true.
    pub weights_tell_size: bool,
    /// Mean uplink of a rack, kB a second; 0: not told; 0 to 1,000,000,000. Default 0.
    pub rack_uplink_kb: Real<0, 1_000_000_000_000>,
    /// Cells that servers stand in; 0: every server holds every title; 0 to 1,000,000. Default 0.
    pub cells: Num<0, 1_000_000>,
    /// Racks; a server's rack is its cell modulo this; 0: none; 0 to 1,000,000. Default 0.
    pub racks: Num<0, 1_000_000>,
    /// Cells in a row that hold one title, at most `cells`. Default 3.
    pub copies: Spanned<u64>,
    /// What a further viewer of a live title adds, as a part of its rate; 0 to 1. Default 1: nothing is shared.
    pub join: Real<0, 1_000>,
}

impl Default for Fleet {
    fn default() -> Self {
        let nowhere = serde_saphyr::Location::UNKNOWN;
        Fleet {
            kinds: vec![Kind { name: Name::of("any"), streams: Num::of(40) }],
            link_unit_kb: Real::of(10_000.0),
            weights_tell_size: true,
            rack_uplink_kb: Real::of(0.0),
            cells: Num::of(0),
            racks: Num::of(0),
            copies: Spanned::new(3, nowhere, nowhere),
            join: Real::of(1.0),
        }
    }
}

/// How late and how often load is told by answers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reports {
    /// How late servers' figures usually are; 0 to a minute. Default 500 ms.
    pub late_ms: Ms<0, MINUTE>,
    /// One reading of a server at most so often; 0 to a minute. Default 2 s.
    pub every_ms: Ms<0, MINUTE>,
    /// One note of short delivery of a server at most so often; 0 to a minute. Default 1 s.
    pub short_every_ms: Ms<0, MINUTE>,
}

impl Default for Reports {
    fn default() -> Self {
        Reports { late_ms: Ms::of(500), every_ms: Ms::of(2_000), short_every_ms: Ms::of(1_000) }
    }
}
