//! The other fronts.

use super::{HOUR, MINUTE};
use crate::ranged::{Ms, Num};
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
    pub address: Option<SocketAddr>,
    /// Such addresses of some members, this one's own or not.
    pub seeds: Vec<SocketAddr>,
    /// Such addresses of the witnesses, the same at all fronts, three or five. Default none: nobody counts, and
    /// `instance.fronts` holds.
    pub witnesses: Vec<SocketAddr>,
    /// Keys that datagrams are taken under; the first one seals. At least one where `listen` is set.
    pub keys: Vec<MemberKey>,
    /// A member is probed so often; 20 ms to a minute. Default 500 ms.
    pub probe_ms: Ms<20, MINUTE>,
    /// Others are asked to probe one that has not answered within this; 5 ms to a minute, at most half of
    /// `probe_ms`. Default 150 ms.
    pub answer_ms: Ms<5, MINUTE>,
    /// A member in doubt may object for so long; 50 ms to ten minutes. Default 3 s.
    pub suspicion_ms: Ms<50, 600_000>,
    /// News are passed on so often; 10 ms to a minute. Default 200 ms.
    pub gossip_ms: Ms<10, MINUTE>,
    /// Members that are gone, and seeds, are called on so often; 100 ms to an hour. Default 2 s.
    pub heal_ms: Ms<100, HOUR>,
    /// One member is asked for all that it holds so often; 100 ms to an hour. Default 10 s.
    pub sync_ms: Ms<100, HOUR>,
    /// How long a count holds, the same at all fronts; 200 ms to an hour. Default 4 s.
    pub lease_ms: Ms<200, HOUR>,
}

impl Default for Members {
    fn default() -> Self {
        Members {
            listen: None,
            address: None,
            seeds: Vec::new(),
            witnesses: Vec::new(),
            keys: Vec::new(),
            probe_ms: Ms::of(500),
            answer_ms: Ms::of(150),
            suspicion_ms: Ms::of(3_000),
            gossip_ms: Ms::of(200),
            heal_ms: Ms::of(2_000),
            sync_ms: Ms::of(10_000),
            lease_ms: Ms::of(4_000),
        }
    }
}

/// A key of the members' datagrams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberKey {
    /// Its id; 0 to 4,294,967,295.
    pub id: Num<0, 4_294_967_295>,
    /// The file with its secret: 16 bytes or more as hexadecimal digits, for its owner alone.
    pub file: PathBuf,
}
