//! Random load: what may happen to a front, and what is known of it without the core.

mod looks;
pub mod shell;
pub mod wild;

use cloverhollow::ListMode;
use cloverhollow_session::{AttemptEnd, EndReason, WireState};
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::collections::{BTreeMap, BTreeSet};

/// Servers that lists name.
pub const SERVERS: u64 = 8;
/// A server that the last life heard draining.
pub const DRAINED: u64 = 3;

/// What happens next. Inputs lie in a box until the next step; a number picks one of those that there are.
#[derive(Clone, Debug)]
pub enum Happens {
    /// All that is due is done, then so many ms pass.
    Passes(u64),
    /// One step of the core, with what lies in the box; the words on its recalls come with the next one.
    Step,
    /// One step by a clock that is so many ms behind.
    Behind(u64),
    Asks {
        sid: u32,
        paid: bool,
        /// ms that its viewer waits, where it says so.
        patience: Option<u64>,
        underway: bool,
    },
    HangsUp(usize),
    /// An attempt's first byte goes out.
    Goes(usize),
    Plays(usize),
    Ends(usize, AttemptEnd),
    /// An attempt that is booked already plays, or ends.
    Late(usize, bool),
    Over(usize, EndReason),
    Lost(usize),
    Reads(usize, f64),
    Notes(usize, usize),
    Touched(usize),
    Adopted(u32, bool, u64),
    Listed(ListMode, Vec<(u64, WireState, u64)>),
    /// A peer tells what it knows; its own list has that server so.
    Told(u64, WireState),
    Counted(Option<usize>),
}

/// What is known without the core: the list, as all that was said of it adds up.
#[derive(Clone, Debug)]
pub struct Known {
    /// By the decision module, else by one that asks for anything.
    pub brain: bool,
    /// It ran before, and a drain was heard.
    pub ran_before: bool,
    pub states: BTreeMap<u64, WireState>,
    /// Servers whose last word, not from a kept list, was that they take nothing new.
    pub stopped: BTreeSet<u64>,
}

impl Known {
    fn listed(&mut self, mode: ListMode, entries: &[(u64, WireState, u64)]) {
        if mode == ListMode::Failed {
            return;
        }
        let mut after = if mode == ListMode::Patch { self.states.clone() } else { BTreeMap::new() };
        for (id, state, _) in entries {
            let reminded = mode == ListMode::Stale && self.stopped.contains(id);
            let state = if reminded && *state == WireState::Serving { WireState::Draining } else { *state };
            after.insert(*id, state);
            if state == WireState::Serving && mode != ListMode::Stale {
                self.stopped.remove(id);
            }
        }
        let serves = |states: &BTreeMap<u64, WireState>, id| states.get(&id) == Some(&WireState::Serving);
        self.stopped.extend((1..=SERVERS).filter(|id| serves(&self.states, *id) && !serves(&after, *id)));
        self.states = after;
    }

    pub fn serving(&self) -> usize {
        self.states.values().filter(|s| **s == WireState::Serving).count()
    }
}

fn end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::NotConnected),
        Just(AttemptEnd::Full),
        Just(AttemptEnd::Error { status: 500 }),
        Just(AttemptEnd::Reset),
        Just(AttemptEnd::NotPersisted),
    ]
}

fn state() -> impl Strategy<Value = WireState> {
    prop_oneof![4 => Just(WireState::Serving), 1 => Just(WireState::Draining), 1 => Just(WireState::Gone)]
}

/// Some names come again and again, others fill the front.
fn sid() -> impl Strategy<Value = u32> {
    prop_oneof![3 => 0u32..6, 1 => 0u32..90]
}

fn over() -> impl Strategy<Value = EndReason> {
    prop_oneof![Just(EndReason::Ended), Just(EndReason::Quit), Just(EndReason::Fatal)]
}

fn listed() -> impl Strategy<Value = Happens> {
    let mode = prop_oneof![
        2 => Just(ListMode::Full),
        4 => Just(ListMode::Patch),
        1 => Just(ListMode::Stale),
        1 => Just(ListMode::Failed),
    ];
    let entries = proptest::collection::btree_map(1..=SERVERS, (state(), 1u64..3), 0..5);
    (mode, entries).prop_map(|(mode, entries)| {
        let entries = match mode {
            ListMode::Failed => Vec::new(),
            _ => entries.into_iter().map(|(id, (state, life))| (id, state, life)).collect(),
        };
        Happens::Listed(mode, entries)
    })
}

impl ReferenceStateMachine for Known {
    type State = Known;
    type Transition = Happens;

    fn init_state() -> BoxedStrategy<Known> {
        let begin = |(brain, ran_before)| Known {
            brain,
            ran_before,
            states: BTreeMap::new(),
            stopped: if ran_before { BTreeSet::from([DRAINED]) } else { BTreeSet::new() },
        };
        (any::<bool>(), any::<bool>()).prop_map(begin).boxed()
    }

    fn transitions(_: &Known) -> BoxedStrategy<Happens> {
        let any_of = 0usize..64;
        let patience = proptest::option::weighted(0.3, 100u64..6_000);
        prop_oneof![
            14 => prop_oneof![8 => 1u64..200, 2 => 200u64..1_500, 1 => 3_000u64..20_000].prop_map(Happens::Passes),
            10 => Just(Happens::Step),
            1 => (1u64..500).prop_map(Happens::Behind),
            16 => (sid(), any::<bool>(), patience, prop::bool::weighted(0.05))
                .prop_map(|(sid, paid, patience, underway)| Happens::Asks { sid, paid, patience, underway }),
            5 => any_of.clone().prop_map(Happens::HangsUp),
            10 => any_of.clone().prop_map(Happens::Goes),
            6 => any_of.clone().prop_map(Happens::Plays),
            5 => (any_of.clone(), end()).prop_map(|(n, end)| Happens::Ends(n, end)),
            2 => (any_of.clone(), any::<bool>()).prop_map(|(n, plays)| Happens::Late(n, plays)),
            2 => (any_of.clone(), over()).prop_map(|(n, why)| Happens::Over(n, why)),
            1 => any_of.clone().prop_map(Happens::Lost),
            2 => (any_of.clone(), 0.0f64..1.3).prop_map(|(n, x)| Happens::Reads(n, x)),
            1 => (any_of.clone(), 0usize..6).prop_map(|(n, rung)| Happens::Notes(n, rung)),
            2 => any_of.prop_map(Happens::Touched),
            1 => (sid(), any::<bool>(), 1..=SERVERS + 1).prop_map(|(sid, paid, at)| Happens::Adopted(sid, paid, at)),
            5 => listed(),
            1 => (1..=SERVERS, state()).prop_map(|(id, state)| Happens::Told(id, state)),
            1 => proptest::option::of(1usize..40).prop_map(Happens::Counted),
        ]
        .boxed()
    }

    fn apply(mut known: Known, happens: &Happens) -> Known {
        if let Happens::Listed(mode, entries) = happens {
            known.listed(*mode, entries);
        }
        known
    }
}
