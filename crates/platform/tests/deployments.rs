//! Deployments that nobody fitted the program to: each is read, and driven through the session core with the decision
//! module. One leaves nothing behind for the next.

mod random_deployment;

use random_deployment::front::Front;

const STEPS: usize = 400;

fn lived(seed: u64) -> Front {
    let mut front = Front::new(seed);
    (0..STEPS).for_each(|_| front.goes_on());
    front.stops();
    front
}

#[test]
fn every_request_of_any_deployment_gets_one_answer_within_the_rules() {
    let lives: Vec<_> = (0..60).map(lived).collect();
    let answers: usize = lives.iter().map(|f| f.answers).sum();
    let served: usize = lives.iter().map(|f| f.streams).sum();
    // Else little of what is looked at would have happened.
    assert!(answers > 8_000 && served > 800, "{served} served of {answers}");
}

#[test]
fn a_deployment_leaves_nothing_behind_for_the_next() {
    for seed in 0..8 {
        let (a, b) = (seed, seed + 1_000);
        let alone = lived(b).transcript();
        lived(a);
        assert!(lived(b).transcript() == alone, "{b} after {a}");
        let (mut first, mut second) = (Front::new(a), Front::new(b));
        for _ in 0..STEPS {
            first.goes_on();
            second.goes_on();
        }
        second.stops();
        assert!(second.transcript() == alone, "{b} beside {a}");
        assert!(!alone.is_empty());
    }
}
