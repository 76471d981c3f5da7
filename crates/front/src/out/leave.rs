//! Going out when it may, and coming back: tasks round [`Out`](super::Out).

use super::world;
use crate::members::Fleet;
use crate::side::{self, State};
use crate::{Front, Shared};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};
use tokio_util::sync::CancellationToken;

/// Between two looks at whether it is ready, or may go.
const LOOK: Duration = Duration::from_millis(20);

/// What wakes whom.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    /// The members' task: something is to be asked or sent.
    pub(crate) turn: Notify,
    /// The task that writes.
    pub(crate) write: Notify,
    /// Whoever runs the front: it was asked to go out, at the side address.
    pub(crate) asked: Notify,
}

/// How the wait for a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveOutcome {
    /// Permits are off: it may stop as it likes.
    NotRequired,
    /// It holds one: it is to stop at once.
    Granted,
    /// It got none in time.
    TimedOut,
}

impl Front {
    /// Goes on serving, and asks for a permit to be out until it has one or `wait` is over.
    pub async fn wait_for_leave_permit(&self, wait: Duration) -> LeaveOutcome {
        let Some(fleet) = self.fleet.as_ref().filter(|f| f.out().is_some()) else {
            return LeaveOutcome::NotRequired;
        };
        let name = &self.name;
        let subject = world::digits(world::subject(name));
        let until = Instant::now() + wait;
        tracing::info!(
            member = name.as_str(),
            subject,
            reason = "told to go",
            "waits for its permit, and serves on"
        );
        fleet.want(true);
        loop {
            // Looked at here, at the use: whoever stood still holds nothing.
            if let Some(term) = fleet.may_leave() {
                tracing::info!(
                    member = name.as_str(),
                    term,
                    subject,
                    reason = "allowed",
                    "goes out under its permit"
                );
                return LeaveOutcome::Granted;
            }
            if Instant::now() >= until {
                tracing::info!(
                    member = name.as_str(),
                    subject,
                    reason = fleet.why_not(),
                    "no permit in time"
                );
                return LeaveOutcome::TimedOut;
            }
            sleep(LOOK).await;
        }
    }

    /// It does not go out after all: a permit that it has is given back.
    pub fn cancel_leave(&self) {
        if let Some(fleet) = &self.fleet {
            fleet.want(false);
        }
    }

    /// Why there was no permit, in words.
    pub fn permit_denial_reason(&self) -> String {
        self.fleet.as_ref().map(|f| f.why_not()).unwrap_or_default()
    }

    /// Waits until it is asked to go out, at the side address.
    pub async fn wait_for_leave_request(&self) {
        match &self.fleet {
            Some(fleet) => fleet.gate.asked.notified().await,
            None => std::future::pending().await,
        }
    }
}

/// Waits until the front is ready, by the very word that `/health` has: then what its last life holds is given back.
pub(crate) async fn comes_back(shared: Arc<Shared>, state: Arc<State>) {
    let Some(fleet) = state.fleet().filter(|f| f.out().is_some()) else { return };
    while !side::is_ready(&shared, &state) {
        sleep(LOOK).await;
    }
    fleet.set_back();
}

/// Writes what is kept, each time that it has changed, on a thread that may block. At the stop a write that is under
/// way is waited for: guards against one that comes after the next life's first.
pub(crate) async fn keep(fleet: Arc<Fleet>, stop: CancellationToken) {
    let mut failing = false;
    while !stop.is_cancelled() {
        let to_keep = fleet.out().filter(|o| o.has_to_keep()).map(|o| o.to_keep());
        let Some((version, file)) = to_keep else {
            tokio::select! {
                () = fleet.gate.write.notified() => {}
                () = stop.cancelled() => {}
            }
            continue;
        };
        let written = match file {
            None => Ok(()),
            Some((file, leaf)) => tokio::task::spawn_blocking(move || file.write(&leaf))
                .await
                .unwrap_or_else(|e| Err(std::io::Error::other(e))),
        };
        match &written {
            Err(error) if !failing => {
                tracing::error!(%error, "permits cannot be kept: this witness is silent")
            }
            Ok(()) if failing => tracing::info!("permits are kept"),
            _ => {}
        }
        failing = written.is_err();
        if let Some(mut out) = fleet.out() {
            out.set_kept(version, !failing);
        }
        fleet.gate.turn.notify_one();
    }
}
