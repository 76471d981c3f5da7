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
pub use fleet::{Fleet, Kind, Reports};
pub use listen::{Listen, Side};
pub use members::{MemberKey, Members};
pub use out::Out;
pub use peers::Peers;
pub use persistence::{Keep, Outlives, Restarts};
pub use rules::{Limits, Ration, Rules};
pub use servers::{Servers, Sessions};

use crate::mapping::Mapping;
use crate::ranged::{Name, Num};
use serde::Deserialize;

const HOUR: u64 = 3_600_000;
const MINUTE: u64 = 60_000;

/// Everything that a front is told at its start. An empty file is valid: all defaults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FrontSettings {
    /// Who this front is.
    pub instance: Instance,
    /// Where viewers call.
    pub listen: Listen,
    /// Where operators ask.
    pub side: Side,
    /// Where the server list comes from.
    pub discovery: Discovery,
    /// What this front keeps over a stop.
    pub keep: Keep,
    /// What this front asks of and tells its peers.
    pub peers: Peers,
    /// Who else is there, by datagrams between fronts.
    pub members: Members,
    /// How many fronts may be out at once.
    pub out: Out,
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
    pub reports: Reports,
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
    pub hall: Name,
    /// How many fronts send into the fleet, this one included; 1 to 10,000. Default 1.
    pub fronts: Num<1, 10_000>,
    /// Its number among them, from 0, another at each: by it they take turns at cold servers where not all may send at once.
    /// Left out: it has no turn then. Default none.
    pub number: Option<Num<0, 9_999>>,
    /// Seed of the decisions' random numbers; 0: a new one at each start. Default 0.
    pub seed: Num<0, 9_007_199_254_740_991>,
}

impl Default for Instance {
    fn default() -> Self {
        Instance {
            name: Name::of("front-1"),
            hall: Name::of("hall-1"),
            fronts: Num::of(1),
            number: None,
            seed: Num::of(0),
        }
    }
}
