//! A policy that takes random actions. It observes only what the core cannot check: no attempt past the allowed number,
//! none for a session that may have been executed, none at a server that drains, and an answer at the deadline.

use cloverhollow::{Action, Event, ListMode, RequestId, ServerId, ServerState};
use cloverhollow_session::Policy;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub struct RandomPolicy {
    rng: ChaCha8Rng,
    /// Requests with their deadline, whether they may have been executed, and their number of attempts.
    requests: BTreeMap<RequestId, (Duration, bool, u32)>,
    serving: BTreeSet<ServerId>,
}

impl RandomPolicy {
    pub fn new(seed: u64) -> RandomPolicy {
        RandomPolicy {
            rng: ChaCha8Rng::seed_from_u64(seed),
            requests: BTreeMap::new(),
            serving: BTreeSet::new(),
        }
    }

    fn random_action(&mut self, now: Duration) -> Option<Action> {
        let n = self.rng.random_range(0..self.requests.len().max(1));
        let request = *self.requests.keys().nth(n)?;
        let state = self.requests.get_mut(&request)?;
        let retry_after = Duration::from_millis(500);
        Some(match self.rng.random_range(0..10) {
            0 => Action::SetRung(request, self.rng.random_range(0..9)),
            1 => Action::Refuse(request, retry_after),
            2 => Action::Fail(request),
            3 => Action::Refuse(request + 1_000, retry_after),
            4 => Action::SetTimer(Duration::from_millis(self.rng.random_range(0..50)), 7),
            kind => {
                let left_ms = state.0.saturating_sub(now).as_millis() as u64;
                if left_ms == 0 || state.1 || state.2 >= 12 {
                    return None;
                }
                state.2 += 1;
                let n = self.rng.random_range(0..self.serving.len().max(1));
                let unknown = kind == 5 || self.serving.is_empty();
                let server = if unknown { 99 } else { *self.serving.iter().nth(n)? };
                Action::Send(request, server, Duration::from_millis(self.rng.random_range(1..=left_ms)))
            }
        })
    }
}

impl Policy for RandomPolicy {
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
                Event::Request(request) => {
                    self.requests.insert(request.id, (request.deadline, false, 0));
                    out.push(Action::SetTimer(request.deadline.saturating_sub(now), request.id));
                }
                Event::Adopted(request, _) => {
                    _ = self.requests.insert(request.id, (request.deadline, true, 1))
                }
                Event::AttemptEnded(request, _, _, outcome, _, _) => {
                    if let Some(state) = self.requests.get_mut(request) {
                        state.1 |= !outcome.never_executed();
                    }
                }
                _ => {}
            }
        }
        for _ in 0..self.rng.random_range(0..4) {
            out.extend(self.random_action(now));
        }
        // A request past its deadline is answered again and again, until no attempt is pending for it.
        self.requests.retain(|_, r| now < r.0 + Duration::from_secs(30));
        out.extend(
            self.requests.iter().filter(|(_, r)| r.0 <= now).map(|(request, _)| Action::Fail(*request)),
        );
        out
    }
}
