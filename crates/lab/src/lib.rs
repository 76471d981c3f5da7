//! The laboratory: everything that a front needs round it to be tried, on loopback.
//!
//! - [`model`]: servers, links and racks without I/O; [`standin`]: the same over sockets, with discovery.
//! - [`script`]: a day as a file of YAML; [`viewer`]: the viewers, drawn from the day's seed.
//! - [`client`]: connections of the platform's clients, which carry many sessions.
//! - [`day`]: plays a script against fronts that are processes of their own, and kills them where it says.
//! - [`fleet`]: the same day with fronts that come back cold, with their last list, and warm.
//! - [`exchange`]: what passed over the sockets; [`rules`]: the six rules checked from that alone;
//!   [`score`]: worth served over worth asked.
//! - [`hunt`]: days drawn from seeds and played in numbers; what breaks a rule is shrunk.
//! - [`wires`]: ways between processes that can be cut, delayed and reset; [`members`]: fleets of members over them.
//! - [`foretold`]: layouts foretold, and what came.
//! - [`bench`]: measures of a front as a process.
//! - [`policies`]: baselines, and fronts broken on purpose, by which each checker is shown to fail.

mod bad_clients;
pub mod bench;
pub mod client;
pub mod day;
pub mod exchange;
pub mod fleet;
pub mod foretold;
pub mod fronts;
pub mod hunt;
pub mod members;
pub mod model;
pub mod outcome;
pub mod plan;
pub mod policies;
pub mod report;
pub mod rules;
pub mod score;
pub mod script;
pub mod standin;
pub mod troubles;
pub mod viewer;
mod viewer_http;
mod viewer_rtsp;
pub mod wires;
