//! Who of a fleet may be out at a time, and the releases that it rolls: protocol state without I/O.
//!
//! One small value, the [`Register`], holds all permits and the release. It is changed by compare and swap at
//! a majority of the witnesses (CASPaxos: Rystsov, "CASPaxos: Replicated State Machines without logs", 2018),
//! so each change sees all before it and any limit is a function of that value. Why this and not another way,
//! and who may be wrong about whom, is in `docs/changes.md`.
//!
//! Times are [`std::time::Duration`]s on the caller's one forward-going clock, which goes on over a suspend.

mod answers;
mod asker;
mod change;
mod clerk;
mod driver;
mod going;
mod halts;
mod job;
mod limits;
mod register;
mod release;
mod report;
mod staged;
mod types;
mod words;

pub use asker::{Asker, AskerSettings};
pub use change::{Applied, Change, Denied};
pub use clerk::{blind_for, Clerk, Kept};
pub use driver::Driver;
pub use halts::{Halts, Paid, Tally, Worth};
pub use job::{Granted, Outcome, TRIES};
pub use limits::{may_go, Known, Limits, Most, Seen, Standing, World};
pub use release::{next, Event, Plan, Wave, What, MOST_WAVES};
pub use report::{Do, Out, Report, MOST_REPORTS};
pub use staged::{Act, Generation, Order, Refusal, Staged, MOST_GENERATIONS};
pub use types::*;
pub use words::Word;
