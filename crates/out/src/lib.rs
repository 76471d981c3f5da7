//! Who of a fleet may be out at a time, and the releases that it rolls: protocol state without I/O.
//!
//! One small value, the [`Register`], holds all permits and the release. It is changed by compare and swap at a majority of
//! the witnesses (CASPaxos: Rystsov, "CASPaxos: Replicated State Machines without logs", 2018), so each change sees all before it
//! and any limit is a function of that value. Why this and not another way, and who may be wrong about whom, is in
//! `docs/changes.md`.
//!
//! Times are [`std::time::Duration`]s on the caller's one forward-going clock, which goes on over a suspend.

mod types;

pub use types::*;
