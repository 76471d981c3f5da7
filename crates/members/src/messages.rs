//! Messages between members, one per datagram.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Payload of one authenticated datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Message of the SWIM protocol, as encoded by `foca`.
    Swim(Vec<u8>),
    /// Lease renewal, sent to a witness.
    #[serde(rename = "Renew")]
    RenewRequest(RenewRequest),
    /// Response of a witness to a renewal.
    #[serde(rename = "Counted")]
    RenewResponse(RenewResponse),
    /// Message of a protocol on top of the membership, opaque to this crate.
    #[serde(rename = "Other")]
    Application(Vec<u8>),
}

/// Renewal of a member's lease, which asks for the number of lease holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Random number of the process start that holds the lease.
    pub holder: u64,
    /// Renewal round of the sender.
    pub round: u64,
    /// Address for the response.
    #[serde(rename = "reply")]
    pub reply_to: SocketAddr,
}

/// Number of lease holders known to one witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RenewResponse {
    /// Address of the witness, as written in the configuration.
    pub witness: SocketAddr,
    /// Round of the request.
    pub round: u64,
    /// Number of processes that renewed within the hold time, the requester included.
    #[serde(rename = "count")]
    pub holder_count: u32,
    /// XOR of all holder numbers: two witnesses with equal counts and fingerprints know the same holders.
    #[serde(rename = "print")]
    pub holder_fingerprint: u64,
    /// True if the witness started too recently to know all holders; the response must not be used.
    #[serde(rename = "blind")]
    pub recovering: bool,
}
