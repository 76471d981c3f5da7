//! The ledger: rungs, readings, short delivery, rushes.

mod common;

use cloverhollow::*;
use common::*;

#[test]
fn the_highest_fitting_rung_then_lower_ones_then_refusal_at_once() {
    let mut brain = front(settings(), 1);
    let mut rungs = Vec::new();
    for r in 0..40 {
        let actions = brain.step(START + ms(r), &[Event::Call(call(r, 1, START))]);
        match actions[..] {
            [Action::Rung(_, rung), Action::Send(..)] => rungs.push(rung),
            [Action::Refuse(id, after)] => {
                assert_eq!((id, after), (r, ms(800)));
                break;
            }
            _ => panic!("{actions:?}"),
        }
    }
    assert_eq!(rungs[0], 2);
    assert_eq!(*rungs.last().unwrap(), 0);
    assert!(rungs.is_sorted_by(|a, b| a >= b), "{rungs:?}");
    let rate: f64 = rungs.iter().map(|r| settings().ladder[*r].rate).sum();
    assert!(rate <= 0.95 * 4000.0 && rate > 0.85 * 4000.0, "{rate}");
}

#[test]
fn the_pick_is_the_holder_with_most_room_on_link_and_rack() {
    let mut brain = front(settings(), 4);
    let first = play(&mut brain, 1, 1, START);
    // Its rack mate shares the uplink: the other rack has more room.
    let second = play(&mut brain, 2, 1, START + ms(200));
    assert_ne!(first % 2, second % 2);
    // Only holders count: cell 3 alone.
    let only = Call { first_cell: 3, cells: 1, ..call(3, 1, START + ms(400)) };
    assert_eq!(sends(&brain.step(START + ms(400), &[Event::Call(only)])), [(3, 3)]);
}

#[test]
fn ends_are_credited_before_calls_of_the_same_instant() {
    let mut brain = front(settings(), 1);
    let mut r = 0;
    while !sends(&brain.step(START, &[Event::Call(call(r, 1, START))])).is_empty() {
        r += 1;
    }
    let end = Event::Ended(0, 0, 0, Outcome::Ok, true, Report::default());
    // The call comes first in the batch and still finds the room.
    let actions = brain.step(START + ms(10), &[Event::Call(call(99, 1, START)), end]);
    assert_eq!(sends(&actions), [(99, 0)]);
}

#[test]
fn a_reading_moves_the_base_up_and_down_and_fades() {
    let mut brain = front(settings(), 1);
    let server = play(&mut brain, 1, 1, START);
    let full = Event::Note(1, server, Note::Link(1.2));
    let refused = brain.step(START + ms(2000), &[full, Event::Call(call(2, 1, START + ms(2000)))]);
    assert_eq!(refused, [Action::Refuse(2, ms(800))]);
    let t = START + ms(28_000); // most of it has faded
    assert_eq!(sends(&brain.step(t, &[Event::Call(call(3, 1, t))])).len(), 1);
    let mut brain = front(settings(), 1);
    let server = play(&mut brain, 1, 1, START);
    brain.step(START + ms(2000), &[Event::Note(1, server, Note::Link(1.2))]);
    let t = START + ms(5000);
    let empty = Event::Note(1, server, Note::Link(0.25));
    assert_eq!(sends(&brain.step(t, &[empty, Event::Call(call(2, 1, t))])).len(), 1);
}

#[test]
fn a_reading_is_compared_with_the_bookings_of_its_time() {
    let mut brain = front(settings(), 1);
    let server = play(&mut brain, 1, 1, START);
    // A second session starts; a reading of a second ago (0.25: the first alone) comes after it.
    let t = START + ms(5000);
    play(&mut brain, 2, 1, t);
    let t = t + ms(600);
    let late = Event::Note(1, server, Note::Link(0.25));
    let calls = [late, Event::Call(call(3, 1, t)), Event::Call(call(4, 1, t))];
    let actions = brain.step(t, &calls);
    let rung = |id| actions.iter().find(|a| matches!(a, Action::Rung(r, _) if *r == id));
    // The base is 0 and the own sessions ask 0.5: one more top rung fits under its mark, a second doesn't.
    assert_eq!(rung(3), Some(&Action::Rung(3, 2)));
    assert_ne!(rung(4), Some(&Action::Rung(4, 2)));
}

