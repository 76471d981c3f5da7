//! Membership of one process: SWIM, leases and authentication behind one interface of datagrams and a clock.

mod application;
mod check;
mod types;

pub use application::MAX_QUEUED_APPLICATION_MESSAGES;
pub use types::{MemberConfig, MemberEvent, MemberStats, OutgoingDatagram};

use crate::auth::{ReceiveError, Signer, Verifier};
use crate::identity::{Incarnation, MemberId};
use crate::lease_count::{FleetSize, LeaseCount};
use crate::messages::Message;
use crate::swim::{MemberRecord, Swim};
use crate::view::MembershipView;
use crate::witness::Witness;
use check::Checkpoint;
use std::net::SocketAddr;
use std::time::Duration;

/// Local member of the fleet.
#[derive(Debug)]
pub struct Member {
    verifier: Verifier,
    /// `None` without keys: nothing is sent.
    signer: Option<Signer>,
    swim: Swim,
    lease_count: LeaseCount,
    witness: Option<Witness>,
    outgoing: Vec<OutgoingDatagram>,
    events: Vec<MemberEvent>,
    stats: MemberStats,
    checkpoint: Checkpoint,
    application_messages: Vec<Vec<u8>>,
}

impl Member {
    /// Creates a member that starts at `now`.
    pub fn new(now: Duration, config: MemberConfig) -> Member {
        let (local_address, holder) = (config.local_id.address, config.local_id.incarnation.token);
        let is_witness = config.witnesses.contains(&config.local_id.address);
        Member {
            verifier: Verifier::new(&config.keys),
            signer: config.keys.first().map(|key| Signer::new(key.clone(), holder)),
            swim: Swim::new(now, config.local_id, config.swim, config.seed),
            lease_count: LeaseCount::new(now, local_address, holder, config.lease_duration, config.witnesses),
            witness: is_witness
                .then(|| Witness::new(now, local_address, LeaseCount::hold_time(config.lease_duration))),
            outgoing: Vec::new(),
            events: Vec::new(),
            stats: MemberStats::default(),
            checkpoint: Checkpoint::default(),
            application_messages: Vec::new(),
        }
    }

