//! Invariants of the membership state, each violation under a name of its own.

use crate::identity::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;

/// A violated invariant and the values that violate it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum InvariantViolation {
    #[error("view: version fell from {before} to {now}")]
    ViewVersionFell { before: u64, now: u64 },
    #[error("view: {known} known members, limit {max}")]
    KnownMembers { known: usize, max: usize },
    #[error("view: the local member, {address}, is not alive in it with the current incarnation")]
    LocalMemberMissing { address: SocketAddr },
    #[error("view: the entry of {address} holds a member with address {id}")]
    AddressMismatch { address: SocketAddr, id: SocketAddr },
    #[error("view: the state of {address} dates from {since:?}, later than now, {now:?}")]
    SinceInFuture { address: SocketAddr, since: Duration, now: Duration },
    #[error("view: receive times of {senders} senders, limit {max}")]
    ReceiveTimes { senders: usize, max: usize },
    #[error("incarnation: fell from {before} to {now}")]
    IncarnationFell { before: Incarnation, now: Incarnation },
    #[error("incarnation: the next increment is zero")]
    ZeroIncrement,
    #[error("names: replaced by {address}, which has another name or is the local member")]
    WrongReplacement { address: SocketAddr },
    #[error("timers: {armed} armed, limit {max}")]
    Timers { armed: usize, max: usize },
    #[error("timers: the next announcement is at {at:?}, more than {interval:?} after {now:?}")]
    NextAnnouncement { at: Duration, interval: Duration, now: Duration },
    #[error("swim: effects requested by the library were not applied")]
    UnappliedEffects,
    #[error("lease count: round fell from {before} to {now}")]
    RoundFell { before: u64, now: u64 },
    #[error("lease count: {responses} responses, {majority} are a majority")]
    Responses { responses: usize, majority: usize },
    #[error(
        "lease count: the response of {witness} is incomplete, of another round, or of an unknown witness"
    )]
    InvalidResponse { witness: SocketAddr },
    #[error("lease count: bound {count} valid until {until:?}, longer than a lease after the start of the round at {round_started:?}")]
    ValidTooLong { count: usize, until: Duration, round_started: Duration },
    #[error("lease count: bound {count} from {responses} responses of {witnesses} witnesses")]
    NoMajority { count: usize, responses: usize, witnesses: usize },
    #[error("lease count: bound {count}, but the responses add up to {union}")]
    CountMismatch { count: usize, union: usize },
    #[error("lease count: bound valid from {from:?} without the wait of a newcomer; the previous one expired at {until:?}")]
    NewcomerDidNotWait { from: Duration, until: Duration },
    #[error("lease count: the next round is at {next:?}, the last one started at {round_started:?}")]
    NextRound { next: Duration, round_started: Duration },
    #[error("witness: {holders} holders, limit {max}")]
    Holders { holders: usize, max: usize },
    #[error("witness: {holder} renewed at {renewed_at:?}, more than the hold time before {latest:?}")]
    ExpiredHolder { holder: u64, renewed_at: Duration, latest: Duration },
    #[error("auth: sequence number fell from {before} to {now}, or is below the {sent} datagrams sent")]
    SequenceNumber { before: u64, now: u64, sent: u64 },
    #[error("auth: replay windows of {senders} senders, limit {max}")]
    Senders { senders: usize, max: usize },
    #[error(
        "auth: the replay window of sender {sender:016x} does not include its highest number, {highest}"
    )]
    ReplayWindow { sender: u64, highest: u64 },
}

/// Returns the violation if the condition does not hold.
pub(crate) fn ensure(
    holds: bool,
    violation: impl FnOnce() -> InvariantViolation,
) -> Result<(), InvariantViolation> {
    if holds {
        Ok(())
    } else {
        Err(violation())
    }
}
