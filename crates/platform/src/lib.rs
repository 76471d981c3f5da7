//! The platform's protocol, without any I/O: one more way in and out of the session core.
//!
//! Viewers speak [`rtsp`], video servers [`lines`]; [`viewer`] says what a viewer's message asks for. [`config`]
//! is what a session manager is told at its start, [`settings`] the part of it that the decision module hears,
//! [`channel`] the events of the command channel as news of the server list.

pub mod backoff;
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
