//! Seeded days of random trouble against the core, with the rules checked from its commands.

mod common;

use cloverhollow::ListMode;
use cloverhollow_session::*;
use common::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What is known of one attempt outside the core.
struct Out {
    sid: SessionId,
    paid: bool,
    server: u64,
    /// Whether its first byte has gone out.
    went: bool,
}

struct Day {
    rng: ChaCha8Rng,
    core: TestCore,
    now: Duration,
    /// Viewers that wait, with their session.
    waiting: BTreeMap<u64, SessionId>,
    answered: BTreeMap<u64, u32>,
    out: BTreeMap<AttemptId, Out>,
    /// How often a paid session may have run.
    ran: BTreeMap<SessionId, u32>,
    stopped: BTreeSet<u64>,
    /// Viewers that hung up.
    left: BTreeSet<u64>,
}

impl Day {
    fn new(seed: u64) -> Self {
        let mut day = Day {
            rng: ChaCha8Rng::seed_from_u64(seed),
            core: core(),
            now: DAY,
            waiting: BTreeMap::new(),
            answered: BTreeMap::new(),
            out: BTreeMap::new(),
            ran: BTreeMap::new(),
            stopped: BTreeSet::new(),
            left: BTreeSet::new(),
        };
        day.step(vec![serving(5)]);
        day
    }

    fn step(&mut self, inputs: Vec<Input<u32, &'static str>>) {
        let mut next = inputs;
        // What the shell answers at once goes into the next step, as in the daemon.
        while !next.is_empty() || self.core.next_deadline().is_some_and(|due| due <= self.now) {
            let commands = self.core.step(self.now, std::mem::take(&mut next));
            assert_eq!(self.core.check(), Ok(()));
            for command in commands {
                next.extend(self.carry_out(command));
            }
        }
    }

    fn carry_out(&mut self, command: Command<u32, &'static str>) -> Option<Input<u32, &'static str>> {
        match command {
            Command::Send(s) => {
                assert!(!self.stopped.contains(&s.server), "rule 3: sent to a stopped server");
                let twin = self.out.values().any(|o| o.sid == s.sid);
                assert!(!twin, "rule 2: two attempts out for {}", s.sid);
                let paid = s.sid.starts_with("paid");
                self.out.insert(s.attempt, Out { sid: s.sid, paid, server: s.server, went: false });
                None
            }
            Command::Persist(_) => None,
            Command::Cancel { attempt, reason: why } => {
                let out = self.out.get(&attempt)?;
                let end = match (out.went, why) {
                    (true, CancelReason::Drained) => return None,
                    (true, _) => AttemptEnd::Unanswered,
                    (false, _) => AttemptEnd::NeverSent,
                };
                self.out.remove(&attempt);
                Some(ended(attempt, end))
            }
            Command::Answer { viewer, answer } => {
                // One who hung up in this instant may be answered in it too.
                if self.left.remove(&viewer.0) {
                    return None;
                }
                let sid = self.waiting.remove(&viewer.0).expect("rule 1: an answer to one who does not wait");
                *self.answered.entry(viewer.0).or_default() += 1;
                let ran = self.ran.get(&sid).copied().unwrap_or(0);
                let refused = matches!(
                    answer,
                    Answer::Refused { reason: RejectReason::NoRoom | RejectReason::NoServers, .. }
                );
                assert!(
                    !(refused && ran > 0 && sid.starts_with("paid")),
                    "rule 2: {sid} refused after it ran"
                );
                None
            }
            Command::Release { .. } | Command::KnowledgeMerged { .. } => None,
            Command::SessionEnded { .. } | Command::RungChanged { .. } => None,
        }
    }

    /// An attempt's first byte goes out: from then on it may have run.
    fn go_out(&mut self, attempt: AttemptId) {
        let out = self.out.get_mut(&attempt).unwrap();
        out.went = true;
        assert!(!self.stopped.contains(&out.server), "rule 3: went out to a stopped server");
        if out.paid {
            let n = self.ran.entry(out.sid.clone()).or_default();
            *n += 1;
            assert!(*n <= 1, "rule 2: {} may have run twice", out.sid);
        }
    }

    fn attempts(&mut self) -> Vec<Input<u32, &'static str>> {
        let ids: Vec<_> = self.out.keys().copied().collect();
        let mut inputs = Vec::new();
        for id in ids {
            let went = self.out[&id].went;
            match (went, self.rng.random_range(0..100)) {
                (false, 0..30) => self.go_out(id),
                (false, 30..36) => {
                    self.out.remove(&id);
                    inputs.push(ended(id, AttemptEnd::NotConnected));
                }
                (true, 0..40) => {
                    self.out.remove(&id);
                    inputs.push(playing(id));
                }
                (true, 40..52) => {
                    let out = self.out.remove(&id).unwrap();
                    let end = [AttemptEnd::Full, AttemptEnd::Reset, AttemptEnd::Error { status: 500 }];
                    let end = end[self.rng.random_range(0..3)];
                    if end == AttemptEnd::Full && out.paid {
                        self.ran.remove(&out.sid); // the server's word that it did not run
                    }
                    inputs.push(ended(id, end));
                }
                _ => {}
            }
        }
        inputs
    }

    fn tick(&mut self, viewer: &mut u64) {
        self.now += ms(self.rng.random_range(1..120));
        let mut inputs = self.attempts();
        for _ in 0..self.rng.random_range(0..4) {
            *viewer += 1;
            let class = ["paid", "clip"][self.rng.random_range(0..2)];
            let sid = format!("{class}-{}", self.rng.random_range(0..*viewer / 2 + 3));
            self.waiting.insert(*viewer, sid.as_str().into());
            inputs.push(call(*viewer, &sid, class));
        }
        if self.rng.random_range(0..10) == 0 {
            if let Some((v, sid)) = self.waiting.pop_first() {
                self.left.insert(v);
                inputs.push(Input::Disconnected { viewer: ViewerId(v), sid });
            }
        }
        if self.rng.random_range(0..12) == 0 {
            let id = self.rng.random_range(1..6);
            let state =
                [WireState::Draining, WireState::Gone, WireState::Serving][self.rng.random_range(0..3)];
            if state == WireState::Serving {
                self.stopped.remove(&id);
            } else {
                self.stopped.insert(id);
            }
            inputs.push(list(ListMode::Patch, vec![server(id, state)]));
        }
        self.step(inputs);
    }
}

#[test]
fn rules_hold_on_seeded_days_of_random_trouble() {
    let (mut answers, mut paid) = (0, 0);
    for seed in 0..30 {
        let mut day = Day::new(seed);
        let mut viewer = 0;
        for _ in 0..250 {
            day.tick(&mut viewer);
        }
        // No more calls: whatever is out ends, and nobody is left without an answer.
        for _ in 0..80 {
            day.now += ms(100);
            let inputs = day.attempts();
            day.step(inputs);
        }
        assert!(day.waiting.is_empty(), "rule 1: seed {seed}: {:?} never answered", day.waiting);
        assert!(day.answered.values().all(|n| *n == 1));
        answers += day.answered.len();
        paid += day.ran.len();
    }
    assert!(answers > 8_000 && paid > 200, "the days were too quiet to test anything: {answers}, {paid}");
}
