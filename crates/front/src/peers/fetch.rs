//! HTTP request for the knowledge of one peer.

use super::{PeerReply, AFTER_ARG, FORMAT_ARG, FROM_ARG, NONCE_ARG, PATH, RETRY_AFTER_MS_HEADER};
use crate::Shared;
use bytes::Bytes;
use cloverhollow_http::{RequestHead, ResponseHead, Target};
use cloverhollow_knowledge::wire::{Message, FORMAT, MAX_MESSAGE_BYTES};
use cloverhollow_knowledge::PeerRequest;
use cloverhollow_net::{connect, WireError};
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::time::sleep;

/// Maximum number of times that a transfer is resumed.
const MAX_RESUMES: usize = 3;

/// Requests the message until it is complete or cannot be had.
pub(super) async fn fetch_message(
    shared: &Shared,
    own_address: Option<SocketAddr>,
    request: PeerRequest,
    after: Option<u64>,
) -> PeerReply {
    let requested_at = shared.clock.now();
    let (mut bytes, mut etag) = (Vec::new(), None);
    for _ in 0..=MAX_RESUMES {
        match exchange_once(shared, own_address, request, after, &mut bytes, &mut etag).await {
            Ok(None) => {
                shared.stats.peer_bytes.fetch_add(bytes.len() as u64, Relaxed);
                return match Message::decode(&bytes) {
                    Ok(message) => {
                        PeerReply::Message { requested_at, nonce: request.nonce, message: Box::new(message) }
                    }
                    Err(error) => {
                        tracing::warn!(peer = %request.peer, %error, "peer message cannot be decoded");
                        PeerReply::Failed
                    }
                };
            }
            Ok(Some(after)) => return PeerReply::Busy(after),
            // With an entity tag the transfer resumes where it was cut, otherwise it has failed.
            Err(_) if etag.is_some() => sleep(Duration::from_millis(10)).await,
            Err(_) => return PeerReply::Failed,
        }
    }
    PeerReply::Failed
}

/// Runs one HTTP exchange. Returns the retry-after delay if the peer is busy.
async fn exchange_once(
    shared: &Shared,
    own_address: Option<SocketAddr>,
    request: PeerRequest,
    after: Option<u64>,
    bytes: &mut Vec<u8>,
    etag: &mut Option<String>,
) -> Result<Option<Duration>, WireError> {
    let invalid_data =
        |what: &'static str| WireError::Io(std::io::Error::new(std::io::ErrorKind::InvalidData, what));
    let mut conn = connect(request.peer).await?;
    let mut path = format!("{PATH}?{NONCE_ARG}={}&{FORMAT_ARG}={FORMAT}", request.nonce);
    if let Some(after) = after {
        path += &format!("&{AFTER_ARG}={after}");
    }
    if let Some(own_address) = own_address {
        path += &format!("&{FROM_ARG}={own_address}");
    }
    let target = Target::parse(path.into()).ok_or_else(|| invalid_data("invalid request target"))?;
    let mut head = RequestHead::get(target);
    head.headers.push("host", request.peer.to_string());
    head.headers.push("via", shared.via.clone());
    if let Some(value) = etag.as_ref().filter(|_| !bytes.is_empty()) {
        head.headers.push("range", format!("bytes={}-", bytes.len()));
        head.headers.push("if-range", value.clone());
    }
    conn.send_request(head, Bytes::new()).await?;
    let head = conn.read_head().await?;
    match head.status {
        206 => {}
        200 => bytes.clear(),
        503 => return Ok(Some(retry_after(&head))),
        _ => {
            *etag = None;
            return Err(invalid_data("request refused"));
        }
    }
    *etag = head.headers.get_str("etag").map(str::to_string);
    while let Some(data) = conn.read_body_chunk().await? {
        if bytes.len() + data.len() > MAX_MESSAGE_BYTES {
            *etag = None;
            return Err(invalid_data("message too long"));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(None)
}

fn retry_after(head: &ResponseHead) -> Duration {
    let number = |name: &str| head.headers.get_str(name).and_then(|t| t.parse::<u64>().ok());
    let ms =
        number(RETRY_AFTER_MS_HEADER).or_else(|| number("retry-after").map(|s| s * 1000)).unwrap_or(1000);
    Duration::from_millis(ms.min(60_000))
}
