//! Drawn sequences of all that may happen to one session, against a reference that knows only the words it was given.

mod drawn;

use cloverhollow_handover::{For, Saying};
use drawn::{World, FRONTS, SERVER};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

/// The words given, by receiver.
#[derive(Clone, Debug, Default)]
struct Reference {
    viewer: Vec<Saying>,
    server: Vec<Saying>,
}

#[derive(Clone, Debug)]
enum Step {
    Word(bool, Saying),
    HandOn(usize),
    Arrives(usize, bool),
    Lost(usize),
    Reads(usize, bool),
    Confirms,
    Shut(usize, bool, usize),
    TimedOut(usize),
    Suspected(usize, usize),
    Again(usize),
    Attempt(bool),
    Object(u64, bool),
}

impl ReferenceStateMachine for Reference {
    type State = Reference;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Reference> {
        Just(Reference::default()).boxed()
    }

    fn transitions(state: &Reference) -> BoxedStrategy<Step> {
        let n = (state.viewer.len() + state.server.len()) as u32;
        let at = 0..FRONTS;
        let what = prop_oneof![Just(Saying::Rung(n as u8)), Just(Saying::ComeBack(n))];
        prop_oneof![
            if n < 60 { 4 } else { 0 } => (any::<bool>(), what).prop_map(|(viewer, what)| Step::Word(viewer, what)),
            3 => at.clone().prop_map(Step::HandOn),
            16 => (any::<usize>(), prop::bool::weighted(0.2)).prop_map(|(k, keep)| Step::Arrives(k, keep)),
            3 => any::<usize>().prop_map(Step::Lost),
            6 => (at.clone(), any::<bool>()).prop_map(|(i, viewer)| Step::Reads(i, viewer)),
            5 => Just(Step::Confirms),
            1 => (at.clone(), any::<bool>(), 0..3_usize).prop_map(|(i, viewer, n)| Step::Shut(i, viewer, n)),
            1 => at.clone().prop_map(Step::TimedOut),
            1 => (at.clone(), at.clone()).prop_map(|(i, j)| Step::Suspected(i, j)),
            4 => at.prop_map(Step::Again),
            2 => any::<bool>().prop_map(Step::Attempt),
            2 => (0..4_u64, any::<bool>()).prop_map(|(o, ends)| Step::Object(o, ends)),
        ]
        .boxed()
    }

    fn apply(mut state: Reference, step: &Step) -> Reference {
        match step {
            Step::Word(true, what) => state.viewer.push(*what),
            Step::Word(false, what) => state.server.push(*what),
            _ => {}
        }
        state
    }
}

/// Whether each is of the other in order, and once.
fn once_in_order(taken: &[Saying], given: &[Saying]) -> bool {
    let mut rest = given.iter();
    taken.iter().all(|t| rest.any(|g| g == t))
}

/// What a receiver that does not count took: copies only of what may be heard twice, news in order.
fn plain(taken: &[Saying], given: &[Saying]) -> bool {
    let news: Vec<Saying> =
        taken.iter().enumerate().filter(|(i, t)| !taken[..*i].contains(t)).map(|(_, t)| *t).collect();
    let copies = taken.iter().filter(|t| taken.iter().filter(|u| u == t).count() > 1);
    once_in_order(&news, given) && copies.into_iter().all(|t| t.repeats())
}

fn receiver(viewer: bool) -> For {
    if viewer {
        For::Viewer
    } else {
        SERVER
    }
}

struct Fronts;

impl StateMachineTest for Fronts {
    type SystemUnderTest = (World, Reference);
    type Reference = Reference;

    fn init_test(_: &Reference) -> (World, Reference) {
        (World::new(), Reference::default())
    }

    fn apply((mut w, _): (World, Reference), reference: &Reference, step: Step) -> (World, Reference) {
        match step {
            Step::Word(viewer, what) => w.word(receiver(viewer), what),
            Step::HandOn(to) => w.hand_on(to),
            Step::Arrives(k, keep) => w.arrives(k, keep),
            Step::Lost(k) => w.lost(k),
            Step::Reads(i, viewer) => w.reads(i, receiver(viewer)),
            Step::Confirms => w.confirms(),
            Step::Shut(i, viewer, read) => w.shut(i, receiver(viewer), read),
            Step::TimedOut(i) => w.timed_out(i),
            Step::Suspected(i, of) => w.suspected(i, of),
            Step::Again(i) => w.again(i),
            Step::Attempt(out) => w.attempt(out),
            Step::Object(o, ends) => w.object(o, ends),
        }
        (w, reference.clone())
    }

    fn check_invariants((w, _): &(World, Reference), given: &Reference) {
        w.check();
        assert!(given.viewer.starts_with(&w.viewer), "the viewer took {:?} of {:?}", w.viewer, given.viewer);
        assert!(plain(&w.server, &given.server), "the server took {:?} of {:?}", w.server, given.server);
    }

    fn teardown((mut w, given): (World, Reference), _: Reference) {
        w.settle();
        assert_eq!(w.viewer, given.viewer, "the viewer's words");
        assert!(plain(&w.server, &given.server));
        let all = given.server.iter().filter(|g| g.repeats()).all(|g| w.server.contains(g));
        assert!(all, "the server took {:?} of {:?}", w.server, given.server);
        assert!(w.waiting.is_empty() && w.owner().is_some());
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        max_shrink_iters: 2000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_word_is_taken_once_and_in_order(sequential 50..250 => Fronts);
}
