//! Datagrams that strangers can neither make nor repeat: a MAC by keys with ids, and a window for each sender.

use crate::invariants::{hold, InvariantViolation};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Longest datagram, sealed: what passes unbroken on usual networks (RFC 8085, 3.2).
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Longest sealed body: all members that may be known, with the longest names.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Most senders whose windows are kept; past them the one that was heard longest ago goes.
pub const MAX_SENDERS: usize = 4_096;

const FORMAT: u8 = 1;
const MAC: usize = 16;
/// Format, key, sender, number.
const HEAD: usize = 1 + 4 + 8 + 8;
/// What a seal adds.
pub(crate) const OVERHEAD: usize = HEAD + MAC;
/// Numbers behind the highest heard that may still come, each once.
const WINDOW: u64 = 128;

/// A shared secret and its id.
#[derive(Clone)]
pub struct Key {
    /// Its id.
    pub id: u32,
    /// The secret, 16 bytes or more.
    pub secret: Vec<u8>,
}

impl fmt::Debug for Key {
    /// Without the secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key {}", self.id)
    }
}

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum ReceiveError {
    /// Not one of these.
    #[error("not a datagram of this format")]
    InvalidFormat,
    /// By a key that is not held here.
    #[error("unknown key")]
    UnknownKey,
    /// Its MAC is wrong.
    #[error("wrong MAC")]
    InvalidMac,
    /// It came before, or too late to tell.
    #[error("repeated")]
    Replayed,
    /// Its words cannot be read.
    #[error("unreadable")]
    Malformed,
    /// More members than may be known.
    #[error("too many members")]
    TooManyMembers,
    /// More words of another crate than may wait.
    #[error("too many words wait")]
    QueueFull,
}

/// The numbers heard of one sender (RFC 4303, 3.4.3).
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    highest: u64,
    /// Bit n: `highest - n` was heard.
    received: u128,
    /// When, by the count of datagrams taken.
    last: u64,
}

impl Window {
    fn take(&mut self, number: u64) -> bool {
        if number > self.highest {
            let by = number - self.highest;
            self.received = if by >= WINDOW { 0 } else { self.received << by };
            (self.highest, self.received) = (number, self.received | 1);
            return true;
        }
        let behind = self.highest - number;
        let bit = if behind < WINDOW { 1u128 << behind } else { return false };
        let new = self.received & bit == 0;
        self.received |= bit;
        new
    }
}

/// The keys that are held, and what was heard under them.
#[derive(Debug)]
pub struct Keys {
    keys: BTreeMap<u32, HmacSha256>,
    windows: HashMap<u64, Window>,
    taken: u64,
}

type HmacSha256 = Hmac<Sha256>;

/// A key made ready once, not for each datagram; `None`: the library does not take it, and nothing is sealed or opened
/// by it.
fn ready(key: &Key) -> Option<HmacSha256> {
    <HmacSha256 as Mac>::new_from_slice(&key.secret).ok()
}

fn mac(key: &HmacSha256, head: &[u8], payload: &[u8]) -> HmacSha256 {
    let mut mac = key.clone();
    mac.update(head);
    mac.update(payload);
    mac
}

impl Keys {
    /// Those that datagrams are taken under.
    pub fn new(keys: &[Key]) -> Keys {
        let keys = keys.iter().filter_map(|k| Some((k.id, ready(k)?))).collect();
        Keys { keys, windows: HashMap::new(), taken: 0 }
    }

    /// What is in a datagram, and which process sent it.
    ///
    /// # Errors
    /// It is a stranger's, or came before.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<(u64, &'a [u8]), ReceiveError> {
        self.open_up_to(datagram, MAX_DATAGRAM_BYTES)
    }

    /// The same for what came as one body over a connection.
    ///
    /// # Errors
    /// As above.
    pub fn open_body<'a>(&mut self, body: &'a [u8]) -> Result<(u64, &'a [u8]), ReceiveError> {
        self.open_up_to(body, MAX_BODY_BYTES)
    }

    fn open_up_to<'a>(&mut self, datagram: &'a [u8], most: usize) -> Result<(u64, &'a [u8]), ReceiveError> {
        if datagram.len() < OVERHEAD || datagram.len() > most || datagram[0] != FORMAT {
            return Err(ReceiveError::InvalidFormat);
        }
        let (head, rest) = datagram.split_at(HEAD);
        let (tag, payload) = rest.split_at(MAC);
        let number = |at: usize| u64::from_be_bytes(std::array::from_fn(|i| head[at + i]));
        let id = u32::from_be_bytes(std::array::from_fn(|i| head[1 + i]));
        let key = self.keys.get(&id).ok_or(ReceiveError::UnknownKey)?;
        mac(key, head, payload).verify_truncated_left(tag).map_err(|_| ReceiveError::InvalidMac)?;
        // Only what bears a good MAC makes or moves a window.
        let (source, number) = (number(5), number(13));
        self.taken += 1;
        if !self.windows.contains_key(&source) && self.windows.len() >= MAX_SENDERS {
            let oldest = self.windows.iter().min_by_key(|(_, w)| w.last).map(|(s, _)| *s);
            oldest.and_then(|s| self.windows.remove(&s));
        }
        let window = self.windows.entry(source).or_default();
        window.last = self.taken;
        if window.take(number) {
            Ok((source, payload))
        } else {
            Err(ReceiveError::Replayed)
        }
    }

    /// Whether senders are bounded, and the window of each holds its highest number.
    pub(crate) fn check(&self) -> Result<(), InvariantViolation> {
        let (sources, most) = (self.windows.len(), MAX_SENDERS);
        hold(sources <= most, || InvariantViolation::Sources { sources, most })?;
        let wrong =
            self.windows.iter().find(|(_, w)| (w.highest > 0 && w.received & 1 == 0) || w.last > self.taken);
        wrong.map_or(Ok(()), |(s, w)| Err(InvariantViolation::Window { source_id: *s, highest: w.highest }))
    }

    /// Senders that are remembered.
    pub fn sources(&self) -> usize {
        self.windows.len()
    }
}

/// Seals what one process sends.
#[derive(Debug)]
pub struct Sealer {
    id: u32,
    key: Option<HmacSha256>,
    source: u64,
    number: u64,
}

impl Sealer {
    /// `source`: drawn at the process's start, so that its numbers may begin anew.
    pub fn new(key: Key, source: u64) -> Sealer {
        Sealer { id: key.id, key: ready(&key), source, number: 0 }
    }

    /// Number of the last one.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// A datagram with that payload.
    pub fn seal(&mut self, payload: &[u8]) -> Vec<u8> {
        self.number += 1;
        let mut out = Vec::with_capacity(OVERHEAD + payload.len());
        out.push(FORMAT);
        out.extend_from_slice(&self.id.to_be_bytes());
        out.extend_from_slice(&self.source.to_be_bytes());
        out.extend_from_slice(&self.number.to_be_bytes());
        match &self.key {
            Some(key) => out.extend_from_slice(&mac(key, &out, payload).finalize().into_bytes()[..MAC]),
            None => out.extend_from_slice(&[0; MAC]), // nobody opens it
        }
        out.extend_from_slice(payload);
        out
    }
}
