//! Hard cases, one by one.

use cloverhollow_handover::*;
use std::collections::BTreeSet;
use std::time::Duration;

const A: FrontId = FrontId(1);
const B: FrontId = FrontId(2);
const SERVER: For = For::Server(7);

fn channel(paid: bool, live: Live) -> Channel {
    let (sid, words, heard, last) = ("s".into(), vec![], vec![], Nth(0));
    let (class, title, tenant, generation) = (0, 0, None, Generation(1));
    Channel { sid, class, title, tenant, paid, live, words, heard, last, generation }
}

fn plays() -> Live {
    Live { attempt: Attempt::Ran { server: 7 }, server: Some(7), ..Live::default() }
}

fn giver(paid: bool, live: Live) -> Giver {
    Giver::new(A, channel(paid, live), Epoch(0), None).expect("within its bounds")
}

fn held(g: &mut Giver) -> Vec<Output> {
    let (epoch, upto) = (g.epoch(), g.channel().last);
    g.step(Input::Answered { from: B, answer: ToGiver::Held { epoch, upto } })
}

fn is_switch(out: &[Output]) -> bool {
    out.iter().any(|o| matches!(o, Output::Tell(_, ToTaker::Switch { .. })))
}

fn says(out: &[Output]) -> Vec<Saying> {
    let say = |o: &Output| if let Output::Say(s) = o { Some(s.what) } else { None };
    out.iter().filter_map(say).collect()
}

fn switched(paid: bool, live: Live) -> Giver {
    let mut g = giver(paid, live);
    g.step(Input::HandOn { to: B });
    assert!(is_switch(&held(&mut g)));
    g
}

#[test]
fn an_attempt_that_is_out_is_waited_for() {
    let out = Live { attempt: Attempt::Out { server: 7 }, ..Live::default() };
    let mut g = giver(true, out);
    assert!(g.must_wait());
    g.step(Input::HandOn { to: B });
    assert!(!is_switch(&held(&mut g)), "its answer is heard here alone");
    assert!(g.acts());
    assert!(is_switch(
        &g.step(Input::Changed(Live { attempt: Attempt::Ran { server: 7 }, ..Live::default() }))
    ));
    assert_eq!(g.check(), Ok(()));
}

#[test]
fn an_object_that_flows_is_waited_for_and_what_is_asked_goes_along() {
    let mut g = giver(true, plays());
    g.step(Input::Asked { object: 1 });
    g.step(Input::Began { object: 1 });
    g.step(Input::Asked { object: 2 });
    g.step(Input::HandOn { to: B });
    assert!(!is_switch(&held(&mut g)));
    let out = g.step(Input::Ended { object: 1 });
    let asked = out.iter().find_map(|o| match o {
        Output::Tell(_, ToTaker::Switch { live, .. }) => Some(live.asked.clone()),
        _ => None,
    });
    assert_eq!(asked, Some(vec![2]));
    // Asked while nobody knows: told where once it is known.
    assert_eq!(g.step(Input::Asked { object: 3 }), vec![]);
    let epoch = g.epoch();
    let out = g.step(Input::Answered { from: B, answer: ToGiver::Owns { epoch } });
    assert!(out.contains(&Output::HandedOn(B)));
    // The viewer that comes back to the old front is told where.
    assert_eq!(g.step(Input::Asked { object: 3 }), vec![Output::HandedOn(B)]);
}

#[test]
fn a_receiver_that_does_not_count_is_waited_for_or_shut() {
    let mut g = giver(true, plays());
    g.step(Input::Opened { to: SERVER, kind: Kind::Plain });
    assert_eq!(says(&g.word(SERVER, Saying::LoadAsked).expect("room")), vec![Saying::LoadAsked]);
    assert_eq!(says(&g.word(SERVER, Saying::ComeBack(9)).expect("room")), vec![Saying::ComeBack(9)]);
    g.step(Input::HandOn { to: B });
    assert!(!is_switch(&held(&mut g)), "written, and not known to be taken");
    let out = g.word(SERVER, Saying::Rung(3)).expect("room");
    assert_eq!(says(&out), vec![], "nothing more is written before the switch");
    held(&mut g);
    let epoch = g.epoch();
    assert_eq!(g.step(Input::TimedOut { epoch }), vec![Output::Shut(SERVER)]);
    let out = g.step(Input::Shut { to: SERVER });
    let owed = out.iter().find_map(|o| match o {
        Output::Tell(_, ToTaker::Switch { owed, .. }) => Some(owed.len()),
        _ => None,
    });
    assert_eq!(owed, Some(2), "the one that does harm twice is not said again");
}

