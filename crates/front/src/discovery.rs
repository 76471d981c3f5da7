//! The subscription to the server list: an event stream over HTTP, asked for again when it breaks.

use crate::desk::Mail;
use crate::Shared;
use bytes::Bytes;
use cloverhollow_http::{RequestHead, Target};
use cloverhollow_net::{connect, EventStreamDecoder};
use cloverhollow_session::{Feed, ListUpdate};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Why a stream ended.
#[derive(Debug, thiserror::Error)]
enum Broken {
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    #[error("silent for too long")]
    Silent,
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Wire(#[from] cloverhollow_net::WireError),
    #[error("{0}")]
    Lines(&'static str),
    #[error("{0}")]
    Feed(#[from] cloverhollow_session::FeedError),
    #[error("it ended")]
    Ended,
}

/// Subscribes for as long as the front runs. Waits double between tries that brought nothing, with jitter so
/// that fronts that lost one service together do not come back together.
pub(crate) async fn run(shared: Arc<Shared>) {
    let settings = &shared.settings.discovery;
    let mut wait = settings.min_retry_delay_ms.get();
    loop {
        let mut heard = false;
        let broken = stream(&shared, &mut heard).await;
        tracing::warn!(error = %broken, "server list stream broke");
        if shared.desk.send(Mail::list(ListUpdate::broken())).await.is_err() {
            return;
        }
        wait = if heard {
            settings.min_retry_delay_ms.get()
        } else {
            (wait * 2).min(settings.max_retry_delay_ms.get())
        };
        let jitter = 0.5 + fastrand::f64() / 2.0;
        tokio::time::sleep(wait.mul_f64(jitter)).await;
    }
}

async fn stream(shared: &Shared, heard: &mut bool) -> Broken {
    match listen(shared, heard).await {
        Ok(()) => Broken::Ended,
        Err(broken) => broken,
    }
}

async fn listen(shared: &Shared, heard: &mut bool) -> Result<(), Broken> {
    let settings = &shared.settings.discovery;
    let silent: Duration = settings.silence_timeout_ms.get();
    let within = |d| timeout(silent, d);
    let conn = within(connect(settings.address)).await.map_err(|_| Broken::Silent)?;
    let mut conn = conn.map_err(Broken::Connect)?;
    let target = Target::parse(settings.path.clone().into()).ok_or(Broken::Lines("no path"))?;
    let mut head = RequestHead::get(target);
    head.headers.push("host", settings.address.to_string());
    head.headers.push("via", shared.via.clone());
    head.headers.push("accept", "text/event-stream");
    conn.send_request(head, Bytes::new()).await?;
    let head = timeout(silent, conn.read_head()).await.map_err(|_| Broken::Silent)??;
    if head.status != 200 {
        return Err(Broken::Status(head.status));
    }
    let (mut feed, mut lines) = (Feed::default(), EventStreamDecoder::default());
    loop {
        let data = timeout(silent, conn.read_body_chunk()).await.map_err(|_| Broken::Silent)??;
        let Some(data) = data else { return Ok(()) };
        for event in lines.push(&data).map_err(Broken::Lines)? {
            let news = feed.read(&event)?;
            *heard = true;
            if shared.desk.send(Mail::list(news)).await.is_err() {
                return Ok(());
            }
        }
    }
}
