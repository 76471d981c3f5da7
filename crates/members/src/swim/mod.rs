//! Membership view by the SWIM protocol with suspicion and incarnations (Das, Gupta, Motivala 2002), on top of `foca`.
//!
//! Added to the library: time-outs that are extended when the process was stalled, repeated announcements to seeds,
//! an incarnation that rises when it is refused, and detection of a younger process with the same name.

mod check;
mod config;
mod effects;
mod view_update;

pub use config::SwimConfig;

use crate::auth::ReceiveError;
use crate::identity::MemberId;
use crate::view::{MemberState, MembershipView};
use check::Checkpoint;
use config::foca_config;
use effects::Effects;
use foca::{Foca, Header, NoCustomBroadcast, PostcardCodec, State, Timer};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of known members, those that are down included. Beyond it, messages of unknown members are rejected;
/// beyond twice as many, all messages are.
pub const MAX_MEMBERS: usize = 4_096;

/// State of one member, as exchanged over the side address in addition to gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberRecord(foca::Member<MemberId>);

/// SWIM state of the local member.
pub struct Swim {
    config: SwimConfig,
    foca: Foca<MemberId, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    effects: Effects,
    /// Timers by due time, and by a number that orders those due at the same time.
    timers: BTreeMap<(Duration, u64), Timer<MemberId>>,
    last_timer_number: u64,
    view: MembershipView,
    /// Time of the last datagram from each address.
    last_received: BTreeMap<SocketAddr, Duration>,
    next_announcement: Duration,
    /// Time at which the incarnation was last raised.
    last_raise: Option<Duration>,
    /// Amount by which the incarnation was last raised; 1 before that.
    increment: u64,
    replaced_by: Option<MemberId>,
    /// True once the local member has announced that it leaves.
    left: bool,
    checkpoint: Option<Checkpoint>,
}

impl std::fmt::Debug for Swim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Swim")
            .field("local_id", self.foca.identity())
            .field("view", &self.view.version)
            .finish()
    }
}

impl Swim {
    /// Creates a member that knows no others and announces itself to the seeds at once.
    pub fn new(now: Duration, local_id: MemberId, config: SwimConfig, seed: u64) -> Swim {
        let foca = Foca::new(local_id, foca_config(&config), ChaCha8Rng::seed_from_u64(seed), PostcardCodec);
        let mut swim = Swim {
            config,
            foca,
            effects: Effects::default(),
            timers: BTreeMap::new(),
            last_timer_number: 0,
            view: MembershipView::default(),
            last_received: BTreeMap::new(),
            next_announcement: now,
            last_raise: None,
            increment: 1,
            replaced_by: None,
            left: false,
            checkpoint: None,
        };
        swim.update_view(now);
        swim
    }

    /// Identity of the local member, with its current incarnation.
    pub fn local_id(&self) -> &MemberId {
        self.foca.identity()
    }

    /// Known members.
    pub fn view(&self) -> &MembershipView {
        &self.view
    }

    /// Younger process with the same name, once one was seen: from then on this process must accept nothing new.
    pub fn replaced_by(&self) -> Option<&MemberId> {
        self.replaced_by.as_ref()
    }

