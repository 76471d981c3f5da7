//! Settings of the membership of fronts.

use super::{HOUR_MS, MINUTE_MS};
use crate::ranged::{Int, Millis};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Membership of fronts, by datagrams between them; disabled without `listen`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Members {
    /// UDP address on which datagrams are received. Absent: none are sent or received. Default absent.
    pub listen: Option<SocketAddr>,
    /// Address to which other members send datagrams. Default: the address of `listen`.
    #[serde(rename = "address")]
    pub advertised_address: Option<SocketAddr>,
    /// Datagram addresses of some members; may include this front's own; 0 to 64. Default empty.
    pub seeds: Vec<SocketAddr>,
    /// Datagram addresses of the witnesses, equal at all fronts; usually three or five, at most 64.
    /// Default empty: fronts are not counted, and `instance.fronts` applies.
    pub witnesses: Vec<SocketAddr>,
    /// Keys accepted for datagrams; the first one seals outgoing datagrams; 1 to 16 if `listen` is set.
    /// Default empty.
    pub keys: Vec<MemberKey>,
    /// Interval between probes; 20 ms to 1 minute. Default 500 ms.
    #[serde(rename = "probe_ms")]
    pub probe_interval_ms: Millis<20, MINUTE_MS>,
    /// Time after which other members are asked to probe a member that has not answered; 5 ms to 1 minute, at
    /// most half of `probe_ms`. Default 150 ms.
    #[serde(rename = "answer_ms")]
    pub probe_timeout_ms: Millis<5, MINUTE_MS>,
    /// Time for which a suspected member may refute the suspicion; 50 ms to 10 minutes. Default 3 s.
    #[serde(rename = "suspicion_ms")]
    pub suspicion_timeout_ms: Millis<50, 600_000>,
    /// Interval at which updates are passed on; 10 ms to 1 minute. Default 200 ms.
    #[serde(rename = "gossip_ms")]
    pub gossip_interval_ms: Millis<10, MINUTE_MS>,
    /// Interval at which members that are down, and seeds, are contacted; 100 ms to 1 hour. Default 2 s.
    #[serde(rename = "heal_ms")]
    pub reconnect_interval_ms: Millis<100, HOUR_MS>,
    /// Interval at which the complete state of one member is requested; 100 ms to 1 hour. Default 10 s.
    #[serde(rename = "sync_ms")]
    pub sync_interval_ms: Millis<100, HOUR_MS>,
    /// Duration of the lease by which the witnesses count a front, equal at all fronts; 200 ms to 1 hour.
    /// Default 4 s.
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
            probe_interval_ms: Millis::new(500),
            probe_timeout_ms: Millis::new(150),
            suspicion_timeout_ms: Millis::new(3_000),
            gossip_interval_ms: Millis::new(200),
            reconnect_interval_ms: Millis::new(2_000),
            sync_interval_ms: Millis::new(10_000),
            lease_duration_ms: Millis::new(4_000),
        }
    }
}

/// Key that seals datagrams between members.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberKey {
    /// Identifier of the key; 0 to 4,294,967,295.
    pub id: Int<0, 4_294_967_295>,
    /// File with the secret: 16 bytes or more as hexadecimal digits, accessible by its owner only.
    pub file: PathBuf,
}
