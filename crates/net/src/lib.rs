//! HTTP/1.1 over tokio, for fronts, stand-ins and tools alike.
//!
//! The bytes are [`cloverhollow_http`]'s; here they are put on sockets by `tokio_util`'s `Framed`. Nothing
//! here retries or decides. Every future is cancel-safe in one way: dropping it drops the connection.

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
