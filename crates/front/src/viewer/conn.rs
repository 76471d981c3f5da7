//! A viewer's connection and the responses that are sent on it.

use crate::upstream;
use crate::Shared;
use cloverhollow_hints::cmsd;
use cloverhollow_http::{Limits, ResponseHead};
use cloverhollow_net::{lingering_close, write_response, ServerCodec, ServerConn};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// State of the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disposition {
    KeepOpen,
    Close,
}

/// A viewer's connection, and whether it stays open after the current response.
pub(crate) struct ViewerConn {
    pub(crate) framed: ServerConn,
    pub(crate) keep_alive: bool,
    write_timeout: Duration,
}

impl ViewerConn {
    pub(super) fn new(stream: TcpStream, shared: &Shared) -> Self {
        let listen = &shared.settings.listen;
        let limits = Limits {
            max_head_bytes: listen.max_head_bytes.as_usize(),
            max_headers: listen.max_headers.as_usize(),
            ..Limits::default()
        };
        let framed = Framed::with_capacity(stream, ServerCodec::new(limits), 2048);
        ViewerConn { framed, keep_alive: true, write_timeout: listen.write_timeout_ms.get() }
    }

    /// Returns whether the connection stays open after a complete response.
    pub(crate) fn disposition(&self) -> Disposition {
        if self.keep_alive {
            Disposition::KeepOpen
        } else {
            Disposition::Close
        }
    }

    async fn send(&mut self, mut head: ResponseHead, body: &'static str) -> Disposition {
        head.keep_alive = self.keep_alive;
        head.framing = cloverhollow_http::Framing::Length(body.len() as u64);
        match timeout(self.write_timeout, write_response(&mut self.framed, head, body)).await {
            Ok(Ok(())) => self.disposition(),
            _ => Disposition::Close,
        }
    }

    /// Sends a response without a body and without CMSD hints.
    pub(crate) async fn send_status(&mut self, status: u16) -> Disposition {
        self.send(ResponseHead::new(status, 0), "").await
    }

    /// Sends a final response. Nothing more is parsed, because the start of the next request is unknown.
    pub(super) async fn send_final(mut self, status: u16) {
        self.keep_alive = false;
        self.send_status(status).await;
        lingering_close(self.framed.into_inner()).await;
    }

    async fn send_without_session(
        &mut self,
        status: u16,
        reason: &str,
        retry_after: Option<Duration>,
        shared: &Shared,
    ) -> Disposition {
        let mut head = ResponseHead::new(status, 0);
        if let Some(retry_after) = retry_after {
            // Whole seconds only (RFC 9110, section 10.2.3), rounded up so that no viewer retries too early.
            head.headers.push("retry-after", retry_after.as_secs_f64().ceil().to_string());
        }
        let hop = cmsd::Hop { reason: Some(reason.into()), ..upstream::own_cmsd_hop(shared, None, 0) };
        head.headers.push(cmsd::DYNAMIC_HEADER, hop.serialize());
        self.send(head, "").await
    }

    /// Sends 503: no set-up was executed, and the viewer may retry after `retry_after`.
    pub(crate) async fn refuse(
        &mut self,
        retry_after: Duration,
        reason: &str,
        shared: &Shared,
    ) -> Disposition {
        self.send_without_session(503, reason, Some(retry_after), shared).await
    }

    /// Sends 502 or 504: a set-up may have been executed.
    pub(crate) async fn fail(&mut self, status: u16, reason: &str, shared: &Shared) -> Disposition {
        self.send_without_session(status, reason, None, shared).await
    }
}