/// The first days: handed-over sessions stayed on the floor for all their lives.
#[test]
fn an_adopted_session_gets_the_rung_an_admission_would_give_once() {
    let mut brain = front(settings(), 1);
    let note = |x| Event::Note(1, 0, Note::Link(x));
    brain.step(START, &[Event::Adopted(call(1, 1, START), 0), Event::Note(1, 0, Note::Rung(0))]);
    assert_eq!(brain.step(START + ms(1500), &[note(0.97)]), [], "no room");
    assert_eq!(brain.step(START + ms(4500), &[note(0.05)]), [Action::Rung(1, 2)]);
    assert_eq!(brain.step(START + ms(7500), &[note(0.25)]), []);
}

/// Full size, first scores: servers without a reading looked empty and were filled past their links.
#[test]
fn an_unread_server_is_taken_to_be_as_the_read_ones_are() {
    let mut set = settings();
    (set.fronts, set.racks) = (100, 0);
    let mut brain = front(set, 4);
    for r in 0..3 {
        brain.step(START, &[Event::Adopted(call(r, 1, START), r)]);
    }
    let t = START + ms(2000);
    let notes: Vec<_> = (0..3).map(|r| Event::Note(r, r, Note::Link(0.9))).collect();
    brain.step(t, &notes);
    let only = Call { first_cell: 3, cells: 1, ..call(9, 1, t) };
    let actions = brain.step(t + ms(10), &[Event::Call(only)]);
    assert_eq!(actions, [Action::Refuse(9, ms(800))]);
    // Where they read empty, it is taken to be emptier (what the others would do counts as one reading).
    let t = START + ms(20_000);
    brain.step(t, &(0..3).map(|r| Event::Note(r, r, Note::Link(0.05))).collect::<Vec<_>>());
    let only = Call { first_cell: 3, cells: 1, ..call(10, 1, t) };
    let actions = brain.step(t + ms(10), &[Event::Call(only)]);
    assert_eq!(sends(&actions), [(10, 3)]);
}

/// Incident ib7e2f0: in a rush all fronts filled servers by a reading of before it.
#[test]
fn a_rush_counts_for_all_fronts_before_the_next_reading() {
    let refused = |fronts: usize| {
        let mut set = settings();
        (set.fronts, set.racks) = (fronts, 0);
        let mut brain = front(set, 4);
        brain.step(START, &(0..4).map(|r| Event::Adopted(call(r, 1, START), r)).collect::<Vec<_>>());
        brain.step(START + ms(1000), &(0..4).map(|r| Event::Note(r, r, Note::Link(0.5))).collect::<Vec<_>>());
        let calls: Vec<_> = (10..18).map(|r| Event::Call(call(r, 1, START))).collect();
        let actions = brain.step(START + ms(1500), &calls);
        actions.iter().filter(|a| matches!(a, Action::Refuse(..))).count()
    };
    assert_eq!(refused(1), 0, "alone there is room for eight");
    assert!(refused(100) >= 4, "a hundred fronts with eight each find no room for all");
}

/// Full size, first scores: at a hundred fronts one own session was priced as a hundred and none was raised.
#[test]
fn adopted_sessions_are_raised_at_a_hundred_fronts_as_far_as_room_goes() {
    let raised = |reading: f64| {
        let mut rate = 0.0;
        for seed in 0..100 {
            let mut set = settings();
            (set.fronts, set.racks) = (100, 0);
            let mut brain = Brain::new(set.clone(), seed);
            brain.step(START, &[whole(1), Event::Adopted(call(1, 1, START), 0)]);
            let actions = brain.step(START + ms(1500), &[Event::Note(1, 0, Note::Link(reading))]);
            let rung = actions.iter().find_map(|a| if let Action::Rung(1, r) = a { Some(*r) } else { None });
            rate += set.ladder[rung.unwrap_or(0)].rate / 100.0;
        }
        rate * reading / 200.0 // what the link is asked when all there have done so
    };
    let use_of_half_full = raised(0.5);
    assert!((0.6..=0.95).contains(&use_of_half_full), "{use_of_half_full}");
    assert!(raised(0.1) > 0.4);
}
