//! A session manager on the platform's sockets: viewers' connections, links to video servers, the command
//! channel, signals, and the desk that owns the session core. One thread.
//!
//! The way of a request: [`listen`] accepts and reads; the desk has it read by `cloverhollow_platform` and the
//! core decide; [`link`] sends; the answer comes back by the desk to the connection.

mod channel;
mod event_loop;
mod gossip;
mod link;
mod links;
mod listen;
mod messages;
mod process;
mod viewer_conn;

pub use process::{run, NodeError};
