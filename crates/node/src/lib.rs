//! A session manager on the platform's sockets: viewers' connections, links to video servers, the command
//! channel, signals, and the event loop that owns the session core. Everything runs on one thread.
//!
//! The path of a request: `listen` accepts the connection and reads the message; the event loop has
//! `cloverhollow_platform` parse it and the session core decide; `link` sends the set-up to a video server;
//! the event loop passes the answer back to the viewer's connection.

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
