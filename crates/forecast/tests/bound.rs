//! The module never serves more than the flow.

mod common;
use cloverhollow_forecast::bound::{flow, most_served, rows};
use cloverhollow_forecast::wanted::{draw, LEAD};
use cloverhollow_forecast::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct Drawn {
    servers: u64,
    titles: u64,
    cells: u64,
    racks: usize,
    uplink: f64,
    a_minute: f64,
    join: f64,
    skew: f64,
    live: bool,
    weights: Vec<f64>,
    runs: Vec<u64>,
    seed: u64,
}

fn drawn() -> impl Strategy<Value = Drawn> {
    let sizes = (2..9u64, 1..12u64, 2..9u64, 0..4usize);
    let loads = (5_000.0..90_000.0f64, 5.0..60.0f64, 0.4..1.0f64, 0.0..4.0f64);
    let lists = (prop::collection::vec(0.3..2.0f64, 8), prop::collection::vec(1..4u64, 12));
    (sizes, loads, any::<bool>(), lists, any::<u64>()).prop_map(|(s, l, live, (weights, runs), seed)| Drawn {
        servers: s.0.max(s.2),
        titles: s.1,
        cells: s.2,
        racks: s.3,
        uplink: l.0,
        a_minute: l.1,
        join: l.2,
        skew: l.3,
        live,
        weights,
        runs,
        seed,
    })
}

fn made(d: &Drawn) -> (cloverhollow::Settings, Layout, Demand) {
    let mut set = settings(d.cells, d.racks as u64);
    set.join_cost_fraction = d.join;
    let mut it = layout(d.servers, d.titles, d.racks, d.uplink);
    for (i, s) in it.servers.iter_mut().enumerate() {
        (s.cell, s.weight) = (i as u64 % d.cells, d.weights[i % 8]);
    }
    for (i, t) in it.titles.iter_mut().enumerate() {
        (t.first_cell, t.cells) = (t.first_cell % d.cells, d.runs[i % 12]);
    }
    let mut asked = demand(d.titles, d.a_minute, &[1.0, 1.1]);
    for a in asked.days.iter_mut().flat_map(|x| x.values_mut().flatten()) {
        a.began *= if a.title == 0 { 1.0 + d.skew } else { 1.0 };
        a.class = usize::from(d.live && a.title % 3 == 0);
    }
    (set, it, asked)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48, failure_persistence: None, rng_seed: RngSeed::Fixed(20_261), ..ProptestConfig::default()
    })]

    #[test]
    fn the_module_never_serves_more_than_the_flow(d in drawn()) {
        let (set, it, asked) = made(&d);
        prop_assert_eq!(it.check(set.cell_count), Ok(()));
        let mut rng = ChaCha8Rng::seed_from_u64(d.seed);
        let wanted = draw(&asked.days[0], (8, 14), secs(5), &mut rng);
        let span = secs(360);
        for modules in [8, 2] {
            let manner = Manner { modules, ..plan(1).manner };
            let (settings, layout, manner) = (&set, &it, &manner);
            let stage = Stage { settings, before: None, layout, lost: None, lead: LEAD, span, manner };
            let came = play(&stage, &wanted, d.seed);
            let most = most_served(&set, &it, &wanted, span);
            let served = came.served;
            prop_assert!(served <= most * (1.0 + 1e-9) + 1e-6, "served {served}, at most {most}");
            prop_assert!(most <= came.asked * (1.0 + 1e-9) + 1e-3, "most {most} of {} asked", came.asked);
            prop_assert!(came.refused <= came.asked * (1.0 + 1e-9));
        }
    }
}

/// An uplink so narrow that it alone limits: the flow must see it, and the module comes near.
#[test]
fn the_flow_sees_uplinks() {
    let set = settings(4, 2);
    let it = layout(4, 4, 2, 6_000.0);
    let asked = demand(4, 30.0, &[1.0, 1.0]);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let wanted = draw(&asked.days[0], (5, 15), secs(5), &mut rng);
    let most = |uplink| {
        let it = Layout { uplinks_kb: vec![uplink; 2], ..it.clone() };
        most_served(&set, &it, &wanted, secs(600))
    };
    let (narrow, wide) = (most(6_000.0), most(1e9));
    // Two uplinks give 12,000 kB a second, at the best rung's worth for each.
    let best = 2.0 * 6_000.0 * 600.0 * 0.4 / 300.0;
    assert!(narrow <= best * 1.001 && narrow < wide * 0.9, "{narrow} {best} {wide}");
}

/// By hand: two titles, one on cell 0 alone, one on cells 0 and 1, links of 30,000.
#[test]
fn a_flow_by_hand() {
    let set = settings(2, 0);
    let it = layout(2, 2, 0, 0.0);
    let flow = |a: f64, b: f64| flow(&set, &it, &BTreeMap::from([((0, 1), a), ((0, 2), b)]), 1.0);
    assert_eq!(flow(10_000.0, 10_000.0), 20_000.0);
    assert_eq!(flow(50_000.0, 10_000.0), 40_000.0, "cell 0 gives 30,000, the other title goes to cell 1");
    assert_eq!(flow(50_000.0, 50_000.0), 60_000.0);
}

#[test]
fn rows_are_the_upper_hull_and_sharing_only_adds() {
    let mut set = settings(0, 0);
    let plain = rows(&set, 0);
    assert!(plain.windows(2).all(|w| w[0].0 >= w[1].0), "{plain:?}");
    let (kb, worth) = plain.iter().fold((0.0, 0.0), |(k, w), r| (k + r.1, w + r.0 * r.1));
    assert!((kb - 1_500.0).abs() < 1e-6 && (worth - 1.0).abs() < 1e-9);
    set.join_cost_fraction = 0.5;
    let shared: f64 = rows(&set, 1).iter().map(|r| r.1).sum();
    assert!((shared - 750.0).abs() < 1e-6, "a live session may cost half");
}
