//! Responses to other fronts: knowledge for peers, and the full member list for members.

use super::{lock, respond, FrontStatus};
use crate::members;
use crate::peers::{AFTER_ARG, FORMAT_ARG, FROM_ARG, NONCE_ARG, RETRY_AFTER_MS_HEADER};
use crate::Shared;
use bytes::Bytes;
use cloverhollow_http::{RequestHead, ResponseHead};
use cloverhollow_knowledge::{wire, MAX_PEERS};
use cloverhollow_net::ServerConn;
use std::sync::atomic::Ordering::Relaxed;

/// Releases the transfer slot however the connection ends.
struct TransferSlot<'a>(&'a FrontStatus);

impl Drop for TransferSlot<'_> {
    fn drop(&mut self) {
        lock(&self.0.transfers).end();
    }
}

/// Sends the full member list to a member.
pub(super) async fn send_member_list(conn: &mut ServerConn, request: &RequestHead, status: &FrontStatus) {
    let nonce = request.target.query_argument(members::NONCE_ARG).and_then(|t| t.parse::<u64>().ok());
    let body = nonce.and_then(|nonce| status.fleet.as_ref()?.sealed_member_list(nonce));
    let code = if body.is_some() { 200 } else { 404 };
    let body = body.unwrap_or_default();
    respond(conn, ResponseHead::new(code, body.len()), body).await;
}

/// Sends knowledge to a peer: a full message, a delta, or the rest of an interrupted transfer.
pub(super) async fn send_knowledge(
    conn: &mut ServerConn,
    request: &RequestHead,
    shared: &Shared,
    status: &FrontStatus,
) {
    let number = |name: &str| request.target.query_argument(name).and_then(|t| t.parse::<u64>().ok());
    let Some(nonce) = number(NONCE_ARG) else {
        return respond(conn, ResponseHead::new(400, 0), Bytes::new()).await;
    };
    if number(FORMAT_ARG) != Some(wire::FORMAT.into()) {
        return respond(conn, ResponseHead::new(406, 0), Bytes::new()).await;
    }
    let slot = lock(&status.transfers).begin();
    if let Err(refused) = slot {
        let mut head = ResponseHead::new(503, 0);
        head.headers.push("retry-after", refused.retry_after.as_secs_f64().ceil().to_string());
        head.headers.push(RETRY_AFTER_MS_HEADER, refused.retry_after.as_millis().to_string());
        return respond(conn, head, Bytes::new()).await;
    }
    let _slot = TransferSlot(status);
    shared.stats.peer_responses.fetch_add(1, Relaxed);
    let now = shared.clock.now();
    let text = |name: &str| request.headers.get_str(name);
    let etag = text("if-range").and_then(|t| t.trim_matches('"').parse().ok());
    let start =
        text("range").and_then(|r| r.strip_prefix("bytes=")?.strip_suffix('-')?.parse::<usize>().ok());
    let transfer = etag.and_then(|tag| lock(&status.transfers).retained_message(now, tag));
    let (code, transfer, start) = match (transfer, start) {
        (Some(transfer), Some(start)) if start <= transfer.bytes.len() => (206, transfer, start),
        _ => {
            if let Some(peer) = request.target.query_argument(FROM_ARG).and_then(|a| a.parse().ok()) {
                status.add_peers(vec![peer]);
            }
            let peers = lock(&status.peers).iter().copied().take(MAX_PEERS).collect();
            let level = lock(&status.level).0;
            let started_at = std::time::Instant::now();
            let message = shared.knowledge.latest().message(now, nonce, number(AFTER_ARG), level, peers);
            let Ok(bytes) = message.encode() else {
                return respond(conn, ResponseHead::new(500, 0), Bytes::new()).await;
            };
            shared.stats.peer_response_us.fetch_add(started_at.elapsed().as_micros() as u64, Relaxed);
            (200, lock(&status.transfers).retain_message(now, bytes), 0)
        }
    };
    let rest = Bytes::copy_from_slice(&transfer.bytes[start..]);
    shared.stats.peer_response_bytes.fetch_add(rest.len() as u64, Relaxed);
    let mut head = ResponseHead::new(code, rest.len());
    head.headers.push("content-type", "application/vnd.cloverhollow.knowledge");
    head.headers.push("etag", format!("\"{}\"", transfer.etag));
    if code == 206 {
        let last = transfer.bytes.len().saturating_sub(1);
        head.headers.push("content-range", format!("bytes {start}-{last}/{}", transfer.bytes.len()));
    }
    respond(conn, head, rest).await;
}
