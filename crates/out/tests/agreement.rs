//! Single guards of agreement, by hand: words that come so late that what they rest on was forgotten, leases that run from
//! before the first question, witnesses that start anew with and without what they kept.

use cloverhollow_out::*;
use std::net::SocketAddr;
use std::time::Duration;

const LONGEST: Duration = Duration::from_secs(30);

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn seeing(w: u16, life: u64) -> Clerk {
    Clerk::new(s(0), address(w), life, LONGEST, Some(Kept { sees: true, ..Kept::default() }))
}

fn asker(n: u16) -> Asker {
    let witnesses = (1..=3).map(address).collect();
    Asker::new(AskerSettings { me: address(n), life: n.into(), witnesses, longest: LONGEST, seed: 1 })
}

fn grant(n: u64) -> Change {
    let (subject, place) = (Subject::Front(n), Place::default());
    Change::Grant { subject, place, lease_ms: 30_000, release: None }
}

fn limits() -> Limits {
    let most = Most { fleet: 1, hall: 1, rack: 1 };
    Limits { fronts: most, servers: most, copies: 0, cells: 0, free: None, unsure_ms: 1_000 }
}

/// Plays words to these witnesses and their answers, until nothing more is said.
fn talk(now: Duration, a: &mut Asker, clerks: &mut [&mut Clerk]) -> Option<Outcome> {
    let (world, limits) = (World::default(), limits());
    let mut words = a.due(now);
    while let Some((to, word)) = words.pop() {
        let Some(clerk) = clerks.iter_mut().find(|c| c.check().is_ok() && c.me() == to) else { continue };
        if let Some((_, answer)) = clerk.word(now, &word) {
            words.extend(a.word(now, answer, Seen { world: &world, limits: &limits }));
        }
        a.check().unwrap();
    }
    a.take_outcome()
}

/// The same until its tries are over.
fn talk_on(now: &mut Duration, a: &mut Asker, clerks: &mut [&mut Clerk]) -> Outcome {
    loop {
        if let Some(outcome) = talk(*now, a, clerks) {
            return outcome;
        }
        *now = a.next_due().unwrap().max(*now);
    }
}

#[test]
fn a_lease_runs_from_before_the_first_question_of_all_its_tries() {
    let (mut a, mut c) = (asker(10), [seeing(1, 1), seeing(2, 2)]);
    let mut now = s(1_000);
    assert!(a.ask(now, grant(1)));
    assert!(!a.ask(now, grant(2)), "one at a time");
    // Nobody hears it for three tries.
    while now < s(1_007) {
        assert_eq!(talk(now, &mut a, &mut []), None);
        now = a.next_due().unwrap();
    }
    let [c1, c2] = &mut c;
    let Outcome::Done(_, Some(granted)) = talk_on(&mut now, &mut a, &mut [c1, c2]) else { panic!() };
    assert_eq!(granted.until, s(1_030));
    assert!(granted.at(s(1_029)) && !granted.at(s(1_030)));
}

#[test]
fn a_witness_takes_nothing_of_another_life_and_nothing_late() {
    let mut clerk = seeing(1, 7);
    let ballot = Ballot { round: 5, asker: 10 };
    let reply = address(10);
    let accept = |life| Word::Accept { ballot, reply, life, value: Register::default() };
    let mut again = Clerk::new(s(0), address(1), 8, LONGEST, None);
    let now = s(500);
    clerk.word(now, &Word::Prepare { ballot, reply });
    // A late copy of the question reaches the next life, which has waited; then the value meant for the one before.
    again.word(now, &Word::Prepare { ballot, reply });
    assert_eq!(again.sight(now), Sight::Waited);
    assert_eq!(again.word(now, &accept(7)), None);
    assert_eq!(again.sight(now), Sight::Waited, "an old value does not give sight");
    // A copy of the question does not make the promise younger.
    clerk.word(now + s(2), &Word::Prepare { ballot, reply });
    assert_eq!(clerk.word(now + s(3), &accept(7)), None, "too late");
    assert!(clerk.word(now + s(2), &accept(7)).is_some());
    assert!(clerk.word(now + s(9), &accept(7)).is_some(), "what it took it says again");
}

