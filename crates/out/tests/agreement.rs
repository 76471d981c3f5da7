//! Agreement on the register, case by case: messages that arrive after the promises they rest on have been
//! forgotten, the start of leases, and witnesses that restart with and without their persisted state.

use cloverhollow_out::*;
use std::net::SocketAddr;
use std::time::Duration;

const MAX_LEASE: Duration = Duration::from_secs(30);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn current(port: u16, incarnation: u64) -> Acceptor {
    Acceptor::new(
        secs(0),
        address(port),
        incarnation,
        MAX_LEASE,
        Some(PersistedState { is_current: true, ..PersistedState::default() }),
    )
}

fn proposer(n: u16) -> Proposer {
    let witnesses = (1..=3).map(address).collect();
    Proposer::new(ProposerConfig {
        address: address(n),
        incarnation: n.into(),
        witnesses,
        max_lease: MAX_LEASE,
        backoff_seed: 1,
    })
}

fn grant(n: u64) -> Change {
    let (subject, place) = (Subject::Front(n), Place::default());
    Change::Grant { subject, place, lease_ms: 30_000, release: None }
}

fn limits() -> Limits {
    let max = MaxOutOfService { fleet: 1, zone: 1, rack: 1 };
    Limits {
        fronts: max,
        servers: max,
        cells_per_title: 0,
        ring_cells: 0,
        free_link_kbit_s: None,
        max_uncertain_ms: 1_000,
    }
}

/// Delivers all messages between the proposer and these acceptors until no message is left.
fn deliver_all(now: Duration, proposer: &mut Proposer, acceptors: &mut [&mut Acceptor]) -> Option<Outcome> {
    let (fleet, limits) = (FleetView::default(), limits());
    let mut messages = proposer.handle_timeout(now);
    while let Some((to, message)) = messages.pop() {
        let Some(acceptor) = acceptors.iter_mut().find(|a| a.check_invariants().is_ok() && a.address() == to)
        else {
            continue;
        };
        if let Some((_, response)) = acceptor.handle_message(now, &message) {
            messages.extend(proposer.handle_message(
                now,
                response,
                GrantContext { fleet: &fleet, limits: &limits },
            ));
        }
        proposer.check_invariants().unwrap();
    }
    proposer.take_outcome()
}

/// Runs attempts until the change has an outcome.
fn run_to_end(now: &mut Duration, proposer: &mut Proposer, acceptors: &mut [&mut Acceptor]) -> Outcome {
    loop {
        if let Some(outcome) = deliver_all(*now, proposer, acceptors) {
            return outcome;
        }
        *now = proposer.next_timeout().unwrap().max(*now);
    }
}

#[test]
fn lease_runs_from_submission_across_all_attempts() {
    let (mut proposer_a, mut acceptors) = (proposer(10), [current(1, 1), current(2, 2)]);
    let mut now = secs(1_000);
    assert!(proposer_a.submit(now, grant(1)));
    assert!(!proposer_a.submit(now, grant(2)), "one change at a time");
    // No message arrives for three attempts.
    while now < secs(1_007) {
        assert_eq!(deliver_all(now, &mut proposer_a, &mut []), None);
        now = proposer_a.next_timeout().unwrap();
    }
    let [first, second] = &mut acceptors;
    let Outcome::Committed(_, Some(granted)) = run_to_end(&mut now, &mut proposer_a, &mut [first, second])
    else {
        panic!()
    };
    assert_eq!(granted.expires_at, secs(1_030));
    assert!(granted.is_valid_at(secs(1_029)) && !granted.is_valid_at(secs(1_030)));
}

#[test]
fn acceptor_refuses_values_for_another_incarnation_and_late_values() {
    let mut acceptor = current(1, 7);
    let ballot = Ballot { round: 5, proposer: 10 };
    let reply_to = address(10);
    let accept = |incarnation| Message::Accept { ballot, reply_to, incarnation, value: Register::default() };
    let mut restarted = Acceptor::new(secs(0), address(1), 8, MAX_LEASE, None);
    let now = secs(500);
    acceptor.handle_message(now, &Message::Prepare { ballot, reply_to });
    // A late copy of the prepare message reaches the next incarnation, which has recovered; then the value
    // for the previous incarnation arrives.
    restarted.handle_message(now, &Message::Prepare { ballot, reply_to });
    assert_eq!(restarted.memory_state(now), MemoryState::WaitedOut);
    assert_eq!(restarted.handle_message(now, &accept(7)), None);
    assert_eq!(
        restarted.memory_state(now),
        MemoryState::WaitedOut,
        "a value for an earlier incarnation does not make it current"
    );
    // A copy of the prepare message does not renew the promise.
    acceptor.handle_message(now + secs(2), &Message::Prepare { ballot, reply_to });
    assert_eq!(acceptor.handle_message(now + secs(3), &accept(7)), None, "the promise has expired");
    assert!(acceptor.handle_message(now + secs(2), &accept(7)).is_some());
    assert!(
        acceptor.handle_message(now + secs(9), &accept(7)).is_some(),
        "an accepted value is acknowledged again"
    );
}

