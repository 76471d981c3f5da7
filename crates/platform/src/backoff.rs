//! When the command channel is asked again: alone soon, and not all session managers of a fleet in one instant.

use std::time::Duration;

/// Within so long after a stream that was of use the channel is asked again.
const FIRST: Duration = Duration::from_millis(200);
/// Within so long at the most, however often it was asked in vain. What it has to tell counts as told 2 s after a
/// break.
pub const MAX_DELAY: Duration = Duration::from_millis(800);

/// Waits with full jitter: each is drawn evenly between nothing and a bound, which doubles for each stream that was of
/// no use. Hundreds that lost one channel come back spread over the bound.
#[derive(Clone, Debug)]
pub struct Backoff {
    within: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// `seed`: another one at each session manager.
    pub fn new(seed: u64) -> Self {
        Backoff { within: FIRST, rng: fastrand::Rng::with_seed(seed) }
    }

    /// How long to wait after a stream that lasted so long. `useful`: it brought an event that was taken, or another
    /// address is to be asked from now on.
    ///
    /// Bytes alone are of no use: guards a channel that breaks after each first byte, or that tells the same event
    /// again and again that can't be taken. One that lasted past the longest wait hurts nobody by being asked anew.
    pub fn next_delay(&mut self, lasted: Duration, useful: bool) -> Duration {
        let within = if useful || lasted >= MAX_DELAY { FIRST } else { self.within };
        self.within = (within * 2).min(MAX_DELAY);
        within.mul_f64(self.rng.f64())
    }
}
