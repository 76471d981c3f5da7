//! Sequential test of the served share: probability of false halts, and requests until a difference is
//! detected.

use cloverhollow_out::{PaidBlock, ServedShareTest, Tally};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RUNS: u64 = 2_000;
const FALSE_HALT_PPM: u32 = 10_000;

fn random_tally(rng: &mut ChaCha8Rng, requested: u32, share: f64) -> Tally {
    Tally { requested, served: (0..requested).filter(|_| rng.random_bool(share)).count() as u32 }
}

/// Feeds blocks of random sizes with a varying share. Returns the number of requests at changed fronts before
/// the test halts.
fn requests_until_halt(seed: u64, share: f64, difference: f64, blocks: u32) -> Option<u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed << 32 | share.to_bits() >> 40);
    let mut test = ServedShareTest::new(FALSE_HALT_PPM);
    let mut requested = 0;
    for _ in 0..blocks {
        let block_share = (share + rng.random_range(-0.1..0.1)).clamp(0.0, 1.0);
        let (changed_requests, unchanged_requests) = (rng.random_range(1..20), rng.random_range(1..200));
        let changed = random_tally(&mut rng, changed_requests, (block_share - difference).clamp(0.0, 1.0));
        let unchanged = random_tally(&mut rng, unchanged_requests, block_share);
        requested += changed_requests;
        if test.add_block(PaidBlock { changed, unchanged }) {
            return Some(requested);
        }
    }
    None
}

#[test]
fn false_halts_stay_within_the_configured_probability() {
    for share in [0.3, 0.6, 0.9, 0.99] {
        let halted =
            (0..RUNS).filter(|seed| requests_until_halt(*seed, share, 0.0, 200).is_some()).count() as u64;
        println!("share {share}: {halted} of {RUNS} halted without a difference");
        assert!(halted * 1_000_000 <= RUNS * u64::from(FALSE_HALT_PPM), "{halted} at {share}");
        let halted_if_better = (0..RUNS / 4)
            .filter(|seed| requests_until_halt(*seed, share, -0.1, 200).is_some())
            .count() as u64;
        assert!(
            halted_if_better * 1_000_000 <= RUNS / 4 * u64::from(FALSE_HALT_PPM),
            "{halted_if_better} at {share}, where changed fronts serve more"
        );
    }
}

#[test]
fn a_difference_is_detected_within_few_requests() {
    for (difference, max) in [(0.05, 3_000), (0.1, 800), (0.2, 250)] {
        for share in [0.6, 0.9] {
            let mut requested: Vec<u32> = (0..200)
                .map(|seed| requests_until_halt(seed, share, difference, 2_000).unwrap_or(u32::MAX))
                .collect();
            requested.sort_unstable();
            println!(
                "{difference} less than {share}: halts after {} requests at changed fronts (median), {} (90th)",
                requested[100], requested[180]
            );
            assert!(requested[100] <= max, "{}", requested[100]);
        }
    }
}

#[test]
fn inconsistent_counts_keep_the_evidence_finite() {
    let mut test = ServedShareTest::new(0);
    let inconsistent = Tally { requested: 1, served: u32::MAX };
    for _ in 0..10 {
        test.add_block(PaidBlock { changed: inconsistent, unchanged: inconsistent });
        test.add_block(PaidBlock {
            changed: Tally { requested: u32::MAX, served: 0 },
            unchanged: inconsistent,
        });
    }
    assert!(test.log_evidence().is_finite());
}
