//! Who may go: each limit, and what counts as out.

use cloverhollow_out::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn limits() -> Limits {
    let most = MaxOutOfService { fleet: 3, zone: 2, rack: 1 };
    Limits {
        fronts: most,
        servers: most,
        cells_per_title: 0,
        ring_cells: 0,
        free_link_kbit_s: None,
        max_uncertain_ms: 1_000,
    }
}

fn place(hall: u32, rack: u32, cell: Option<u32>) -> Place {
    Place { zone: hall, rack: Some(rack), cell }
}

fn world(known: &[(Subject, Place, Availability)]) -> FleetView {
    let known = known.iter().map(|(s, place, standing)| {
        (*s, MemberStatus { place: *place, availability: *standing, link_kbit_s: 100 })
    });
    FleetView { members: known.collect(), uncertain_for: Duration::ZERO }
}

fn permit(subject: Subject, place: Place) -> Permit {
    Permit { subject, place, holder: 1, request_id: 1, term: Term(1), lease_ms: 1_000 }
}

const F: fn(u64) -> Subject = Subject::Front;
const S: fn(u64) -> Subject = Subject::Server;

#[test]
fn the_dead_the_doubted_and_the_out_count() {
    let mut register = Register { term: Term(1), ..Register::default() };
    let go = |register: &Register, world: &FleetView, hall, rack| {
        check_limits(register, world, &limits(), F(9), place(hall, rack, None))
    };
    let nobody = world(&[]);
    assert_eq!(go(&register, &nobody, 0, 0), Ok(()));
    for standing in [Availability::Dead, Availability::Suspect, Availability::OutOfService] {
        let away = world(&[(F(1), place(0, 1, None), standing), (F(2), place(0, 2, None), standing)]);
        assert_eq!(go(&register, &away, 0, 0), Err(DenialReason::ZoneLimit));
        assert_eq!(go(&register, &away, 1, 0), Ok(()));
        let one = world(&[(F(1), place(0, 1, None), standing)]);
        assert_eq!(go(&register, &one, 0, 1), Err(DenialReason::RackLimit));
        assert_eq!(go(&register, &one, 1, 1), Ok(()), "a rack of another hall");
        // One that is out by a permit and seen to be out is one; servers are counted apart.
        register.permits = vec![permit(F(1), place(0, 1, None)), permit(S(1), place(0, 2, None))];
        assert_eq!(go(&register, &one, 0, 0), Ok(()));
        register.permits = vec![permit(F(3), place(1, 1, None)), permit(F(4), place(2, 1, None))];
        assert_eq!(go(&register, &one, 3, 0), Err(DenialReason::FleetLimit));
        register.permits.clear();
    }
    let own = world(&[(F(9), place(0, 0, None), Availability::OutOfService)]);
    assert_eq!(go(&register, &own, 0, 0), Ok(()), "the asker itself does not stand in its way");
    let unsure = FleetView { uncertain_for: Duration::from_secs(2), ..nobody };
    assert_eq!(go(&register, &unsure, 0, 0), Err(DenialReason::UncertainView));
}

#[test]
fn a_hall_s_link_gives_what_the_forecast_leaves() {
    let free = Some(BTreeMap::from([(0, 250), (1, 90)]));
    let most = MaxOutOfService { fleet: 9, zone: 9, rack: 9 };
    let limits = Limits { free_link_kbit_s: free, servers: most, ..limits() };
    let seen = world(&[
        (S(1), place(0, 1, None), Availability::Dead),
        (S(2), place(0, 2, None), Availability::Serving),
        (S(3), place(0, 3, None), Availability::Serving),
        (S(4), place(1, 1, None), Availability::Serving),
        (S(5), place(2, 1, None), Availability::Serving),
    ]);
    let mut register = Register::default();
    let go = |r: &Register, n, hall| check_limits(r, &seen, &limits, S(n), place(hall, 9, None));
    assert_eq!(go(&register, 2, 0), Ok(()));
    register.permits = vec![permit(S(2), place(0, 2, None))];
    assert_eq!(go(&register, 3, 0), Err(DenialReason::LinkCapacity));
    assert_eq!(go(&register, 4, 1), Err(DenialReason::LinkCapacity));
    assert_eq!(go(&register, 5, 2), Err(DenialReason::LinkCapacity), "of that hall nothing is foretold");
}

/// Against a look at every run of cells by itself.
#[test]
fn never_the_last_holder_of_a_title() {
    let most = MaxOutOfService { fleet: 99, zone: 99, rack: 99 };
    let (cells, mut denied) = (6u32, 0);
    for copies in 1..=6 {
        let limits = Limits { servers: most, cells_per_title: copies, ring_cells: cells, ..limits() };
        for bits in 0u32..1 << cells {
            for twice in [false, true] {
                let standing =
                    |c: u32| if bits & 1 << c == 0 { Availability::Serving } else { Availability::Dead };
                let one = |c: u32| (S(c.into()), place(c, 0, Some(c)), standing(c));
                let mut known: Vec<_> = (0..cells).map(one).collect();
                if twice {
                    known.push((S(99), place(0, 0, Some(0)), Availability::Serving));
                }
                let others: Vec<u32> = known
                    .iter()
                    .filter(|(s, _, standing)| *s != S(0) && *standing == Availability::Serving)
                    .filter_map(|(_, p, _)| p.cell)
                    .collect();
                // Runs that hold cell 0.
                let mut runs = (0..copies).map(|back| (0..copies).map(move |i| (cells - back + i) % cells));
                let good = runs.all(|mut run| run.any(|c| others.contains(&c)));
                let went =
                    check_limits(&Register::default(), &world(&known), &limits, S(0), place(0, 0, Some(0)));
                assert_eq!(went == Ok(()), good, "copies {copies}, gone {bits:b}, twice {twice}: {went:?}");
                denied += u32::from(!good);
            }
        }
    }
    assert!(denied > 20);
}

#[test]
fn who_goes_when_is_the_same_at_all_and_all_go() {
    let fleet: BTreeMap<u64, Place> = (0..50).map(|n| (n, place((n % 3) as u32, 0, None))).collect();
    let waves = vec![Wave { zone: Some(1), share_permille: 500 }, Wave { zone: None, share_permille: 200 }];
    let plan = Plan {
        number: 4,
        target: ReleaseTarget::Settings { generation: 7, digest: 70 },
        previous: ReleaseTarget::Settings { generation: 6, digest: 60 },
        canaries: 3,
        waves,
        limits: limits(),
        observation_ms: 1,
        max_out: 1,
        max_failed_restarts: 1,
        max_permit_wait_ms: 1,
        false_halt_ppm: 1,
        rollback_of: None,
    };
    let at = |stage| plan.fronts_at(stage, &fleet);
    let waves = [at(Stage::Canary), at(Stage::Wave(1)), at(Stage::Wave(2)), at(Stage::Wave(3))];
    assert!(waves.windows(2).all(|w| w[0].is_subset(&w[1])));
    assert_eq!(waves.clone().map(|w| w.len()), [3, 12, 22, 50]);
    assert_eq!(plan.last_wave(), 3);
    let back = plan.rollback_plan();
    assert_eq!(
        back.target,
        ReleaseTarget::Settings { generation: 8, digest: 60 },
        "what was, as a newer generation"
    );
    assert_eq!(back.rollout_order(&fleet, |n| u64::from(n == 17))[0], 17, "who does worst goes first");
    assert_ne!(back.digest(), plan.digest());
}
