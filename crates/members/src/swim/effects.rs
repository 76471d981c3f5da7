//! What the library wants done.

use crate::who::Who;
use foca::{Notification, Runtime, Timer};
use std::net::SocketAddr;
use std::time::Duration;

/// What the library wants done.
#[derive(Default)]
pub(super) struct Effects {
    pub(super) sends: Vec<(SocketAddr, Vec<u8>)>,
    pub(super) timers: Vec<(Duration, Timer<Who>)>,
    pub(super) changed: bool,
    pub(super) refused: bool,
}

impl Runtime<Who> for Effects {
    fn notify(&mut self, notification: Notification<'_, Who>) {
        self.changed = true;
        self.refused |= matches!(notification, Notification::Defunct);
    }

    fn send_to(&mut self, to: Who, data: &[u8]) {
        self.sends.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Who>, after: Duration) {
        self.timers.push((after, event));
    }
}
