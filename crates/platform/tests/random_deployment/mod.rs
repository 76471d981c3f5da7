//! Settings of random deployments, generated from a seed: names, numbers of classes and tenants, limits and effects vary,
//! and optional fields are present or absent.

use fastrand::Rng;
use serde_json::{json, Map, Value};

mod checks;
pub mod front;
mod session_state;

/// A name with arbitrary characters.
fn name(rng: &mut Rng, prefix: &str, i: usize) -> String {
    let suffix: String =
        (0..rng.usize(0..6)).map(|_| *rng.choice(&['a', 'Z', '7', '-', '_', 'é', ' ']).unwrap()).collect();
    format!("{prefix}{i}{suffix}")
}

fn list(len: usize, mut item: impl FnMut(usize) -> Value) -> Value {
    (0..len).map(&mut item).collect()
}

/// Inserts a field in four of five cases.
fn maybe_insert(rng: &mut Rng, object: &mut Map<String, Value>, key: &str, value: Value) {
    if rng.u8(0..5) > 0 {
        object.insert(key.into(), value);
    }
}

pub fn settings(seed: u64) -> Value {
    let rng = &mut Rng::with_seed(seed);
    let (classes, rungs, kinds, tenants) =
        (rng.usize(1..6), rng.usize(1..5), rng.usize(1..4), rng.usize(0..4));
    let mut rate = 50.0;
    let levels = list(rungs, |_| {
        rate += rng.f64() * 900.0;
        json!(rate)
    });
    let max_rungs: Vec<usize> = (0..classes).map(|_| rng.usize(0..rungs + 2)).collect();
    let mut domain =
        json!({"level-kb": levels, "link-unit-kb": rng.f64() * 90_000.0}).as_object().unwrap().clone();
    let min_rungs = list(classes, |i| json!(rng.usize(0..=max_rungs[i].min(rungs - 1))));
    let places = rng.u64(0..40);
    for (key, value) in [
        ("class-live", list(classes, |_| json!(rng.bool()))),
        ("ladder-worth", list(rungs, |i| json!((i + 1) as f64 / rungs as f64))),
        ("scale-by-class", list(classes, |_| json!(0.2 + rng.f64() * 2.0))),
        ("seats", list(classes, |_| json!(rng.u64(0..4)))),
        ("join", json!(rng.f64())),
        ("rack-link-kb", json!(rng.f64() * 1e6)),
        ("places", json!(places)),
        ("shelves", json!(rng.u64(0..9))),
        ("places-by-kind", list(kinds, |_| json!(rng.u64(1..500)))),
        ("told-every", json!(rng.u64(0..4_000))),
        ("told-late", json!(rng.u64(0..2_000))),
    ] {
        maybe_insert(rng, &mut domain, key, value);
    }
    // The minimum rungs are valid only with these maximum rungs.
    if rng.u8(0..5) > 0 {
        domain.insert("class-top".into(), json!(max_rungs));
        domain.insert("floor-by-class".into(), min_rungs);
    }
    let grades = list(classes, |i| {
        let mut grade = json!({"name": name(rng, "c", i)}).as_object().unwrap().clone();
        let deadline = rng.u64(300..6_000);
        let effect = *rng.choice(&["idempotent", "at_most_once", "another word"]).unwrap();
        maybe_insert(rng, &mut grade, "deadline", json!(deadline));
        let (aim, worth) = (deadline as f64 * rng.f64(), rng.f64() * 9.0);
        maybe_insert(rng, &mut grade, "aim", json!(aim));
        maybe_insert(rng, &mut grade, "effect", json!(effect));
        maybe_insert(rng, &mut grade, "importance", json!(worth));
        grade.into()
    });
    let (mut invariants, mut limits, mut settings) = (Map::new(), Map::new(), Map::new());
    for (key, value) in [
        ("ask-within", json!(rng.u64(0..3_000))),
        ("cold", json!(rng.u64(0..20_000))),
        ("cold-from", json!(rng.f64())),
        ("fall", json!(rng.u64(0..3_000))),
        ("fall-multiple", json!(rng.f64() * 5.0)),
    ] {
        maybe_insert(rng, &mut invariants, key, value);
    }
    if rng.bool() {
        invariants.insert("budget-span".into(), json!(rng.u64(1..20_000)));
        let (free, share) = (rng.u64(0..5), rng.f64());
        maybe_insert(rng, &mut invariants, "budget-free", json!(free));
        maybe_insert(rng, &mut invariants, "extra-share", json!(share));
    }
    for (key, value) in [
        ("most-tries", json!(rng.u64(1..30))),
        ("retry-after", json!(rng.bool())),
        ("max-retry-after", json!(rng.u64(0..2_000))),
        ("connect-timeout", json!(rng.u64(0..1_000))),
        ("idle-close", json!(rng.u64(0..60_000))),
    ] {
        maybe_insert(rng, &mut limits, key, value);
    }
    let fronts = rng.u64(1..400);
    for (key, value) in [
        ("balancers", json!(fronts)),
        ("index", json!(rng.u64(0..fronts))),
        ("zone", json!(name(rng, "z", 0))),
        ("discovery", json!(*rng.choice(&["pushed", "on_request"]).unwrap())),
        ("weights", json!(*rng.choice(&["none", "some"]).unwrap())),
        ("over-share-worth", json!(rng.f64())),
        ("invariants", invariants.into()),
        ("limits", limits.into()),
        ("tenants", list(tenants, |i| json!({"name": name(rng, "t", i), "quota-per-s": rng.f64() * 50.0}))),
    ] {
        maybe_insert(rng, &mut settings, key, value);
    }
    // The number of kinds has to match `places-by-kind`.
    settings.insert("kinds".into(), list(kinds, |i| json!(name(rng, "k", i))));
    settings.insert("grades".into(), grades);
    settings.insert("domain".into(), domain.into());
    settings.into()
}