    /// Takes the messages to be sent since the last call, each with its destination.
    pub fn take_sends(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.effects.sends)
    }

    /// Time at which [`Swim::tick`] is next due.
    pub fn next_due(&self) -> Duration {
        let timer = self.timers.keys().next().map(|(due, _)| *due);
        timer.map_or(self.next_announcement, |t| t.min(self.next_announcement))
    }

    /// Handles a SWIM message from another member.
    ///
    /// # Errors
    /// The message cannot be decoded, or its sender exceeds the limit of known members.
    pub fn handle_message(&mut self, now: Duration, bytes: &[u8]) -> Result<(), ReceiveError> {
        self.record_checkpoint(now);
        let (header, _) =
            postcard::take_from_bytes::<Header<MemberId>>(bytes).map_err(|_| ReceiveError::Malformed)?;
        if !header.src.has_valid_lengths() || !header.dst.has_valid_lengths() {
            return Err(ReceiveError::Malformed);
        }
        let known = self.foca.iter_membership_state().len();
        let is_unknown = !self.view.members.contains_key(&header.src.address);
        if known >= 2 * MAX_MEMBERS || (known >= MAX_MEMBERS && is_unknown) {
            return Err(ReceiveError::TooManyMembers);
        }
        if self.left {
            return Ok(());
        }
        let (source, sender) = (header.src.address, self.view.members.get(&header.src.address));
        if sender.is_none_or(|m| m.id.incarnation <= header.src.incarnation) {
            self.last_received.insert(source, now);
        }
        let result = self.foca.handle_data(bytes, &mut self.effects);
        self.apply_effects(now);
        // A member's own message, duplicated by the network, changes nothing, nor does one for another incarnation
        // of this address.
        match result {
            Ok(()) | Err(foca::Error::DataFromOurselves) => Ok(()),
            Err(_) => Err(ReceiveError::Malformed),
        }
    }

    /// Runs the timers that are due.
    ///
    /// Returns the delay if the process was stalled for so long that time-outs were extended.
    pub fn tick(&mut self, now: Duration) -> Option<Duration> {
        self.record_checkpoint(now);
        let delay = now.saturating_sub(self.next_due());
        let stalled_for = (delay > self.config.suspicion_timeout / 2).then_some(delay);
        if let Some(delay) = stalled_for {
            // Messages received during the stall, refutations among them, are still in the socket buffer, so every
            // time-out is extended by the delay.
            let timers = std::mem::take(&mut self.timers);
            self.timers = timers.into_iter().map(|((due, n), t)| ((due + delay, n), t)).collect();
        }
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            // The library ignores timers of its earlier states and reports an error for them.
            let _ = self.foca.handle_timer(timer, &mut self.effects);
            self.apply_effects(now);
        }
        if now >= self.next_announcement {
            self.next_announcement = now + self.config.rejoin_interval;
            self.announce();
        }
        self.apply_effects(now);
        self.update_view(now);
        stalled_for
    }

    /// Announces the local member to seeds that are down or unknown, and to members with the same name.
    fn announce(&mut self) {
        if self.left {
            return;
        }
        let is_up = |a: &SocketAddr| self.view.members.get(a).is_some_and(|m| m.state != MemberState::Down);
        let seeds: Vec<_> = self.config.seeds.iter().copied().filter(|s| !is_up(s)).collect();
        for seed in seeds.into_iter().filter(|s| *s != self.local_id().address).collect::<Vec<_>>() {
            let _ = self.foca.announce(MemberId::seed(seed), &mut self.effects);
        }
        let same_name: Vec<_> = self.members_with_local_name().map(|m| m.id.clone()).collect();
        for id in same_name {
            let _ = self.foca.announce(id, &mut self.effects);
        }
    }

    /// Announces that the local member leaves, so that others need not detect it.
    pub fn leave(&mut self, now: Duration) {
        self.record_checkpoint(now);
        self.left = true;
        let _ = self.foca.leave_cluster(&mut self.effects);
        self.apply_effects(now);
    }

    /// Returns the records of all known members, for another member.
    pub fn records(&self) -> Vec<MemberRecord> {
        let local = foca::Member::alive(self.local_id().clone());
        self.foca
            .iter_membership_state()
            .cloned()
            .chain([local])
            .take(MAX_MEMBERS)
            .map(MemberRecord)
            .collect()
    }

    /// Merges the records of another member, which were requested over the side address.
    ///
    /// Suspicions of other members are not adopted: the local member probes them itself. A suspicion of the local
    /// member is, so that it is refuted. Otherwise a member could stay suspect forever: the suspicion was gossiped
    /// to all members but the suspect, which answers each probe, and the member that would have declared it down
    /// has crashed or taken a new incarnation in the meantime.
    pub fn sync(&mut self, now: Duration, records: Vec<MemberRecord>) {
        self.record_checkpoint(now);
        let room = MAX_MEMBERS.saturating_sub(self.foca.iter_membership_state().len());
        let view = &self.view;
        let is_known = |r: &MemberRecord| view.members.contains_key(&r.0.id().address);
        let (known, new): (Vec<_>, Vec<_>) =
            records.into_iter().filter(|r| r.0.id().has_valid_lengths()).partition(is_known);
        let all = known.into_iter().chain(new.into_iter().take(room));
        let local_id = self.local_id().clone();
        let accepted = all.map(|r| r.0).filter(|m| m.state() != State::Suspect || *m.id() == local_id);
        let _ = self.foca.apply_many(accepted, true, &mut self.effects);
        self.apply_effects(now);
    }
}
