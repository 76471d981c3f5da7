//! Proposer side of the register: responses of the acceptors.

use crate::change::Change;
use crate::limits::GrantContext;
use crate::message::Message;
use crate::proposal::{Outcome, Phase, ReceivedPromise, RESEND_INTERVAL};
use crate::proposer::{OutgoingMessages, Proposer};
use crate::types::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

impl Proposer {
    /// Number of witnesses that form a quorum.
    pub(crate) fn majority(&self) -> usize {
        self.config.witnesses.len() / 2 + 1
    }

    /// Collects a promise. Once a quorum has promised, applies the change to the newest accepted value and
    /// proposes the result.
    pub(crate) fn handle_promise(
        &mut self,
        now: Duration,
        ballot: Ballot,
        witness: SocketAddr,
        promise: ReceivedPromise,
        context: GrantContext<'_>,
    ) -> OutgoingMessages {
        let (majority, all) = (self.majority(), self.config.witnesses.len());
        let known = self.config.witnesses.contains(&witness);
        if let Some((ballot, started_at, value)) =
            self.last_committed.as_ref().filter(|last| last.0 == ballot && known)
        {
            // An acceptor that lost its state and promised last becomes current by accepting the value.
            let needs_value = promise.memory == MemoryState::WaitedOut && now < *started_at + ROUND_TIMEOUT;
            let (ballot, reply_to, incarnation) = (*ballot, self.config.address, promise.incarnation);
            let accept =
                || (witness, Message::Accept { ballot, reply_to, incarnation, value: value.clone() });
            return needs_value.then(accept).into_iter().collect();
        }
        let Some(proposal) = &mut self.proposal else { return OutgoingMessages::new() };
        // An acceptor may have forgotten an older promise since it sent it.
        let in_time = now < proposal.attempt_started_at + ROUND_TIMEOUT;
        if ballot != self.ballot || !known || !in_time {
            return OutgoingMessages::new();
        }
        let promises = match &mut proposal.phase {
            Phase::Preparing(promises) => promises,
            // A promise that comes after the quorum: the acceptor gets the value too, and one that lost its
            // state becomes current by accepting it.
            Phase::Accepting { value, incarnations, .. } if !incarnations.contains_key(&witness) => {
                incarnations.insert(witness, promise.incarnation);
                let (reply_to, value) = (self.config.address, value.clone());
                return vec![(
                    witness,
                    Message::Accept { ballot, reply_to, incarnation: promise.incarnation, value },
                )];
            }
            _ => return OutgoingMessages::new(),
        };
        promises.insert(witness, promise);
        let current = promises.values().filter(|p| p.memory == MemoryState::Current).count();
        let recovered = promises.values().filter(|p| p.memory != MemoryState::Recovering).count();
        if current < majority && recovered < all {
            return OutgoingMessages::new();
        }
        let promises = std::mem::take(promises);
        let accepted = promises
            .values()
            .filter(|p| p.memory != MemoryState::Recovering)
            .filter_map(|p| p.accepted.as_ref());
        let mut value = accepted.max_by_key(|a| a.0).map(|a| a.1.clone()).unwrap_or_default();
        value.term = value.term.max(self.highest_term);
        let expired = promises.values().flat_map(ReceivedPromise::expired_lease_ids).collect();
        value.remove_expired(&expired);
        let holder = if let Change::ReturnPermit { .. } = proposal.change {
            self.return_holder
        } else {
            self.config.incarnation
        };
        if let Err(reason) = value.apply((holder, self.request_id), &proposal.change, &expired, context) {
            // The value of an earlier attempt may still be accepted by a majority.
            let outcome = if proposal.value_sent { Outcome::Unknown } else { Outcome::Denied(reason) };
            self.finish(outcome);
            return OutgoingMessages::new();
        }
        let incarnations = promises.iter().map(|(w, p)| (*w, p.incarnation)).collect();
        proposal.phase = Phase::Accepting { value, incarnations, accepted_by: BTreeSet::new() };
        (proposal.value_sent, proposal.resend_at) = (true, now + RESEND_INTERVAL);
        self.pending_messages()
    }

    /// Counts an acceptance. Once a majority has accepted, the change is committed.
    pub(crate) fn handle_accepted(&mut self, ballot: Ballot, witness: SocketAddr, memory: MemoryState) {
        let majority = self.majority();
        let Some(proposal) = &mut self.proposal else { return };
        let Phase::Accepting { value, incarnations, accepted_by } = &mut proposal.phase else { return };
        if ballot != self.ballot || memory != MemoryState::Current || !incarnations.contains_key(&witness) {
            return;
        }
        accepted_by.insert(witness);
        if accepted_by.len() < majority {
            return;
        }
        let value = value.clone();
        let lease = proposal.granted_lease(self.config.incarnation, self.request_id, &value);
        self.last_committed = Some((ballot, proposal.attempt_started_at, value.clone()));
        self.highest_term = self.highest_term.max(value.term);
        let outcome = Outcome::Committed(value, lease);
        self.finish(outcome);
    }
}
