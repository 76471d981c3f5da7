//! Viewers' connections, a task each.

use crate::mail::{gather, Hold, Mail, Order};
use bytes::BytesMut;
use cloverhollow_net::linger_for;
use cloverhollow_platform::rtsp::{self, Addressee, Malformed};
use cloverhollow_platform::standing::ConnId;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, Instant};

/// Most messages that wait to be written to one connection.
const MOST_ORDERS: usize = 512;
/// A viewer that takes what it is sent no sooner is let go.
const WRITE: Duration = Duration::from_secs(2);
/// A connection's first message, and the rest of any that has begun, must have come by then.
const WHOLE: Duration = Duration::from_secs(2);
/// After the last answer: what still comes is read for so long, lest a reset takes the answer with it.
const LINGER: Duration = Duration::from_secs(4);
/// And so many bytes of it.
const LINGER_BYTES: usize = 80 * 1024 * 1024;
/// Wait before the next connection is accepted when none could be, as when descriptors have run out.
const AGAIN: Duration = Duration::from_millis(10);

/// Accepts for as long as the process runs.
pub(crate) async fn accept(listener: TcpListener, mail: mpsc::Sender<Mail>) {
    let mut next = 0;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "no connection accepted");
                tokio::time::sleep(AGAIN).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        next += 1;
        let id = ConnId(next);
        let (orders, queue) = mpsc::channel(MOST_ORDERS);
        let (begin, begun) = tokio::sync::oneshot::channel::<()>();
        let own = mail.clone();
        let task = tokio::spawn(async move {
            // The desk hears of the connection before anything that comes on it.
            if begun.await.is_err() {
                return;
            }
            serve(stream, id, queue, &own).await;
            let _ = own.send(Mail::Closed(id)).await;
        });
        let hold = Hold { orders, task: task.abort_handle() };
        if mail.send(Mail::Opened(id, hold)).await.is_err() {
            return;
        }
        let _ = begin.send(());
    }
}

async fn serve(
    mut stream: TcpStream,
    id: ConnId,
    mut orders: mpsc::Receiver<Order>,
    mail: &mpsc::Sender<Mail>,
) {
    let mut buf = BytesMut::with_capacity(1_024);
    let mut out = Vec::new();
    // `Some`: a message is owed by then.
    let mut owed = Some(Instant::now() + WHOLE);
    let mut readable = true;
    loop {
        tokio::select! {
            order = orders.recv() => {
                let close = gather(order, &mut orders, &mut out).close;
                if !matches!(timeout(WRITE, stream.write_all(&out)).await, Ok(Ok(()))) {
                    return;
                }
                if close {
                    return linger_for(stream, LINGER, LINGER_BYTES).await;
                }
            }
            read = stream.read_buf(&mut buf), if readable => {
                if !matches!(read, Ok(n) if n > 0) {
                    return;
                }
                loop {
                    match rtsp::decode(&mut buf) {
                        Ok(Some(message)) => {
                            owed = None;
                            if mail.send(Mail::Viewer(id, message)).await.is_err() {
                                return;
                            }
                        }
                        Ok(None) => break,
                        Err(malformed) => {
                            readable = false;
                            let status = if matches!(malformed, Malformed::TooLong(_)) { 413 } else { 400 };
                            let to = malformed.addressee().clone();
                            if mail.send(Mail::Unreadable(id, status, to)).await.is_err() {
                                return;
                            }
                            break;
                        }
                    }
                }
                owed = if !readable || buf.is_empty() { None } else { owed.or(Some(Instant::now() + WHOLE)) };
            }
            () = sleep_until(owed.unwrap_or_else(Instant::now)), if owed.is_some() => {
                (owed, readable) = (None, false);
                if mail.send(Mail::Unreadable(id, 400, Addressee::default())).await.is_err() {
                    return;
                }
            }
        }
    }
}
