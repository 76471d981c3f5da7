//! The other fronts.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Int, Millis};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Who else is there, by datagrams between fronts; off without `listen`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Members {
    /// Where this front's datagrams come in (UDP). Default none: nothing is sent, nothing taken.
    pub listen: Option<SocketAddr>,
    /// Where the others send them, if not there. Default: where they come in.
    #[serde(rename = "address")]
    pub advertised_address: Option<SocketAddr>,
    /// Such addresses of some members, this one's own or not.
    pub seeds: Vec<SocketAddr>,
    /// Such addresses of the witnesses, the same at all fronts, three or five. Default none: nobody counts, and
    /// `instance.fronts` holds.
    pub witnesses: Vec<SocketAddr>,
    /// Keys that datagrams are taken under; the first one seals. At least one where `listen` is set.
    pub keys: Vec<MemberKey>,
    /// A member is probed so often; 20 ms to a minute. Default 500 ms.
    #[serde(rename = "probe_ms")]
    pub probe_interval_ms: Millis<20, MINUTE_MS>,
    /// Others are asked to probe one that has not answered within this; 5 ms to a minute, at most half of
    /// `probe_ms`. Default 150 ms.
    #[serde(rename = "answer_ms")]
    pub probe_timeout_ms: Millis<5, MINUTE_MS>,
    /// A member in doubt may object for so long; 50 ms to ten minutes. Default 3 s.
    #[serde(rename = "suspicion_ms")]
    pub suspicion_timeout_ms: Millis<50, 600_000>,
    /// News are passed on so often; 10 ms to a minute. Default 200 ms.
    #[serde(rename = "gossip_ms")]
    pub gossip_interval_ms: Millis<10, MINUTE_MS>,
    /// Members that are gone, and seeds, are called on so often; 100 ms to an hour. Default 2 s.
    #[serde(rename = "heal_ms")]
    pub reconnect_interval_ms: Millis<100, HOUR_MS>,
    /// One member is asked for all that it holds so often; 100 ms to an hour. Default 10 s.
    #[serde(rename = "sync_ms")]
    pub sync_interval_ms: Millis<100, HOUR_MS>,
    /// How long a count holds, the same at all fronts; 200 ms to an hour. Default 4 s.
    #[serde(rename = "lease_ms")]
    pub lease_duration_ms: Millis<200, HOUR_MS>,
}

impl Default for Members {
    fn default() -> Self {
        Members {
            listen: None,
            advertised_address: None,
            seeds: Vec::new(),
            witnesses: Vec::new(),
            keys: Vec::new(),
            probe_interval_ms: Millis::of(500),
            probe_timeout_ms: Millis::of(150),
            suspicion_timeout_ms: Millis::of(3_000),
            gossip_interval_ms: Millis::of(200),
            reconnect_interval_ms: Millis::of(2_000),
            sync_interval_ms: Millis::of(10_000),
            lease_duration_ms: Millis::of(4_000),
        }
    }
}

/// A key of the members' datagrams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberKey {
    /// Its id; 0 to 4,294,967,295.
    pub id: Int<0, 4_294_967_295>,
    /// The file with its secret: 16 bytes or more as hexadecimal digits, for its owner alone.
    pub file: PathBuf,
}
