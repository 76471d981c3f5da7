//! When the command channel is called, and which of several open calls are kept. Performs no I/O.
//!
//! A call that is not answered, or whose stream has fallen silent, is not given up: the channel may be slow, and the next
//! call would wait as long. Instead another call is made beside it, after growing delays, and the first stream that delivers
//! an event or a comment is followed alone.

use crate::backoff::Backoff;
use std::time::Duration;

/// Time without data after which another call is made; the platform sends a comment every second.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Upper bound of a random addition to [`SILENCE_TIMEOUT`], as a fleet loses one channel at the same moment.
pub const SILENCE_JITTER: Duration = Duration::from_millis(200);
/// Shortest time for which the response to a call is awaited before another call is made.
pub const MIN_PATIENCE: Duration = Duration::from_secs(1);
/// Longest such time, however many calls were made in vain.
pub const MAX_PATIENCE: Duration = Duration::from_secs(4);
/// Upper bound of a random addition to that time, relative to it.
const PATIENCE_JITTER: f64 = 0.25;
/// Shortest patience, as a multiple of the time that the last response took.
const PATIENCE_PER_RESPONSE_TIME: u32 = 2;
/// Maximum number of open calls.
pub const MAX_OPEN_CALLS: usize = 3;

#[derive(Clone, Copy, Debug)]
struct OpenCall {
    number: u64,
    called_at: Duration,
    /// Time at which the head of the response arrived.
    answered_at: Option<Duration>,
}

/// Open calls of one session manager at its command channel, and the time of the next one.
#[derive(Debug)]
pub struct CallSchedule {
    backoff: Backoff,
    rng: fastrand::Rng,
    /// Oldest first.
    open: Vec<OpenCall>,
    next_call_at: Duration,
    last_number: u64,
    /// Time for which the response to the next call is awaited before another call is made.
    patience: Duration,
    /// Time that the last response took.
    response_time: Duration,
}

impl CallSchedule {
    /// Creates a schedule whose first call is due at once. `seed` randomizes the delays.
    pub fn new(seed: u64) -> Self {
        CallSchedule {
            backoff: Backoff::new(seed),
            rng: fastrand::Rng::with_seed(seed.rotate_left(1)),
            open: Vec::new(),
            next_call_at: Duration::ZERO,
            last_number: 0,
            patience: MIN_PATIENCE,
            response_time: Duration::ZERO,
        }
    }

    /// Time of the next call.
    pub fn next_call_at(&self) -> Duration {
        self.next_call_at
    }

    /// Number of open calls.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    /// Returns whether a call is open.
    pub fn is_open(&self, number: u64) -> bool {
        self.open.iter().any(|call| call.number == number)
    }

    /// Records a call that is made now and returns its number. Beyond [`MAX_OPEN_CALLS`] the second oldest is closed:
    /// the oldest stays, so that a response is received however late it comes.
    pub fn call(&mut self, now: Duration) -> u64 {
        if self.open.len() >= MAX_OPEN_CALLS {
            self.open.remove(1);
        }
        self.last_number += 1;
        self.open.push(OpenCall { number: self.last_number, called_at: now, answered_at: None });
        self.next_call_at = now + self.patience.mul_f64(1.0 + PATIENCE_JITTER * self.rng.f64());
        self.patience = (self.patience * 2).min(MAX_PATIENCE);
        self.last_number
    }

    /// Handles the head of a response. Later calls that still wait for theirs are closed.
    pub fn answered(&mut self, now: Duration, number: u64) {
        let Some(call) = self.open.iter_mut().find(|call| call.number == number) else { return };
        call.answered_at = Some(now);
        self.response_time = now.saturating_sub(call.called_at);
        self.open.retain(|call| call.answered_at.is_some() || call.number < number);
        self.data_received(now);
    }

    /// Handles data of a stream. If it completes an event or a comment, all other calls are closed.
    pub fn received(&mut self, now: Duration, number: u64, complete: bool) {
        if complete {
            self.open.retain(|call| call.number == number);
            self.next_call_at = Duration::ZERO;
            self.reset_patience();
        }
        self.data_received(now);
    }

    fn data_received(&mut self, now: Duration) {
        let silent_at = now + SILENCE_TIMEOUT + SILENCE_JITTER.mul_f64(self.rng.f64());
        self.next_call_at = self.next_call_at.max(silent_at);
    }

    /// Handles the end of a call that was not closed here. `useful` is true if its stream delivered an event that was
    /// applied. The next call is not brought forward while another one still waits for its response.
    pub fn ended(&mut self, now: Duration, number: u64, useful: bool) {
        let Some(index) = self.open.iter().position(|call| call.number == number) else { return };
        let call = self.open.remove(index);
        if useful {
            self.reset_patience();
        }
        // A call that waited long and was refused is no stream that lasted.
        let lasted = call.answered_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let due = now + self.backoff.next_delay(lasted, useful);
        if self.open.is_empty() {
            self.next_call_at = due;
        } else if self.open.iter().all(|call| call.answered_at.is_some()) {
            self.next_call_at = self.next_call_at.min(due);
        }
    }

    /// Handles a new address of the channel: all calls are closed, and the next one is due soon.
    pub fn moved(&mut self, now: Duration) {
        self.open.clear();
        self.response_time = Duration::ZERO;
        self.reset_patience();
        self.next_call_at = now + self.backoff.next_delay(Duration::ZERO, true);
    }

    fn reset_patience(&mut self) {
        self.patience = (self.response_time * PATIENCE_PER_RESPONSE_TIME).clamp(MIN_PATIENCE, MAX_PATIENCE);
    }
}
