//! Client of the command channel: an event stream over HTTP that is requested again when it breaks or stalls.

use crate::messages::LoopEvent;
use bytes::Bytes;
use cloverhollow_http::{RequestHead, Target};
use cloverhollow_net::{connect, EventStreamDecoder, WireError};
use cloverhollow_platform::backoff::Backoff;
use cloverhollow_platform::channel::{ChannelError, ServerDirectory};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Instant};

/// Time without data after which a stream counts as stalled; the platform sends a comment every second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time-out for connecting, and again for the head of the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of an event: the list of a few thousand servers.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

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

/// Step of reading a stream that has a time-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Connect,
    ResponseHead,
    Body,
}

impl std::fmt::Display for Step {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Step::Connect => "connecting",
            Step::ResponseHead => "waiting for the response head",
            Step::Body => "waiting for data",
        })
    }
}

impl Step {
    /// Runs the step with its time-out.
    async fn run<T>(self, future: impl std::future::Future<Output = T>) -> Result<T, StreamError> {
        let limit = match self {
            Step::Connect | Step::ResponseHead => RESPONSE_TIMEOUT,
            Step::Body => SILENCE_TIMEOUT,
        };
        timeout(limit, future).await.map_err(|_| StreamError::TimedOut { step: self, timeout: limit })
    }
}

#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error("{step} timed out after {} ms", timeout.as_millis())]
    TimedOut { step: Step, timeout: Duration },
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("{0}")]
    Malformed(&'static str),
    #[error(transparent)]
    Event(#[from] ChannelError),
    #[error("stream ended")]
    Ended,
    #[error("stream is requested again")]
    Restarted,
}

/// Follows the channel until the event loop ends. `seed` randomizes the delays between requests.
pub(crate) async fn run(
    mut position_rx: watch::Receiver<ChannelPosition>,
    event_tx: mpsc::Sender<LoopEvent>,
    seed: u64,
) {
    let mut backoff = Backoff::new(seed);
    let mut stream = 0;
    while !event_tx.is_closed() {
        stream += 1;
        let (start, started_at) = (*position_rx.borrow_and_update(), Instant::now());
        let error = tokio::select! {
            result = read_stream(start, stream, &event_tx) => match result {
                Ok(()) => StreamError::Ended,
                Err(error) => error,
            },
            () = wait_until(&mut position_rx, |p| p.address != start.address || p.rejected_stream >= stream) => {
                StreamError::Restarted
            }
        };
        // Lets the event loop apply the events received before the stream ended.
        tokio::task::yield_now().await;
        let position = *position_rx.borrow();
        tracing::info!(channel = %start.address, cursor = position.cursor, stream, %error, "command channel broke");
        let moved = position.address != start.address;
        let delay = backoff.next_delay(started_at.elapsed(), moved || position.cursor > start.cursor);
        // A new address is tried soon, however long the delay for the current one has become.
        let current_address = position.address;
        if timeout(delay, wait_until(&mut position_rx, |p| p.address != current_address)).await.is_ok() {
            tokio::time::sleep(backoff.next_delay(started_at.elapsed(), true)).await;
        }
    }
}

/// Waits until the position satisfies `condition`, or forever once its sender is dropped. Cancel-safe.
async fn wait_until(
    position_rx: &mut watch::Receiver<ChannelPosition>,
    condition: impl FnMut(&ChannelPosition) -> bool,
) {
    if position_rx.wait_for(condition).await.is_err() {
        std::future::pending().await
    }
}

/// Reads one stream and forwards its events. Every step is bounded by [`RESPONSE_TIMEOUT`] or
/// [`SILENCE_TIMEOUT`]; dropping the future closes the stream.
async fn read_stream(
    position: ChannelPosition,
    stream: u64,
    event_tx: &mpsc::Sender<LoopEvent>,
) -> Result<(), StreamError> {
    let called_at = Instant::now();
    let mut conn = Step::Connect.run(connect(position.address)).await?.map_err(StreamError::Connect)?;
    let target =
        Target::parse(Bytes::from_static(b"/cmd/next")).ok_or(StreamError::Malformed("invalid path"))?;
    let mut head = RequestHead::get(target);
    head.headers.push("host", position.address.to_string());
    head.headers.push("accept", "text/event-stream");
    head.headers.push("last-event-id", position.cursor.to_string());
    conn.send_request(head, Bytes::new()).await?;
    let head = Step::ResponseHead.run(conn.read_head()).await??;
    let after_ms = called_at.elapsed().as_millis();
    tracing::info!(channel = %position.address, stream, after_ms, status = head.status, "command channel answered");
    if head.status != 200 {
        return Err(StreamError::Status(head.status));
    }
    // An incomplete event at the end of a broken stream is dropped together with the decoder.
    let mut decoder = EventStreamDecoder::new(MAX_EVENT_BYTES);
    loop {
        let chunk = Step::Body.run(conn.read_body_chunk()).await??;
        let Some(chunk) = chunk else { return Ok(()) };
        for event in decoder.push(&chunk).map_err(StreamError::Malformed)? {
            if event_tx
                .send(LoopEvent::ChannelUpdate(stream, ServerDirectory::parse_update(&event)?))
                .await
                .is_err()
            {
                return Ok(());
            }
        }
    }
}
