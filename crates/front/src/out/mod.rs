//! Permits to be out: this front's asker, and its witness's side where it is one, on the members' socket and tick.
//!
//! [`Out`] is the state, without I/O; [`crate::members`] hands it words and the time. Nothing decides here but
//! `cloverhollow_out`.

mod kept;
mod leave;
mod page;
mod said;
mod turn;
mod world;

pub use leave::LeaveOutcome;
pub(crate) use leave::{comes_back, keep, Gate};

use cloverhollow_members::MembershipView;
use cloverhollow_out::{
    Acceptor, FleetView, GrantContext, GrantedLease, InvariantViolation, Limits, MaxOutOfService, Message,
    Place, Proposer, ProposerConfig, Register, Subject, Term,
};
use cloverhollow_settings::FrontSettings;
use kept::LeafFile;
use said::Said;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Path at the side address by which a front is asked to go out when it may.
pub(crate) const PATH: &str = "/v1/out";
/// Between two asks: at least, and so much more by chance.
const AGAIN: Duration = Duration::from_millis(250);
/// The fleet is looked at when its view changes, and so often.
const LOOK: Duration = Duration::from_millis(100);
/// Whoever did not say yet that it takes viewers is asked so often, where this front wants to go...
const QUESTION: Duration = Duration::from_millis(300);
/// ...so many of them at a time.
const MOST_ASKED: usize = 64;
/// Most answers of the witness that wait for the disk; a further one is lost, as any may be.
const MOST_HELD: usize = 256;

/// What is asked of the register now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asks {
    Grant,
    GiveBack(u64),
}

/// A permit as the register named it.
#[derive(Clone, Copy, Debug)]
struct Held {
    granted: GrantedLease,
    term: Term,
    /// It may be used once so much has been tried to be written.
    version: u64,
}

#[derive(Debug)]
pub(crate) struct Out {
    name: String,
    me: SocketAddr,
    life: u64,
    subject: Subject,
    place: Place,
    lease: Duration,
    forget: Duration,
    witnesses: Vec<SocketAddr>,
    limits: Limits,
    clerk: Option<Acceptor>,
    asker: Proposer,
    asks: Option<Asks>,
    next_ask: Duration,
    /// It was told to go out.
    wanted: bool,
    /// It takes viewers.
    back: bool,
    held: Option<Held>,
    /// Lives that asked for a permit and have not given it back: earlier ones' once this one takes viewers, its own if
    /// it stays.
    owed: Vec<u64>,
    /// A member's whole list came since the start.
    listed: bool,
    sure_at: Option<Duration>,
    world: FleetView,
    /// By which view, and when.
    looked: Option<(u64, Duration)>,
    /// Why the last ask came to nothing.
    reason: String,
    register: Option<(Duration, Register)>,
    file: Option<LeafFile>,
    /// Rises with each change of what is kept.
    version: u64,
    tried: u64,
    good: u64,
    answers: VecDeque<(u64, SocketAddr, Message)>,
    words: Vec<(SocketAddr, Said)>,
    /// Lives that said that they take viewers, by address; members of the view alone.
    ready: BTreeMap<SocketAddr, u64>,
    /// Lives that are there and did not.
    strangers: Vec<(SocketAddr, u64)>,
    next_question: Duration,
}

