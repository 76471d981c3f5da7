//! Subscription to the server list: an HTTP event stream, reopened when it breaks.

use crate::event_loop::LoopEvent;
use crate::Shared;
use bytes::Bytes;
use cloverhollow_http::{RequestHead, Target};
use cloverhollow_net::{connect, EventStreamDecoder};
use cloverhollow_session::{Feed, ListUpdate};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Reason for the end of the event stream.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error("connection failed: {0}")]
    Connect(std::io::Error),
    #[error("no data within discovery.silent_ms")]
    TimedOut,
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Wire(#[from] cloverhollow_net::WireError),
    #[error("{0}")]
    Malformed(&'static str),
    #[error("{0}")]
    Feed(#[from] cloverhollow_session::FeedError),
    #[error("the server closed the stream")]
    Ended,
}

/// Subscribes for as long as the front runs.
///
/// The delay doubles after each connection that delivered no event. Jitter keeps fronts that lost the
/// discovery service together from reconnecting together.
pub(crate) async fn run(shared: Arc<Shared>) {
    let settings = &shared.settings.discovery;
    let mut delay = settings.min_retry_delay_ms.get();
    loop {
        let mut received = false;
        let error = run_stream(&shared, &mut received).await;
        tracing::warn!(%error, "server list stream ended");
        if shared.event_tx.send(LoopEvent::list_update(ListUpdate::broken())).await.is_err() {
            return;
        }
        delay = if received {
            settings.min_retry_delay_ms.get()
        } else {
            (delay * 2).min(settings.max_retry_delay_ms.get())
        };
        let jitter = 0.5 + fastrand::f64() / 2.0;
        tokio::time::sleep(delay.mul_f64(jitter)).await;
    }
}

async fn run_stream(shared: &Shared, received: &mut bool) -> StreamError {
    match read_stream(shared, received).await {
        Ok(()) => StreamError::Ended,
        Err(error) => error,
    }
}

async fn read_stream(shared: &Shared, received: &mut bool) -> Result<(), StreamError> {
    let settings = &shared.settings.discovery;
    let silence_limit: Duration = settings.silence_timeout_ms.get();
    let within = |d| timeout(silence_limit, d);
    let conn = within(connect(settings.address)).await.map_err(|_| StreamError::TimedOut)?;
    let mut conn = conn.map_err(StreamError::Connect)?;
    let target = Target::parse(settings.path.clone().into())
        .ok_or(StreamError::Malformed("discovery.path is not a valid request target"))?;
    let mut head = RequestHead::get(target);
    head.headers.push("host", settings.address.to_string());
    head.headers.push("via", shared.via.clone());
    head.headers.push("accept", "text/event-stream");
    conn.send_request(head, Bytes::new()).await?;
    let head = timeout(silence_limit, conn.read_head()).await.map_err(|_| StreamError::TimedOut)??;
    if head.status != 200 {
        return Err(StreamError::Status(head.status));
    }
    let (mut feed, mut decoder) = (Feed::default(), EventStreamDecoder::default());
    loop {
        let data =
            timeout(silence_limit, conn.read_body_chunk()).await.map_err(|_| StreamError::TimedOut)??;
        let Some(data) = data else { return Ok(()) };
        for event in decoder.push(&data).map_err(StreamError::Malformed)? {
            let update = feed.read(&event)?;
            *received = true;
            if shared.event_tx.send(LoopEvent::list_update(update)).await.is_err() {
                return Ok(());
            }
        }
    }
}
