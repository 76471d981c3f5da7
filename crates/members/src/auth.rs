//! Datagram authentication: an HMAC under keys with ids, and a replay window for each sender.

use crate::invariants::{ensure, InvariantViolation};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Maximum length of a signed datagram in bytes: passes usual networks without fragmentation (RFC 8085, 3.2).
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum length of a signed body in bytes: fits the records of all members, with the longest names.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum number of senders with a replay window. Beyond it the sender that was silent for the longest is dropped.
pub const MAX_SENDERS: usize = 4_096;

const FORMAT: u8 = 1;
const MAC_BYTES: usize = 16;
/// Format, key id, sender and sequence number.
const HEADER_BYTES: usize = 1 + 4 + 8 + 8;
/// Bytes that a signature adds to a payload.
pub(crate) const OVERHEAD_BYTES: usize = HEADER_BYTES + MAC_BYTES;
/// Length of the replay window: number of sequence numbers, counted back from the highest received one, that are still
/// accepted, each once.
const REPLAY_WINDOW: u64 = 128;

/// Shared secret and its id.
#[derive(Clone)]
pub struct Key {
    /// Id that is sent in each datagram.
    pub id: u32,
    /// Secret of at least 16 bytes.
    pub secret: Vec<u8>,
}

impl fmt::Debug for Key {
    /// Omits the secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key {}", self.id)
    }
}

/// Reason why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum ReceiveError {
    /// Too short, too long or of another format.
    #[error("not a datagram of this format")]
    InvalidFormat,
    /// Signed with a key that is not configured here.
    #[error("unknown key")]
    UnknownKey,
    /// The MAC does not match.
    #[error("wrong MAC")]
    InvalidMac,
    /// Received before, too old for the replay window, or in response to another request.
    #[error("repeated")]
    Replayed,
    /// The payload cannot be decoded.
    #[error("unreadable")]
    Malformed,
    /// More members than [`MAX_MEMBERS`](crate::MAX_MEMBERS).
    #[error("too many members")]
    TooManyMembers,
    /// The queue of application messages is full.
    #[error("too many words wait")]
    QueueFull,
}

/// Replay window of one sender (RFC 4303, 3.4.3).
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    highest: u64,
    /// Bit n is set if `highest - n` was received.
    received: u128,
    /// Value of [`Verifier::accepted`] at the last datagram of the sender.
    last_used: u64,
}

impl ReplayWindow {
    /// Marks a sequence number as received, and returns whether it is new.
    fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let shift = number - self.highest;
            self.received = if shift >= REPLAY_WINDOW { 0 } else { self.received << shift };
            (self.highest, self.received) = (number, self.received | 1);
            return true;
        }
        let behind = self.highest - number;
        let bit = if behind < REPLAY_WINDOW { 1u128 << behind } else { return false };
        let is_new = self.received & bit == 0;
        self.received |= bit;
        is_new
    }
}

/// Verifies datagrams under a set of keys and rejects replays.
#[derive(Debug)]
pub struct Verifier {
    keys: BTreeMap<u32, HmacSha256>,
    windows: HashMap<u64, ReplayWindow>,
    /// Number of datagrams with a valid MAC so far.
    accepted: u64,
}

type HmacSha256 = Hmac<Sha256>;

/// Prepares a key once, not for each datagram. `None` if the library rejects it; nothing is signed or verified with it.
fn prepare_key(key: &Key) -> Option<HmacSha256> {
    <HmacSha256 as Mac>::new_from_slice(&key.secret).ok()
}

fn mac(key: &HmacSha256, header: &[u8], payload: &[u8]) -> HmacSha256 {
    let mut mac = key.clone();
    mac.update(header);
    mac.update(payload);
    mac
}

impl Verifier {
    /// Creates a verifier that accepts datagrams under any of `keys`.
    pub fn new(keys: &[Key]) -> Verifier {
        let keys = keys.iter().filter_map(|k| Some((k.id, prepare_key(k)?))).collect();
        Verifier { keys, windows: HashMap::new(), accepted: 0 }
    }

