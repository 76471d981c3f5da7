//! Messages between fronts: a lead of magic, format and CRC-32, then a `postcard` body. Times are ages.

use crate::observations::*;
use crate::store::{MAX_HOPS, MAX_SERVERS};
use crate::KnowledgeLevel;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The format that this program writes and reads.
pub const FORMAT: u16 = 1;
/// Longest message, bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
const MAGIC: [u8; 4] = *b"CLKN";
const LEAD: usize = 10;

/// A piece with its age at the time of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireVersioned<T> {
    #[serde(rename = "fact")]
    value: T,
    age_ms: u32,
    origin: Origin,
    hops: u8,
}

/// One server's pieces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObservations {
    state: Option<WireVersioned<ListedState>>,
    start: Option<WireVersioned<ProcessStart>>,
    health: Option<WireVersioned<Health>>,
    #[serde(rename = "link")]
    link_load: Option<WireVersioned<Reading>>,
    #[serde(rename = "rack")]
    uplink_load: Option<WireVersioned<Reading>>,
    #[serde(rename = "short")]
    delivered_share: Option<WireVersioned<Reading>>,
}

fn out<T: Copy>(piece: Option<Versioned<T>>, now: Duration) -> Option<WireVersioned<T>> {
    let p = piece.filter(|p| p.provenance.hops < MAX_HOPS)?;
    let age_ms = u32::try_from(p.provenance.age(now).as_millis()).unwrap_or(u32::MAX);
    Some(WireVersioned { value: p.value, age_ms, origin: p.provenance.origin, hops: p.provenance.hops + 1 })
}

fn back<T: Copy>(piece: Option<WireVersioned<T>>, sent_at: Duration) -> Option<Versioned<T>> {
    let p = piece?;
    let at = sent_at.saturating_sub(Duration::from_millis(p.age_ms.into()));
    Some(Versioned {
        value: p.value,
        provenance: Provenance { observed_at: at, origin: p.origin, hops: p.hops },
    })
}

impl WireObservations {
    /// As they are sent.
    pub(crate) fn of(f: &ServerObservations, now: Duration) -> Self {
        WireObservations {
            state: out(f.state, now),
            start: out(f.start, now),
            health: out(f.health, now),
            link_load: out(f.link_load, now),
            uplink_load: out(f.uplink_load, now),
            delivered_share: out(f.delivered_share, now),
        }
    }

    /// As they are held by whoever asked at `sent_at`.
    pub(crate) fn observations(&self, sent_at: Duration) -> ServerObservations {
        ServerObservations {
            state: back(self.state, sent_at),
            start: back(self.start, sent_at),
            health: back(self.health, sent_at),
            link_load: back(self.link_load, sent_at),
            uplink_load: back(self.uplink_load, sent_at),
            delivered_share: back(self.delivered_share, sent_at),
        }
    }

    /// Origin, age and hops of each piece.
    pub(crate) fn provenances(&self) -> impl Iterator<Item = (Origin, u32, u8)> + '_ {
        fn one<T>(p: &Option<WireVersioned<T>>) -> Option<(Origin, u32, u8)> {
            p.as_ref().map(|p| (p.origin, p.age_ms, p.hops))
        }
        let all = [
            one(&self.state),
            one(&self.start),
            one(&self.health),
            one(&self.link_load),
            one(&self.uplink_load),
            one(&self.delivered_share),
        ];
        all.into_iter().flatten()
    }

    /// All readings.
    pub(crate) fn readings(&self) -> impl Iterator<Item = Reading> + '_ {
        [self.link_load, self.uplink_load, self.delivered_share].into_iter().flatten().map(|p| p.value)
    }
}

/// What one front tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The fleet, as a hash of its name.
    #[serde(rename = "fleet")]
    pub fleet_id: u64,
    /// What it was asked with.
    pub nonce: u64,
    /// Who tells.
    pub sender: Observer,
    /// Number of its last change: what the next delta is asked after.
    pub seq: u64,
    /// A delta after that number; absent: the whole.
    #[serde(rename = "after")]
    pub since_seq: Option<u64>,
    /// How warm the sender is itself.
    pub level: KnowledgeLevel,
    /// Peers that it knows.
    pub peers: Vec<SocketAddr>,
    /// The servers.
    pub servers: Vec<(u64, WireObservations)>,
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum MessageError {
    #[error("not a message of fronts")]
    InvalidHeader,
    #[error("format {0}, and this program reads {FORMAT}")]
    UnsupportedFormat(u16),
    #[error("its checksum does not fit: garbled or cut")]
    Checksum,
    #[error("over {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    #[error("its body is malformed")]
    Malformed,
}

impl Message {
    /// Only what goes by versions, as if seen now: states and starts. For what was kept over a stop of
    /// unknown length.
    pub fn versioned_only(&self) -> Message {
        fn fresh<T: Copy>(p: Option<WireVersioned<T>>) -> Option<WireVersioned<T>> {
            // Its observer may be the very front that reads it back: then it is hearsay of its past.
            p.map(|p| WireVersioned {
                age_ms: 0,
                origin: Origin { observer: Observer::default(), seq: 0 },
                ..p
            })
        }
        let cold = |s: WireVersioned<ProcessStart>| WireVersioned {
            value: ProcessStart { uptime_ms: s.value.uptime_ms.map(|_| 0), ..s.value },
            ..s
        };
        let only = |f: &WireObservations| WireObservations {
            state: fresh(f.state),
            start: fresh(f.start).map(cold),
            ..WireObservations::default()
        };
        let servers = self.servers.iter().map(|(id, f)| (*id, only(f))).collect();
        Message { servers, sender: Observer::default(), peers: Vec::new(), ..self.clone() }
    }

    /// As bytes.
    ///
    /// # Errors
    /// It holds more than fits a message.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let body = postcard::to_stdvec(self).map_err(|_| MessageError::Malformed)?;
        if body.len() + LEAD > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong);
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
    pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong);
        }
        let (Some((magic, rest)), true) = (bytes.split_first_chunk::<4>(), bytes.len() >= LEAD) else {
            return Err(MessageError::InvalidHeader);
        };
        if *magic != MAGIC {
            return Err(MessageError::InvalidHeader);
        }
        let Some((format, rest)) = rest.split_first_chunk::<2>() else {
            return Err(MessageError::InvalidHeader);
        };
        let format = u16::from_le_bytes(*format);
        if format != FORMAT {
            return Err(MessageError::UnsupportedFormat(format));
        }
        let Some((crc, body)) = rest.split_first_chunk::<4>() else {
            return Err(MessageError::InvalidHeader);
        };
        if u32::from_le_bytes(*crc) != crc32fast::hash(body) {
            return Err(MessageError::Checksum);
        }
        let message: Message = postcard::from_bytes(body).map_err(|_| MessageError::Malformed)?;
        if message.servers.len() > MAX_SERVERS {
            return Err(MessageError::TooLong);
        }
        Ok(message)
    }
}
