//! Types of all settings, one module per section. Each field states its unit, range and default.

mod classes;
mod discovery;
mod fleet;
mod listen;
mod members;
mod out_of_service;
mod peers;
mod persistence;
mod rules;
mod servers;

pub use classes::{Class, Classes, Ladder, Rung, Tenant};
pub use discovery::Discovery;
pub use fleet::{Fleet, Reports, ServerKind};
pub use listen::{Admin, Listen};
pub use members::{MemberKey, Members};
pub use out_of_service::OutOfService;
pub use peers::Peers;
pub use persistence::{Durability, Persistence, Restarts};
pub use rules::{Limits, RetryBudget, Rules};
pub use servers::{Servers, Sessions};

use crate::mapping::Mapping;
use crate::ranged::{Int, Name};
use serde::Deserialize;

/// One hour in milliseconds, the upper bound of long times.
const HOUR_MS: u64 = 3_600_000;
/// One minute in milliseconds, the upper bound of short times.
const MINUTE_MS: u64 = 60_000;

/// Settings of a front. An empty file is valid and gives all defaults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FrontSettings {
    /// Identity of this front.
    pub instance: Instance,
    /// Listener for viewers.
    pub listen: Listen,
    /// Listener for operators and for requests of other fronts.
    #[serde(rename = "side")]
    pub admin: Admin,
    /// Source of the server list.
    pub discovery: Discovery,
    /// State that this front retains over restarts.
    #[serde(rename = "keep")]
    pub persistence: Persistence,
    /// Exchange of knowledge with other fronts.
    pub peers: Peers,
    /// Membership of fronts, by datagrams between them.
    pub members: Members,
    /// Limits on the number of fronts that are out of service at the same time.
    #[serde(rename = "out")]
    pub out_of_service: OutOfService,
    /// Connections and requests to servers.
    pub servers: Servers,
    /// Limits on sessions.
    pub sessions: Sessions,
    /// Derivation of class, tenant and title from a request path.
    pub mapping: Mapping,
    /// Classes of sessions; 1 to 64.
    pub classes: Classes,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Ladder of bit rates, lowest first; 1 to 64 rungs.
    pub ladder: Ladder,
    /// Static facts about the servers.
    pub fleet: Fleet,
    /// Delay and rate of load reports.
    #[serde(rename = "reports")]
    pub load_reports: Reports,
    /// Limits on attempts and refusals.
    pub limits: Limits,
    /// Parameters of the placement rules.
    pub rules: Rules,
}

/// Identity of this front.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Instance {
    /// Name in CMSD, `Via` and logs. Default `front-1`.
    pub name: Name,
    /// Zone that this front runs in. Default `hall-1`.
    #[serde(rename = "hall")]
    pub zone: Name,
    /// Number of fronts that send set-ups into the fleet, this one included; 1 to 10,000. Default 1.
    #[serde(rename = "fronts")]
    pub front_count: Int<1, 10_000>,
    /// Index of this front among all fronts, from 0, different at each front; 0 to 9,999. It determines the
    /// time slots in which this front may use a cold server when not all fronts may at once. Absent: no time
    /// slot. Default absent.
    #[serde(rename = "number")]
    pub front_index: Option<Int<0, 9_999>>,
    /// Seed of the policy's random numbers; 0 draws a new seed at each start. Default 0.
    pub seed: Int<0, 9_007_199_254_740_991>,
}

impl Default for Instance {
    fn default() -> Self {
        Instance {
            name: Name::new("front-1"),
            zone: Name::new("hall-1"),
            front_count: Int::new(1),
            front_index: None,
            seed: Int::new(0),
        }
    }
}
