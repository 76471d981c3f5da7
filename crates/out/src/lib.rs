//! Permits to be out of service and staged releases for a fleet: protocol state without I/O.
//!
//! One small value, the [`Register`], holds all permits and the current release. It is changed by compare and
//! swap at a majority of the witnesses (CASPaxos: Rystsov, "CASPaxos: Replicated State Machines without
//! logs", 2018), so each change sees all earlier ones and any limit is a function of that value. The design
//! and its failure cases are described in `docs/changes.md`.
//!
//! Times are [`std::time::Duration`]s on the caller's monotonic clock, which must keep counting while the
//! machine is suspended.

mod acceptor;
mod change;
mod driver;
mod halt_detector;
mod limits;
mod message;
mod order;
mod proposal;
mod proposer;
mod register;
mod release;
mod report;
mod responses;
mod rollout;
mod staged_config;
mod types;

pub use acceptor::{recovery_time, Acceptor, PersistedState};
pub use change::{Applied, Change, DenialReason};
pub use driver::Driver;
pub use halt_detector::{HaltDetector, PaidBlock, ServedShareTest, Tally};
pub use limits::{
    check_limits, Availability, FleetView, GrantContext, Limits, MaxOutOfService, MemberStatus,
};
pub use message::Message;
pub use order::{FencedOrder, Generation, Order, OrderError};
pub use proposal::{GrantedLease, Outcome, MAX_ATTEMPTS};
pub use proposer::{Proposer, ProposerConfig};
pub use release::{next_stage, Plan, ReleaseEvent, ReleaseTarget, Wave, MAX_WAVES};
pub use report::{DriverAction, FrontReport, ServiceState, MAX_REPORTS};
pub use staged_config::{StagedConfig, MAX_GENERATIONS};
pub use types::*;
