//! One call at the command channel: the request, and the event stream of its response.

use super::ChannelPosition;
use bytes::Bytes;
use cloverhollow_http::{RequestHead, Target};
use cloverhollow_net::{connect, EventStreamDecoder, WireError};
use cloverhollow_platform::channel::{ChannelError, ChannelUpdate, ServerDirectory};
use tokio::sync::mpsc;

/// Maximum size of an event: the list of a few thousand servers.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Reason for the end of a call.
#[derive(Debug, thiserror::Error)]
pub(super) enum StreamError {
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
    #[error("stream delivered an unusable event")]
    Rejected,
}

/// What a call delivers.
#[derive(Debug)]
pub(super) enum StreamItem {
    /// The head of the response has arrived.
    Answered,
    /// Data has arrived.
    Received {
        updates: Vec<ChannelUpdate>,
        /// True if the data ends with a whole event or comment.
        complete: bool,
    },
    /// The call has ended.
    Ended(StreamError),
}

/// Makes a call and delivers its items with its number. It has no time-out; aborting the task closes the call.
pub(super) async fn run(number: u64, position: ChannelPosition, item_tx: mpsc::Sender<(u64, StreamItem)>) {
    let error = match read_stream(number, position, &item_tx).await {
        Ok(()) => StreamError::Ended,
        Err(error) => error,
    };
    let _ = item_tx.send((number, StreamItem::Ended(error))).await;
}

async fn read_stream(
    number: u64,
    position: ChannelPosition,
    item_tx: &mpsc::Sender<(u64, StreamItem)>,
) -> Result<(), StreamError> {
    let mut conn = connect(position.address).await.map_err(StreamError::Connect)?;
    let target =
        Target::parse(Bytes::from_static(b"/cmd/next")).ok_or(StreamError::Malformed("invalid path"))?;
    let mut head = RequestHead::get(target);
    head.headers.push("host", position.address.to_string());
    head.headers.push("accept", "text/event-stream");
    head.headers.push("last-event-id", position.cursor.to_string());
    conn.send_request(head, Bytes::new()).await?;
    let head = conn.read_head().await?;
    if head.status != 200 {
        return Err(StreamError::Status(head.status));
    }
    let mut item = StreamItem::Answered;
    // An incomplete event at the end of a broken stream is dropped together with the decoder.
    let mut decoder = EventStreamDecoder::new(MAX_EVENT_BYTES);
    // If the receiver is gone, the event loop has ended.
    while item_tx.send((number, item)).await.is_ok() {
        let Some(chunk) = conn.read_body_chunk().await? else { return Ok(()) };
        let events = decoder.push(&chunk).map_err(StreamError::Malformed)?;
        let updates = events.iter().map(|event| ServerDirectory::parse_update(event));
        item = StreamItem::Received {
            updates: updates.collect::<Result<_, _>>()?,
            complete: decoder.is_between_events(),
        };
    }
    Ok(())
}
