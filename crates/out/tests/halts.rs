//! The test on paid worth: how often it halts for nothing, and how soon for something.

use cloverhollow_out::{PaidBlock, ServedShareTest, Tally};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RUNS: u64 = 2_000;
const ERROR_PPM: u32 = 10_000;

fn tally(rng: &mut ChaCha8Rng, asked: u32, share: f64) -> Tally {
    Tally { requested: asked, served: (0..asked).filter(|_| rng.random_bool(share)).count() as u32 }
}

/// Blocks of drawn sizes, of a share that wanders; after how many requests at changed fronts it halts.
fn run(seed: u64, share: f64, difference: f64, blocks: u32) -> Option<u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed << 32 | share.to_bits() >> 40);
    let mut worth = ServedShareTest::new(ERROR_PPM);
    let mut asked = 0;
    for _ in 0..blocks {
        let wanders = (share + rng.random_range(-0.1..0.1)).clamp(0.0, 1.0);
        let (c, u) = (rng.random_range(1..20), rng.random_range(1..200));
        let changed = tally(&mut rng, c, (wanders - difference).clamp(0.0, 1.0));
        let unchanged = tally(&mut rng, u, wanders);
        asked += c;
        if worth.add_block(PaidBlock { changed, unchanged }) {
            return Some(asked);
        }
    }
    None
}

#[test]
fn it_halts_for_nothing_no_more_often_than_it_says() {
    for share in [0.3, 0.6, 0.9, 0.99] {
        let halted = (0..RUNS).filter(|seed| run(*seed, share, 0.0, 200).is_some()).count() as u64;
        println!("share {share}: {halted} of {RUNS} halted for nothing");
        assert!(halted * 1_000_000 <= RUNS * u64::from(ERROR_PPM), "{halted} at {share}");
        let better = (0..RUNS / 4).filter(|seed| run(*seed, share, -0.1, 200).is_some()).count() as u64;
        assert!(
            better * 1_000_000 <= RUNS / 4 * u64::from(ERROR_PPM),
            "{better} at {share}, where they do better"
        );
    }
}

#[test]
fn it_halts_soon_for_a_difference() {
    for (difference, most) in [(0.05, 3_000), (0.1, 800), (0.2, 250)] {
        for share in [0.6, 0.9] {
            let mut asked: Vec<u32> =
                (0..200).map(|seed| run(seed, share, difference, 2_000).unwrap_or(u32::MAX)).collect();
            asked.sort_unstable();
            println!(
                "{difference} less than {share}: halts after {} requests at changed fronts (median), {} (90th)",
                asked[100], asked[180]
            );
            assert!(asked[100] <= most, "{}", asked[100]);
        }
    }
}

#[test]
fn counts_that_cannot_be_are_harmless() {
    let mut worth = ServedShareTest::new(0);
    let odd = Tally { requested: 1, served: u32::MAX };
    for _ in 0..10 {
        worth.add_block(PaidBlock { changed: odd, unchanged: odd });
        worth.add_block(PaidBlock { changed: Tally { requested: u32::MAX, served: 0 }, unchanged: odd });
    }
    assert!(worth.log_evidence().is_finite());
}
