//! The two halves of a step: what follows from the inputs alone, and what the module decides.

mod common;

use common::*;

/// Found on a day of 270 managers: a viewer may leave within a millisecond of its session's start, and an answer that waited for
/// what others are decided in the same instant comes after it. So the answer goes first.
#[test]
fn a_servers_answer_waits_for_no_decision() {
    let mut core = core();
    let setup = sent(&core.step(DAY, [serving(3), call(1, "one", "clip")]));
    let first = core.process_inputs(DAY + ms(20), [playing(setup.attempt), call(2, "two", "clip")]);
    assert_eq!(words(&first), ["1 stream body"], "and nothing of the second, which the module has not seen");
    assert_eq!(&*sent(&core.decide()).sid, "two");
    assert!(core.decide().is_empty(), "all was decided");
    core.check().unwrap();
}

/// A step is its two halves: the same commands in the same order.
#[test]
fn a_step_is_its_halves() {
    let (mut one, mut two) = (core(), core());
    let inputs = || [serving(3), call(1, "one", "clip"), call(2, "two", "paid")];
    let whole = one.step(DAY, inputs());
    let mut halves = two.process_inputs(DAY, inputs());
    halves.extend(two.decide());
    assert_eq!(format!("{whole:?}"), format!("{halves:?}"));
    assert_eq!(whole.len(), 2);
}
