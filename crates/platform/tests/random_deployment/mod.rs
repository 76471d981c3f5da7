//! Deployments drawn by a seed, as the platform would write them: names, numbers of classes and tenants, limits, effects,
//! and whatever may be left out now there, now not.

use fastrand::Rng;
use serde_json::{json, Map, Value};

mod checks;
pub mod front;

/// A name as a deployment might have it: what the program was never told of.
fn name(rng: &mut Rng, of: &str, i: usize) -> String {
    let tail: String =
        (0..rng.usize(0..6)).map(|_| *rng.choice(&['a', 'Z', '7', '-', '_', 'é', ' ']).unwrap()).collect();
    format!("{of}{i}{tail}")
}

fn list(n: usize, mut each: impl FnMut(usize) -> Value) -> Value {
    (0..n).map(&mut each).collect()
}

/// Puts a field there, or leaves it out.
fn maybe(rng: &mut Rng, to: &mut Map<String, Value>, key: &str, value: Value) {
    if rng.u8(0..5) > 0 {
        to.insert(key.into(), value);
    }
}

pub fn settings(seed: u64) -> Value {
    let rng = &mut Rng::with_seed(seed);
    let (classes, rungs, kinds, tenants) =
        (rng.usize(1..6), rng.usize(1..5), rng.usize(1..4), rng.usize(0..4));
    let mut rate = 50.0;
    let level = list(rungs, |_| {
        rate += rng.f64() * 900.0;
        json!(rate)
    });
    let tops: Vec<usize> = (0..classes).map(|_| rng.usize(0..rungs + 2)).collect();
    let mut domain =
        json!({"level-kb": level, "link-unit-kb": rng.f64() * 90_000.0}).as_object().unwrap().clone();
    let floors = list(classes, |i| json!(rng.usize(0..=tops[i].min(rungs - 1))));
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
        maybe(rng, &mut domain, key, value);
    }
    // A floor goes with its tops.
    if rng.u8(0..5) > 0 {
        domain.insert("class-top".into(), json!(tops));
        domain.insert("floor-by-class".into(), floors);
    }
    let grades = list(classes, |i| {
        let mut g = json!({"name": name(rng, "c", i)}).as_object().unwrap().clone();
        let deadline = rng.u64(300..6_000);
        let effect = *rng.choice(&["idempotent", "at_most_once", "another word"]).unwrap();
        maybe(rng, &mut g, "deadline", json!(deadline));
        let (aim, worth) = (deadline as f64 * rng.f64(), rng.f64() * 9.0);
        maybe(rng, &mut g, "aim", json!(aim));
        maybe(rng, &mut g, "effect", json!(effect));
        maybe(rng, &mut g, "importance", json!(worth));
        g.into()
    });
    let (mut invariants, mut limits, mut out) = (Map::new(), Map::new(), Map::new());
    for (key, value) in [
        ("ask-within", json!(rng.u64(0..3_000))),
        ("cold", json!(rng.u64(0..20_000))),
        ("cold-from", json!(rng.f64())),
        ("fall", json!(rng.u64(0..3_000))),
        ("fall-multiple", json!(rng.f64() * 5.0)),
    ] {
        maybe(rng, &mut invariants, key, value);
    }
    if rng.bool() {
        invariants.insert("budget-span".into(), json!(rng.u64(1..20_000)));
        let (free, share) = (rng.u64(0..5), rng.f64());
        maybe(rng, &mut invariants, "budget-free", json!(free));
        maybe(rng, &mut invariants, "extra-share", json!(share));
    }
    for (key, value) in [
        ("most-tries", json!(rng.u64(1..30))),
        ("retry-after", json!(rng.bool())),
        ("max-retry-after", json!(rng.u64(0..2_000))),
        ("connect-timeout", json!(rng.u64(0..1_000))),
        ("idle-close", json!(rng.u64(0..60_000))),
    ] {
        maybe(rng, &mut limits, key, value);
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
        maybe(rng, &mut out, key, value);
    }
    // Streams by kind go with the kinds.
    out.insert("kinds".into(), list(kinds, |i| json!(name(rng, "k", i))));
    out.insert("grades".into(), grades);
    out.insert("domain".into(), domain.into());
    out.into()
}
