//! Viewers' connections, a task each.

use crate::mail::Mail;
use crate::viewer::{Bell, Came, Reply, Viewer, ViewerHold};
use bytes::BytesMut;
use cloverhollow_net::{lingering_close, lingering_close_within};
use cloverhollow_platform::rtsp::{self, ReplyTarget};
use cloverhollow_platform::session_registry::ConnId;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep_until, Instant};

/// Most messages that wait to be written to one connection; their bytes are bounded besides.
const MOST_REPLIES: usize = 16_384;
/// A viewer that takes nothing of what it is sent for so long is let go.
const WRITE: Duration = Duration::from_secs(2);
/// A connection's first message, and the rest of any that has begun, must have come by then.
const WHOLE: Duration = Duration::from_secs(2);
/// After the last answer: what still comes is read for so long, lest a reset takes the answer with it.
const LINGER: Duration = Duration::from_secs(4);
/// And so many bytes of it.
const LINGER_BYTES: usize = 80 * 1024 * 1024;
/// Most bytes read at once.
const READ: usize = 4 * 1024;
/// Most that are gathered for one write.
const GATHER: usize = 64 * 1024;
/// Wait before the next connection is accepted when none could be, as when descriptors have run out.
const AGAIN: Duration = Duration::from_millis(10);

/// Accepts for as long as the process runs. `places`: descriptors that viewers' connections may hold at a time, those
/// that are being closed among them; past them the next waits in the system's queue.
pub(crate) async fn accept(
    listener: TcpListener,
    places: Arc<Semaphore>,
    mail: mpsc::Sender<Mail>,
    bell: Arc<Bell>,
) {
    let mut next = 0;
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => Arc::new(stream),
            Err(error) => {
                tracing::warn!(%error, "no connection accepted");
                tokio::time::sleep(AGAIN).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        next += 1;
        let id = ConnId(next);
        let (replies, queue) = mpsc::channel(MOST_REPLIES);
        let viewer = Arc::new(Viewer::new(id, &stream, bell.clone()));
        let hold = ViewerHold { replies, viewer: viewer.clone() };
        // What comes before the desk has heard of the connection, it takes then.
        tokio::spawn(async move {
            serve(stream, &viewer, queue).await;
            viewer.end();
            drop(place);
        });
        if mail.send(Mail::Opened(id, hold)).await.is_err() {
            return;
        }
    }
}

/// Whether what comes is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    On,
    /// Not until the desk has taken what is there.
    Full,
    /// Not any more.
    Over,
}

/// How a connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    No,
    /// After the last answer to what can't be used or read.
    Refused,
    /// The desk has let go of it.
    Dropped,
}

/// What is to be written.
#[derive(Default)]
struct Out {
    bytes: Vec<u8>,
    at: usize,
}

impl Out {
    /// Gathers what is queued; whether the connection is to be closed behind it.
    fn gather(&mut self, first: Option<Reply>, queue: &mut mpsc::Receiver<Reply>) -> Closing {
        let mut next = first;
        loop {
            match next {
                Some(Reply::Write(bytes)) => self.bytes.extend_from_slice(&bytes),
                Some(Reply::Close) => return Closing::Refused,
                None => return Closing::Dropped,
            }
            if self.bytes.len() >= GATHER {
                return Closing::No;
            }
            next = match queue.try_recv() {
                Ok(reply) => Some(reply),
                Err(mpsc::error::TryRecvError::Empty) => return Closing::No,
                Err(mpsc::error::TryRecvError::Disconnected) => None,
            };
        }
    }

    fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Writes as much as the system takes.
    fn write(&mut self, stream: &TcpStream, viewer: &Viewer) -> Result<(), Error> {
        while self.at < self.bytes.len() {
            match stream.try_write(&self.bytes[self.at..]) {
                Ok(n) => self.at += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        viewer.written(self.bytes.len());
        self.bytes.clear();
        self.at = 0;
        Ok(())
    }
}

/// Reads and writes side by side until the connection ends: a viewer that does not read is heard all the same. Its own
/// task; never cancelled but with the process.
async fn serve(stream: Arc<TcpStream>, viewer: &Viewer, mut queue: mpsc::Receiver<Reply>) {
    let mut buf = BytesMut::with_capacity(READ);
    let mut out = Out::default();
    // `Some`: a message is owed by then.
    let mut owed = Some(Instant::now() + WHOLE);
    // Something must have been taken by then.
    let mut taken_by = Instant::now();
    let mut reading = Reading::On;
    let mut closing = Closing::No;
    let mut last_words = false;
    while closing == Closing::No || !out.is_empty() {
        tokio::select! {
            reply = queue.recv(), if out.is_empty() => {
                closing = out.gather(reply, &mut queue);
                last_words = !out.is_empty();
                taken_by = Instant::now() + WRITE;
            }
            ready = stream.writable(), if !out.is_empty() => {
                let before = out.at;
                if ready.is_err() || out.write(&stream, viewer).is_err() {
                    return;
                }
                if out.at > before {
                    taken_by = Instant::now() + WRITE;
                }
            }
            () = sleep_until(taken_by), if !out.is_empty() => return,
            () = viewer.taken(), if reading == Reading::Full => {
                reading = decode(&mut buf, viewer, &mut owed);
            }
            ready = stream.readable(), if reading == Reading::On => {
                buf.reserve(READ);
                let read = ready.and_then(|()| stream.try_read_buf(&mut buf));
                match read {
                    Ok(n) if n > 0 => reading = decode(&mut buf, viewer, &mut owed),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    // What was answered before is still written: the desk lets go of it behind that.
                    Ok(_) => {
                        (reading, owed) = (Reading::Over, None);
                        viewer.end();
                    }
                    Err(_) => return,
                }
            }
            () = sleep_until(owed.unwrap_or_else(Instant::now)), if owed.is_some() => {
                (owed, reading) = (None, Reading::Over);
                if !viewer.put(Came::Unreadable(400, ReplyTarget::default())) {
                    return;
                }
            }
        }
    }
    let Some(stream) = Arc::into_inner(stream) else { return };
    tokio::select! {
        () = async {
            match closing {
                Closing::Refused => lingering_close_within(stream, LINGER, LINGER_BYTES).await,
                // Over bytes that were not read a close is a reset, which could take along what was just written.
                _ if last_words && reading != Reading::Over => lingering_close(stream).await,
                _ => {}
            }
        } => {}
        // Its place is wanted.
        () = async { while queue.recv().await.is_some() {} }, if closing == Closing::Refused => {}
    }
}

/// Puts the whole messages of `buf` while there is room.
fn decode(buf: &mut BytesMut, viewer: &Viewer, owed: &mut Option<Instant>) -> Reading {
    while viewer.has_room() {
        match rtsp::decode(buf) {
            Ok(Some(message)) => {
                *owed = None;
                if !viewer.put(Came::Message(message)) {
                    return Reading::Over;
                }
            }
            Ok(None) => {
                if !buf.is_empty() {
                    owed.get_or_insert_with(|| Instant::now() + WHOLE);
                }
                return Reading::On;
            }
            Err(malformed) => {
                *owed = None;
                let status = if matches!(malformed, rtsp::Error::TooLong(_)) { 413 } else { 400 };
                viewer.put(Came::Unreadable(status, malformed.reply_target().clone()));
                return Reading::Over;
            }
        }
    }
    Reading::Full
}

#[cfg(test)]
mod tests;
