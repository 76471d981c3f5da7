//! Delay before the command channel is requested again: short for a single session manager, and spread out for a fleet
//! that lost the channel at the same moment.

use std::time::Duration;

/// Upper bound of the delay after a stream that was useful.
const INITIAL_BOUND: Duration = Duration::from_millis(200);
/// Upper bound of every delay, however many requests have failed. The platform expects a session manager to know the
/// channel's updates 2 s after a break, so the delay has to stay well below that.
pub const MAX_DELAY: Duration = Duration::from_millis(800);

/// Exponential back-off with full jitter: each delay is drawn uniformly between zero and a bound, which doubles after
/// each stream that was not useful. Hundreds of session managers that lost one channel thus return spread over the bound.
#[derive(Clone, Debug)]
pub struct Backoff {
    bound: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a back-off at its initial bound. Each session manager needs a different `seed`.
    pub fn new(seed: u64) -> Self {
        Backoff { bound: INITIAL_BOUND, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Draws the delay after a stream that lasted for `lasted`. `useful` is true if the stream delivered an event that
    /// was applied, or if the channel's address has changed.
    ///
    /// Received bytes alone do not make a stream useful: a channel may break after the first byte every time, or repeat
    /// an event that cannot be applied. A stream that lasted longer than [`MAX_DELAY`] resets the bound, as reconnecting
    /// after it causes little load.
    pub fn next_delay(&mut self, lasted: Duration, useful: bool) -> Duration {
        let bound = if useful || lasted >= MAX_DELAY { INITIAL_BOUND } else { self.bound };
        self.bound = (bound * 2).min(MAX_DELAY);
        bound.mul_f64(self.rng.f64())
    }
}
