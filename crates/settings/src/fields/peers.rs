//! Exchange of knowledge between fronts.

use super::{HOUR, MINUTE};
use crate::ranged::{Ms, Name, Num};
use serde::Deserialize;
use std::net::SocketAddr;

/// What this front asks of and tells its peers, at their side addresses.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// The fleet; fronts of another one are not listened to. Default `fleet`.
    pub fleet: Name,
    /// Side addresses of some peers; further ones are heard of. Default none: nothing is asked.
    pub addresses: Vec<SocketAddr>,
    /// Peers asked at once at the start; 1 to 16. Default 2.
    pub parallel: Num<1, 16>,
    /// Warm answers that are enough; 1 to 16. Default 2.
    pub enough: Num<1, 16>,
    /// Another peer is asked when none has answered for so long; 1 ms to a minute. Default 150 ms.
    pub hedge_ms: Ms<1, MINUTE>,
    /// Time for the warm start; 10 ms to a minute. Default 3 s.
    pub deadline_ms: Ms<10, MINUTE>,
    /// The first question waits for up to this, by chance; 0 to a minute. Default 200 ms.
    pub jitter_ms: Ms<0, MINUTE>,
    /// Viewers are taken on once the warm start has ended, or after this; 0 to a minute. Default 500 ms.
    pub hold_ms: Ms<0, MINUTE>,
    /// What is older says nothing any more; 1 s to 10 minutes. Default 30 s.
    pub horizon_ms: Ms<1_000, 600_000>,
    /// Later, one peer is asked for what changed so often; 0: never; 0 to an hour. Default 2 s.
    pub every_ms: Ms<0, HOUR>,
    /// Warm starts that this front feeds at a time; 1 to 1,000. Default 4.
    pub feeds: Num<1, 1_000>,
    /// What a peer past them is asked to wait; 1 ms to a minute. Default 200 ms.
    pub hold_off_ms: Ms<1, MINUTE>,
}

impl Default for Peers {
    fn default() -> Self {
        Peers {
            fleet: Name::of("fleet"),
            addresses: Vec::new(),
            parallel: Num::of(2),
            enough: Num::of(2),
            hedge_ms: Ms::of(150),
            deadline_ms: Ms::of(3_000),
            jitter_ms: Ms::of(200),
            hold_ms: Ms::of(500),
            horizon_ms: Ms::of(30_000),
            every_ms: Ms::of(2_000),
            feeds: Num::of(4),
            hold_off_ms: Ms::of(200),
        }
    }
}