#[test]
fn after_the_switch_the_giver_says_nothing() {
    let mut g = switched(true, plays());
    assert!(!g.acts());
    assert_eq!(g.word(For::Viewer, Saying::Rung(1)), Err(NoWord::NotOurs));
    assert_eq!(says(&g.step(Input::Opened { to: For::Viewer, kind: Kind::Numbered })), vec![]);
    // A view that takes the taker for gone may be wrong.
    assert_eq!(g.step(Input::Suspected { front: B }), vec![]);
    assert!(matches!(g.stage(), Stage::Switched { .. }));
}

#[test]
fn a_taker_that_died_after_the_switch() {
    // It plays: it goes on here, numbered above all that the dead one may have given out.
    let mut g = switched(true, plays());
    g.step(Input::Died { front: B });
    assert_eq!(g.stage(), Stage::Settled);
    g.word(For::Viewer, Saying::Rung(1)).expect("room");
    assert!(g.channel().last > Nth::before(Epoch(2)));
    // It was paid for and does not play: a set-up may have run there. Final.
    let mut g = switched(true, Live::default());
    assert_eq!(g.step(Input::Died { front: B }), vec![Output::Failed]);
    // Not paid for: it may be set up again.
    let mut g = switched(false, Live::default());
    g.step(Input::Died { front: B });
    assert_eq!((g.stage(), g.identity().live.attempt), (Stage::Settled, Attempt::Unknown));
}

#[test]
fn words_that_a_dead_taker_may_have_said_are_not_said_again_where_they_do_harm() {
    let mut g = giver(true, plays());
    for what in [Saying::ComeBack(1), Saying::End] {
        g.word(SERVER, what).expect("room");
    }
    g.word(For::Viewer, Saying::ComeBack(2)).expect("room");
    g.step(Input::Opened { to: For::Viewer, kind: Kind::Numbered });
    g.step(Input::HandOn { to: B });
    assert!(is_switch(&held(&mut g)));
    g.step(Input::Died { front: B });
    let left: Vec<Saying> = g.channel().words.iter().map(|q| q.what).collect();
    assert_eq!(left, vec![Saying::End, Saying::ComeBack(2)]);
}

#[test]
fn when_both_are_silent_the_viewer_is_told_by_rule_2() {
    for (paid, told) in [(true, Output::Failed), (false, Output::ComeAgain)] {
        let mut g = switched(paid, plays());
        let epoch = g.epoch();
        assert!(g.step(Input::TimedOut { epoch }).contains(&told));
        assert!(!g.acts(), "it may be there");
        // It was not there, and never will be: it ends here, and its server is told.
        g.step(Input::Opened { to: SERVER, kind: Kind::Plain });
        let out = g.step(Input::Answered { from: B, answer: ToGiver::LetGo { epoch } });
        assert_eq!((says(&out), g.stage()), (vec![Saying::End], Stage::Over));
    }
}

