//! The command channel: an event stream over HTTP, asked for again when it breaks or falls silent.

use crate::mail::Mail;
use bytes::Bytes;
use cloverhollow_http::{RequestHead, Target};
use cloverhollow_net::{connect, EventStreamDecoder, WireError};
use cloverhollow_platform::backoff::Backoff;
use cloverhollow_platform::channel::{ChannelError, ServerDirectory};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Instant};

/// Comments come each second: a stream that says nothing for so long has stopped.
const SILENT: Duration = Duration::from_millis(1_800);
/// For a connection to be made, and for the head of its answer.
const BEGIN: Duration = Duration::from_millis(1_000);

/// Longest event: the whole list of some thousand servers.
const MOST_EVENT: usize = 1024 * 1024;

/// Where the channel is, and the last event that was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct From {
    pub(crate) address: SocketAddr,
    pub(crate) cursor: u64,
    /// The last stream on which something came that can't be taken: the channel is asked anew.
    pub(crate) useless: u64,
}

#[derive(Debug, thiserror::Error)]
enum Broken {
    #[error("silent for too long")]
    Silent,
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("{0}")]
    Lines(&'static str),
    #[error(transparent)]
    Event(#[from] ChannelError),
    #[error("it ended")]
    Ended,
    #[error("asked for anew")]
    Anew,
}

/// Listens for as long as the process runs. `seed`: of the waits.
pub(crate) async fn run(mut from: watch::Receiver<From>, mail: mpsc::Sender<Mail>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    let mut stream = 0;
    while !mail.is_closed() {
        stream += 1;
        let (begun, at) = (*from.borrow_and_update(), Instant::now());
        let broken = tokio::select! {
            broken = listen(begun, stream, &mail) => match broken { Ok(()) => Broken::Ended, Err(b) => b },
            () = changed(&mut from, |f| f.address != begun.address || f.useless >= stream) => Broken::Anew,
        };
        // The desk is to have seen what came before the break.
        tokio::task::yield_now().await;
        let now = *from.borrow();
        tracing::info!(channel = %begun.address, cursor = now.cursor, error = %broken, "command channel broke");
        let moved = now.address != begun.address;
        let wait = backoff.next_delay(at.elapsed(), moved || now.cursor > begun.cursor);
        // Another address is asked soon, however long the wait at this one has become.
        let asked = now.address;
        if timeout(wait, changed(&mut from, |f| f.address != asked)).await.is_ok() {
            tokio::time::sleep(backoff.next_delay(at.elapsed(), true)).await;
        }
    }
}

/// Waits until it is so. For ever if nobody is left who could change it. Cancel-safe.
async fn changed(from: &mut watch::Receiver<From>, so: impl FnMut(&From) -> bool) {
    if from.wait_for(so).await.is_err() {
        std::future::pending().await
    }
}

/// Reads one stream. It waits [`BEGIN`] and [`SILENT`] at most for what is to come next; dropping it closes the stream.
async fn listen(from: From, stream: u64, mail: &mpsc::Sender<Mail>) -> Result<(), Broken> {
    let conn = timeout(BEGIN, connect(from.address)).await.map_err(|_| Broken::Silent)?;
    let mut conn = conn.map_err(Broken::Connect)?;
    let target = Target::parse(Bytes::from_static(b"/cmd/next")).ok_or(Broken::Lines("no path"))?;
    let mut head = RequestHead::get(target);
    head.headers.push("host", from.address.to_string());
    head.headers.push("accept", "text/event-stream");
    head.headers.push("last-event-id", from.cursor.to_string());
    conn.send_request(head, Bytes::new()).await?;
    let head = timeout(BEGIN, conn.read_head()).await.map_err(|_| Broken::Silent)??;
    if head.status != 200 {
        return Err(Broken::Status(head.status));
    }
    // A part of an event that a break leaves behind goes with the stream.
    let mut lines = EventStreamDecoder::new(MOST_EVENT);
    loop {
        let data = timeout(SILENT, conn.read_body_chunk()).await.map_err(|_| Broken::Silent)??;
        let Some(data) = data else { return Ok(()) };
        for event in lines.push(&data).map_err(Broken::Lines)? {
            if mail.send(Mail::Told(stream, ServerDirectory::parse_update(&event)?)).await.is_err() {
                return Ok(());
            }
        }
    }
}
