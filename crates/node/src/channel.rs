//! The command channel: an event stream over HTTP, asked for again as soon as it breaks or falls silent.

use crate::mail::Mail;
use bytes::Bytes;
use cloverhollow_http::{RequestHead, Target};
use cloverhollow_net::{connect, EventLines, WireError};
use cloverhollow_platform::channel::{ChannelError, Directory};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Comments come each second: a stream that says nothing for so long has stopped.
const SILENT: Duration = Duration::from_millis(1_800);
/// For a connection to be made, and for the head of its answer.
const BEGIN: Duration = Duration::from_millis(1_000);
/// Wait before it is asked again, doubled for each time that brought nothing, up to the next.
const AGAIN: Duration = Duration::from_millis(50);
const AGAIN_MOST: Duration = Duration::from_millis(500);

/// Longest event: the whole list of some thousand servers.
const MOST_EVENT: usize = 1024 * 1024;

/// Where the channel is, and the last event that was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct From {
    pub(crate) address: SocketAddr,
    pub(crate) cursor: u64,
    /// Counts what makes a stream useless: it is asked for anew.
    pub(crate) anew: u64,
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

/// Listens for as long as the process runs.
pub(crate) async fn run(mut from: watch::Receiver<From>, mail: mpsc::Sender<Mail>) {
    let mut wait = AGAIN;
    loop {
        let mut heard = false;
        let begun = *from.borrow_and_update();
        let anew = async {
            // The cursor moves with each event; another address or a gap ends the stream.
            while from.changed().await.is_ok() {
                let now = *from.borrow_and_update();
                if (now.address, now.anew) != (begun.address, begun.anew) {
                    return;
                }
            }
        };
        let broken = tokio::select! {
            broken = listen(begun, &mail, &mut heard) => match broken { Ok(()) => Broken::Ended, Err(b) => b },
            () = anew => Broken::Anew,
        };
        if mail.is_closed() {
            return;
        }
        tracing::info!(channel = %begun.address, cursor = from.borrow().cursor, error = %broken, "command channel broke");
        let again = heard || matches!(broken, Broken::Anew);
        wait = if again { AGAIN } else { (wait * 2).min(AGAIN_MOST) };
        if !again {
            tokio::time::sleep(wait).await;
        }
    }
}

async fn listen(from: From, mail: &mpsc::Sender<Mail>, heard: &mut bool) -> Result<(), Broken> {
    let conn = timeout(BEGIN, connect(from.address)).await.map_err(|_| Broken::Silent)?;
    let mut conn = conn.map_err(Broken::Connect)?;
    let target = Target::parse(Bytes::from_static(b"/cmd/next")).ok_or(Broken::Lines("no path"))?;
    let mut head = RequestHead::get(target);
    head.headers.push("host", from.address.to_string());
    head.headers.push("accept", "text/event-stream");
    head.headers.push("last-event-id", from.cursor.to_string());
    conn.send(head, Bytes::new()).await?;
    let head = timeout(BEGIN, conn.head()).await.map_err(|_| Broken::Silent)??;
    if head.status != 200 {
        return Err(Broken::Status(head.status));
    }
    // A part of an event that a break leaves behind goes with the stream.
    let mut lines = EventLines::new(MOST_EVENT);
    loop {
        let data = timeout(SILENT, conn.data()).await.map_err(|_| Broken::Silent)??;
        let Some(data) = data else { return Ok(()) };
        *heard = true;
        for event in lines.push(&data).map_err(Broken::Lines)? {
            if mail.send(Mail::Told(Directory::read(&event)?)).await.is_err() {
                return Ok(());
            }
        }
    }
}
