//! Encoding of RTSP messages.

use super::Method;
use bytes::Bytes;
use std::fmt::Write;

/// Encodes a response.
pub fn response(
    status: u16,
    cseq: &str,
    session: Option<&str>,
    headers: &[(&str, String)],
    body: &[u8],
) -> Bytes {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        413 => "Request Entity Too Large",
        453 => "Not Enough Bandwidth",
        454 => "Session Not Found",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    };
    encode(&format!("RTSP/1.0 {status} {reason}"), cseq, session, headers, body)
}

/// Encodes a request without a body.
pub fn request(method: Method, uri: &str, cseq: &str, session: &str, headers: &[(&str, String)]) -> Bytes {
    request_with_body(method, uri, cseq, session, headers, b"")
}

/// Encodes a request with a body.
pub fn request_with_body(
    method: Method,
    uri: &str,
    cseq: &str,
    session: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Bytes {
    encode(&format!("{} {uri} RTSP/1.0", method.name()), cseq, Some(session), headers, body)
}

fn encode(start: &str, cseq: &str, session: Option<&str>, headers: &[(&str, String)], body: &[u8]) -> Bytes {
    let mut head = format!("{start}\r\nCSeq: {cseq}\r\n");
    if let Some(session) = session {
        let _ = write!(head, "Session: {session}\r\n");
    }
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out.into()
}
