//! Seeded runs of random load and failures against the core. The rules are checked from its commands alone.

mod common;

use cloverhollow::ListMode;
use cloverhollow_session::*;
use common::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// State of one pending attempt, tracked outside the core.
struct PendingAttempt {
    sid: SessionId,
    paid: bool,
    server: u64,
    /// True once the first byte of its request has been sent.
    is_sent: bool,
}

struct Run {
    rng: ChaCha8Rng,
    core: TestCore,
    now: Duration,
    /// Waiting viewers with their sessions.
    waiting: BTreeMap<u64, SessionId>,
    /// Number of answers by viewer.
    answered: BTreeMap<u64, u32>,
    pending: BTreeMap<AttemptId, PendingAttempt>,
    /// Number of times that each paid session may have been executed.
    executions: BTreeMap<SessionId, u32>,
    stopped: BTreeSet<u64>,
    /// Viewers that disconnected.
    disconnected: BTreeSet<u64>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut run = Run {
            rng: ChaCha8Rng::seed_from_u64(seed),
            core: core(),
            now: START,
            waiting: BTreeMap::new(),
            answered: BTreeMap::new(),
            pending: BTreeMap::new(),
            executions: BTreeMap::new(),
            stopped: BTreeSet::new(),
            disconnected: BTreeSet::new(),
        };
        run.step(vec![serving_list(5)]);
        run
    }

    fn step(&mut self, inputs: Vec<Input<u32, &'static str>>) {
        let mut next = inputs;
        // Reports that the caller makes at once go into the next step, as in the daemon.
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
                assert!(!self.stopped.contains(&s.server), "rule 3: set-up for a stopped server");
                let is_second = self.pending.values().any(|p| p.sid == s.sid);
                assert!(!is_second, "rule 2: two attempts pending for {}", s.sid);
                let paid = s.sid.starts_with("paid");
                self.pending
                    .insert(s.attempt, PendingAttempt { sid: s.sid, paid, server: s.server, is_sent: false });
                None
            }
            Command::Persist(_) => None,
            Command::Cancel { attempt, reason } => {
                let pending = self.pending.get(&attempt)?;
                let end = match (pending.is_sent, reason) {
                    (true, CancelReason::Drained) => return None,
                    (true, _) => AttemptEnd::Unanswered,
                    (false, _) => AttemptEnd::NeverSent,
                };
                self.pending.remove(&attempt);
                Some(attempt_ended(attempt, end))
            }
            Command::Answer { viewer, answer } => {
                // A viewer that disconnected in this instant may still be answered in it.
                if self.disconnected.remove(&viewer.0) {
                    return None;
                }
                let sid =
                    self.waiting.remove(&viewer.0).expect("rule 1: an answer to a viewer that does not wait");
                *self.answered.entry(viewer.0).or_default() += 1;
                let executions = self.executions.get(&sid).copied().unwrap_or(0);
                let refused = matches!(
                    answer,
                    Answer::Refused { reason: RejectReason::NoRoom | RejectReason::NoServers, .. }
                );
                assert!(
                    !(refused && executions > 0 && sid.starts_with("paid")),
                    "rule 2: {sid} refused after it was executed"
                );
                None
            }
            Command::Release { .. } | Command::KnowledgeMerged { .. } => None,
            Command::SessionEnded { .. } | Command::RungChanged { .. } => None,
        }
    }

    /// Sends the first byte of an attempt, which may have been executed from then on.
    fn send_first_byte(&mut self, attempt: AttemptId) {
        let pending = self.pending.get_mut(&attempt).unwrap();
        pending.is_sent = true;
        assert!(!self.stopped.contains(&pending.server), "rule 3: sent to a stopped server");
        if pending.paid {
            let n = self.executions.entry(pending.sid.clone()).or_default();
            *n += 1;
            assert!(*n <= 1, "rule 2: {} may have been executed twice", pending.sid);
        }
    }

    /// Lets pending attempts make random progress, and returns the reports on them.
    fn progress_attempts(&mut self) -> Vec<Input<u32, &'static str>> {
        let ids: Vec<_> = self.pending.keys().copied().collect();
        let mut inputs = Vec::new();
        for id in ids {
            let is_sent = self.pending[&id].is_sent;
            match (is_sent, self.rng.random_range(0..100)) {
                (false, 0..30) => self.send_first_byte(id),
                (false, 30..36) => {
                    self.pending.remove(&id);
                    inputs.push(attempt_ended(id, AttemptEnd::NotConnected));
                }
                (true, 0..40) => {
                    self.pending.remove(&id);
                    inputs.push(playing(id));
                }
                (true, 40..52) => {
                    let pending = self.pending.remove(&id).unwrap();
                    let end = [AttemptEnd::Full, AttemptEnd::Reset, AttemptEnd::Error { status: 500 }];
                    let end = end[self.rng.random_range(0..3)];
                    if end == AttemptEnd::Full && pending.paid {
                        self.executions.remove(&pending.sid); // The server reports that it did not execute it.
                    }
                    inputs.push(attempt_ended(id, end));
                }
                _ => {}
            }
        }
        inputs
    }

    fn tick(&mut self, viewer: &mut u64) {
        self.now += ms(self.rng.random_range(1..120));
        let mut inputs = self.progress_attempts();
        for _ in 0..self.rng.random_range(0..4) {
            *viewer += 1;
            let class = ["paid", "clip"][self.rng.random_range(0..2)];
            let sid = format!("{class}-{}", self.rng.random_range(0..*viewer / 2 + 3));
            self.waiting.insert(*viewer, sid.as_str().into());
            inputs.push(arrived(*viewer, &sid, class));
        }
        if self.rng.random_range(0..10) == 0 {
            if let Some((viewer, sid)) = self.waiting.pop_first() {
                self.disconnected.insert(viewer);
                inputs.push(Input::Disconnected { viewer: ViewerId(viewer), sid });
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
            inputs.push(list_update(ListMode::Patch, vec![server(id, state)]));
        }
        self.step(inputs);
    }
}

#[test]
fn rules_hold_in_seeded_runs_of_random_failures() {
    let (mut answers, mut paid) = (0, 0);
    for seed in 0..30 {
        let mut run = Run::new(seed);
        let mut viewer = 0;
        for _ in 0..250 {
            run.tick(&mut viewer);
        }
        // Without further requests all pending attempts end, and every viewer gets an answer.
        for _ in 0..80 {
            run.now += ms(100);
            let inputs = run.progress_attempts();
            run.step(inputs);
        }
        assert!(run.waiting.is_empty(), "rule 1: seed {seed}: {:?} never answered", run.waiting);
        assert!(run.answered.values().all(|n| *n == 1));
        answers += run.answered.len();
        paid += run.executions.len();
    }
    assert!(
        answers > 8_000 && paid > 200,
        "too little load for a meaningful test: {answers} answers, {paid} paid sessions"
    );
}