impl Out {
    /// One that starts now, where permits are on. `me`: this front's datagrams' address; `life`: drawn at the start.
    pub(crate) fn open(settings: &FrontSettings, now: Duration, me: SocketAddr, life: u64) -> Option<Out> {
        let (set, m) = (&settings.out_of_service, &settings.members);
        if !set.is_enabled() {
            return None;
        }
        let file = LeafFile::of(settings);
        let leaf = file.as_ref().map(LeafFile::read).unwrap_or_default();
        let (lease, witnesses) = (set.permit_duration_ms.get(), m.witnesses.clone());
        let is_witness = witnesses.contains(&me);
        let most = MaxOutOfService {
            fleet: set.max_in_fleet.value as u16,
            zone: set.max_in_zone.get() as u16,
            rack: u16::MAX,
        };
        let none = MaxOutOfService { fleet: 0, zone: 0, rack: 0 };
        let unsure_ms = m.suspicion_timeout_ms.get().as_millis() as u32;
        let asker = ProposerConfig {
            address: me,
            incarnation: life,
            witnesses: witnesses.clone(),
            max_lease: lease,
            backoff_seed: fastrand::u64(..),
        };
        Some(Out {
            name: settings.instance.name.as_str().into(),
            me,
            life,
            subject: world::subject(settings.instance.name.as_str()),
            place: world::place(settings.instance.zone.as_str()),
            lease,
            forget: set.forget_after_ms.get(),
            witnesses,
            limits: Limits {
                fronts: most,
                servers: none,
                cells_per_title: 0,
                ring_cells: 0,
                free_link_kbit_s: None,
                max_uncertain_ms: unsure_ms,
            },
            clerk: is_witness.then(|| Acceptor::new(now, me, life, lease, leaf.clerk)),
            asker: Proposer::new(asker),
            asks: None,
            next_ask: now,
            wanted: false,
            back: false,
            held: None,
            owed: leaf.owed,
            listed: false,
            sure_at: None,
            world: FleetView::default(),
            reason: "not asked yet".into(),
            register: None,
            file,
            version: 0,
            tried: 0,
            good: 0,
            looked: None,
            answers: VecDeque::new(),
            words: Vec::new(),
            ready: BTreeMap::new(),
            strangers: Vec::new(),
            next_question: now,
        })
    }

    /// Looks at the fleet.
    pub(crate) fn look(&mut self, now: Duration, view: &MembershipView) {
        if self.looked.is_some_and(|(number, at)| number == view.version && now < at + LOOK) {
            return;
        }
        self.looked = Some((view.version, now));
        if self.listed && world::sees_witnesses(view, &self.witnesses) {
            self.sure_at = Some(now);
        }
        let unsure_for = self.sure_at.map_or(Duration::MAX, |at| now.saturating_sub(at));
        self.meet(view);
        self.world = world::world(now, view, &self.ready, self.forget, unsure_for);
    }

    /// A member's whole list came: who died before this front started is known.
    pub(crate) fn set_listed(&mut self) {
        self.listed = true;
    }

    pub(crate) fn is_listed(&self) -> bool {
        self.listed
    }

    /// It takes viewers.
    pub(crate) fn set_back(&mut self) {
        self.back = true;
    }

    /// It is to go out, from now on or no more.
    pub(crate) fn want(&mut self, wanted: bool) {
        self.wanted = wanted;
        if !wanted {
            // No use of it from here on: since it asked it owes it, and gives it back.
            self.held = None;
        }
    }

    /// The permit under which it may go now: looked at again at each use.
    pub(crate) fn may_leave(&self, now: Duration) -> Option<Term> {
        self.held.filter(|h| h.granted.is_valid_at(now) && h.version <= self.tried).map(|h| h.term)
    }

    /// # Errors
    /// An invariant that does not hold.
    pub(crate) fn check(&self) -> Result<(), InvariantViolation> {
        let is = |good, what| match good {
            true => Ok(()),
            false => Err(InvariantViolation { component: "front's permits", id: self.life, invariant: what }),
        };
        is(self.good <= self.tried && self.tried <= self.version, "nothing kept that is not there yet")?;
        is(self.held.is_none() || (self.wanted && self.owed.contains(&self.life)), "what it holds it owes")?;
        is(self.owed.len() <= kept::MOST_OWED && self.answers.len() <= MOST_HELD, "bounds")?;
        self.clerk.as_ref().map_or(Ok(()), Acceptor::check_invariants)?;
        self.asker.check_invariants()
    }

    /// Why the last ask came to nothing, in words.
    pub(crate) fn why_not(&self) -> String {
        self.reason.clone()
    }

    fn seen<'a>(world: &'a FleetView, limits: &'a Limits) -> GrantContext<'a> {
        GrantContext { fleet: world, limits }
    }
}
