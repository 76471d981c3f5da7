//! What peers and members are told: knowledge, and all that is held of the members.

use super::{lock, say, State};
use crate::members;
use crate::peers::{AFTER, FORMAT_ARG, FROM, HOLD_OFF, NONCE};
use crate::Shared;
use bytes::Bytes;
use cloverhollow_http::{RequestHead, ResponseHead};
use cloverhollow_knowledge::{wire, MAX_PEERS};
use cloverhollow_net::ServerConn;
use std::sync::atomic::Ordering::Relaxed;

/// Ends a feed however its connection ends.
struct Feeding<'a>(&'a State);

impl Drop for Feeding<'_> {
    fn drop(&mut self) {
        lock(&self.0.feeds).end();
    }
}

/// A member asks for all that this one holds of the others.
pub(super) async fn tell_members(conn: &mut ServerConn, request: &RequestHead, state: &State) {
    let nonce = request.target.query_argument(members::NONCE).and_then(|t| t.parse::<u64>().ok());
    let body = nonce.and_then(|nonce| state.fleet.as_ref()?.records(nonce));
    let status = if body.is_some() { 200 } else { 404 };
    let body = body.unwrap_or_default();
    say(conn, ResponseHead::new(status, body.len()), body).await;
}

/// A peer asks: the whole, a delta, or the rest of what was cut off.
pub(super) async fn knowledge(conn: &mut ServerConn, request: &RequestHead, shared: &Shared, state: &State) {
    let number = |name: &str| request.target.query_argument(name).and_then(|t| t.parse::<u64>().ok());
    let Some(nonce) = number(NONCE) else { return say(conn, ResponseHead::new(400, 0), Bytes::new()).await };
    if number(FORMAT_ARG) != Some(wire::FORMAT.into()) {
        return say(conn, ResponseHead::new(406, 0), Bytes::new()).await;
    }
    let begun = lock(&state.feeds).begin();
    if let Err(refused) = begun {
        let mut head = ResponseHead::new(503, 0);
        head.headers.push("retry-after", refused.retry_after.as_secs_f64().ceil().to_string());
        head.headers.push(HOLD_OFF, refused.retry_after.as_millis().to_string());
        return say(conn, head, Bytes::new()).await;
    }
    let _feeding = Feeding(state);
    shared.stats.peer_responses.fetch_add(1, Relaxed);
    let now = shared.clock.now();
    let text = |name: &str| request.headers.get_str(name);
    let tag = text("if-range").and_then(|t| t.trim_matches('"').parse().ok());
    let from = text("range").and_then(|r| r.strip_prefix("bytes=")?.strip_suffix('-')?.parse::<usize>().ok());
    let kept = tag.and_then(|tag| lock(&state.feeds).retained_message(now, tag));
    let (status, kept, from) = match (kept, from) {
        (Some(kept), Some(from)) if from <= kept.bytes.len() => (206, kept, from),
        _ => {
            if let Some(peer) = request.target.query_argument(FROM).and_then(|a| a.parse().ok()) {
                state.set_peers(vec![peer]);
            }
            let peers = lock(&state.peers).iter().copied().take(MAX_PEERS).collect();
            let level = lock(&state.level).0;
            let begun = std::time::Instant::now();
            let message = shared.shelf.latest().message(now, nonce, number(AFTER), level, peers);
            let Ok(bytes) = message.encode() else {
                return say(conn, ResponseHead::new(500, 0), Bytes::new()).await;
            };
            shared.stats.peer_response_us.fetch_add(begun.elapsed().as_micros() as u64, Relaxed);
            (200, lock(&state.feeds).retain_message(now, bytes), 0)
        }
    };
    let rest = Bytes::copy_from_slice(&kept.bytes[from..]);
    shared.stats.peer_response_bytes.fetch_add(rest.len() as u64, Relaxed);
    let mut head = ResponseHead::new(status, rest.len());
    head.headers.push("content-type", "application/vnd.cloverhollow.knowledge");
    head.headers.push("etag", format!("\"{}\"", kept.etag));
    if status == 206 {
        let last = kept.bytes.len().saturating_sub(1);
        head.headers.push("content-range", format!("bytes {from}-{last}/{}", kept.bytes.len()));
    }
    say(conn, head, rest).await;
}
