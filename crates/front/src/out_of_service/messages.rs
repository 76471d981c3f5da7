//! Permit messages between fronts, one in a datagram: register messages and readiness queries.
//!
//! The membership view shows which fronts are alive, not which are ready: an incarnation that starts after a
//! crash holds no permit, and counts as out of service until it reports that it accepts viewers. A front that
//! wants to leave queries each incarnation until it has answered. A front that never answers, because permits
//! are disabled there, counts as out of service.

use super::{fleet_state, OutOfService, MAX_QUERIED, QUERY_INTERVAL};
use cloverhollow_members::{MemberState, MembershipView};
use cloverhollow_out::Message;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Payload of a datagram about permits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PermitMessage {
    /// Message of the register protocol.
    #[serde(rename = "Out")]
    Register(Message),
    /// Query whether the receiver accepts viewers.
    #[serde(rename = "Asks")]
    QueryReadiness {
        /// Address for the reply.
        #[serde(rename = "reply")]
        reply_to: SocketAddr,
    },
    /// Reply: whether this incarnation at this address accepts viewers.
    #[serde(rename = "Stands")]
    Readiness {
        #[serde(rename = "who")]
        address: SocketAddr,
        #[serde(rename = "life")]
        incarnation: u64,
        #[serde(rename = "back")]
        in_service: bool,
    },
}

impl OutOfService {
    /// Handles a datagram; one that cannot be decoded is dropped.
    pub(crate) fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) {
        match postcard::from_bytes::<PermitMessage>(bytes) {
            Ok(PermitMessage::Register(message)) => self.handle_message(now, message),
            Ok(PermitMessage::QueryReadiness { reply_to }) => {
                let response = PermitMessage::Readiness {
                    address: self.own_address,
                    incarnation: self.incarnation,
                    in_service: self.in_service,
                };
                self.outgoing.push((reply_to, response));
            }
            Ok(PermitMessage::Readiness { address, incarnation, in_service: true })
                if self.unconfirmed.contains(&(address, incarnation)) =>
            {
                self.ready_incarnations.insert(address, incarnation);
                self.last_evaluation = None;
            }
            Ok(PermitMessage::Readiness { .. }) | Err(_) => {}
        }
    }

    /// Updates the sets of live members that have and have not reported that they accept viewers.
    pub(super) fn update_readiness(&mut self, view: &MembershipView) {
        let live = |address: &SocketAddr| view.members.get(address).filter(|s| s.state == MemberState::Alive);
        self.ready_incarnations.retain(|address, incarnation| {
            live(address).is_some_and(|s| s.id.incarnation.token == *incarnation)
        });
        let others = view
            .members
            .values()
            .filter(|s| s.state == MemberState::Alive && s.id.address != self.own_address);
        let unconfirmed = others.filter(|s| !fleet_state::is_ready(&self.ready_incarnations, s));
        self.unconfirmed = unconfirmed.map(|s| (s.id.address, s.id.incarnation.token)).collect();
    }

    /// Queries some of the members that have not reported, if this front wants to leave.
    pub(super) fn send_queries(&mut self, now: Duration) {
        if !self.leaving || now < self.next_query || self.unconfirmed.is_empty() {
            return;
        }
        self.next_query = now + QUERY_INTERVAL;
        // Starts at a random position, so that members that never answer cannot crowd out the others.
        let start = fastrand::usize(..self.unconfirmed.len());
        let queried =
            self.unconfirmed.iter().cycle().skip(start).take(MAX_QUERIED.min(self.unconfirmed.len()));
        let reply_to = self.own_address;
        self.outgoing.extend(queried.map(|(to, _)| (*to, PermitMessage::QueryReadiness { reply_to })));
    }
}
