//! Static facts about the servers, and their load reports.

use super::MINUTE_MS;
use crate::ranged::{Decimal, Int, Millis, Name};
use serde::Deserialize;
use serde_saphyr::Spanned;

/// Kind of server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerKind {
    /// Name in the server list.
    pub name: Name,
    /// Maximum number of concurrent streams of a server of this kind; 1 to 1,000,000.
    #[serde(rename = "streams")]
    pub max_streams: Int<1, 1_000_000>,
}

/// Static facts about the servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Kinds of servers; a server of a kind not listed here counts as the first one. Default: one kind with
    /// 40 streams.
    pub kinds: Vec<ServerKind>,
    /// Link capacity per unit of a server's weight, kB/s; 0.001 to 1,000,000,000. Default 10,000.
    #[serde(rename = "link_unit_kb")]
    pub link_unit_kb_per_s: Decimal<1, 1_000_000_000_000>,
    /// True if the weights in the list give the sizes of the servers; false if the streams of their kinds do.
    /// Default true.
    #[serde(rename = "weights_tell_size")]
    pub sized_by_weight: bool,
    /// Mean capacity of a rack's uplink, kB/s; 0 if unknown; 0 to 1,000,000,000. Default 0.
    #[serde(rename = "rack_uplink_kb")]
    pub rack_uplink_kb_per_s: Decimal<0, 1_000_000_000_000>,
    /// Number of cells that the servers are divided into; 0 if every server holds every title;
    /// 0 to 1,000,000. Default 0.
    #[serde(rename = "cells")]
    pub cell_count: Int<0, 1_000_000>,
    /// Number of racks; the rack of a server is its cell modulo this number; 0 for none; 0 to 1,000,000.
    /// Default 0.
    #[serde(rename = "racks")]
    pub rack_count: Int<0, 1_000_000>,
    /// Number of consecutive cells that hold one title; 1 to `cells`. Default 3.
    #[serde(rename = "copies")]
    pub cells_per_title: Spanned<u64>,
    /// Load that a further viewer of a live title adds, as a fraction of its bit rate; 0 to 1. Default 1:
    /// nothing is shared.
    #[serde(rename = "join")]
    pub join_cost_fraction: Decimal<0, 1_000>,
}

impl Default for Fleet {
    fn default() -> Self {
        let unknown = serde_saphyr::Location::UNKNOWN;
        Fleet {
            kinds: vec![ServerKind { name: Name::new("any"), max_streams: Int::new(40) }],
            link_unit_kb_per_s: Decimal::new(10_000.0),
            sized_by_weight: true,
            rack_uplink_kb_per_s: Decimal::new(0.0),
            cell_count: Int::new(0),
            rack_count: Int::new(0),
            cells_per_title: Spanned::new(3, unknown, unknown),
            join_cost_fraction: Decimal::new(1.0),
        }
    }
}

/// Delay and rate of the load reports in responses of servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reports {
    /// Typical delay of the servers' load figures; 0 to 1 minute. Default 500 ms.
    #[serde(rename = "late_ms")]
    pub delay_ms: Millis<0, MINUTE_MS>,
    /// Shortest interval between two load reports of one server; 0 to 1 minute. Default 2 s.
    #[serde(rename = "every_ms")]
    pub interval_ms: Millis<0, MINUTE_MS>,
    /// Shortest interval between two reports of insufficient delivery by one server; 0 to 1 minute.
    /// Default 1 s.
    #[serde(rename = "short_every_ms")]
    pub short_delivery_interval_ms: Millis<0, MINUTE_MS>,
}

impl Default for Reports {
    fn default() -> Self {
        Reports {
            delay_ms: Millis::new(500),
            interval_ms: Millis::new(2_000),
            short_delivery_interval_ms: Millis::new(1_000),
        }
    }
}
