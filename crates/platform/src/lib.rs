//! Protocol of the streaming platform, without I/O.
//!
//! Viewers connect over RTSP ([`rtsp`], [`viewer`]), video servers over JSON lines ([`lines`], [`server_reports`]).
//! [`config`] parses the `NODE_CONFIG` file of a session manager, [`settings`] the part of it that the decision
//! module uses, and [`channel`] turns the events of the command channel into updates of the server list;
//! [`call_schedule`] says when the channel is called.
//! [`session_registry`] and [`link_monitor`] track sessions, viewer connections and connections to video servers.

pub mod backoff;
pub mod call_schedule;
pub mod channel;
pub mod config;
pub mod early_releases;
pub mod gossip;
pub mod lines;
pub mod link_monitor;
pub mod resend;
pub mod rtsp;
pub mod server_reports;
pub mod session_registry;
pub mod settings;
pub mod viewer;
