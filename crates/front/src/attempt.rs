//! One attempt at setting a session up: connect, send, wait for the answer's head.
//!
//! Whether its first byte has gone out is settled by one atomic step, which either the attempt or its recall
//! takes: there is no instant at which both believe to have been first.

use crate::desk::Mail;
use crate::journal::Ticket;
use crate::pool::LeaseError;
use crate::upstream::{self, Ask, SetupAnswer};
use crate::Shared;
use bytes::Bytes;
use cloverhollow_net::SendDecision;
use cloverhollow_session::{AttemptEnd, Input, Load, Setup};
use std::sync::Arc;
use tokio::task::AbortHandle;

/// The desk's hold on an attempt that is out. Dropping it ends the attempt and closes its connection.
pub(crate) struct Held {
    gate: Arc<SendDecision>,
    task: AbortHandle,
}

impl Held {
    /// Whether its first byte had not gone out, and now never will.
    pub(crate) fn recall(&self) -> bool {
        self.gate.try_cancel()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends a set-up in a task of its own, which mails its end to the desk. No time-out here: the desk recalls.
/// `ticket`: what must be taken down before its first byte may go out.
pub(crate) fn spawn(setup: Setup<Arc<Ask>>, ticket: Ticket, shared: Arc<Shared>) -> Held {
    let gate = Arc::new(SendDecision::default());
    let own = gate.clone();
    let task = tokio::spawn(async move {
        // `None`: it was recalled, and the desk knows.
        if let Some(input) = run(&setup, ticket, &shared, &own).await {
            let _ = shared.desk.send(Mail::of(input)).await;
        }
    });
    Held { gate, task: task.abort_handle() }
}

async fn run(
    setup: &Setup<Arc<Ask>>,
    ticket: Ticket,
    shared: &Shared,
    gate: &SendDecision,
) -> Option<Input<Arc<Ask>, SetupAnswer>> {
    let attempt = setup.attempt;
    let ended = |end| Some(Input::AttemptEnded { attempt, end, load: Load::default() });
    // A connection of its own: on a used one, a close that is under way would leave it open whether the
    // set-up ran, and a paid one could not be sent again.
    let mut lease = match shared.pools.lease(setup.server, setup.address, true).await {
        Ok(lease) => lease,
        Err(LeaseError::Busy | LeaseError::NotConnected(_)) => return ended(AttemptEnd::NotConnected),
    };
    // Guards a front that is killed between the decision and the first byte: its next life knows (rules 2, 6).
    if !ticket.granted().await {
        return ended(AttemptEnd::NotPersisted);
    }
    // Guards one that stood still in between: what it decided by is old.
    if shared.clock.now() > setup.send_deadline {
        tracing::info!(session = %setup.sid, %attempt, server = setup.server, "decided too long ago, not sent");
        return ended(AttemptEnd::NeverSent);
    }
    if !gate.try_send() {
        return None;
    }
    let head = upstream::setup_head(setup, shared);
    if lease.conn().send_request(head, Bytes::new()).await.is_err() {
        return ended(AttemptEnd::Reset);
    }
    let Ok(head) = lease.conn().read_head().await else { return ended(AttemptEnd::Reset) };
    let told = upstream::told(&head, setup.kbps);
    match head.status {
        200..=299 => Some(Input::Playing { attempt, load: told.load, response: SetupAnswer { head, lease } }),
        503 if told.unrun => Some(Input::AttemptEnded { attempt, end: AttemptEnd::Full, load: told.load }),
        status => Some(Input::AttemptEnded { attempt, end: AttemptEnd::Error { status }, load: told.load }),
    }
}
