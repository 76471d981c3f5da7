//! Client of the command channel: an event stream over HTTP that is requested again when it breaks, stalls or is late.
//!
//! Each call is a task; one more task decides by the [`CallSchedule`] which of them are kept, and forwards the events of
//! the streams that are open, in the order of their arrival. All streams carry the same numbered events without gaps, each
//! from the last event that was applied when it was requested. So an event that comes by two streams is applied once, and no
//! event before its predecessor.

mod stream;

use crate::messages::LoopEvent;
use cloverhollow_net::Clock;
use cloverhollow_platform::call_schedule::CallSchedule;
use std::net::SocketAddr;
use std::time::Duration;
use stream::{StreamError, StreamItem};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::sleep_until;

/// Capacity of the queue between the calls and the task that follows them.
const MAX_QUEUED_ITEMS: usize = 16;

/// Position in the command channel from which the next stream is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChannelPosition {
    pub(crate) address: SocketAddr,
    /// Cursor of the last event that was applied.
    pub(crate) cursor: u64,
    /// Number of the last stream that delivered an unusable event; streams up to this one are requested
    /// again.
    pub(crate) rejected_stream: u64,
}

/// An open call. Dropping it closes the call.
struct Call {
    number: u64,
    /// Position from which the stream was requested.
    start: ChannelPosition,
    called_at: Duration,
    task: AbortHandle,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The open calls and what is needed to make further ones.
struct Follower {
    clock: Clock,
    schedule: CallSchedule,
    /// Calls that are open in `schedule`.
    calls: Vec<Call>,
    address: SocketAddr,
    position_rx: watch::Receiver<ChannelPosition>,
    item_tx: mpsc::Sender<(u64, StreamItem)>,
    event_tx: mpsc::Sender<LoopEvent>,
}

/// Follows the channel until the event loop ends. `seed` randomizes the delays between calls.
pub(crate) async fn run(
    position_rx: watch::Receiver<ChannelPosition>,
    event_tx: mpsc::Sender<LoopEvent>,
    seed: u64,
) {
    let (item_tx, mut item_rx) = mpsc::channel(MAX_QUEUED_ITEMS);
    let address = position_rx.borrow().address;
    let mut follower = Follower {
        clock: Clock::start(),
        schedule: CallSchedule::new(seed),
        calls: Vec::new(),
        address,
        position_rx,
        item_tx,
        event_tx,
    };
    loop {
        let call_at = follower.clock.instant(follower.schedule.next_call_at());
        tokio::select! {
            // What has been received comes before a call that is due for want of it.
            biased;
            () = follower.event_tx.closed() => return,
            Ok(()) = follower.position_rx.changed() => follower.position_changed(),
            Some((number, item)) = item_rx.recv() => follower.handle_item(number, item).await,
            () = sleep_until(call_at) => follower.call(),
        }
        let schedule = &follower.schedule;
        follower.calls.retain(|call| schedule.is_open(call.number));
    }
}

impl Follower {
    fn call(&mut self) {
        let (start, now) = (*self.position_rx.borrow(), self.clock.now());
        let number = self.schedule.call(now);
        let open = self.schedule.open_calls();
        tracing::info!(channel = %start.address, cursor = start.cursor, stream = number, open, "calling the command channel");
        let task = tokio::spawn(stream::run(number, start, self.item_tx.clone())).abort_handle();
        self.calls.push(Call { number, start, called_at: now, task });
    }

    /// Closes the calls at a former address, and those whose events the event loop has rejected.
    fn position_changed(&mut self) {
        let position = *self.position_rx.borrow_and_update();
        if position.address != self.address {
            tracing::info!(former = %self.address, channel = %position.address, "command channel has moved");
            self.address = position.address;
            self.schedule.moved(self.clock.now());
        }
        let rejected = self.calls.iter().map(|call| call.number).filter(|n| *n <= position.rejected_stream);
        for number in rejected.collect::<Vec<_>>() {
            self.ended(number, &StreamError::Rejected);
        }
    }

    async fn handle_item(&mut self, number: u64, item: StreamItem) {
        if !self.schedule.is_open(number) {
            return;
        }
        let now = self.clock.now();
        match item {
            StreamItem::Answered => {
                let called_at =
                    self.calls.iter().find(|call| call.number == number).map(|call| call.called_at);
                let after_ms = now.saturating_sub(called_at.unwrap_or(now)).as_millis();
                tracing::info!(channel = %self.address, stream = number, after_ms, "command channel answered");
                self.schedule.answered(now, number);
            }
            StreamItem::Received { updates, complete } => {
                self.schedule.received(now, number, complete || !updates.is_empty());
                for update in updates {
                    // A failure means that the event loop has ended.
                    let _ = self.event_tx.send(LoopEvent::ChannelUpdate(number, update)).await;
                }
            }
            StreamItem::Ended(error) => {
                // Lets the event loop apply the events received before the stream ended.
                tokio::task::yield_now().await;
                self.ended(number, &error);
            }
        }
    }

    fn ended(&mut self, number: u64, error: &StreamError) {
        let Some(call) = self.calls.iter().find(|call| call.number == number) else { return };
        let cursor = self.position_rx.borrow().cursor;
        let useful = cursor > call.start.cursor;
        self.schedule.ended(self.clock.now(), number, useful);
        let open = self.schedule.open_calls();
        tracing::info!(channel = %self.address, cursor, stream = number, open, %error, "command channel broke");
    }
}
