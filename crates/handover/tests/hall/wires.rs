//! What befalls messages between fronts.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// From some to others, one way, for a while.
#[derive(Clone, Debug)]
pub struct Cut {
    pub from: Option<usize>,
    pub to: Option<usize>,
    pub begin: Duration,
    pub end: Duration,
}

/// All wires alike, but for cuts.
#[derive(Clone, Debug)]
pub struct Wires {
    /// Parts of a hundred.
    pub loss: u32,
    pub double: u32,
    /// One way, ms: at least, at most.
    pub delay: (u64, u64),
    pub cuts: Vec<Cut>,
}

impl Wires {
    pub fn whole(delay: (u64, u64)) -> Wires {
        Wires { loss: 0, double: 0, delay, cuts: vec![] }
    }

    /// After how long each copy of a message comes.
    pub fn copies(&self, from: usize, to: usize, now: Duration, rng: &mut ChaCha8Rng) -> Vec<u64> {
        let is = |want: Option<usize>, i| want.is_none_or(|w| w == i);
        let cut = |c: &Cut| is(c.from, from) && is(c.to, to) && now >= c.begin && now < c.end;
        if self.cuts.iter().any(cut) || rng.random_range(0..100) < self.loss {
            return vec![];
        }
        let copies = 1 + usize::from(rng.random_range(0..100) < self.double);
        (0..copies).map(|_| rng.random_range(self.delay.0..=self.delay.1)).collect()
    }
}
