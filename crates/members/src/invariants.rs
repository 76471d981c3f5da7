//! Invariants of members, by name.

use crate::identity::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;

/// An invariant that is broken, and by whom.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum InvariantViolation {
    #[error("view: its number fell from {before} to {now}")]
    ViewFell { before: u64, now: u64 },
    #[error("view: {known} members, {most} may be known")]
    Known { known: usize, most: usize },
    #[error("view: this member, {address}, is not in it as there, in its present incarnation")]
    NotThere { address: SocketAddr },
    #[error("view: it holds {who} under the address {address}")]
    Address { address: SocketAddr, who: SocketAddr },
    #[error("view: {address} is so since {since:?}, later than now, {now:?}")]
    Since { address: SocketAddr, since: Duration, now: Duration },
    #[error("view: {heard} were heard, {most} may be")]
    Heard { heard: usize, most: usize },
    #[error("incarnation: it fell from {before} to {now}")]
    LifeFell { before: Incarnation, now: Incarnation },
    #[error("incarnation: it rises by nothing")]
    NoRise,
    #[error("names: steps back for {address}, which does not bear this one's name or is this one")]
    StepsBack { address: SocketAddr },
    #[error("timers: {armed} are armed, {most} may be")]
    Timers { armed: usize, most: usize },
    #[error("timers: the next call on seeds is at {at:?}, more than {heal:?} after {now:?}")]
    Call { at: Duration, heal: Duration, now: Duration },
    #[error("library: what it asked for was not taken over")]
    Unsettled,
    #[error("heads: round fell from {before} to {now}")]
    RoundFell { before: u64, now: u64 },
    #[error("heads: {answers} answers, {majority} are a majority")]
    Answers { answers: usize, majority: usize },
    #[error("heads: an answer of {witness} counts that is blind, of another round, or of a stranger")]
    Answer { witness: SocketAddr },
    #[error(
        "heads: a part over {count} until {until:?}, longer than a lease from the last round, at {begun:?}"
    )]
    Lease { count: usize, until: Duration, begun: Duration },
    #[error("heads: a part over {count} by {answers} answers of {witnesses} witnesses")]
    Majority { count: usize, answers: usize, witnesses: usize },
    #[error("heads: a part over {count}, and the answers count {union}")]
    Count { count: usize, union: usize },
    #[error("heads: a part from {from:?} though one until {until:?} had run out")]
    Newcomer { from: Duration, until: Duration },
    #[error("heads: the next round is at {next:?}, the last one was at {begun:?}")]
    Round { next: Duration, begun: Duration },
    #[error("witness: {holders} holders are remembered, {most} may be")]
    Holders { holders: usize, most: usize },
    #[error("witness: {holder} renewed at {at:?}, longer ago than the hold before {latest:?}")]
    Old { holder: u64, at: Duration, latest: Duration },
    #[error("seal: its number fell from {before} to {now}, or {sent} datagrams bear less numbers")]
    Sealed { before: u64, now: u64, sent: u64 },
    #[error("seal: {sources} senders are remembered, {most} may be")]
    Sources { sources: usize, most: usize },
    #[error("seal: the window of sender {source_id:016x} does not hold its highest number, {highest}")]
    Window { source_id: u64, highest: u64 },
}

/// Nothing, or what is broken.
pub(crate) fn hold(
    holds: bool,
    broken: impl FnOnce() -> InvariantViolation,
) -> Result<(), InvariantViolation> {
    if holds {
        Ok(())
    } else {
        Err(broken())
    }
}
