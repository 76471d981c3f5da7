//! Tells servers that sessions are over, so that they let go of what they may hold.
//!
//! One task a server, with a queue of `servers.releases`; what does not fit or cannot be told is left to the
//! server's own idle time.

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

/// Most sessions told in one report.
const BATCH: usize = 64;
/// Most bytes of a server's answer to a report.
const MOST_ANSWER: usize = 4_096;

pub(crate) struct Releases {
    shared: Arc<Shared>,
    servers: HashMap<ServerId, (SocketAddr, mpsc::Sender<SessionId>)>,
}

impl Releases {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Releases { shared, servers: HashMap::new() }
    }

    /// Queues it. Never waits.
    pub(crate) fn tell(&mut self, server: ServerId, address: SocketAddr, sid: SessionId) {
        let known = self.servers.get(&server).filter(|(a, tx)| *a == address && !tx.is_closed());
        let queue = match known {
            Some((_, tx)) => tx.clone(),
            None => {
                let (tx, rx) = mpsc::channel(self.shared.settings.servers.max_pending_releases.as_usize());
                tokio::spawn(run(server, address, rx, self.shared.clone()));
                self.servers.insert(server, (address, tx.clone()));
                tx
            }
        };
        if queue.try_send(sid).is_err() {
            tracing::debug!(server, "too many ends waiting to be told; left to the server's idle time");
        }
    }
}

async fn run(
    server: ServerId,
    address: SocketAddr,
    mut queue: mpsc::Receiver<SessionId>,
    shared: Arc<Shared>,
) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, BATCH).await > 0 {
        let line = |sid: &SessionId| {
            let record = Record {
                sid: Some((**sid).into()),
                sta: Some(PlayState::Quit),
                e: Some(EventKind::PlayState),
                v: Some(2),
                ..Record::default()
            };
            record.to_line() + "\n"
        };
        let body: String = batch.drain(..).map(|sid| line(&sid)).collect();
        let Some(target) = Target::parse(shared.settings.mapping.report_path.clone().into()) else { return };
        let mut head = RequestHead::post(target, body.len());
        head.headers.push("host", address.to_string());
        head.headers.push("via", shared.via.clone());
        head.headers.push("content-type", REPORT_MIME_TYPE);
        let told = async {
            let mut lease = shared.pools.lease(server, address, false).await.ok()?;
            lease.conn().exchange(head, Bytes::from(body), MOST_ANSWER).await.ok()?;
            lease.give_back();
            Some(())
        };
        let within = shared.settings.servers.head_timeout_ms.get();
        if timeout(within, told).await.ok().flatten().is_none() {
            tracing::debug!(server, "could not tell ends of sessions");
        }
    }
}
