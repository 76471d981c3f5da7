//! Paxos acceptor of the register, the one replicated value that holds all leases: its promise, its accepted
//! value, and the age of each lease in that value.
//!
//! An acceptor that starts without its persisted state has forgotten promises and values. Agreement then
//! rests on the majority of acceptors that did not forget, and on three rules:
//!
//! - After [`recovery_time`], all attempts that began before the restart have ended: a proposer uses promises
//!   for [`ROUND_TIMEOUT`] after its prepare message, and an acceptor accepts a value for [`ROUND_TIMEOUT`]
//!   after its promise, and only if the message names the incarnation that promised.
//! - After [`recovery_time`], all leases that the acceptor may have forgotten have expired.
//! - The acceptor becomes [`MemoryState::Current`] only when it accepts a value that it promised after that
//!   time. The value was derived from the promises of a majority of current acceptors, so it is at least as
//!   new as anything that the acceptor accepted before it forgot. Where too few acceptors are current, as at
//!   the first start of a fleet, the value needs the promises of all witnesses after their recovery time.

use crate::message::Message;
use crate::types::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// State of an acceptor that survives a restart. The caller must persist it before it sends the response that
/// depends on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistedState {
    /// Highest ballot that the acceptor promised.
    pub promised: Ballot,
    /// Value that the acceptor accepted last, and its ballot.
    #[serde(rename = "taken")]
    pub accepted: Option<(Ballot, Register)>,
    /// True if the acceptor was [`MemoryState::Current`].
    #[serde(rename = "sees")]
    pub is_current: bool,
}

/// Time after a start without persisted state during which an acceptor is [`MemoryState::Recovering`].
/// `max_lease` is the longest lease that any acceptor accepts.
pub fn recovery_time(max_lease: Duration) -> Duration {
    hold_time(max_lease) + ROUND_TIMEOUT * 4
}

/// Paxos acceptor of the register, run by each witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// Address of this witness, as in the settings.
    address: SocketAddr,
    /// Incarnation of this process.
    incarnation: u64,
    /// Longest lease that the acceptor accepts.
    max_lease: Duration,
    /// End of the recovery time; from then on nothing that may have been forgotten is in force.
    recovered_at: Duration,
    /// True if the acceptor knows everything that it ever accepted.
    is_current: bool,
    /// Highest ballot promised.
    promised: Ballot,
    /// Time at which this incarnation first promised that ballot; `None` if only an earlier one did.
    promised_at: Option<Duration>,
    /// Value accepted last, and its ballot.
    accepted: Option<(Ballot, Register)>,
    /// Time at which each lease of the accepted value was first accepted.
    lease_starts: BTreeMap<LeaseId, Duration>,
}

impl Acceptor {
    /// Creates the acceptor of a process that starts at `now`.
    ///
    /// `address` is the witness's address in the settings, `incarnation` is drawn at the start of the
    /// process, `max_lease` is the longest lease and must be the same at all witnesses, and `persisted` is
    /// the state that an earlier incarnation left on disk, if any.
    pub fn new(
        now: Duration,
        address: SocketAddr,
        incarnation: u64,
        max_lease: Duration,
        persisted: Option<PersistedState>,
    ) -> Acceptor {
        let PersistedState { promised, accepted, is_current } = persisted.unwrap_or_default();
        let recovered_at = now + recovery_time(max_lease);
        let (lease_starts, promised_at) = (BTreeMap::new(), None);
        let mut acceptor = Acceptor {
            address,
            incarnation,
            max_lease,
            recovered_at,
            is_current,
            promised,
            promised_at,
            accepted,
            lease_starts,
        };
        acceptor.update_lease_starts(now);
        acceptor
    }

    /// State of the acceptor's memory, which decides how its responses count.
    pub fn memory_state(&self, now: Duration) -> MemoryState {
        match self.is_current {
            true => MemoryState::Current,
            false if now >= self.recovered_at => MemoryState::WaitedOut,
            false => MemoryState::Recovering,
        }
    }

    /// Handles a message from a proposer and returns the response with its destination, if there is one.
    pub fn handle_message(&mut self, now: Duration, message: &Message) -> Option<(SocketAddr, Message)> {
        match message {
            Message::Prepare { ballot, reply_to } => Some((*reply_to, self.prepare(now, *ballot))),
            Message::Accept { ballot, reply_to, incarnation, value } => {
                Some((*reply_to, self.accept(now, *ballot, *incarnation, value)?))
            }
            _ => None,
        }
    }