#[test]
fn acceptor_that_lost_its_state_counts_after_recovery_and_a_new_acceptance() {
    let (mut first, mut second, mut third) = (current(1, 1), current(2, 2), current(3, 3));
    let (mut proposer_a, mut proposer_b, mut now) = (proposer(10), proposer(11), secs(1_000));
    proposer_a.submit(now, grant(1));
    assert!(matches!(
        deliver_all(now, &mut proposer_a, &mut [&mut first, &mut second]),
        Some(Outcome::Committed(..))
    ));
    // The first acceptor loses its state; the third one never received the value.
    first = Acceptor::new(now, address(1), 4, MAX_LEASE, None);
    assert_eq!(first.memory_state(now), MemoryState::Recovering);
    proposer_b.submit(now, grant(2));
    assert_eq!(run_to_end(&mut now, &mut proposer_b, &mut [&mut first, &mut third]), Outcome::NoQuorum);
    now = secs(1_000) + recovery_time(MAX_LEASE);
    assert_eq!(first.memory_state(now), MemoryState::WaitedOut);
    proposer_b.submit(now, grant(2));
    assert_eq!(
        run_to_end(&mut now, &mut proposer_b, &mut [&mut first, &mut third]),
        Outcome::NoQuorum,
        "the committed term would be lost"
    );
    proposer_b.submit(now, grant(2));
    let Outcome::Committed(value, _) =
        run_to_end(&mut now, &mut proposer_b, &mut [&mut first, &mut second, &mut third])
    else {
        panic!()
    };
    assert_eq!((value.term, value.permits.len()), (Term(2), 1), "the first permit has expired");
    assert_eq!(first.memory_state(now), MemoryState::Current);
    // With its persisted state an acceptor is current at once.
    let persisted = first.persisted_state();
    let mut first = Acceptor::new(now, address(1), 5, MAX_LEASE, Some(persisted));
    proposer_a.submit(now, grant(1));
    assert_eq!(
        run_to_end(&mut now, &mut proposer_a, &mut [&mut first, &mut second]),
        Outcome::Denied(DenialReason::FleetLimit)
    );
}

#[test]
fn all_acceptors_are_needed_if_all_lost_their_state_and_terms_continue() {
    let mut acceptors: Vec<Acceptor> =
        (1..=3).map(|port| Acceptor::new(secs(0), address(port), port.into(), MAX_LEASE, None)).collect();
    let (mut proposer_a, mut now) = (proposer(10), secs(10));
    proposer_a.observe_term(Term(41));
    let [first, second, third] = &mut acceptors[..] else { panic!() };
    proposer_a.submit(now, grant(1));
    assert_eq!(
        run_to_end(&mut now, &mut proposer_a, &mut [first, second, third]),
        Outcome::NoQuorum,
        "no quorum while they recover"
    );
    now = recovery_time(MAX_LEASE);
    proposer_a.submit(now, grant(1));
    assert_eq!(
        run_to_end(&mut now, &mut proposer_a, &mut [first, second]),
        Outcome::NoQuorum,
        "no quorum without the third"
    );
    proposer_a.submit(now, grant(1));
    let Outcome::Committed(value, _) = run_to_end(&mut now, &mut proposer_a, &mut [first, second, third])
    else {
        panic!()
    };
    assert_eq!(value.term, Term(42));
    proposer_a.submit(now, grant(1));
    assert!(
        matches!(run_to_end(&mut now, &mut proposer_a, &mut [first, third]), Outcome::Committed(..)),
        "a majority is enough afterwards"
    );
}

#[test]
fn lease_expires_only_at_acceptors_that_accepted_that_renewal() {
    let (mut first, mut second, mut third) = (current(1, 1), current(2, 2), current(3, 3));
    let (mut proposer_a, mut proposer_b, mut now) = (proposer(10), proposer(11), secs(1_000));
    proposer_a.submit(now, grant(1));
    assert!(matches!(
        deliver_all(now, &mut proposer_a, &mut [&mut first, &mut second]),
        Some(Outcome::Committed(..))
    ));
    // Renewed with the third acceptor; the hold time of the older lease passes at the first one.
    now = secs(1_020);
    proposer_a.submit(now, grant(1));
    assert!(matches!(
        deliver_all(now, &mut proposer_a, &mut [&mut second, &mut third]),
        Some(Outcome::Committed(..))
    ));
    now = secs(1_040);
    proposer_b.submit(now, grant(2));
    assert_eq!(
        run_to_end(&mut now, &mut proposer_b, &mut [&mut first, &mut third]),
        Outcome::Denied(DenialReason::FleetLimit)
    );
    proposer_b.submit(now, grant(2));
    assert_eq!(
        run_to_end(&mut now, &mut proposer_b, &mut [&mut first, &mut second]),
        Outcome::Denied(DenialReason::FleetLimit)
    );
    now = secs(1_056);
    proposer_b.submit(now, grant(2));
    assert!(matches!(
        deliver_all(now, &mut proposer_b, &mut [&mut first, &mut third]),
        Some(Outcome::Committed(..))
    ));
}
