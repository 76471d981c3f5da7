//! Leaving and re-entering service: tasks around [`OutOfService`](super::OutOfService).

use super::fleet_state;
use crate::members::FleetMember;
use crate::side_endpoint::{self, FrontStatus};
use crate::{Front, Shared};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};
use tokio_util::sync::CancellationToken;

/// Polling interval for readiness and for a permit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Wake-up signals between tasks.
#[derive(Debug, Default)]
pub(crate) struct Signals {
    /// Wakes the membership task: there is a proposal or message to send.
    pub(crate) permit_work: Notify,
    /// Wakes the task that persists the permit state.
    pub(crate) persist: Notify,
    /// Wakes the owner of the front: an operator has requested at the side address that it leave service.
    pub(crate) leave_requested: Notify,
}

/// Outcome of waiting for a permit to leave service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveOutcome {
    /// Permits are disabled; the front may stop at any time.
    NotRequired,
    /// The front holds a permit and must stop at once.
    Granted,
    /// No permit was granted in time.
    TimedOut,
}

impl Front {
    /// Keeps serving and requests a permit to leave service, until one is granted or `max_wait` has passed.
    pub async fn wait_for_leave_permit(&self, max_wait: Duration) -> LeaveOutcome {
        let Some(fleet) = self.fleet_member.as_ref().filter(|f| f.permits().is_some()) else {
            return LeaveOutcome::NotRequired;
        };
        let name = &self.name;
        let subject = fleet_state::format_subject(fleet_state::front_subject(name));
        let deadline = Instant::now() + max_wait;
        tracing::info!(
            member = name.as_str(),
            subject,
            reason = "told to go",
            "waiting for a permit to leave service, still serving"
        );
        fleet.set_leaving(true);
        loop {
            // Checked at the time of use, because a process that was suspended may have lost its permit.
            if let Some(term) = fleet.usable_permit_term() {
                tracing::info!(
                    member = name.as_str(),
                    term,
                    subject,
                    reason = "allowed",
                    "goes out under its permit"
                );
                return LeaveOutcome::Granted;
            }
            if Instant::now() >= deadline {
                tracing::info!(
                    member = name.as_str(),
                    subject,
                    reason = fleet.denial_reason(),
                    "no permit in time"
                );
                return LeaveOutcome::TimedOut;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Cancels leaving service; a permit that was granted is returned.
    pub fn cancel_leave(&self) {
        if let Some(fleet) = &self.fleet_member {
            fleet.set_leaving(false);
        }
    }

    /// Returns the reason why no permit was granted.
    pub fn permit_denial_reason(&self) -> String {
        self.fleet_member.as_ref().map(|f| f.denial_reason()).unwrap_or_default()
    }

    /// Waits until an operator requests at the side address that this front leave service.
    pub async fn wait_for_leave_request(&self) {
        match &self.fleet_member {
            Some(fleet) => fleet.signals.leave_requested.notified().await,
            None => std::future::pending().await,
        }
    }
}

/// Waits until `/health` reports ready, then returns the permits of previous incarnations.
pub(crate) async fn enter_service_when_ready(shared: Arc<Shared>, status: Arc<FrontStatus>) {
    let Some(fleet) = status.fleet().filter(|f| f.permits().is_some()) else { return };
    while !side_endpoint::is_ready(&shared, &status) {
        sleep(POLL_INTERVAL).await;
    }
    fleet.set_in_service();
}

/// Persists the permit state on a blocking thread after each change.
///
/// At the stop a write in progress is completed. Guards against a late write that overwrites the first one of
/// the next incarnation.
pub(crate) async fn persist(fleet: Arc<FleetMember>, stop: CancellationToken) {
    let mut failing = false;
    while !stop.is_cancelled() {
        let state_to_persist = fleet.permits().filter(|o| o.needs_persisting()).map(|o| o.state_to_persist());
        let Some((version, file)) = state_to_persist else {
            tokio::select! {
                () = fleet.signals.persist.notified() => {}
                () = stop.cancelled() => {}
            }
            continue;
        };
        let written = match file {
            None => Ok(()),
            Some((file, state)) => tokio::task::spawn_blocking(move || file.write(&state))
                .await
                .unwrap_or_else(|e| Err(std::io::Error::other(e))),
        };
        match &written {
            Err(error) if !failing => {
                tracing::error!(%error, "permit state cannot be persisted: this witness sends no replies")
            }
            Ok(()) if failing => tracing::info!("permit state is persisted again"),
            _ => {}
        }
        failing = written.is_err();
        if let Some(mut permits) = fleet.permits() {
            permits.set_persisted(version, !failing);
        }
        fleet.signals.permit_work.notify_one();
    }
}
