//! Proposer side of the register: submits one change at a time to a majority of the witnesses.

use crate::change::Change;
use crate::limits::GrantContext;
use crate::message::Message;
use crate::proposal::*;
use crate::types::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Configuration of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProposerConfig {
    /// Address to which acceptors send their responses.
    pub address: SocketAddr,
    /// Incarnation of this process, drawn at its start.
    pub incarnation: u64,
    /// Addresses of all witnesses, the same at all fronts.
    pub witnesses: Vec<SocketAddr>,
    /// Longest lease, the same at all witnesses.
    pub max_lease: Duration,
    /// Seed of the pseudo-random backoff between attempts.
    pub backoff_seed: u64,
}

/// Paxos proposer of the register, run by each front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    /// Configuration.
    pub(crate) config: ProposerConfig,
    /// Ballot of the current or last attempt.
    pub(crate) ballot: Ballot,
    /// Number of the current or last request.
    pub(crate) request_id: u32,
    /// Highest term observed: every new value gets a higher one.
    pub(crate) highest_term: Term,
    /// Change in progress.
    pub(crate) proposal: Option<Proposal>,
    /// Outcome that the caller has not taken yet.
    pub(crate) outcome: Option<Outcome>,
    /// Last committed attempt: its ballot, its start and its value.
    pub(crate) last_committed: Option<(Ballot, Duration, Register)>,
    /// Incarnation whose permits are returned: this one or an earlier one.
    pub(crate) return_holder: u64,
}

/// Messages to send, each with its destination.
pub(crate) type OutgoingMessages = Vec<(SocketAddr, Message)>;

impl Proposer {
    /// Creates an idle proposer.
    pub fn new(config: ProposerConfig) -> Proposer {
        let ballot = Ballot { round: 0, proposer: config.incarnation };
        let return_holder = config.incarnation;
        Proposer {
            config,
            ballot,
            request_id: 0,
            highest_term: Term::default(),
            proposal: None,
            outcome: None,
            last_committed: None,
            return_holder,
        }
    }

    /// Sets the incarnation whose permits later [`Change::ReturnPermit`] requests return: an earlier
    /// incarnation of this front, which has ended and uses no permit any more, or this one for `None`.
    /// Ballots and request ids stay those of this incarnation, because messages of the earlier one may still
    /// be in flight.
    pub fn return_permits_of(&mut self, earlier: Option<u64>) {
        self.return_holder = earlier.unwrap_or(self.config.incarnation);
    }

    /// Submits a change. Returns `false` if one is in progress already or the lease is too long.
    pub fn submit(&mut self, now: Duration, change: Change) -> bool {
        let lease = match change {
            Change::Grant { lease_ms, .. }
            | Change::StartRelease { lease_ms, .. }
            | Change::DriveRelease { lease_ms, .. } => lease_ms,
            _ => 0,
        };
        if self.proposal.is_some() || Duration::from_millis(lease.into()) > self.config.max_lease {
            return false;
        }
        self.request_id = self.request_id.wrapping_add(1);
        let phase = Phase::BackingOff(now);
        let proposal = Proposal {
            change,
            submitted_at: now,
            attempts: 0,
            attempt_started_at: now,
            resend_at: now,
            value_sent: false,
            phase,
        };
        (self.proposal, self.outcome) = (Some(proposal), None);
        true
    }

    /// Records a term that another process has seen, so that terms keep rising even if a majority of the
    /// witnesses has forgotten it.
    pub fn observe_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    /// Returns whether a change is in progress.
    pub fn is_busy(&self) -> bool {
        self.proposal.is_some()
    }

    /// Takes the outcome of the last change. Each outcome is returned once.
    pub fn take_outcome(&mut self) -> Option<Outcome> {
        self.outcome.take()
    }

    /// Time at which [`Proposer::handle_timeout`] must be called next, if a change is in progress.
    pub fn next_timeout(&self) -> Option<Duration> {
        let proposal = self.proposal.as_ref()?;
        Some(match proposal.phase {
            Phase::BackingOff(until) => until,
            _ => proposal.resend_at.min(proposal.attempt_started_at + ROUND_TIMEOUT),
        })
    }