#[test]
fn a_taker_does_not_hand_on_before_its_giver_knows() {
    let mut side = Side::empty(B);
    let from = |says| Event::Giver { from: A, says, room: Ok(()) };
    let epoch = Epoch(1);
    side.step(from(ToTaker::Offer { epoch, giver: A, channel: channel(true, plays()) }));
    assert!(!side.acts());
    side.step(from(ToTaker::Switch { epoch, last: Nth(0), owed: vec![], said: vec![], live: plays() }));
    assert!(side.acts());
    assert_eq!(side.step(Event::Here(Input::HandOn { to: FrontId(3) })), vec![]);
    // A late copy of the withdrawal that never was: its giver has not given up, its viewer is on its way.
    side.step(from(ToTaker::Done { epoch }));
    side.step(from(ToTaker::Withdraw { epoch }));
    assert!(side.giver().is_some_and(Giver::is_live));
    assert!(!side.step(Event::Here(Input::HandOn { to: FrontId(3) })).is_empty());
    assert_eq!(side.check(), Ok(()));
}

#[test]
fn a_switch_that_overtook_a_word_or_has_an_attempt_out_is_not_taken() {
    let mut side = Side::empty(B);
    let from = |says| Event::Giver { from: A, says, room: Ok(()) };
    let epoch = Epoch(1);
    side.step(from(ToTaker::Offer { epoch, giver: A, channel: channel(true, plays()) }));
    let switch = |owed, live| ToTaker::Switch { epoch, last: Nth(5), owed, said: vec![], live };
    side.step(from(switch(vec![Nth(5)], plays())));
    side.step(from(switch(vec![], Live { attempt: Attempt::Out { server: 7 }, ..plays() })));
    assert!(!side.acts());
}

#[test]
fn neighbours_by_hall_room_and_way() {
    let n = |f, hall, room| Neighbour { front: FrontId(f), hall, there: true, going_out: false, room };
    let mut fronts = vec![n(1, 0, 9), n(2, 1, 9), n(3, 1, 0), n(4, 2, 9), n(5, 1, 9), n(6, 1, 9), n(7, 3, 9)];
    fronts[4].going_out = true;
    fronts[5].there = false;
    let none = BTreeSet::new();
    let need = Need { sid: "s", halls: &[1, 2, 0], no_way: &none, me: A };
    assert_eq!(choose(&need, &fronts), vec![B, FrontId(4)]);
    let no_way = BTreeSet::from([B]);
    assert_eq!(choose(&Need { no_way: &no_way, ..need }, &fronts), vec![FrontId(4)]);
    // In the proportion of their room.
    let two = [n(2, 1, 100), n(3, 1, 300)];
    let first = |i: u32| choose(&Need { sid: &format!("s-{i}"), ..need }, &two)[0] == FrontId(3);
    let part = (0..1000).filter(|i| first(*i)).count();
    assert!((700..800).contains(&part), "{part} of 1000");
}

#[test]
fn paid_and_playing_first_and_who_is_full_is_not_asked_for_a_while() {
    let limits = Limits { under_way: 2, to_one: 2, ..Limits::default() };
    let mut s = Stream::new(limits);
    let ranks = [(false, false), (false, true), (true, false), (true, true)];
    for (key, (paid, playing)) in ranks.into_iter().enumerate() {
        s.add(Key(key as u64), Rank { paid, playing }, &[B]).expect("room");
    }
    assert_eq!(s.add(Key(0), Rank { paid: true, playing: true }, &[B]), Err(NoRoom::Twice));
    let now = Duration::ZERO;
    let begun = |s: &mut Stream, now| s.next(now, |_| true).iter().map(|b| b.key.0).collect::<Vec<_>>();
    assert_eq!(begun(&mut s, now), vec![3, 2]);
    s.saw(Key(3), Stage::Settled, Some(WhyNot::Full), now);
    s.saw(Key(2), Stage::Closed { at: B }, None, now);
    assert_eq!(begun(&mut s, now + limits.full_for / 2), Vec::<u64>::new());
    assert_eq!(begun(&mut s, now + limits.full_for), vec![3, 1]);
    s.saw(Key(3), Stage::Settled, Some(WhyNot::NoWay), now);
    s.saw(Key(0), Stage::Over, None, now);
    let p = s.progress();
    assert_eq!((p.waiting, p.under_way, p.handed_on, p.stayed, p.over, p.lost), (0, 1, 1, 1, 1, 0));
    assert_eq!(s.check(), Ok(()));
}
