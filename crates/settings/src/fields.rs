//! All settings, each with its unit, range and default.

mod classes;
mod discovery;
mod fleet;
mod listen;
mod members;
mod out;
mod peers;
mod persistence;
mod rules;
mod servers;

pub use classes::{Class, Classes, Ladder, Rung, Tenant};
pub use discovery::Discovery;
pub use fleet::{Fleet, Reports, ServerKind};
pub use listen::{Admin, Listen};
pub use members::{MemberKey, Members};
pub use out::OutOfService;
pub use peers::Peers;
pub use persistence::{Durability, Persistence, Restarts};
pub use rules::{Limits, RetryBudget, Rules};
pub use servers::{Servers, Sessions};

use crate::mapping::Mapping;
use crate::ranged::{Int, Name};
use serde::Deserialize;

const HOUR_MS: u64 = 3_600_000;
const MINUTE_MS: u64 = 60_000;

/// Everything that a front is told at its start. An empty file is valid: all defaults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FrontSettings {
    /// Who this front is.
    pub instance: Instance,
    /// Where viewers call.
    pub listen: Listen,
    /// Where operators ask.
    #[serde(rename = "side")]
    pub admin: Admin,
    /// Where the server list comes from.
    pub discovery: Discovery,
    /// What this front keeps over a stop.
    #[serde(rename = "keep")]
    pub persistence: Persistence,
    /// What this front asks of and tells its peers.
    pub peers: Peers,
    /// Who else is there, by datagrams between fronts.
    pub members: Members,
    /// How many fronts may be out at once.
    #[serde(rename = "out")]
    pub out_of_service: OutOfService,
    /// How this front talks to servers.
    pub servers: Servers,
    /// Bounds on sessions.
    pub sessions: Sessions,
    /// How a request's path tells class, tenant and title.
    pub mapping: Mapping,
    /// The classes of sessions; at least one.
    pub classes: Classes,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The ladder of rates, lowest first; at least one rung.
    pub ladder: Ladder,
    /// What is known of the servers beforehand.
    pub fleet: Fleet,
    /// How late and how often load is told.
    #[serde(rename = "reports")]
    pub load_reports: Reports,
    /// What the decisions may use.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
}

/// Who this front is.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Instance {
    /// Its name in CMSD, Via and logs. Default `front-1`.
    pub name: Name,
    /// Its hall. Default `hall-1`.
    #[serde(rename = "hall")]
    pub zone: Name,
    /// How many fronts send into the fleet, this one included; 1 to 10,000. Default 1.
    #[serde(rename = "fronts")]
    pub front_count: Int<1, 10_000>,
    /// Its number among them, from 0, another at each: by it they take turns at cold servers where not all may send at once.
    /// Left out: it has no turn then. Default none.
    #[serde(rename = "number")]
    pub front_index: Option<Int<0, 9_999>>,
    /// Seed of the decisions' random numbers; 0: a new one at each start. Default 0.
    pub seed: Int<0, 9_007_199_254_740_991>,
}

impl Default for Instance {
    fn default() -> Self {
        Instance {
            name: Name::of("front-1"),
            zone: Name::of("hall-1"),
            front_count: Int::of(1),
            front_index: None,
            seed: Int::of(0),
        }
    }
}
