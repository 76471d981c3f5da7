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

fn seeing(w: u16, life: u64) -> Acceptor {
    Acceptor::new(
        s(0),
        address(w),
        life,
        LONGEST,
        Some(PersistedState { is_current: true, ..PersistedState::default() }),
    )
}

fn asker(n: u16) -> Proposer {
    let witnesses = (1..=3).map(address).collect();
    Proposer::new(ProposerConfig {
        address: address(n),
        incarnation: n.into(),
        witnesses,
        max_lease: LONGEST,
        backoff_seed: 1,
    })
}

fn grant(n: u64) -> Change {
    let (subject, place) = (Subject::Front(n), Place::default());
    Change::Grant { subject, place, lease_ms: 30_000, release: None }
}

fn limits() -> Limits {
    let most = MaxOutOfService { fleet: 1, zone: 1, rack: 1 };
    Limits {
        fronts: most,
        servers: most,
        cells_per_title: 0,
        ring_cells: 0,
        free_link_kbit_s: None,
        max_uncertain_ms: 1_000,
    }
}

/// Plays words to these witnesses and their answers, until nothing more is said.
fn talk(now: Duration, a: &mut Proposer, clerks: &mut [&mut Acceptor]) -> Option<Outcome> {
    let (world, limits) = (FleetView::default(), limits());
    let mut words = a.handle_timeout(now);
    while let Some((to, word)) = words.pop() {
        let Some(clerk) = clerks.iter_mut().find(|c| c.check_invariants().is_ok() && c.address() == to)
        else {
            continue;
        };
        if let Some((_, answer)) = clerk.handle_message(now, &word) {
            words.extend(a.handle_message(now, answer, GrantContext { fleet: &world, limits: &limits }));
        }
        a.check_invariants().unwrap();
    }
    a.take_outcome()
}

/// The same until its tries are over.
fn talk_on(now: &mut Duration, a: &mut Proposer, clerks: &mut [&mut Acceptor]) -> Outcome {
    loop {
        if let Some(outcome) = talk(*now, a, clerks) {
            return outcome;
        }
        *now = a.next_timeout().unwrap().max(*now);
    }
}

#[test]
fn a_lease_runs_from_before_the_first_question_of_all_its_tries() {
    let (mut a, mut c) = (asker(10), [seeing(1, 1), seeing(2, 2)]);
    let mut now = s(1_000);
    assert!(a.submit(now, grant(1)));
    assert!(!a.submit(now, grant(2)), "one at a time");
    // Nobody hears it for three tries.
    while now < s(1_007) {
        assert_eq!(talk(now, &mut a, &mut []), None);
        now = a.next_timeout().unwrap();
    }
    let [c1, c2] = &mut c;
    let Outcome::Committed(_, Some(granted)) = talk_on(&mut now, &mut a, &mut [c1, c2]) else { panic!() };
    assert_eq!(granted.expires_at, s(1_030));
    assert!(granted.is_valid_at(s(1_029)) && !granted.is_valid_at(s(1_030)));
}

#[test]
fn a_witness_takes_nothing_of_another_life_and_nothing_late() {
    let mut clerk = seeing(1, 7);
    let ballot = Ballot { round: 5, proposer: 10 };
    let reply_to = address(10);
    let accept = |incarnation| Message::Accept { ballot, reply_to, incarnation, value: Register::default() };
    let mut again = Acceptor::new(s(0), address(1), 8, LONGEST, None);
    let now = s(500);
    clerk.handle_message(now, &Message::Prepare { ballot, reply_to });
    // A late copy of the question reaches the next life, which has waited; then the value meant for the one before.
    again.handle_message(now, &Message::Prepare { ballot, reply_to });
    assert_eq!(again.memory_state(now), MemoryState::WaitedOut);
    assert_eq!(again.handle_message(now, &accept(7)), None);
    assert_eq!(again.memory_state(now), MemoryState::WaitedOut, "an old value does not give sight");
    // A copy of the question does not make the promise younger.
    clerk.handle_message(now + s(2), &Message::Prepare { ballot, reply_to });
    assert_eq!(clerk.handle_message(now + s(3), &accept(7)), None, "too late");
    assert!(clerk.handle_message(now + s(2), &accept(7)).is_some());
    assert!(clerk.handle_message(now + s(9), &accept(7)).is_some(), "what it took it says again");
}

