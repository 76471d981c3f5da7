//! Servers, links and racks as the users describe them, without I/O: state in, verdicts out, time an
//! argument. The stand-ins over sockets are shells round it.

mod fleet;
mod server;

pub use fleet::{Fleet, Rack};
pub use server::{ColdFacts, LoadTold, Server, ServerFacts, SetupVerdict};
