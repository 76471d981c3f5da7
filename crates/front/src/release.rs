//! Reports of ended sessions to servers, so that they release the resources of those sessions.
//!
//! Each server has one task with a queue of `servers.releases` sessions. Sessions that do not fit, or whose
//! report fails, end by the server's own idle time-out.

use crate::Shared;
use bytes::Bytes;
use cloverhollow::ServerId;
use cloverhollow_hints::cmcd::{EventKind, PlayState, Record, REPORT_MIME_TYPE};
use cloverhollow_http::{RequestHead, Target};
use cloverhollow_session::SessionId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Maximum number of sessions in one report.
const MAX_BATCH_SESSIONS: usize = 64;
/// Maximum length of a server's response to a report, bytes.
const MAX_RESPONSE_BYTES: usize = 4_096;

/// Queues of ended sessions, one for each server.
pub(crate) struct SessionEndReporter {
    shared: Arc<Shared>,
    servers: HashMap<ServerId, (SocketAddr, mpsc::Sender<SessionId>)>,
}

impl SessionEndReporter {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        SessionEndReporter { shared, servers: HashMap::new() }
    }

    /// Queues the end of a session; never waits.
    pub(crate) fn report(&mut self, server: ServerId, address: SocketAddr, sid: SessionId) {
        let existing = self.servers.get(&server).filter(|(a, tx)| *a == address && !tx.is_closed());
        let queue = match existing {
            Some((_, tx)) => tx.clone(),
            None => {
                let (tx, rx) = mpsc::channel(self.shared.settings.servers.max_pending_releases.as_usize());
                tokio::spawn(send_reports(server, address, rx, self.shared.clone()));
                self.servers.insert(server, (address, tx.clone()));
                tx
            }
        };
        if queue.try_send(sid).is_err() {
            tracing::debug!(server, "session-end queue full; left to the server's idle time-out");
        }
    }
}

/// Sends the queued session ends of one server in batches.
async fn send_reports(
    server: ServerId,
    address: SocketAddr,
    mut queue: mpsc::Receiver<SessionId>,
    shared: Arc<Shared>,
) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MAX_BATCH_SESSIONS).await > 0 {
        let report_line = |sid: &SessionId| {
            let record = Record {
                sid: Some((**sid).into()),
                sta: Some(PlayState::Quit),
                e: Some(EventKind::PlayState),
                v: Some(2),
                ..Record::default()
            };
            record.to_line() + "\n"
        };
        let body: String = batch.drain(..).map(|sid| report_line(&sid)).collect();
        let Some(target) = Target::parse(shared.settings.mapping.report_path.clone().into()) else { return };
        let mut head = RequestHead::post(target, body.len());
        head.headers.push("host", address.to_string());
        head.headers.push("via", shared.via.clone());
        head.headers.push("content-type", REPORT_MIME_TYPE);
        let exchange = async {
            let mut connection = shared.pools.acquire(server, address, false).await.ok()?;
            connection.client().exchange(head, Bytes::from(body), MAX_RESPONSE_BYTES).await.ok()?;
            connection.return_to_pool();
            Some(())
        };
        let time_limit = shared.settings.servers.head_timeout_ms.get();
        if timeout(time_limit, exchange).await.ok().flatten().is_none() {
            tracing::debug!(server, "session ends could not be reported");
        }
    }
}
