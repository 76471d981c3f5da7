//! Demand: recorded, judged, resampled.

mod common;
use cloverhollow_forecast::demand::{MINUTES, MOST_DAYS, OLDEST};
use cloverhollow_forecast::wanted::{busiest, draw, LEAD};
use cloverhollow_forecast::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

fn width(asked: &Demand, now: Duration) -> f64 {
    let j = asked.judge(now, Duration::ZERO).unwrap();
    j.spread * j.widen
}

#[test]
fn thin_or_stale_demand_widens_or_is_refused() {
    let days = [1.0, 1.05, 0.95, 1.0, 1.05, 0.95];
    let asked = demand(8, 20.0, &days);
    let now = asked.until;
    let firm = width(&asked, now);
    assert!(width(&demand(8, 20.0, &days[..3]), now) > firm * 1.2, "three days are wider than six");
    assert!(width(&asked, now + secs(2 * 86_400)) > firm * 1.2, "two days old is wider");
    let late = now + OLDEST + secs(1);
    assert_eq!(asked.judge(late, Duration::ZERO), Err(Unfit::Stale(OLDEST + secs(1))));
    assert_eq!(demand(8, 20.0, &[1.0]).judge(now, Duration::ZERO), Err(Unfit::FewDays(1)));
    assert!(matches!(demand(8, 0.5, &days).judge(now, Duration::ZERO), Err(Unfit::FewSessions(_))));
    assert_eq!(Demand::default().judge(now, Duration::ZERO), Err(Unfit::FewDays(0)));
}

#[test]
fn demand_that_grows_is_foretold_higher() {
    let now = secs(86_400);
    let level = |days: &[f64]| demand(8, 20.0, days).judge(now, Duration::ZERO).unwrap();
    let flat = level(&[1.0, 1.02, 0.98, 1.01, 1.0]);
    let grows = level(&[1.0, 1.5, 2.25, 3.4, 5.1]);
    assert!((flat.growth - 1.0).abs() < 0.01 && flat.level.exp() / flat.level.exp() == 1.0);
    assert!((1.45..1.55).contains(&grows.growth), "{grows:?}");
    let last = demand(8, 20.0, &[5.1]).days[0].values().flatten().map(|a| a.began * 300.0).sum::<f64>();
    assert!((1.4..1.6).contains(&(grows.level.exp() / last)), "a day on it is half more again");
}

#[test]
fn lines_without_sense_are_refused() {
    let good = demand(8, 20.0, &DAYS);
    for spoil in [
        (|a: &mut Asked| a.began = f64::NAN) as fn(&mut Asked),
        |a| a.began = -1.0,
        |a| a.began = 9e8,
        |a| a.at_once = a.began + 1.0,
        |a| a.played = Duration::MAX,
    ] {
        let mut bad = good.clone();
        bad.days[1].values_mut().flatten().take(1).for_each(spoil);
        assert!(matches!(bad.judge(good.until, Duration::ZERO), Err(Unfit::Bad(_))));
    }
    let mut bad = good.clone();
    bad.days[0].insert(MINUTES, Vec::new());
    assert!(matches!(bad.check(), Err(Unfit::Bad(_))));
    let mut other = good.clone();
    other.days[0].values_mut().flatten().for_each(|a| a.class = 9);
    let (set, plan) = (settings(8, 4), plan(1));
    assert!(matches!(Days::new(&set, &plan, &other, other.until, 1.0), Err(Fault::Demand(Unfit::Bad(_)))));
}

#[test]
fn the_busiest_minutes_are_found_and_what_stands_is_drawn() {
    let mut asked = demand(4, 20.0, &DAYS);
    for day in &mut asked.days {
        day.range_mut(12..16).for_each(|(_, l)| l.iter_mut().for_each(|a| a.began *= 5.0));
    }
    let span = busiest(&asked, 5);
    assert!((12..16).contains(&span.0), "{span:?}");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let wanted = draw(&demand(4, 600.0, &[1.0, 1.0]).days[0], (15, 20), secs(5), &mut rng);
    // Five minutes each, asked for since fifteen: 600 x 5 x (1 - exp(-3)).
    let standing = wanted.iter().filter(|w| w.at < LEAD && w.until > LEAD).count() as f64;
    assert!((standing / (3_000.0 * 0.95) - 1.0).abs() < 0.06, "{standing}");
    assert!(wanted.windows(2).all(|w| w[0].at <= w[1].at));
}

#[test]
fn a_recorder_gives_back_what_came() {
    let mut r = Recorder::new(secs(1_000), secs(5));
    let line = Line { title: 3, class: 1, tenant: None, hall: 1 };
    let day = |d: u64| secs(1_000 + d * 86_400);
    for d in 0..3 {
        for i in 0..10 {
            r.asked(day(d) + secs(120 + i), line, i < 4, secs(100 + 10 * i));
        }
    }
    r.asked(secs(10), line, false, secs(1));
    assert_eq!(r.left_out, 1, "before its begin");
    let got = r.demand(day(2) + secs(500));
    assert_eq!(got.days.len(), 2, "a day that has not ended is left out");
    let a = &got.days[1][&2][0];
    assert_eq!((a.began, a.at_once, a.played, a.hall), (10.0, 4.0, secs(145), 1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default()
    })]

    #[test]
    fn a_recorder_stays_within_its_bounds(all in prop::collection::vec(
        (0..20_000_000u64, 0..50u64, any::<bool>(), any::<u64>()), 0..200)) {
        let mut r = Recorder::new(secs(5), secs(5));
        for (at, title, at_once, played) in all {
            let line = Line { title, class: 0, tenant: None, hall: 0 };
            r.asked(secs(at), line, at_once, Duration::from_secs(played));
            prop_assert_eq!(r.check(), Ok(()));
        }
        let got = r.demand(secs(30_000_000));
        prop_assert!(got.days.len() <= MOST_DAYS);
        prop_assert_eq!(got.check(), Ok(()));
    }
}
