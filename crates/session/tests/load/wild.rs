//! Whoever decides without sense: it asks for anything of anybody at any time, and keeps only what the core can't know
//! of: no attempt past the allowed ones, none of a paid session that may have run, none at a server that drains, an
//! answer when time is up.

use cloverhollow::{Action, Event, ListMode, RequestId, ServerId, ServerState};
use cloverhollow_session::Policy;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub struct Wild {
    rng: ChaCha8Rng,
    /// Each request's time, whether it may have run, and attempts.
    calls: BTreeMap<RequestId, (Duration, bool, u32)>,
    serving: BTreeSet<ServerId>,
}

impl Wild {
    pub fn new(seed: u64) -> Wild {
        Wild { rng: ChaCha8Rng::seed_from_u64(seed), calls: BTreeMap::new(), serving: BTreeSet::new() }
    }

    fn anything(&mut self, now: Duration) -> Option<Action> {
        let n = self.rng.random_range(0..self.calls.len().max(1));
        let request = *self.calls.keys().nth(n)?;
        let call = self.calls.get_mut(&request)?;
        let hold_off = Duration::from_millis(500);
        Some(match self.rng.random_range(0..10) {
            0 => Action::SetRung(request, self.rng.random_range(0..9)),
            1 => Action::Refuse(request, hold_off),
            2 => Action::Fail(request),
            3 => Action::Refuse(request + 1_000, hold_off),
            4 => Action::SetTimer(Duration::from_millis(self.rng.random_range(0..50)), 7),
            kind => {
                let left = call.0.saturating_sub(now).as_millis() as u64;
                if left == 0 || call.1 || call.2 >= 12 {
                    return None;
                }
                call.2 += 1;
                let n = self.rng.random_range(0..self.serving.len().max(1));
                let unknown = kind == 5 || self.serving.is_empty();
                let server = if unknown { 99 } else { *self.serving.iter().nth(n)? };
                Action::Send(request, server, Duration::from_millis(self.rng.random_range(1..=left)))
            }
        })
    }
}

impl Policy for Wild {
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        for event in events {
            match event {
                Event::ListUpdate(ListMode::Failed, _) => {}
                Event::ListUpdate(mode, entries) => {
                    if *mode != ListMode::Patch {
                        self.serving.clear();
                    }
                    for e in entries {
                        match e.state {
                            ServerState::Serving => _ = self.serving.insert(e.server),
                            _ => _ = self.serving.remove(&e.server),
                        }
                    }
                }
                Event::Request(call) => {
                    self.calls.insert(call.id, (call.deadline, false, 0));
                    out.push(Action::SetTimer(call.deadline.saturating_sub(now), call.id));
                }
                Event::Adopted(call, _) => _ = self.calls.insert(call.id, (call.deadline, true, 1)),
                Event::AttemptEnded(request, _, _, outcome, _, _) => {
                    if let Some(call) = self.calls.get_mut(request) {
                        call.1 |= !outcome.never_executed();
                    }
                }
                _ => {}
            }
        }
        for _ in 0..self.rng.random_range(0..4) {
            out.extend(self.anything(now));
        }
        // Whoever is late gets its answer, again and again until it is out no more.
        self.calls.retain(|_, c| now < c.0 + Duration::from_secs(30));
        out.extend(self.calls.iter().filter(|(_, c)| c.0 <= now).map(|(r, _)| Action::Fail(*r)));
        out
    }
}