    /// Promises the ballot, or rejects it if a higher one is promised already.
    fn prepare(&mut self, now: Duration, ballot: Ballot) -> Message {
        let witness = self.address;
        if ballot < self.promised {
            return Message::Rejected { ballot, witness, promised: self.promised };
        }
        // A repeated prepare message does not renew a promise of this incarnation.
        if ballot > self.promised || self.promised_at.is_none() {
            (self.promised, self.promised_at) = (ballot, Some(now));
        }
        let (expired_leases, memory) = (self.expired_leases(now), self.memory_state(now));
        Message::Promise {
            ballot,
            witness,
            incarnation: self.incarnation,
            accepted: self.accepted.clone(),
            expired_leases,
            memory,
        }
    }

    /// Accepts the value if this incarnation promised its ballot and the promise is still valid. Returns
    /// `None`, that is no response, if another incarnation promised, the promise has expired or the value is
    /// invalid.
    fn accept(
        &mut self,
        now: Duration,
        ballot: Ballot,
        incarnation: u64,
        value: &Register,
    ) -> Option<Message> {
        let witness = self.address;
        if ballot < self.promised {
            return Some(Message::Rejected { ballot, witness, promised: self.promised });
        }
        if self.accepted.as_ref().is_none_or(|accepted| accepted.0 < ballot) {
            // A value that arrives later may rest on promises that other acceptors have forgotten since.
            let promised_at =
                self.promised_at.filter(|_| ballot == self.promised && incarnation == self.incarnation)?;
            let in_time = now <= promised_at + ROUND_TIMEOUT;
            if !in_time || value.check_invariants().is_err() || value.longest_lease() > self.max_lease {
                return None;
            }
            self.is_current |= promised_at >= self.recovered_at;
            self.accepted = Some((ballot, value.clone()));
            self.update_lease_starts(now);
        }
        Some(Message::Accepted { ballot, witness, memory: self.memory_state(now) })
    }

    /// Leases of the accepted value: bit number in `expired_leases` of [`Message::Promise`], id and hold
    /// time.
    fn leases(&self) -> impl Iterator<Item = (usize, LeaseId, Duration)> + '_ {
        let value = self.accepted.iter().map(|accepted| &accepted.1);
        let permits = value.clone().flat_map(|value| value.permits.iter().enumerate());
        let release =
            value.filter_map(|value| value.release).map(|r| (MAX_PERMITS, r.lease_id(), r.hold_time()));
        permits.map(|(bit, permit)| (bit, permit.lease_id(), permit.hold_time())).chain(release)
    }

    /// Records `now` as the start of each new lease and drops leases that are no longer in the value. A lease
    /// that was accepted before with the same id keeps its start.
    fn update_lease_starts(&mut self, now: Duration) {
        let old = std::mem::take(&mut self.lease_starts);
        let starts = self.leases().map(|(_, id, _)| (id, old.get(&id).copied().unwrap_or(now))).collect();
        self.lease_starts = starts;
    }

    /// Bit set of the leases whose hold time has passed, with the bit numbers of [`Acceptor::leases`].
    fn expired_leases(&self, now: Duration) -> u32 {
        let expired = |(_, id, hold_time): &(usize, LeaseId, Duration)| {
            self.lease_starts.get(id).is_some_and(|start| now.saturating_sub(*start) > *hold_time)
        };
        self.leases().filter(expired).fold(0, |bits, (bit, _, _)| bits | 1 << bit)
    }

    /// Address of this witness, as in the settings.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// State to persist before the next response is sent.
    pub fn persisted_state(&self) -> PersistedState {
        PersistedState {
            promised: self.promised,
            accepted: self.accepted.clone(),
            is_current: self.is_current,
        }
    }

    /// Value accepted last.
    pub fn accepted_value(&self) -> Option<&Register> {
        self.accepted.as_ref().map(|accepted| &accepted.1)
    }

    /// Checks the invariants of the acceptor and of its accepted value.
    ///
    /// # Errors
    /// The first invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let check = |holds, invariant| ensure(holds, "acceptor", self.address.port().into(), invariant);
        check(
            self.accepted.as_ref().is_none_or(|accepted| accepted.0 <= self.promised),
            "accepted ballot is not above the promised one",
        )?;
        check(
            self.leases().count() == self.lease_starts.len(),
            "each lease of the accepted value has exactly one start",
        )?;
        self.accepted_value().map_or(Ok(()), Register::check_invariants)
    }
}
