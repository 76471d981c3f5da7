//! HTTP/1.1 over Tokio: client and server connections, server-sent events, and the process clock.
//!
//! [`cloverhollow_http`] parses and encodes the bytes; this crate moves them over sockets with `tokio_util`'s
//! `Framed`. Nothing is retried here. A connection whose future was dropped half-way must not be used again.

mod client;
mod clock;
mod codec;
mod events;
mod send_decision;
mod serve;

pub use client::{connect, ClientConn};
pub use clock::{time_since_boot, unix_ms, Clock};
pub use codec::{ClientCodec, ServerCodec, WireError};
pub use events::{EventStreamDecoder, MAX_EVENT_LINE_BYTES};
pub use send_decision::SendDecision;
pub use serve::{
    lingering_close, lingering_close_within, read_body, wait_closed, write_response, ServerConn,
};
