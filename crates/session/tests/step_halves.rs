//! The two halves of a step: commands that follow from the inputs alone, and the policy's decisions.

mod common;

use common::*;

/// A viewer may leave within a millisecond of its session's start. An answer that waits for decisions about other
/// sessions of the same instant arrives after that, as seen with 270 session managers.
#[test]
fn an_answer_of_a_server_does_not_wait_for_decisions() {
    let mut core = core();
    let setup = sent_setup(&core.step(START, [serving_list(3), arrived(1, "one", "clip")]));
    let first = core.process_inputs(START + ms(20), [playing(setup.attempt), arrived(2, "two", "clip")]);
    assert_eq!(
        summaries(&first),
        ["1 stream body"],
        "and nothing for the second request, which the policy has not seen"
    );
    assert_eq!(&*sent_setup(&core.decide()).sid, "two");
    assert!(core.decide().is_empty(), "no decision is left");
    core.check().unwrap();
}

/// A step returns the same commands in the same order as its two halves.
#[test]
fn a_step_equals_its_two_halves() {
    let (mut whole_core, mut halved_core) = (core(), core());
    let inputs = || [serving_list(3), arrived(1, "one", "clip"), arrived(2, "two", "paid")];
    let whole = whole_core.step(START, inputs());
    let mut halves = halved_core.process_inputs(START, inputs());
    halves.extend(halved_core.decide());
    assert_eq!(format!("{whole:?}"), format!("{halves:?}"));
    assert_eq!(whole.len(), 2);
}
