//! Randomly generated deployments: each is parsed and simulated with the session core and the decision module. State of
//! one must not leak into another.

mod random_deployment;

use random_deployment::front::Front;

const STEPS: usize = 400;

fn run(seed: u64) -> Front {
    let mut front = Front::new(seed);
    (0..STEPS).for_each(|_| front.step());
    front.finish();
    front
}

#[test]
fn every_request_in_any_deployment_gets_one_valid_answer() {
    let fronts: Vec<_> = (0..60).map(run).collect();
    let answers: usize = fronts.iter().map(|f| f.answers).sum();
    let served: usize = fronts.iter().map(|f| f.streams).sum();
    // With fewer, the checks would have covered little.
    assert!(answers > 8_000 && served > 800, "{served} served of {answers}");
}

#[test]
fn deployments_do_not_affect_each_other() {
    for seed in 0..8 {
        let (a, b) = (seed, seed + 1_000);
        let alone = run(b).transcript();
        run(a);
        assert!(run(b).transcript() == alone, "{b} after {a}");
        let (mut first, mut second) = (Front::new(a), Front::new(b));
        for _ in 0..STEPS {
            first.step();
            second.step();
        }
        second.finish();
        assert!(second.transcript() == alone, "{b} interleaved with {a}");
        assert!(!alone.is_empty());
    }
}
