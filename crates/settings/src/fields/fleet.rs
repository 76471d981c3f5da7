//! The fleet of servers and its load reports.

use super::MINUTE_MS;
use crate::ranged::{Decimal, Int, Millis, Name};
use serde::Deserialize;
use serde_saphyr::Spanned;

/// A kind of server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerKind {
    /// Its name, as the list has it.
    pub name: Name,
    /// Streams that it runs at most; 1 to 1,000,000.
    #[serde(rename = "streams")]
    pub max_streams: Int<1, 1_000_000>,
}

/// What is known of the servers beforehand.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// The kinds of servers; one that the list names and this does not counts as the first. Default one, 40 streams.
    pub kinds: Vec<ServerKind>,
    /// Link of a server for each unit of its weight, kB a second; 0.001 to 1,000,000,000. Default 10,000.
    #[serde(rename = "link_unit_kb")]
    pub link_unit_kb_per_s: Decimal<1, 1_000_000_000_000>,
    /// Whether the list's weights tell the servers' sizes; else their kinds' streams do. Default true.
    #[serde(rename = "weights_tell_size")]
    pub sized_by_weight: bool,
    /// Mean uplink of a rack, kB a second; 0: not told; 0 to 1,000,000,000. Default 0.
    #[serde(rename = "rack_uplink_kb")]
    pub rack_uplink_kb_per_s: Decimal<0, 1_000_000_000_000>,
    /// Cells that servers stand in; 0: every server holds every title; 0 to 1,000,000. Default 0.
    #[serde(rename = "cells")]
    pub cell_count: Int<0, 1_000_000>,
    /// Racks; a server's rack is its cell modulo this; 0: none; 0 to 1,000,000. Default 0.
    #[serde(rename = "racks")]
    pub rack_count: Int<0, 1_000_000>,
    /// Cells in a row that hold one title, at most `cells`. Default 3.
    #[serde(rename = "copies")]
    pub cells_per_title: Spanned<u64>,
    /// What a further viewer of a live title adds, as a part of its rate; 0 to 1. Default 1: nothing is shared.
    #[serde(rename = "join")]
    pub join_cost_fraction: Decimal<0, 1_000>,
}

impl Default for Fleet {
    fn default() -> Self {
        let nowhere = serde_saphyr::Location::UNKNOWN;
        Fleet {
            kinds: vec![ServerKind { name: Name::of("any"), max_streams: Int::of(40) }],
            link_unit_kb_per_s: Decimal::of(10_000.0),
            sized_by_weight: true,
            rack_uplink_kb_per_s: Decimal::of(0.0),
            cell_count: Int::of(0),
            rack_count: Int::of(0),
            cells_per_title: Spanned::new(3, nowhere, nowhere),
            join_cost_fraction: Decimal::of(1.0),
        }
    }
}

/// How late and how often load is told by answers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reports {
    /// How late servers' figures usually are; 0 to a minute. Default 500 ms.
    #[serde(rename = "late_ms")]
    pub delay_ms: Millis<0, MINUTE_MS>,
    /// One reading of a server at most so often; 0 to a minute. Default 2 s.
    #[serde(rename = "every_ms")]
    pub interval_ms: Millis<0, MINUTE_MS>,
    /// One note of short delivery of a server at most so often; 0 to a minute. Default 1 s.
    #[serde(rename = "short_every_ms")]
    pub short_delivery_interval_ms: Millis<0, MINUTE_MS>,
}

impl Default for Reports {
    fn default() -> Self {
        Reports {
            delay_ms: Millis::of(500),
            interval_ms: Millis::of(2_000),
            short_delivery_interval_ms: Millis::of(1_000),
        }
    }
}
