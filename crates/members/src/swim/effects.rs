//! Effects that `foca` requests from its runtime, collected until they are applied.

use crate::identity::MemberId;
use foca::{Notification, Runtime, Timer};
use std::net::SocketAddr;
use std::time::Duration;

/// Effects requested since they were last applied.
#[derive(Default)]
pub(super) struct Effects {
    pub(super) sends: Vec<(SocketAddr, Vec<u8>)>,
    /// Timers to arm, each with its delay.
    pub(super) timers: Vec<(Duration, Timer<MemberId>)>,
    /// True if the membership changed.
    pub(super) changed: bool,
    /// True if other members declared the local incarnation down.
    pub(super) refused: bool,
}

impl Runtime<MemberId> for Effects {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        self.changed = true;
        self.refused |= matches!(notification, Notification::Defunct);
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.sends.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        self.timers.push((after, event));
    }
}
