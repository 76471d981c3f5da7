//! Words of what stands on the members: carried between them, sealed and windowed as theirs, and not read here.

use super::Member;
use crate::seal::{ReceiveError, MAX_DATAGRAM_BYTES, OVERHEAD};
use crate::words::Word;
use std::net::SocketAddr;

/// Most such words that wait to be taken; a further one is refused, as if it had been lost.
pub const MAX_QUEUED_APPLICATION_MESSAGES: usize = 256;

impl Member {
    /// Sends another crate's word; `false`: it does not fit into a datagram, and nothing is sent.
    pub fn send_application_message(&mut self, to: SocketAddr, bytes: Vec<u8>) -> bool {
        let word = Word::Other(bytes);
        let fits = postcard::to_stdvec(&word).is_ok_and(|p| p.len() + OVERHEAD <= MAX_DATAGRAM_BYTES);
        if fits {
            self.say(to, &word);
        }
        fits
    }

    /// Such words that came, since the last call.
    pub fn take_application_messages(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.other)
    }

    pub(super) fn hear_other(&mut self, bytes: Vec<u8>) -> Result<(), ReceiveError> {
        // Guards against words that nobody takes, where what stands on the members is off.
        if self.other.len() >= MAX_QUEUED_APPLICATION_MESSAGES {
            return Err(ReceiveError::QueueFull);
        }
        self.other.push(bytes);
        Ok(())
    }
}
