//! The view, kept by SWIM with suspicion and incarnations (Das, Gupta, Motivala 2002) as `foca` has it.
//!
//! What is ours: time-outs that wait for a process that stood still, seeds that are asked again, a incarnation that rises
//! when it is refused, and the word to step back when another process bears the same name.

mod check;
mod effects;
mod look;
mod settings;

pub use settings::SwimConfig;

use crate::identity::MemberId;
use crate::seal::ReceiveError;
use crate::view::{MemberState, MembershipView};
use check::Marks;
use effects::Effects;
use foca::{Foca, Header, NoCustomBroadcast, PostcardCodec, State, Timer};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use settings::config;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Most members known, those that are gone included; strangers past them are not heard, past twice as many nobody.
pub const MAX_MEMBERS: usize = 4_096;

/// What one member holds of another, as it is told over the side address where datagrams might not tell it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberRecord(foca::Member<MemberId>);

/// One member's view of the others.
pub struct Swim {
    set: SwimConfig,
    foca: Foca<MemberId, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    effects: Effects,
    /// By when they are due, and a number that keeps those of one instant in order.
    timers: BTreeMap<(Duration, u64), Timer<MemberId>>,
    timer: u64,
    view: MembershipView,
    last_received: BTreeMap<SocketAddr, Duration>,
    next_call: Duration,
    risen: Option<Duration>,
    rise: u64,
    replaced_by: Option<MemberId>,
    left: bool,
    marks: Option<Marks>,
}

impl std::fmt::Debug for Swim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Swim").field("me", self.foca.identity()).field("view", &self.view.version).finish()
    }
}

impl Swim {
    /// A member that knows nobody yet and calls on the seeds at once.
    pub fn new(now: Duration, me: MemberId, set: SwimConfig, seed: u64) -> Swim {
        let foca = Foca::new(me, config(&set), ChaCha8Rng::seed_from_u64(seed), PostcardCodec);
        let mut swim = Swim {
            set,
            foca,
            effects: Effects::default(),
            timers: BTreeMap::new(),
            timer: 0,
            view: MembershipView::default(),
            last_received: BTreeMap::new(),
            next_call: now,
            risen: None,
            rise: 1,
            replaced_by: None,
            left: false,
            marks: None,
        };
        swim.look(now);
        swim
    }

    /// This member, in its present incarnation.
    pub fn local_id(&self) -> &MemberId {
        self.foca.identity()
    }

    /// MemberId is thought to be there.
    pub fn view(&self) -> &MembershipView {
        &self.view
    }

    /// MemberId bears the same name and is the younger process: this one is to take nothing new.
    pub fn replaced_by(&self) -> Option<&MemberId> {
        self.replaced_by.as_ref()
    }

