//! Limits on members out of service, and the order of a roll-out.

use cloverhollow_out::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn limits() -> Limits {
    let max = MaxOutOfService { fleet: 3, zone: 2, rack: 1 };
    Limits {
        fronts: max,
        servers: max,
        cells_per_title: 0,
        ring_cells: 0,
        free_link_kbit_s: None,
        max_uncertain_ms: 1_000,
    }
}

fn place(zone: u32, rack: u32, cell: Option<u32>) -> Place {
    Place { zone, rack: Some(rack), cell }
}

fn fleet(members: &[(Subject, Place, Availability)]) -> FleetView {
    let members = members.iter().map(|(subject, place, availability)| {
        (*subject, MemberStatus { place: *place, availability: *availability, link_kbit_s: 100 })
    });
    FleetView { members: members.collect(), uncertain_for: Duration::ZERO }
}

fn permit(subject: Subject, place: Place) -> Permit {
    Permit { subject, place, holder: 1, request_id: 1, term: Term(1), lease_ms: 1_000 }
}

const FRONT: fn(u64) -> Subject = Subject::Front;
const SERVER: fn(u64) -> Subject = Subject::Server;

#[test]
fn dead_suspect_and_out_of_service_members_count() {
    let mut register = Register { term: Term(1), ..Register::default() };
    let check = |register: &Register, fleet: &FleetView, zone, rack| {
        check_limits(register, fleet, &limits(), FRONT(9), place(zone, rack, None))
    };
    let empty = fleet(&[]);
    assert_eq!(check(&register, &empty, 0, 0), Ok(()));
    for availability in [Availability::Dead, Availability::Suspect, Availability::OutOfService] {
        let two_out = fleet(&[
            (FRONT(1), place(0, 1, None), availability),
            (FRONT(2), place(0, 2, None), availability),
        ]);
        assert_eq!(check(&register, &two_out, 0, 0), Err(DenialReason::ZoneLimit));
        assert_eq!(check(&register, &two_out, 1, 0), Ok(()));
        let one_out = fleet(&[(FRONT(1), place(0, 1, None), availability)]);
        assert_eq!(check(&register, &one_out, 0, 1), Err(DenialReason::RackLimit));
        assert_eq!(check(&register, &one_out, 1, 1), Ok(()), "a rack of another zone");
        // A front that has a permit and is seen to be out counts once; servers are counted separately.
        register.permits = vec![permit(FRONT(1), place(0, 1, None)), permit(SERVER(1), place(0, 2, None))];
        assert_eq!(check(&register, &one_out, 0, 0), Ok(()));
        register.permits = vec![permit(FRONT(3), place(1, 1, None)), permit(FRONT(4), place(2, 1, None))];
        assert_eq!(check(&register, &one_out, 3, 0), Err(DenialReason::FleetLimit));
        register.permits.clear();
    }
    let only_subject = fleet(&[(FRONT(9), place(0, 0, None), Availability::OutOfService)]);
    assert_eq!(check(&register, &only_subject, 0, 0), Ok(()), "the subject itself does not count");
    let uncertain = FleetView { uncertain_for: Duration::from_secs(2), ..empty };
    assert_eq!(check(&register, &uncertain, 0, 0), Err(DenialReason::UncertainView));
}

#[test]
fn link_capacity_of_a_zone_limits_servers_out_of_service() {
    let free = Some(BTreeMap::from([(0, 250), (1, 90)]));
    let max = MaxOutOfService { fleet: 9, zone: 9, rack: 9 };
    let limits = Limits { free_link_kbit_s: free, servers: max, ..limits() };
    let fleet_view = fleet(&[
        (SERVER(1), place(0, 1, None), Availability::Dead),
        (SERVER(2), place(0, 2, None), Availability::Serving),
        (SERVER(3), place(0, 3, None), Availability::Serving),
        (SERVER(4), place(1, 1, None), Availability::Serving),
        (SERVER(5), place(2, 1, None), Availability::Serving),
    ]);
    let mut register = Register::default();
    let check =
        |r: &Register, n, zone| check_limits(r, &fleet_view, &limits, SERVER(n), place(zone, 9, None));
    assert_eq!(check(&register, 2, 0), Ok(()));
    register.permits = vec![permit(SERVER(2), place(0, 2, None))];
    assert_eq!(check(&register, 3, 0), Err(DenialReason::LinkCapacity));
    assert_eq!(check(&register, 4, 1), Err(DenialReason::LinkCapacity));
    assert_eq!(
        check(&register, 5, 2),
        Err(DenialReason::LinkCapacity),
        "the forecast has no entry for that zone"
    );
}

/// Compares the check with an enumeration of every run of cells.
#[test]
fn last_server_of_a_title_is_never_taken_out() {
    let max = MaxOutOfService { fleet: 99, zone: 99, rack: 99 };
    let (cells, mut denied) = (6u32, 0);
    for copies in 1..=6 {
        let limits = Limits { servers: max, cells_per_title: copies, ring_cells: cells, ..limits() };
        for bits in 0u32..1 << cells {
            for second_server in [false, true] {
                let availability =
                    |c: u32| if bits & 1 << c == 0 { Availability::Serving } else { Availability::Dead };
                let server = |c: u32| (SERVER(c.into()), place(c, 0, Some(c)), availability(c));
                let mut members: Vec<_> = (0..cells).map(server).collect();
                if second_server {
                    members.push((SERVER(99), place(0, 0, Some(0)), Availability::Serving));
                }
                let others: Vec<u32> = members
                    .iter()
                    .filter(|(subject, _, availability)| {
                        *subject != SERVER(0) && *availability == Availability::Serving
                    })
                    .filter_map(|(_, p, _)| p.cell)
                    .collect();
                // Runs that contain cell 0.
                let mut runs =
                    (0..copies).map(|offset| (0..copies).map(move |i| (cells - offset + i) % cells));
                let allowed = runs.all(|mut run| run.any(|c| others.contains(&c)));
                let result = check_limits(
                    &Register::default(),
                    &fleet(&members),
                    &limits,
                    SERVER(0),
                    place(0, 0, Some(0)),
                );
                assert_eq!(
                    result == Ok(()),
                    allowed,
                    "copies {copies}, dead {bits:b}, second server {second_server}: {result:?}"
                );
                denied += u32::from(!allowed);
            }
        }
    }
    assert!(denied > 20);
}

#[test]
fn rollout_order_is_deterministic_and_covers_all_fronts() {
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
    let fronts_at = |stage| plan.fronts_at(stage, &fleet);
    let waves = [
        fronts_at(Stage::Canary),
        fronts_at(Stage::Wave(1)),
        fronts_at(Stage::Wave(2)),
        fronts_at(Stage::Wave(3)),
    ];
    assert!(waves.windows(2).all(|w| w[0].is_subset(&w[1])));
    assert_eq!(waves.clone().map(|w| w.len()), [3, 12, 22, 50]);
    assert_eq!(plan.last_wave(), 3);
    let rollback = plan.rollback_plan();
    assert_eq!(
        rollback.target,
        ReleaseTarget::Settings { generation: 8, digest: 60 },
        "the previous text as a newer generation"
    );
    assert_eq!(
        rollback.rollout_order(&fleet, |n| u64::from(n == 17))[0],
        17,
        "the front with the worst failures goes first"
    );
    assert_ne!(rollback.digest(), plan.digest());
}
