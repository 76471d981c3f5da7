//! What is learnt from what came.

mod common;
use cloverhollow_forecast::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn likely(middle: f64) -> Likely {
    Likely { middle, low: middle * 0.9, high: middle * 1.1 }
}

fn foretold(links: u64) -> Foretold {
    Foretold {
        links: (0..links).map(|i| (i, likely(0.5))).collect(),
        refused: Likely { middle: 0.01, low: 0.0, high: 0.03 },
        ..Foretold::default()
    }
}

fn came(links: &[f64], refused: f64) -> Came {
    let links = links.iter().enumerate().map(|(i, x)| (i as u64, *x)).collect();
    Came { links, asked: 1.0, refused, ..Came::default() }
}

#[test]
fn the_spread_grows_after_errors_and_waves_get_smaller() {
    let mut record = Record::default();
    let (mut spread, mut wave) = (record.spread(), record.most_a_wave(40));
    assert_eq!((spread, wave), (1.0, 40));
    for _ in 0..3 {
        // Two of ten links off by twice their spread: no reason to halt, but to widen.
        let mut links = [0.5; 10];
        (links[2], links[7]) = (0.6, 0.4);
        assert_eq!(record.add(2, &foretold(10), &came(&links, 0.01)), Said::AsForetold);
        record.check(spread).unwrap();
        assert!(record.spread() > spread && record.most_a_wave(40) < wave);
        (spread, wave) = (record.spread(), record.most_a_wave(40));
    }
    assert!(!record.halts());
    for _ in 0..50 {
        record.add(2, &foretold(10), &came(&[0.5; 10], 0.01));
        record.check(record.spread()).unwrap();
    }
    assert_eq!((record.spread(), record.most_a_wave(40)), (1.0, 40), "it calms when forecasts come true");
}

#[test]
fn a_forecast_wrong_by_more_than_its_spread_halts() {
    let mut record = Record::default();
    assert_eq!(record.add(2, &foretold(10), &came(&[0.52; 10], 0.02)), Said::AsForetold);
    assert!(!record.halts());
    assert_eq!(record.add(2, &foretold(10), &came(&[0.52; 10], 0.05)), Said::Wrong, "more refused");
    assert!(record.halts());
    record.go_on();
    assert_eq!(record.add(2, &foretold(10), &came(&[0.7; 10], 0.01)), Said::Wrong, "all links fuller");
    assert!(record.halts());
    record.go_on();
    assert_eq!(record.add(2, &foretold(10), &came(&[0.3; 10], 0.01)), Said::Wrong, "or all emptier");
}

/// Demand that grows by half while the release runs is outside the spread of quiet days; the wider spread
/// reaches the next verdict's figures and its waves.
#[test]
fn demand_that_grows_by_half_meanwhile_halts_and_widens() {
    let set = settings(8, 4);
    let (from, asked) = (layout(8, 16, 4, 80_000.0), demand(16, 16.0, &DAYS));
    let plan = plan(1);
    let told = |spread| {
        let days = Days::new(&set, &plan, &asked, asked.until, spread).unwrap();
        days.foretell(&(&from).into(), false, 6)
    };
    let first = told(1.0);
    let half_more = demand(16, 24.0, &DAYS);
    let days = Days::new(&set, &plan, &half_more, asked.until, 1.0).unwrap();
    let mut record = Record::default();
    assert_eq!(record.add(1, &first, &days.play(0, &(&from).into(), false)), Said::Wrong);
    assert!(record.halts() && record.spread() > 1.0);
    let wide = |f: &Foretold| f.links.values().map(|l| l.high - l.low).sum::<f64>();
    assert!(wide(&told(record.spread())) > wide(&first) * 1.05);
    // The same day as foretold says nothing.
    let other = Plan { seed: 77, ..plan.clone() };
    let days = Days::new(&set, &other, &asked, asked.until, 1.0).unwrap();
    let mut record = Record::default();
    assert_eq!(record.add(1, &first, &days.play(0, &(&from).into(), false)), Said::AsForetold);
}

#[test]
fn more_waves_after_errors() {
    let set = settings(8, 4);
    let from = layout(8, 16, 4, 80_000.0);
    let mut to = Layout { generation: 2, ..from.clone() };
    to.servers.iter_mut().for_each(|s| s.weight = 1.1);
    let (asked, plan) = (demand(16, 12.0, &DAYS), plan(1));
    let waves = |record: &Record| {
        let steps = [from.clone(), to.clone()];
        let bars = Bars { link: 10.0, refused_more: 1.0, wave_more: 1.0, lost_more: 1.0 };
        let now = asked.until;
        let v =
            assess(&Asking { settings: &set, steps: &steps, demand: &asked, now, record, bars, plan: &plan });
        v.unwrap().waves.len()
    };
    let mut record = Record::default();
    assert_eq!(waves(&record), 1);
    record.add(1, &foretold(10), &came(&[0.7; 10], 0.01));
    assert!(waves(&record) >= 3, "spread {}", record.spread());
}

fn loads() -> impl Strategy<Value = Vec<f64>> {
    prop::collection::vec(prop_oneof![0.0..2.0f64, Just(f64::NAN), Just(f64::MAX)], 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default()
    })]

    #[test]
    fn the_record_keeps_its_invariants(all in prop::collection::vec((loads(), 0.0..2.0f64), 0..300)) {
        let mut record = Record::default();
        for (links, refused) in all {
            let before = record.spread();
            record.add(1, &foretold(8), &came(&links, refused));
            prop_assert_eq!(record.check(before), Ok(()));
            prop_assert!((1..=40).contains(&record.most_a_wave(40)));
            prop_assert!(record.kept().count() <= cloverhollow_forecast::learn::MOST_KEPT);
        }
    }
}