    /// Starts, resends or ends an attempt if its time has come, and returns the messages to send.
    pub fn handle_timeout(&mut self, now: Duration) -> OutgoingMessages {
        let Some(proposal) = &mut self.proposal else { return OutgoingMessages::new() };
        match &proposal.phase {
            Phase::BackingOff(until) if now < *until => OutgoingMessages::new(),
            Phase::BackingOff(_) => {
                proposal.attempts += 1;
                (proposal.attempt_started_at, proposal.resend_at) = (now, now + RESEND_INTERVAL);
                proposal.phase = Phase::Preparing(BTreeMap::new());
                self.ballot.round = self.ballot.round.saturating_add(1);
                self.pending_messages()
            }
            _ if now >= proposal.attempt_started_at + ROUND_TIMEOUT => {
                self.retry_later(now);
                OutgoingMessages::new()
            }
            _ if now >= proposal.resend_at => {
                proposal.resend_at = now + RESEND_INTERVAL;
                self.pending_messages()
            }
            _ => OutgoingMessages::new(),
        }
    }

    /// Messages of the current phase to all witnesses that have not responded.
    pub(crate) fn pending_messages(&self) -> OutgoingMessages {
        let (ballot, reply_to) = (self.ballot, self.config.address);
        match self.proposal.as_ref().map(|p| &p.phase) {
            Some(Phase::Preparing(promises)) => {
                let others = self.config.witnesses.iter().filter(|w| !promises.contains_key(w));
                others.map(|w| (*w, Message::Prepare { ballot, reply_to })).collect()
            }
            Some(Phase::Accepting { value, incarnations, accepted_by }) => {
                let others = incarnations.iter().filter(|(w, _)| !accepted_by.contains(w));
                let accept =
                    |incarnation| Message::Accept { ballot, reply_to, incarnation, value: value.clone() };
                others.map(|(w, incarnation)| (*w, accept(*incarnation))).collect()
            }
            _ => OutgoingMessages::new(),
        }
    }

    /// Schedules the next attempt after a backoff that differs between proposers, or ends the change if no
    /// attempt is left.
    fn retry_later(&mut self, now: Duration) {
        let Some(proposal) = &mut self.proposal else { return };
        if proposal.attempts >= MAX_ATTEMPTS {
            let outcome = if proposal.value_sent { Outcome::Unknown } else { Outcome::NoQuorum };
            return self.finish(outcome);
        }
        proposal.phase =
            Phase::BackingOff(now + proposal.backoff(self.config.backoff_seed ^ mix_bits(self.ballot.round)));
    }

    /// Ends the change in progress.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        (self.proposal, self.outcome) = (None, Some(outcome));
    }

    /// Handles a response of an acceptor and returns the messages to send. `context` is what a grant is
    /// checked against when a majority has promised.
    pub fn handle_message(
        &mut self,
        now: Duration,
        message: Message,
        context: GrantContext<'_>,
    ) -> OutgoingMessages {
        match message {
            Message::Promise { ballot, witness, incarnation, accepted, expired_leases, memory } => {
                let promise = ReceivedPromise { incarnation, accepted, expired_leases, memory };
                self.handle_promise(now, ballot, witness, promise, context)
            }
            Message::Accepted { ballot, witness, memory } => {
                self.handle_accepted(ballot, witness, memory);
                OutgoingMessages::new()
            }
            Message::Rejected { ballot, promised, .. } => {
                if ballot == self.ballot && self.proposal.as_ref().is_some_and(Proposal::is_active) {
                    self.ballot.round = self.ballot.round.max(promised.round);
                    self.retry_later(now);
                }
                OutgoingMessages::new()
            }
            Message::Prepare { .. } | Message::Accept { .. } => OutgoingMessages::new(),
        }
    }

    /// Checks the invariants of the proposer and of the value that it proposes.
    ///
    /// # Errors
    /// The first invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let is = |good, what| ensure(good, "proposer", self.config.incarnation, what);
        is(self.ballot.proposer == self.config.incarnation, "ballots name this incarnation")?;
        let Some(proposal) = &self.proposal else { return Ok(()) };
        is(proposal.attempts <= MAX_ATTEMPTS, "no more attempts than the maximum")?;
        is(
            proposal.submitted_at <= proposal.attempt_started_at,
            "a lease runs from before its first prepare message",
        )?;
        if let Phase::Accepting { value, incarnations, accepted_by } = &proposal.phase {
            is(accepted_by.len() < self.majority(), "a value that a majority accepted is committed")?;
            is(
                accepted_by.iter().all(|w| incarnations.contains_key(w)),
                "only acceptors that promised accept",
            )?;
            is(value.longest_lease() <= self.config.max_lease, "no lease is longer than the maximum")?;
            value.check_invariants()?;
        }
        Ok(())
    }
}
