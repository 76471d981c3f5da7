//! Random load: the transitions that may occur at a front, and a model of its state that does not use the core.

mod checks;
pub mod harness;
pub mod random_policy;

use cloverhollow::ListMode;
use cloverhollow_session::{AttemptEnd, EndReason, WireState};
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::collections::{BTreeMap, BTreeSet};

/// Number of servers that lists may name.
pub const SERVERS: u64 = 8;
/// Server that the previous incarnation logged as draining.
pub const DRAINED: u64 = 3;

/// A transition of the front or its surroundings.
///
/// Its inputs are queued until the next step. A number selects one of the items that exist at the time.
#[derive(Clone, Debug)]
pub enum Transition {
    /// Everything due is processed, then the given time passes, ms.
    TimePasses(u64),
    /// One step of the core with the queued inputs. Reports on cancelled attempts come with the next step.
    Step,
    /// One step with a clock that is behind by the given time, ms.
    StepBehind(u64),
    Request {
        sid: u32,
        paid: bool,
        /// Time that the viewer waits, ms, if its hints contain it.
        max_wait_ms: Option<u64>,
        /// True if the hints say that the session plays already.
        plays: bool,
    },
    Disconnect(usize),
    /// The first byte of an attempt is sent.
    FirstByte(usize),
    Succeed(usize),
    Fail(usize, AttemptEnd),
    /// A late report arrives for an attempt whose end was reported already: success if true, else failure.
    LateReport(usize, bool),
    EndSession(usize, EndReason),
    LoseSession(usize),
    ReportLoad(usize, f64),
    ReportRung(usize, usize),
    Activity(usize),
    Adopt(u32, bool, u64),
    UpdateList(ListMode, Vec<(u64, WireState, u64)>),
    /// A peer sends its knowledge; its own list has the given server in the given state.
    PeerMessage(u64, WireState),
    FleetSize(Option<usize>),
}

/// Model of the server list, built from all its updates without the core.
#[derive(Clone, Debug)]
pub struct Model {
    /// True to use the real policy, false to use the random one.
    pub real_policy: bool,
    /// True if an earlier incarnation logged a drain.
    pub ran_before: bool,
    pub states: BTreeMap<u64, WireState>,
    /// Servers that accept no new sessions by the last update that was not a persisted list.
    pub stopped: BTreeSet<u64>,
}

impl Model {
    fn update_list(&mut self, mode: ListMode, entries: &[(u64, WireState, u64)]) {
        if mode == ListMode::Failed {
            return;
        }
        let mut after = if mode == ListMode::Patch { self.states.clone() } else { BTreeMap::new() };
        for (id, state, _) in entries {
            let is_drained = mode == ListMode::Stale && self.stopped.contains(id);
            let state = if is_drained && *state == WireState::Serving { WireState::Draining } else { *state };
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

fn attempt_end() -> impl Strategy<Value = AttemptEnd> {
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

/// A few names that occur often, and many others that fill the front.
fn sid() -> impl Strategy<Value = u32> {
    prop_oneof![3 => 0u32..6, 1 => 0u32..90]
}

fn end_reason() -> impl Strategy<Value = EndReason> {
    prop_oneof![Just(EndReason::Ended), Just(EndReason::Quit), Just(EndReason::Fatal)]
}

fn list_updates() -> impl Strategy<Value = Transition> {
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
            _ => entries.into_iter().map(|(id, (state, incarnation))| (id, state, incarnation)).collect(),
        };
        Transition::UpdateList(mode, entries)
    })
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Model> {
        let initial = |(real_policy, ran_before)| Model {
            real_policy,
            ran_before,
            states: BTreeMap::new(),
            stopped: if ran_before { BTreeSet::from([DRAINED]) } else { BTreeSet::new() },
        };
        (any::<bool>(), any::<bool>()).prop_map(initial).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Transition> {
        let any_of = 0usize..64;
        let max_wait_ms = proptest::option::weighted(0.3, 100u64..6_000);
        prop_oneof![
            14 => prop_oneof![8 => 1u64..200, 2 => 200u64..1_500, 1 => 3_000u64..20_000].prop_map(Transition::TimePasses),
            10 => Just(Transition::Step),
            1 => (1u64..500).prop_map(Transition::StepBehind),
            16 => (sid(), any::<bool>(), max_wait_ms, prop::bool::weighted(0.05))
                .prop_map(|(sid, paid, max_wait_ms, plays)| Transition::Request { sid, paid, max_wait_ms, plays }),
            5 => any_of.clone().prop_map(Transition::Disconnect),
            10 => any_of.clone().prop_map(Transition::FirstByte),
            6 => any_of.clone().prop_map(Transition::Succeed),
            5 => (any_of.clone(), attempt_end()).prop_map(|(n, end)| Transition::Fail(n, end)),
            2 => (any_of.clone(), any::<bool>()).prop_map(|(n, success)| Transition::LateReport(n, success)),
            2 => (any_of.clone(), end_reason()).prop_map(|(n, reason)| Transition::EndSession(n, reason)),
            1 => any_of.clone().prop_map(Transition::LoseSession),
            2 => (any_of.clone(), 0.0f64..1.3).prop_map(|(n, load)| Transition::ReportLoad(n, load)),
            1 => (any_of.clone(), 0usize..6).prop_map(|(n, rung)| Transition::ReportRung(n, rung)),
            2 => any_of.prop_map(Transition::Activity),
            1 => (sid(), any::<bool>(), 1..=SERVERS + 1).prop_map(|(sid, paid, server)| Transition::Adopt(sid, paid, server)),
            5 => list_updates(),
            1 => (1..=SERVERS, state()).prop_map(|(id, state)| Transition::PeerMessage(id, state)),
            1 => proptest::option::of(1usize..40).prop_map(Transition::FleetSize),
        ]
        .boxed()
    }

    fn apply(mut model: Model, transition: &Transition) -> Model {
        if let Transition::UpdateList(mode, entries) = transition {
            model.update_list(*mode, entries);
        }
        model
    }
}
