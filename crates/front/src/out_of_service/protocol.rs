//! Message handling and timers of the permit protocol.

use super::messages::PermitMessage;
use super::{fleet_state, HeldPermit, OutOfService, PendingChange, MAX_DELAYED_REPLIES, MIN_PROPOSAL_DELAY};
use cloverhollow_out::{Change, Message, Outcome, Register};
use std::net::SocketAddr;
use std::time::Duration;

impl OutOfService {
    pub(super) fn handle_message(&mut self, now: Duration, message: Message) {
        match message {
            Message::Prepare { .. } | Message::Accept { .. } => {
                let Some(acceptor) = &mut self.acceptor else { return };
                let state_before = acceptor.persisted_state();
                let reply = acceptor.handle_message(now, &message);
                self.state_version += u64::from(acceptor.persisted_state() != state_before);
                if let Some(register) = acceptor.accepted_value().cloned() {
                    self.record_register(now, register);
                }
                // Guards against a reply that the acceptor forgets in a restart: it is delayed until the
                // state that it rests on is written.
                match reply {
                    Some((to, message)) if self.state_version <= self.persisted_version => {
                        self.outgoing.push((to, PermitMessage::Register(message)))
                    }
                    Some((to, message)) if self.delayed_replies.len() < MAX_DELAYED_REPLIES => {
                        self.delayed_replies.push_back((self.state_version, to, message));
                    }
                    _ => {}
                }
            }
            message => {
                if let Message::Promise { accepted: Some((_, register)), .. } = &message {
                    self.record_register(now, register.clone());
                }
                let context = OutOfService::grant_context(&self.fleet_state, &self.limits);
                let messages = self.proposer.handle_message(now, message, context);
                self.queue_messages(messages);
            }
        }
    }

    fn record_register(&mut self, now: Duration, register: Register) {
        if self.last_register.as_ref().is_none_or(|(_, old)| old.term <= register.term) {
            self.last_register = Some((now, register));
        }
    }

    /// Runs what is due, by the view of the last [`OutOfService::update_view`].
    pub(crate) fn tick(&mut self, now: Duration) {
        if let Some(outcome) = self.proposer.take_outcome() {
            self.handle_outcome(now, outcome);
        }
        if !self.proposer.is_busy() && now >= self.next_proposal {
            self.propose(now);
        }
        let messages = self.proposer.handle_timeout(now);
        self.queue_messages(messages);
        self.send_queries(now);
    }

    fn queue_messages(&mut self, messages: Vec<(SocketAddr, Message)>) {
        self.outgoing
            .extend(messages.into_iter().map(|(to, message)| (to, PermitMessage::Register(message))));
    }

    /// Returns the time when [`OutOfService::tick`] is next due; `None` until something arrives.
    pub(crate) fn next_due(&self, now: Duration) -> Option<Duration> {
        let proposal = self.next_change(now).map(|_| self.next_proposal);
        let query = (self.leaving && !self.unconfirmed.is_empty()).then_some(self.next_query);
        self.proposer.next_timeout().or(proposal).into_iter().chain(query).min()
    }

    /// Returns the messages to send since the last call; messages to this front itself are handled at once.
    pub(crate) fn take_outgoing(&mut self, now: Duration) -> Vec<(SocketAddr, PermitMessage)> {
        let mut messages = Vec::new();
        // Each round of messages to itself produces fewer; the bound guards against an endless loop.
        for _ in 0..16 {
            if self.outgoing.is_empty() && self.delayed_replies.is_empty() {
                break;
            }
            if self.state_file.is_none() {
                self.set_persisted(self.state_version, true);
            }
            for (to, message) in std::mem::take(&mut self.outgoing) {
                match message {
                    PermitMessage::Register(message) if to == self.own_address => {
                        self.handle_message(now, message)
                    }
                    message => messages.push((to, message)),
                }
            }
        }
        if let Some(outcome) = self.proposer.take_outcome() {
            self.handle_outcome(now, outcome);
        }
        messages
    }

    /// Returns the next change to propose. Permits of previous incarnations are returned first, because a
    /// permit has one holder.
    fn next_change(&self, now: Duration) -> Option<PendingChange> {
        // The permit of this incarnation is returned only while the front is not leaving, and so does not use
        // it.
        let unreturned = self.unreturned.iter().filter(|incarnation| {
            if **incarnation == self.incarnation {
                !self.leaving
            } else {
                self.in_service
            }
        });
        // A permit that expired while the process was suspended does not count.
        let needs_permit = self.leaving && !self.held_permit.is_some_and(|h| h.granted.is_valid_at(now));
        unreturned.copied().next().map(PendingChange::Return).or(needs_permit.then_some(PendingChange::Grant))
    }

    fn propose(&mut self, now: Duration) {
        let Some(pending) = self.next_change(now) else { return };
        if pending == PendingChange::Grant {
            // Recorded as unreturned before it is used: whatever happens to this incarnation, the next one
            // returns the permit.
            self.held_permit = None;
            self.add_unreturned(self.incarnation);
        }
        let change = match pending {
            PendingChange::Return(_) => Change::ReturnPermit { subject: self.subject },
            PendingChange::Grant => Change::Grant {
                subject: self.subject,
                place: self.place,
                lease_ms: self.lease_duration.as_millis() as u32,
                release: None,
            },
        };
        self.proposer.return_permits_of(if let PendingChange::Return(incarnation) = pending {
            Some(incarnation)
        } else {
            None
        });
        self.next_proposal = now + MIN_PROPOSAL_DELAY + MIN_PROPOSAL_DELAY.mul_f64(fastrand::f64());
        if self.proposer.submit(now, change) {
            self.pending_change = Some(pending);
        }
    }

    fn handle_outcome(&mut self, now: Duration, outcome: Outcome) {
        let Some(proposed) = self.pending_change.take() else { return };
        let subject = fleet_state::format_subject(self.subject);
        match (proposed, outcome) {
            (PendingChange::Return(incarnation), Outcome::Committed(register, _)) => {
                self.unreturned.retain(|other| *other != incarnation);
                self.state_version += 1;
                tracing::info!(
                    member = self.name.as_str(),
                    term = register.term.0,
                    subject,
                    reason = "it is back",
                    "permit returned"
                );
                self.record_register(now, register);
            }
            (PendingChange::Grant, Outcome::Committed(register, granted)) => {
                let term = register.term;
                self.record_register(now, register);
                // A permit that is no longer wanted is returned.
                if let Some(granted) = granted.filter(|_| self.leaving) {
                    self.held_permit = Some(HeldPermit { granted, term, state_version: self.state_version });
                    tracing::info!(
                        member = self.name.as_str(),
                        term = term.0,
                        subject,
                        reason = "told to go",
                        "permit granted"
                    );
                }
            }
            (_, Outcome::Denied(reason)) => self.denial_reason = reason.to_string(),
            (_, Outcome::NoQuorum) => self.denial_reason = "no majority of the witnesses answered".into(),
            (_, Outcome::Unknown) => {
                self.denial_reason = "no majority of the witnesses took it in time".into()
            }
        }
        self.next_proposal = now + MIN_PROPOSAL_DELAY + MIN_PROPOSAL_DELAY.mul_f64(fastrand::f64());
    }
}
