//! State of the links to one server.

use super::LinkId;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkState {
    /// Being opened, for a set-up. A set-up may be cancelled before it is known whether the link can be established.
    OpeningForSetup,
    /// Being opened without a set-up.
    Probing,
    /// Up, and carrying a set-up.
    Busy,
    /// Up, and without a set-up since the given time.
    Idle(Duration),
}

#[derive(Debug, Default)]
pub(super) struct ServerLinks {
    pub(super) links: BTreeMap<LinkId, LinkState>,
    /// Time of the last message from the server.
    pub(super) last_received: Duration,
    /// Number of consecutive refused connections.
    pub(super) refused: u32,
    /// Time of the first connect time-out since the server was last reached; `None` if there was none.
    pub(super) unreachable_since: Option<Duration>,
    /// Earliest time to open the next link.
    pub(super) next_open: Duration,
    pub(super) reconnect_delay: Duration,
}

impl ServerLinks {
    /// Returns whether a link is to be opened: there is none, or the server has to be probed. A probe waits neither for
    /// the response to a set-up, as a server that is gone sends none, nor for a link that is being opened for one.
    pub(super) fn needs_link(&self, now: Duration, max_silence: Duration) -> bool {
        let is_silent =
            self.last_received.saturating_add(max_silence) <= now || self.unreachable_since.is_some();
        let is_probing = self.links.values().any(|l| *l == LinkState::Probing);
        (self.links.is_empty() || is_silent) && !is_probing
    }
}
