//! HTTP/1.1 over tokio, for fronts, stand-ins and tools alike.
//!
//! The bytes are [`cloverhollow_http`]'s; here they are put on sockets by `tokio_util`'s `Framed`. Nothing
//! here retries or decides. Every future is cancel-safe in one way: dropping it drops the connection.

mod client;
mod clock;
mod codec;
mod events;
mod gate;
mod serve;

pub use client::{connect, ClientConn};
pub use clock::{boottime, unix_ms, Clock};
pub use codec::{ClientSide, ServerSide, WireError};
pub use events::{EventLines, MOST_EVENT_LINE};
pub use gate::Gate;
pub use serve::{answer, linger, linger_for, read_body, wait_closed, ServerConn};
