//! Words of what stands on the members: carried between them, sealed and windowed as theirs, and not read here.

use super::Member;
use crate::seal::{Refused, MOST_DATAGRAM, OVERHEAD};
use crate::words::Word;
use std::net::SocketAddr;

/// Most such words that wait to be taken; a further one is refused, as if it had been lost.
pub const MOST_OTHER: usize = 256;

impl Member {
    /// Sends another crate's word; `false`: it does not fit into a datagram, and nothing is sent.
    pub fn say_other(&mut self, to: SocketAddr, bytes: Vec<u8>) -> bool {
        let word = Word::Other(bytes);
        let fits = postcard::to_stdvec(&word).is_ok_and(|p| p.len() + OVERHEAD <= MOST_DATAGRAM);
        if fits {
            self.say(to, &word);
        }
        fits
    }

    /// Such words that came, since the last call.
    pub fn take_other(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.other)
    }

    pub(super) fn hear_other(&mut self, bytes: Vec<u8>) -> Result<(), Refused> {
        // Guards against words that nobody takes, where what stands on the members is off.
        if self.other.len() >= MOST_OTHER {
            return Err(Refused::TooManyWords);
        }
        self.other.push(bytes);
        Ok(())
    }
}
