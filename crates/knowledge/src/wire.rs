//! Messages between fronts: a lead of magic, format and CRC-32, then a `postcard` body. Times are ages.

use crate::book::{MOST_HOPS, MOST_SERVERS};
use crate::facts::*;
use crate::Level;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The format that this program writes and reads.
pub const FORMAT: u16 = 1;
/// Longest message, bytes.
pub const MOST_BYTES: usize = 16 * 1024 * 1024;
const MAGIC: [u8; 4] = *b"CLKN";
const LEAD: usize = 10;

/// A piece with its age at the time of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WirePiece<T> {
    fact: T,
    age_ms: u32,
    origin: Origin,
    hops: u8,
}

/// One server's pieces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFacts {
    state: Option<WirePiece<State>>,
    start: Option<WirePiece<Start>>,
    health: Option<WirePiece<Health>>,
    link: Option<WirePiece<Reading>>,
    rack: Option<WirePiece<Reading>>,
    short: Option<WirePiece<Reading>>,
}

fn out<T: Copy>(piece: Option<Piece<T>>, now: Duration) -> Option<WirePiece<T>> {
    let p = piece.filter(|p| p.seen.hops < MOST_HOPS)?;
    let age_ms = u32::try_from(p.seen.age(now).as_millis()).unwrap_or(u32::MAX);
    Some(WirePiece { fact: p.fact, age_ms, origin: p.seen.origin, hops: p.seen.hops + 1 })
}

fn back<T: Copy>(piece: Option<WirePiece<T>>, sent_at: Duration) -> Option<Piece<T>> {
    let p = piece?;
    let at = sent_at.saturating_sub(Duration::from_millis(p.age_ms.into()));
    Some(Piece { fact: p.fact, seen: Seen { at, origin: p.origin, hops: p.hops } })
}

impl WireFacts {
    /// As they are sent.
    pub(crate) fn of(f: &Facts, now: Duration) -> Self {
        WireFacts {
            state: out(f.state, now),
            start: out(f.start, now),
            health: out(f.health, now),
            link: out(f.link, now),
            rack: out(f.rack, now),
            short: out(f.short, now),
        }
    }

    /// As they are held by whoever asked at `sent_at`.
    pub(crate) fn facts(&self, sent_at: Duration) -> Facts {
        Facts {
            state: back(self.state, sent_at),
            start: back(self.start, sent_at),
            health: back(self.health, sent_at),
            link: back(self.link, sent_at),
            rack: back(self.rack, sent_at),
            short: back(self.short, sent_at),
        }
    }

    /// Origin, age and hops of each piece.
    pub(crate) fn observations(&self) -> impl Iterator<Item = (Origin, u32, u8)> + '_ {
        fn one<T>(p: &Option<WirePiece<T>>) -> Option<(Origin, u32, u8)> {
            p.as_ref().map(|p| (p.origin, p.age_ms, p.hops))
        }
        let all = [
            one(&self.state),
            one(&self.start),
            one(&self.health),
            one(&self.link),
            one(&self.rack),
            one(&self.short),
        ];
        all.into_iter().flatten()
    }

    /// All readings.
    pub(crate) fn readings(&self) -> impl Iterator<Item = Reading> + '_ {
        [self.link, self.rack, self.short].into_iter().flatten().map(|p| p.fact)
    }
}

/// What one front tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The fleet, as a hash of its name.
    pub fleet: u64,
    /// What it was asked with.
    pub nonce: u64,
    /// Who tells.
    pub sender: Observer,
    /// Number of its last change: what the next delta is asked after.
    pub seq: u64,
    /// A delta after that number; absent: the whole.
    pub after: Option<u64>,
    /// How warm the sender is itself.
    pub level: Level,
    /// Peers that it knows.
    pub peers: Vec<SocketAddr>,
    /// The servers.
    pub servers: Vec<(u64, WireFacts)>,
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum WireError {
    #[error("not a message of fronts")]
    Foreign,
    #[error("format {0}, and this program reads {FORMAT}")]
    Format(u16),
    #[error("its checksum does not fit: garbled or cut")]
    Checksum,
    #[error("over {MOST_BYTES} bytes")]
    TooLong,
    #[error("its body is malformed")]
    Malformed,
}

impl Message {
    /// Only what goes by versions, as if seen now: states and starts. For what was kept over a stop of
    /// unknown length.
    pub fn without_ages(&self) -> Message {
        fn fresh<T: Copy>(p: Option<WirePiece<T>>) -> Option<WirePiece<T>> {
            // Its observer may be the very front that reads it back: then it is hearsay of its past.
            p.map(|p| WirePiece { age_ms: 0, origin: Origin { observer: Observer::default(), seq: 0 }, ..p })
        }
        let cold = |s: WirePiece<Start>| WirePiece {
            fact: Start { before_ms: s.fact.before_ms.map(|_| 0), ..s.fact },
            ..s
        };
        let only = |f: &WireFacts| WireFacts {
            state: fresh(f.state),
            start: fresh(f.start).map(cold),
            ..WireFacts::default()
        };
        let servers = self.servers.iter().map(|(id, f)| (*id, only(f))).collect();
        Message { servers, sender: Observer::default(), peers: Vec::new(), ..self.clone() }
    }

    /// As bytes.
    ///
    /// # Errors
    /// It holds more than fits a message.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let body = postcard::to_stdvec(self).map_err(|_| WireError::Malformed)?;
        if body.len() + LEAD > MOST_BYTES {
            return Err(WireError::TooLong);
        }
        let mut out = Vec::with_capacity(LEAD + body.len());
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&FORMAT.to_le_bytes());
        out.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        out.extend_from_slice(&body);
        Ok(out)
    }

    /// From bytes.
    ///
    /// # Errors
    /// They are no message, of another format, garbled or cut.
    pub fn decode(bytes: &[u8]) -> Result<Message, WireError> {
        if bytes.len() > MOST_BYTES {
            return Err(WireError::TooLong);
        }
        let (Some((magic, rest)), true) = (bytes.split_first_chunk::<4>(), bytes.len() >= LEAD) else {
            return Err(WireError::Foreign);
        };
        if *magic != MAGIC {
            return Err(WireError::Foreign);
        }
        let Some((format, rest)) = rest.split_first_chunk::<2>() else { return Err(WireError::Foreign) };
        let format = u16::from_le_bytes(*format);
        if format != FORMAT {
            return Err(WireError::Format(format));
        }
        let Some((crc, body)) = rest.split_first_chunk::<4>() else { return Err(WireError::Foreign) };
        if u32::from_le_bytes(*crc) != crc32fast::hash(body) {
            return Err(WireError::Checksum);
        }
        let message: Message = postcard::from_bytes(body).map_err(|_| WireError::Malformed)?;
        if message.servers.len() > MOST_SERVERS {
            return Err(WireError::TooLong);
        }
        Ok(message)
    }
}