#[test]
fn one_that_forgot_counts_when_it_has_waited_and_taken_anew() {
    let (mut c1, mut c2, mut c3) = (seeing(1, 1), seeing(2, 2), seeing(3, 3));
    let (mut a, mut b, mut now) = (asker(10), asker(11), s(1_000));
    a.ask(now, grant(1));
    assert!(matches!(talk(now, &mut a, &mut [&mut c1, &mut c2]), Some(Outcome::Done(..))));
    // The first one forgets; the third one never knew.
    c1 = Clerk::new(now, address(1), 4, LONGEST, None);
    assert_eq!(c1.sight(now), Sight::Blind);
    b.ask(now, grant(2));
    assert_eq!(talk_on(&mut now, &mut b, &mut [&mut c1, &mut c3]), Outcome::NotHeard);
    now = s(1_000) + blind_for(LONGEST);
    assert_eq!(c1.sight(now), Sight::Waited);
    b.ask(now, grant(2));
    assert_eq!(
        talk_on(&mut now, &mut b, &mut [&mut c1, &mut c3]),
        Outcome::NotHeard,
        "the term would be lost"
    );
    b.ask(now, grant(2));
    let Outcome::Done(value, _) = talk_on(&mut now, &mut b, &mut [&mut c1, &mut c2, &mut c3]) else {
        panic!()
    };
    assert_eq!((value.term, value.permits.len()), (Term(2), 1), "the first one's has lapsed");
    assert_eq!(c1.sight(now), Sight::Sees);
    // With what it kept one sees at once.
    let kept = c1.kept();
    let mut c1 = Clerk::new(now, address(1), 5, LONGEST, Some(kept));
    a.ask(now, grant(1));
    assert_eq!(talk_on(&mut now, &mut a, &mut [&mut c1, &mut c2]), Outcome::Denied(Denied::Fleet));
}

#[test]
fn where_all_forgot_all_are_asked_and_terms_go_on_from_what_was_heard_of() {
    let mut c: Vec<Clerk> = (1..=3).map(|w| Clerk::new(s(0), address(w), w.into(), LONGEST, None)).collect();
    let (mut a, mut now) = (asker(10), s(10));
    a.heard_of(Term(41));
    let [c1, c2, c3] = &mut c[..] else { panic!() };
    a.ask(now, grant(1));
    assert_eq!(talk_on(&mut now, &mut a, &mut [c1, c2, c3]), Outcome::NotHeard, "not while they are blind");
    now = blind_for(LONGEST);
    a.ask(now, grant(1));
    assert_eq!(talk_on(&mut now, &mut a, &mut [c1, c2]), Outcome::NotHeard, "not without the third");
    a.ask(now, grant(1));
    let Outcome::Done(value, _) = talk_on(&mut now, &mut a, &mut [c1, c2, c3]) else { panic!() };
    assert_eq!(value.term, Term(42));
    a.ask(now, grant(1));
    assert!(
        matches!(talk_on(&mut now, &mut a, &mut [c1, c3]), Outcome::Done(..)),
        "a majority is enough now"
    );
}

#[test]
fn a_lease_is_dropped_by_who_took_that_very_one() {
    let (mut c1, mut c2, mut c3) = (seeing(1, 1), seeing(2, 2), seeing(3, 3));
    let (mut a, mut b, mut now) = (asker(10), asker(11), s(1_000));
    a.ask(now, grant(1));
    assert!(matches!(talk(now, &mut a, &mut [&mut c1, &mut c2]), Some(Outcome::Done(..))));
    // Renewed with the third; the first one has the older one for longer than its hold.
    now = s(1_020);
    a.ask(now, grant(1));
    assert!(matches!(talk(now, &mut a, &mut [&mut c2, &mut c3]), Some(Outcome::Done(..))));
    now = s(1_040);
    b.ask(now, grant(2));
    assert_eq!(talk_on(&mut now, &mut b, &mut [&mut c1, &mut c3]), Outcome::Denied(Denied::Fleet));
    b.ask(now, grant(2));
    assert_eq!(talk_on(&mut now, &mut b, &mut [&mut c1, &mut c2]), Outcome::Denied(Denied::Fleet));
    now = s(1_056);
    b.ask(now, grant(2));
    assert!(matches!(talk(now, &mut b, &mut [&mut c1, &mut c3]), Some(Outcome::Done(..))));
}
