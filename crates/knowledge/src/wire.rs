//! Messages between fronts: a header of magic bytes, format version and CRC-32, then a `postcard` body. Times are
//! sent as ages, because clocks differ.

use crate::observations::*;
use crate::store::{MAX_HOPS, MAX_SERVERS};
use crate::KnowledgeLevel;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Format version that this program writes and reads.
pub const FORMAT: u16 = 1;
/// Maximum length of an encoded message.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
const MAGIC: [u8; 4] = *b"CLKN";
const HEADER_BYTES: usize = 10;

/// Observation with its age at the time of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireVersioned<T> {
    #[serde(rename = "fact")]
    value: T,
    age_ms: u32,
    origin: Origin,
    hops: u8,
}

/// Observations of one server, as sent.
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

/// Encodes an observation; `None` if it has reached [`MAX_HOPS`].
fn encode_one<T: Copy>(slot: Option<Versioned<T>>, now: Duration) -> Option<WireVersioned<T>> {
    let observation = slot.filter(|o| o.provenance.hops < MAX_HOPS)?;
    let age_ms = u32::try_from(observation.provenance.age(now).as_millis()).unwrap_or(u32::MAX);
    Some(WireVersioned {
        value: observation.value,
        age_ms,
        origin: observation.provenance.origin,
        hops: observation.provenance.hops + 1,
    })
}

fn decode_one<T: Copy>(slot: Option<WireVersioned<T>>, sent_at: Duration) -> Option<Versioned<T>> {
    let wire = slot?;
    let observed_at = sent_at.saturating_sub(Duration::from_millis(wire.age_ms.into()));
    Some(Versioned {
        value: wire.value,
        provenance: Provenance { observed_at, origin: wire.origin, hops: wire.hops },
    })
}

impl WireObservations {
    pub(crate) fn encode(observations: &ServerObservations, now: Duration) -> Self {
        WireObservations {
            state: encode_one(observations.state, now),
            start: encode_one(observations.start, now),
            health: encode_one(observations.health, now),
            link_load: encode_one(observations.link_load, now),
            uplink_load: encode_one(observations.uplink_load, now),
            delivered_share: encode_one(observations.delivered_share, now),
        }
    }

    /// Decodes the observations for a front that sent its request at `sent_at`.
    pub(crate) fn decode(&self, sent_at: Duration) -> ServerObservations {
        ServerObservations {
            state: decode_one(self.state, sent_at),
            start: decode_one(self.start, sent_at),
            health: decode_one(self.health, sent_at),
            link_load: decode_one(self.link_load, sent_at),
            uplink_load: decode_one(self.uplink_load, sent_at),
            delivered_share: decode_one(self.delivered_share, sent_at),
        }
    }

    /// Origin, age in milliseconds and hops of each observation.
    pub(crate) fn provenances(&self) -> impl Iterator<Item = (Origin, u32, u8)> + '_ {
        fn provenance<T>(slot: &Option<WireVersioned<T>>) -> Option<(Origin, u32, u8)> {
            slot.as_ref().map(|o| (o.origin, o.age_ms, o.hops))
        }
        let all = [
            provenance(&self.state),
            provenance(&self.start),
            provenance(&self.health),
            provenance(&self.link_load),
            provenance(&self.uplink_load),
            provenance(&self.delivered_share),
        ];
        all.into_iter().flatten()
    }

    /// Readings of load and of the delivered share.
    pub(crate) fn readings(&self) -> impl Iterator<Item = Reading> + '_ {
        [self.link_load, self.uplink_load, self.delivered_share].into_iter().flatten().map(|p| p.value)
    }
}

/// Knowledge that one front sends to another in answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Hash of the name of the fleet.
    #[serde(rename = "fleet")]
    pub fleet_id: u64,
    /// Nonce of the request that is answered.
    pub nonce: u64,
    /// Front process that sends the message.
    pub sender: Observer,
    /// Sequence number of the sender's last change, for the request of the next delta.
    pub seq: u64,
    /// Sequence number after which servers have changed; `None` if all servers are included.
    #[serde(rename = "after")]
    pub since_seq: Option<u64>,
    /// Level of the sender's knowledge.
    pub level: KnowledgeLevel,
    /// Addresses of peers that the sender knows.
    pub peers: Vec<SocketAddr>,
    /// Observations by server id.
    pub servers: Vec<(u64, WireObservations)>,
}

/// Reason why a message cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the error texts describe the variants
pub enum MessageError {
    #[error("not a knowledge message: invalid header")]
    InvalidHeader,
    #[error("unsupported format {0}: this program reads format {FORMAT}")]
    UnsupportedFormat(u16),
    #[error("checksum mismatch: message corrupt or truncated")]
    Checksum,
    #[error("message over {MAX_MESSAGE_BYTES} bytes or over {MAX_SERVERS} servers")]
    TooLong,
    #[error("malformed message body")]
    Malformed,
}

impl Message {
    /// Returns the message with only the versioned observations (states and starts), as if observed now. For
    /// messages persisted before a stop of unknown length, after which ages mean nothing.
    pub fn versioned_only(&self) -> Message {
        fn observed_now<T: Copy>(slot: Option<WireVersioned<T>>) -> Option<WireVersioned<T>> {
            // The observer may be the reader itself before its restart. With the default origin the observation
            // is not dropped as the reader's own.
            slot.map(|o| WireVersioned {
                age_ms: 0,
                origin: Origin { observer: Observer::default(), seq: 0 },
                ..o
            })
        }
        // The uptime at the time of reading is unknown: a server that started recently counts as cold.
        let just_started = |start: WireVersioned<ProcessStart>| WireVersioned {
            value: ProcessStart { uptime_ms: start.value.uptime_ms.map(|_| 0), ..start.value },
            ..start
        };
        let versioned = |o: &WireObservations| WireObservations {
            state: observed_now(o.state),
            start: observed_now(o.start).map(just_started),
            ..WireObservations::default()
        };
        let servers = self.servers.iter().map(|(id, o)| (*id, versioned(o))).collect();
        Message { servers, sender: Observer::default(), peers: Vec::new(), ..self.clone() }
    }

    /// Encodes the message.
    ///
    /// # Errors
    /// The message is too long.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let body = postcard::to_stdvec(self).map_err(|_| MessageError::Malformed)?;
        if body.len() + HEADER_BYTES > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong);
        }
        let mut out = Vec::with_capacity(HEADER_BYTES + body.len());
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&FORMAT.to_le_bytes());
        out.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        out.extend_from_slice(&body);
        Ok(out)
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// The bytes are not a message, have another format, or are corrupt, truncated or too long.
    pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong);
        }
        let (Some((magic, rest)), true) = (bytes.split_first_chunk::<4>(), bytes.len() >= HEADER_BYTES)
        else {
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