    /// What is to be sent, since the last call.
    pub fn take_sends(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.effects.sends)
    }

    /// When [`Swim::tick`] is next due.
    pub fn next_due(&self) -> Duration {
        let timer = self.timers.keys().next().map(|(at, _)| *at);
        timer.map_or(self.next_call, |t| t.min(self.next_call))
    }

    /// A message of the library's from another member.
    ///
    /// # Errors
    /// It can't be read, or is a stranger's too many.
    pub fn message(&mut self, now: Duration, bytes: &[u8]) -> Result<(), ReceiveError> {
        self.mark(now);
        let (header, _) =
            postcard::take_from_bytes::<Header<MemberId>>(bytes).map_err(|_| ReceiveError::Malformed)?;
        if !header.src.bounded() || !header.dst.bounded() {
            return Err(ReceiveError::Malformed);
        }
        let known = self.foca.iter_membership_state().len();
        let stranger = !self.view.members.contains_key(&header.src.address);
        if known >= 2 * MAX_MEMBERS || (known >= MAX_MEMBERS && stranger) {
            return Err(ReceiveError::TooManyMembers);
        }
        if self.left {
            return Ok(());
        }
        let (source, seen) = (header.src.address, self.view.members.get(&header.src.address));
        if seen.is_none_or(|s| s.id.incarnation <= header.src.incarnation) {
            self.last_received.insert(source, now);
        }
        let read = self.foca.handle_data(bytes, &mut self.effects);
        self.settle(now);
        // Its own word come back by a wire that doubles, or one for another incarnation of this address, changes nothing.
        match read {
            Ok(()) | Err(foca::Error::DataFromOurselves) => Ok(()),
            Err(_) => Err(ReceiveError::Malformed),
        }
    }

    /// Does what is due. `Some`: the process stood still for so long, and what it believed before is doubted anew
    /// in place of being acted on.
    pub fn tick(&mut self, now: Duration) -> Option<Duration> {
        self.mark(now);
        let late = now.saturating_sub(self.next_due());
        let stood = (late > self.set.suspicion_timeout / 2).then_some(late);
        if let Some(late) = stood {
            // What came meanwhile waits at the socket, objections among it: every time-out waits as much longer.
            let timers = std::mem::take(&mut self.timers);
            self.timers = timers.into_iter().map(|((at, n), t)| ((at + late, n), t)).collect();
        }
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            // One of an earlier state of the library says so and changes nothing.
            let _ = self.foca.handle_timer(timer, &mut self.effects);
            self.settle(now);
        }
        if now >= self.next_call {
            self.next_call = now + self.set.rejoin_interval;
            self.call();
        }
        self.settle(now);
        self.look(now);
        stood
    }

    /// Calls on seeds that are not there, and on who bears this member's name.
    fn call(&mut self) {
        if self.left {
            return;
        }
        let there = |a: &SocketAddr| self.view.members.get(a).is_some_and(|s| s.state != MemberState::Down);
        let seeds: Vec<_> = self.set.seeds.iter().copied().filter(|s| !there(s)).collect();
        for seed in seeds.into_iter().filter(|s| *s != self.local_id().address).collect::<Vec<_>>() {
            let _ = self.foca.announce(MemberId::seed(seed), &mut self.effects);
        }
        let namesakes: Vec<_> = self.namesakes().map(|s| s.id.clone()).collect();
        for who in namesakes {
            let _ = self.foca.announce(who, &mut self.effects);
        }
    }

    /// Leaves with a word: the others need not find out.
    pub fn leave(&mut self, now: Duration) {
        self.mark(now);
        self.left = true;
        let _ = self.foca.leave_cluster(&mut self.effects);
        self.settle(now);
    }

    /// All that is held, for another member.
    pub fn records(&self) -> Vec<MemberRecord> {
        let me = foca::Member::alive(self.local_id().clone());
        self.foca.iter_membership_state().cloned().chain([me]).take(MAX_MEMBERS).map(MemberRecord).collect()
    }

    /// What another member holds, asked for over the side address. Those in doubt there are not doubted here:
    /// they are probed in their turn. A doubt of this member itself is taken, and objected to. Guards one that is
    /// doubted by all for ever: its doubt was passed on to all but itself, who answers each probe, and whoever was to
    /// take it for gone has died or risen meanwhile.
    pub fn sync(&mut self, now: Duration, records: Vec<MemberRecord>) {
        self.mark(now);
        let room = MAX_MEMBERS.saturating_sub(self.foca.iter_membership_state().len());
        let view = &self.view;
        let known = |r: &MemberRecord| view.members.contains_key(&r.0.id().address);
        let (old, new): (Vec<_>, Vec<_>) =
            records.into_iter().filter(|r| r.0.id().bounded()).partition(known);
        let all = old.into_iter().chain(new.into_iter().take(room));
        let me = self.local_id().clone();
        let sure = all.map(|r| r.0).filter(|m| m.state() != State::Suspect || *m.id() == me);
        let _ = self.foca.apply_many(sure, true, &mut self.effects);
        self.settle(now);
    }
}
