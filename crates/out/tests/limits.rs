//! Who may go: each limit, and what counts as out.

use cloverhollow_out::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn limits() -> Limits {
    let most = Most { fleet: 3, hall: 2, rack: 1 };
    Limits { fronts: most, servers: most, copies: 0, cells: 0, free: None, unsure_ms: 1_000 }
}

fn place(hall: u32, rack: u32, cell: Option<u32>) -> Place {
    Place { hall, rack: Some(rack), cell }
}

fn world(known: &[(Subject, Place, Standing)]) -> World {
    let known = known
        .iter()
        .map(|(s, place, standing)| (*s, Known { place: *place, standing: *standing, link: 100 }));
    World { known: known.collect(), unsure_for: Duration::ZERO }
}

fn permit(subject: Subject, place: Place) -> Permit {
    Permit { subject, place, holder: 1, ask: 1, term: Term(1), lease_ms: 1_000 }
}

const F: fn(u64) -> Subject = Subject::Front;
const S: fn(u64) -> Subject = Subject::Server;

#[test]
fn the_dead_the_doubted_and_the_out_count() {
    let mut register = Register { term: Term(1), ..Register::default() };
    let go = |register: &Register, world: &World, hall, rack| {
        may_go(register, world, &limits(), F(9), place(hall, rack, None))
    };
    let nobody = world(&[]);
    assert_eq!(go(&register, &nobody, 0, 0), Ok(()));
    for standing in [Standing::Gone, Standing::Doubted, Standing::Out] {
        let away = world(&[(F(1), place(0, 1, None), standing), (F(2), place(0, 2, None), standing)]);
        assert_eq!(go(&register, &away, 0, 0), Err(Denied::Hall));
        assert_eq!(go(&register, &away, 1, 0), Ok(()));
        let one = world(&[(F(1), place(0, 1, None), standing)]);
        assert_eq!(go(&register, &one, 0, 1), Err(Denied::Rack));
        assert_eq!(go(&register, &one, 1, 1), Ok(()), "a rack of another hall");
        // One that is out by a permit and seen to be out is one; servers are counted apart.
        register.permits = vec![permit(F(1), place(0, 1, None)), permit(S(1), place(0, 2, None))];
        assert_eq!(go(&register, &one, 0, 0), Ok(()));
        register.permits = vec![permit(F(3), place(1, 1, None)), permit(F(4), place(2, 1, None))];
        assert_eq!(go(&register, &one, 3, 0), Err(Denied::Fleet));
        register.permits.clear();
    }
    let own = world(&[(F(9), place(0, 0, None), Standing::Out)]);
    assert_eq!(go(&register, &own, 0, 0), Ok(()), "the asker itself does not stand in its way");
    let unsure = World { unsure_for: Duration::from_secs(2), ..nobody };
    assert_eq!(go(&register, &unsure, 0, 0), Err(Denied::View));
}

#[test]
fn a_hall_s_link_gives_what_the_forecast_leaves() {
    let free = Some(BTreeMap::from([(0, 250), (1, 90)]));
    let most = Most { fleet: 9, hall: 9, rack: 9 };
    let limits = Limits { free, servers: most, ..limits() };
    let seen = world(&[
        (S(1), place(0, 1, None), Standing::Gone),
        (S(2), place(0, 2, None), Standing::Serves),
        (S(3), place(0, 3, None), Standing::Serves),
        (S(4), place(1, 1, None), Standing::Serves),
        (S(5), place(2, 1, None), Standing::Serves),
    ]);
    let mut register = Register::default();
    let go = |r: &Register, n, hall| may_go(r, &seen, &limits, S(n), place(hall, 9, None));
    assert_eq!(go(&register, 2, 0), Ok(()));
    register.permits = vec![permit(S(2), place(0, 2, None))];
    assert_eq!(go(&register, 3, 0), Err(Denied::Link));
    assert_eq!(go(&register, 4, 1), Err(Denied::Link));
    assert_eq!(go(&register, 5, 2), Err(Denied::Link), "of that hall nothing is foretold");
}

/// Against a look at every run of cells by itself.
#[test]
fn never_the_last_holder_of_a_title() {
    let most = Most { fleet: 99, hall: 99, rack: 99 };
    let (cells, mut denied) = (6u32, 0);
    for copies in 1..=6 {
        let limits = Limits { servers: most, copies, cells, ..limits() };
        for bits in 0u32..1 << cells {
            for twice in [false, true] {
                let standing = |c: u32| if bits & 1 << c == 0 { Standing::Serves } else { Standing::Gone };
                let one = |c: u32| (S(c.into()), place(c, 0, Some(c)), standing(c));
                let mut known: Vec<_> = (0..cells).map(one).collect();
                if twice {
                    known.push((S(99), place(0, 0, Some(0)), Standing::Serves));
                }
                let others: Vec<u32> = known
                    .iter()
                    .filter(|(s, _, standing)| *s != S(0) && *standing == Standing::Serves)
                    .filter_map(|(_, p, _)| p.cell)
                    .collect();
                // Runs that hold cell 0.
                let mut runs = (0..copies).map(|back| (0..copies).map(move |i| (cells - back + i) % cells));
                let good = runs.all(|mut run| run.any(|c| others.contains(&c)));
                let went = may_go(&Register::default(), &world(&known), &limits, S(0), place(0, 0, Some(0)));
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
    let waves = vec![Wave { hall: Some(1), share: 500 }, Wave { hall: None, share: 200 }];
    let plan = Plan {
        number: 4,
        what: What::Settings { generation: 7, digest: 70 },
        before: What::Settings { generation: 6, digest: 60 },
        canaries: 3,
        waves,
        limits: limits(),
        watch_ms: 1,
        most_out: 1,
        restarts: 1,
        permits_ms: 1,
        error_ppm: 1,
        back: None,
    };
    let at = |stage| plan.targets(stage, &fleet);
    let waves = [at(Stage::Canary), at(Stage::Wave(1)), at(Stage::Wave(2)), at(Stage::Wave(3))];
    assert!(waves.windows(2).all(|w| w[0].is_subset(&w[1])));
    assert_eq!(waves.clone().map(|w| w.len()), [3, 12, 22, 50]);
    assert_eq!(plan.last_wave(), 3);
    let back = plan.way_back();
    assert_eq!(back.what, What::Settings { generation: 8, digest: 60 }, "what was, as a newer generation");
    assert_eq!(back.order(&fleet, |n| u64::from(n == 17))[0], 17, "who does worst goes first");
    assert_ne!(back.digest(), plan.digest());
}