#[test]
fn one_that_forgot_counts_when_it_has_waited_and_taken_anew() {
    let (mut c1, mut c2, mut c3) = (seeing(1, 1), seeing(2, 2), seeing(3, 3));
    let (mut a, mut b, mut now) = (asker(10), asker(11), s(1_000));
    a.submit(now, grant(1));
    assert!(matches!(talk(now, &mut a, &mut [&mut c1, &mut c2]), Some(Outcome::Committed(..))));
    // The first one forgets; the third one never knew.
    c1 = Acceptor::new(now, address(1), 4, LONGEST, None);
    assert_eq!(c1.memory_state(now), MemoryState::Recovering);
    b.submit(now, grant(2));
    assert_eq!(talk_on(&mut now, &mut b, &mut [&mut c1, &mut c3]), Outcome::NoQuorum);
    now = s(1_000) + recovery_time(LONGEST);
    assert_eq!(c1.memory_state(now), MemoryState::WaitedOut);
    b.submit(now, grant(2));
    assert_eq!(
        talk_on(&mut now, &mut b, &mut [&mut c1, &mut c3]),
        Outcome::NoQuorum,
        "the term would be lost"
    );
    b.submit(now, grant(2));
    let Outcome::Committed(value, _) = talk_on(&mut now, &mut b, &mut [&mut c1, &mut c2, &mut c3]) else {
        panic!()
    };
    assert_eq!((value.term, value.permits.len()), (Term(2), 1), "the first one's has lapsed");
    assert_eq!(c1.memory_state(now), MemoryState::Current);
    // With what it kept one sees at once.
    let kept = c1.persisted_state();
    let mut c1 = Acceptor::new(now, address(1), 5, LONGEST, Some(kept));
    a.submit(now, grant(1));
    assert_eq!(talk_on(&mut now, &mut a, &mut [&mut c1, &mut c2]), Outcome::Denied(DenialReason::FleetLimit));
}

#[test]
fn where_all_forgot_all_are_asked_and_terms_go_on_from_what_was_heard_of() {
    let mut c: Vec<Acceptor> =
        (1..=3).map(|w| Acceptor::new(s(0), address(w), w.into(), LONGEST, None)).collect();
    let (mut a, mut now) = (asker(10), s(10));
    a.observe_term(Term(41));
    let [c1, c2, c3] = &mut c[..] else { panic!() };
    a.submit(now, grant(1));
    assert_eq!(talk_on(&mut now, &mut a, &mut [c1, c2, c3]), Outcome::NoQuorum, "not while they are blind");
    now = recovery_time(LONGEST);
    a.submit(now, grant(1));
    assert_eq!(talk_on(&mut now, &mut a, &mut [c1, c2]), Outcome::NoQuorum, "not without the third");
    a.submit(now, grant(1));
    let Outcome::Committed(value, _) = talk_on(&mut now, &mut a, &mut [c1, c2, c3]) else { panic!() };
    assert_eq!(value.term, Term(42));
    a.submit(now, grant(1));
    assert!(
        matches!(talk_on(&mut now, &mut a, &mut [c1, c3]), Outcome::Committed(..)),
        "a majority is enough now"
    );
}

#[test]
fn a_lease_is_dropped_by_who_took_that_very_one() {
    let (mut c1, mut c2, mut c3) = (seeing(1, 1), seeing(2, 2), seeing(3, 3));
    let (mut a, mut b, mut now) = (asker(10), asker(11), s(1_000));
    a.submit(now, grant(1));
    assert!(matches!(talk(now, &mut a, &mut [&mut c1, &mut c2]), Some(Outcome::Committed(..))));
    // Renewed with the third; the first one has the older one for longer than its hold.
    now = s(1_020);
    a.submit(now, grant(1));
    assert!(matches!(talk(now, &mut a, &mut [&mut c2, &mut c3]), Some(Outcome::Committed(..))));
    now = s(1_040);
    b.submit(now, grant(2));
    assert_eq!(talk_on(&mut now, &mut b, &mut [&mut c1, &mut c3]), Outcome::Denied(DenialReason::FleetLimit));
    b.submit(now, grant(2));
    assert_eq!(talk_on(&mut now, &mut b, &mut [&mut c1, &mut c2]), Outcome::Denied(DenialReason::FleetLimit));
    now = s(1_056);
    b.submit(now, grant(2));
    assert!(matches!(talk(now, &mut b, &mut [&mut c1, &mut c3]), Some(Outcome::Committed(..))));
}
