//! One set-up attempt at a server: connect, send the request, wait for the head of the response.
//!
//! A single atomic decision settles whether the first byte is sent or the attempt is cancelled, so sender and
//! canceller can never both succeed.

use crate::connection_pool::AcquireError;
use crate::event_loop::LoopEvent;
use crate::upstream::{self, SetupResponse, ViewerRequest};
use crate::write_ahead_log::WriteReceipt;
use crate::Shared;
use bytes::Bytes;
use cloverhollow_net::SendDecision;
use cloverhollow_session::{AttemptEnd, Input, Load, Setup};
use std::sync::Arc;
use tokio::task::AbortHandle;

/// Handle of an attempt in flight, held by the event loop. Dropping it aborts the attempt and closes its
/// connection.
pub(crate) struct AttemptHandle {
    send_decision: Arc<SendDecision>,
    task: AbortHandle,
}

impl AttemptHandle {
    /// Cancels the attempt. Returns true if its first byte was not sent, and now never will be.
    pub(crate) fn cancel(&self) -> bool {
        self.send_decision.try_cancel()
    }
}

impl Drop for AttemptHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends a set-up in its own task, which reports the end of the attempt to the event loop.
///
/// The task has no time-out: the event loop cancels it. `receipt` confirms the log record that must be
/// persisted before the first byte is sent.
pub(crate) fn spawn(
    setup: Setup<Arc<ViewerRequest>>,
    receipt: WriteReceipt,
    shared: Arc<Shared>,
) -> AttemptHandle {
    let send_decision = Arc::new(SendDecision::default());
    let task_decision = send_decision.clone();
    let task = tokio::spawn(async move {
        // `None`: the attempt was cancelled by the event loop, which needs no report.
        if let Some(input) = run(&setup, receipt, &shared, &task_decision).await {
            let _ = shared.event_tx.send(LoopEvent::from_input(input)).await;
        }
    });
    AttemptHandle { send_decision, task: task.abort_handle() }
}

async fn run(
    setup: &Setup<Arc<ViewerRequest>>,
    receipt: WriteReceipt,
    shared: &Shared,
    send_decision: &SendDecision,
) -> Option<Input<Arc<ViewerRequest>, SetupResponse>> {
    let attempt = setup.attempt;
    let ended = |end| Some(Input::AttemptEnded { attempt, end, load: Load::default() });
    // Uses a new connection. On a reused one, a close by the server that crosses the request leaves it
    // unknown whether the set-up was executed, and a paid set-up could then not be retried.
    let mut connection = match shared.pools.acquire(setup.server, setup.address, true).await {
        Ok(connection) => connection,
        Err(AcquireError::PoolExhausted | AcquireError::ConnectFailed(_)) => {
            return ended(AttemptEnd::NotConnected)
        }
    };
    // Guards against a front that is killed after the decision to send: its next incarnation finds the
    // record, counts a paid session as possibly executed, and a retry against the retry budget.
    if !receipt.wait_confirmed().await {
        return ended(AttemptEnd::NotPersisted);
    }
    // Guards against a process that was suspended in between: its decision rests on outdated data.
    if shared.clock.now() > setup.send_deadline {
        tracing::info!(session = %setup.sid, %attempt, server = setup.server, "set-up not sent: the decision is past its send deadline");
        return ended(AttemptEnd::NeverSent);
    }
    if !send_decision.try_send() {
        return None;
    }
    let head = upstream::setup_request(setup, shared);
    if connection.client().send_request(head, Bytes::new()).await.is_err() {
        return ended(AttemptEnd::Reset);
    }
    let Ok(head) = connection.client().read_head().await else { return ended(AttemptEnd::Reset) };
    let hints = upstream::response_hints(&head, setup.kbps);
    match head.status {
        200..=299 => {
            Some(Input::Playing { attempt, load: hints.load, response: SetupResponse { head, connection } })
        }
        503 if hints.not_executed => {
            Some(Input::AttemptEnded { attempt, end: AttemptEnd::Full, load: hints.load })
        }
        status => Some(Input::AttemptEnded { attempt, end: AttemptEnd::Error { status }, load: hints.load }),
    }
}