    /// Handles a received datagram. The sender is identified by the authenticated contents, not by its IP address.
    ///
    /// # Errors
    /// The datagram was rejected; the membership state is unchanged.
    pub fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) -> Result<(), ReceiveError> {
        self.record_checkpoint(now);
        let before = self.reported_state();
        let result = self.handle_message(now, bytes);
        match result {
            Ok(()) => self.stats.received += 1,
            Err(reason) => *self.stats.rejected.entry(reason).or_default() += 1,
        }
        self.push_change_events(before);
        self.flush();
        result
    }

    fn handle_message(&mut self, now: Duration, bytes: &[u8]) -> Result<(), ReceiveError> {
        let (_, payload) = self.verifier.verify(bytes)?;
        match postcard::from_bytes(payload).map_err(|_| ReceiveError::Malformed)? {
            Message::Swim(bytes) => self.swim.handle_message(now, &bytes),
            Message::RenewRequest(request) => {
                if let Some(response) = self.witness.as_mut().map(|w| w.handle_request(now, request)) {
                    self.send(request.reply_to, &Message::RenewResponse(response));
                }
                Ok(())
            }
            Message::RenewResponse(response) => {
                self.lease_count.handle_response(now, response);
                Ok(())
            }
            Message::Application(bytes) => self.queue_application_message(bytes),
        }
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Duration) {
        self.record_checkpoint(now);
        let before = self.reported_state();
        if let Some(stalled_for) = self.swim.tick(now) {
            self.events.push(MemberEvent::Stalled(stalled_for));
        }
        if let Some((request, witnesses)) = self.lease_count.start_round(now) {
            let local_address = self.swim.local_id().address;
            for to in witnesses {
                match &mut self.witness {
                    Some(own) if to == local_address => {
                        let response = own.handle_request(now, request);
                        self.lease_count.handle_response(now, response);
                    }
                    _ => self.send(to, &Message::RenewRequest(request)),
                }
            }
        }
        self.push_change_events(before);
        self.flush();
    }

    /// State whose changes are reported as events: the incarnation, and whether the member is replaced.
    fn reported_state(&self) -> (Incarnation, bool) {
        (self.swim.local_id().incarnation, self.swim.replaced_by().is_some())
    }

    fn push_change_events(&mut self, (incarnation, was_replaced): (Incarnation, bool)) {
        if self.swim.local_id().incarnation != incarnation {
            self.events.push(MemberEvent::IncarnationRaised(self.swim.local_id().clone()));
        }
        if let (Some(id), false) = (self.swim.replaced_by(), was_replaced) {
            self.events.push(MemberEvent::Replaced(id.clone()));
        }
    }

    /// Time at which [`Member::tick`] is next due.
    pub fn next_due(&self) -> Duration {
        self.lease_count.next_due().map_or(self.swim.next_due(), |t| t.min(self.swim.next_due()))
    }

    /// Announces to other members that this one leaves.
    pub fn leave(&mut self, now: Duration) {
        self.record_checkpoint(now);
        self.swim.leave(now);
        self.flush();
    }

    /// Returns all membership records as a signed body, for a member that requested them with `nonce`.
    ///
    /// `None` if there is no key to sign with.
    pub fn records(&mut self, nonce: u64) -> Option<Vec<u8>> {
        let payload = postcard::to_stdvec(&(nonce, self.swim.records())).ok()?;
        self.signer.as_mut().map(|s| s.sign(&payload))
    }

    /// Merges the records of another member, received in response to a request with `nonce`.
    ///
    /// # Errors
    /// The body was rejected; the membership state is unchanged.
    pub fn sync(&mut self, now: Duration, nonce: u64, body: &[u8]) -> Result<(), ReceiveError> {
        self.record_checkpoint(now);
        let (_, payload) = self.verifier.verify_body(body)?;
        let (response_nonce, records) =
            postcard::from_bytes::<(u64, Vec<MemberRecord>)>(payload).map_err(|_| ReceiveError::Malformed)?;
        if response_nonce != nonce {
            return Err(ReceiveError::Replayed);
        }
        let before = self.reported_state();
        self.swim.sync(now, records);
        self.push_change_events(before);
        self.flush();
        Ok(())
    }

    /// Takes the datagrams to be sent since the last call.
    pub fn take_datagrams(&mut self) -> Vec<OutgoingDatagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Members known to this one.
    pub fn view(&self) -> &MembershipView {
        self.swim.view()
    }

    /// Identity of the local member, with its current incarnation.
    pub fn local_id(&self) -> &MemberId {
        self.swim.local_id()
    }

    /// Younger process with the same name, once one was seen: from then on this process must accept nothing new.
    pub fn replaced_by(&self) -> Option<&MemberId> {
        self.swim.replaced_by()
    }

    /// Latest bound on the fleet size; use it through [`FleetSize::valid_at`] at the time of use.
    pub fn fleet_size(&self) -> Option<FleetSize> {
        self.lease_count.fleet_size()
    }

    /// Witness in this process, if it is one.
    pub fn witness(&self) -> Option<&Witness> {
        self.witness.as_ref()
    }

    /// Datagram counters since the start.
    pub fn stats(&self) -> &MemberStats {
        &self.stats
    }

    fn flush(&mut self) {
        for (to, bytes) in self.swim.take_sends() {
            self.send(to, &Message::Swim(bytes));
        }
    }

    fn send(&mut self, to: SocketAddr, message: &Message) {
        let (Some(signer), Ok(payload)) = (&mut self.signer, postcard::to_stdvec(message)) else { return };
        let bytes = signer.sign(&payload);
        self.stats.sent += 1;
        self.stats.sent_bytes += bytes.len() as u64;
        self.outgoing.push(OutgoingDatagram { to, bytes });
    }
}
