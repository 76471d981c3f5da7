//! Application messages: authenticated and protected against replay like membership messages, but not interpreted.

use super::Member;
use crate::auth::{ReceiveError, MAX_DATAGRAM_BYTES, OVERHEAD_BYTES};
use crate::messages::Message;
use std::net::SocketAddr;

/// Maximum number of received application messages that wait to be taken. Further ones are rejected, as if lost.
pub const MAX_QUEUED_APPLICATION_MESSAGES: usize = 256;

impl Member {
    /// Sends an application message. Returns `false` and sends nothing if it does not fit into a datagram.
    pub fn send_application_message(&mut self, to: SocketAddr, bytes: Vec<u8>) -> bool {
        let message = Message::Application(bytes);
        let fits =
            postcard::to_stdvec(&message).is_ok_and(|p| p.len() + OVERHEAD_BYTES <= MAX_DATAGRAM_BYTES);
        if fits {
            self.send(to, &message);
        }
        fits
    }

    /// Takes the application messages received since the last call.
    pub fn take_application_messages(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.application_messages)
    }

    pub(super) fn queue_application_message(&mut self, bytes: Vec<u8>) -> Result<(), ReceiveError> {
        // Bounds the queue where no application takes the messages.
        if self.application_messages.len() >= MAX_QUEUED_APPLICATION_MESSAGES {
            return Err(ReceiveError::QueueFull);
        }
        self.application_messages.push(bytes);
        Ok(())
    }
}
