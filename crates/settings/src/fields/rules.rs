//! Limits and rules of the decisions.

use super::{HOUR, MINUTE};
use crate::ranged::{Ms, Num, Real};
use serde::Deserialize;

/// What the decisions may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Most attempts for one session; 1 to 16. Default 3.
    pub attempts: Num<1, 16>,
    /// What a refused viewer is asked to wait, 0 to a minute. Default 1 s.
    pub hold_off_ms: Ms<0, MINUTE>,
    /// Worth of traffic past a tenant's share, as a part of the usual; 0 to 1. Default 1.
    pub over_share_worth: Real<0, 1_000>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { attempts: Num::of(3), hold_off_ms: Ms::of(1_000), over_share_worth: Real::of(1.0) }
    }
}

/// A budget of further attempts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ration {
    /// Attempts always allowed; 0 to 1,000,000.
    pub free: Num<0, 1_000_000>,
    /// Attempts allowed for each session taken; 0 to 10.
    pub share: Real<0, 10_000>,
    /// The span both are counted over; 100 ms to an hour.
    pub span_ms: Ms<100, HOUR>,
}

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Nothing new to a draining or gone server later than this; 0 to a minute. Default 250 ms.
    pub drain_grace_ms: Ms<0, MINUTE>,
    /// A server is warm at the latest so long after its start; 0 to an hour. Default 12 s.
    pub cold_ms: Ms<0, HOUR>,
    /// The part of its capacity at which it starts; 0.001 to 1. Default 0.4.
    pub cold_from: Real<1, 1_000>,
    /// A cold server falls over at this multiple of its present capacity; 0.1 to 100. Default 2.
    pub fall_multiple: Real<100, 100_000>,
    /// ...kept up over this span; 1 ms to a minute. Default 1 s.
    pub fall_ms: Ms<1, MINUTE>,
    /// So many set-ups more in that span than the multiple gives make it fall; 0 to 1,000. Default 1.
    pub fall_slack: Real<0, 1_000>,
    /// The budget of further attempts; absent: none. Default none.
    pub ration: Option<Ration>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: Ms::of(250),
            cold_ms: Ms::of(12_000),
            cold_from: Real::of(0.4),
            fall_multiple: Real::of(2.0),
            fall_ms: Ms::of(1_000),
            fall_slack: Real::of(1.0),
            ration: None,
        }
    }
}
