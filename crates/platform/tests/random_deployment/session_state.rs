//! The simulated state of one session.

use cloverhollow_session::{AttemptId, ViewerId};
use std::time::Duration;

/// A session that is being set up or is playing.
pub(super) struct SessionState {
    pub(super) title: u64,
    pub(super) class: usize,
    pub(super) max_rung: usize,
    /// The waiting viewer and its deadline.
    pub(super) waiting: Option<(ViewerId, Duration)>,
    /// The open attempt, and whether its first byte has been sent.
    pub(super) attempt: Option<(AttemptId, bool)>,
    pub(super) playing: bool,
    pub(super) possibly_executed: bool,
    /// True if the session was handed over, so that its rung was not chosen here.
    pub(super) adopted: bool,
}