    /// Verifies a datagram, and returns its sender and payload.
    ///
    /// # Errors
    /// The datagram is not authentic or was replayed.
    pub fn verify<'a>(&mut self, datagram: &'a [u8]) -> Result<(u64, &'a [u8]), ReceiveError> {
        self.verify_up_to(datagram, MAX_DATAGRAM_BYTES)
    }

    /// Verifies a body of up to [`MAX_BODY_BYTES`] that was received over a connection.
    ///
    /// # Errors
    /// The body is not authentic or was replayed.
    pub fn verify_body<'a>(&mut self, body: &'a [u8]) -> Result<(u64, &'a [u8]), ReceiveError> {
        self.verify_up_to(body, MAX_BODY_BYTES)
    }

    fn verify_up_to<'a>(
        &mut self,
        datagram: &'a [u8],
        max_bytes: usize,
    ) -> Result<(u64, &'a [u8]), ReceiveError> {
        if datagram.len() < OVERHEAD_BYTES || datagram.len() > max_bytes || datagram[0] != FORMAT {
            return Err(ReceiveError::InvalidFormat);
        }
        let (header, rest) = datagram.split_at(HEADER_BYTES);
        let (tag, payload) = rest.split_at(MAC_BYTES);
        let read_u64 = |offset: usize| u64::from_be_bytes(std::array::from_fn(|i| header[offset + i]));
        let id = u32::from_be_bytes(std::array::from_fn(|i| header[1 + i]));
        let key = self.keys.get(&id).ok_or(ReceiveError::UnknownKey)?;
        mac(key, header, payload).verify_truncated_left(tag).map_err(|_| ReceiveError::InvalidMac)?;
        // Only datagrams with a valid MAC create or change a replay window.
        let (sender, number) = (read_u64(5), read_u64(13));
        self.accepted += 1;
        if !self.windows.contains_key(&sender) && self.windows.len() >= MAX_SENDERS {
            let oldest = self.windows.iter().min_by_key(|(_, w)| w.last_used).map(|(s, _)| *s);
            oldest.and_then(|s| self.windows.remove(&s));
        }
        let window = self.windows.entry(sender).or_default();
        window.last_used = self.accepted;
        if window.accept(number) {
            Ok((sender, payload))
        } else {
            Err(ReceiveError::Replayed)
        }
    }

    /// Checks that the number of senders is bounded, and that each window includes its highest number.
    pub(crate) fn check(&self) -> Result<(), InvariantViolation> {
        let (senders, max) = (self.windows.len(), MAX_SENDERS);
        ensure(senders <= max, || InvariantViolation::Senders { senders, max })?;
        let invalid = self
            .windows
            .iter()
            .find(|(_, w)| (w.highest > 0 && w.received & 1 == 0) || w.last_used > self.accepted);
        invalid
            .map_or(Ok(()), |(s, w)| Err(InvariantViolation::ReplayWindow { sender: *s, highest: w.highest }))
    }

    /// Number of senders with a replay window.
    pub fn sender_count(&self) -> usize {
        self.windows.len()
    }
}

/// Signs the datagrams of one process.
#[derive(Debug)]
pub struct Signer {
    key_id: u32,
    key: Option<HmacSha256>,
    sender: u64,
    last_number: u64,
}

impl Signer {
    /// Creates a signer whose sequence numbers start at 1. `sender` must be a random number of this process start.
    pub fn new(key: Key, sender: u64) -> Signer {
        Signer { key_id: key.id, key: prepare_key(&key), sender, last_number: 0 }
    }

    /// Sequence number of the last signed datagram; 0 if there is none.
    pub(crate) fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns a signed datagram with `payload`.
    pub fn sign(&mut self, payload: &[u8]) -> Vec<u8> {
        self.last_number += 1;
        let mut out = Vec::with_capacity(OVERHEAD_BYTES + payload.len());
        out.push(FORMAT);
        out.extend_from_slice(&self.key_id.to_be_bytes());
        out.extend_from_slice(&self.sender.to_be_bytes());
        out.extend_from_slice(&self.last_number.to_be_bytes());
        match &self.key {
            Some(key) => out.extend_from_slice(&mac(key, &out, payload).finalize().into_bytes()[..MAC_BYTES]),
            None => out.extend_from_slice(&[0; MAC_BYTES]), // rejected by every receiver
        }
        out.extend_from_slice(payload);
        out
    }
}
