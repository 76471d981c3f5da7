//! Stand-ins over sockets: video servers and the discovery service. They speak HTTP, CMCD and CMSD as any
//! other server would, or the platform's JSON lines and command channel; what they do is the model's, what they do wrong the script's.

mod channel;
mod discovery;
mod faults;
mod lines;
mod patches;
mod platform;
mod server;
mod set_up;
mod sides;
mod spoilt;

pub use discovery::Discovery;
pub(crate) use platform::{config, front_host, server_name};
pub use server::{Faults, Mode, ServerHandle, World};

use cloverhollow_http::Headers;

/// The front that a request came from, by the number at the end of its name in `Via`.
fn front_of(headers: &Headers) -> usize {
    let via = headers.get_str("via").unwrap_or_default();
    via.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(usize::MAX)
}

/// A number from 0 to 999 that belongs to a text: the same text always has the same.
pub(crate) fn permille(text: &str) -> u32 {
    (cloverhollow_settings::title_id(text) >> 20) as u32 % 1000
}
