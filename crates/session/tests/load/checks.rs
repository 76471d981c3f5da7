//! Checks of each step of the core: its own invariants, and the rules on its commands.

use super::harness::{Harness, PendingAttempt, MAX_SESSIONS};
use super::{Model, Transition};
use crate::common::*;
use cloverhollow_session::*;
use std::time::Duration;

impl Harness {
    /// Runs steps until nothing is due in this instant.
    pub fn settle(&mut self) {
        while !self.queued.is_empty()
            || !self.reports.is_empty()
            || self.core.next_deadline().is_some_and(|due| due <= self.now)
        {
            self.step(self.now);
        }
    }

    /// Runs one step, and checks the core after it.
    pub(super) fn step(&mut self, now: Duration) {
        self.steps += 1;
        let reports = std::mem::take(&mut self.reports);
        for report in &reports {
            if let Input::AttemptEnded { attempt, .. } = report {
                self.ended.push(*attempt);
                self.pending.remove(attempt);
            }
        }
        let inputs: Vec<_> = std::mem::take(&mut self.queued).into_iter().chain(reports).collect();
        let commands = self.core.step(now, inputs);
        if let Err(violation) = self.core.check() {
            panic!("{violation}");
        }
        for command in commands {
            self.carry_out(command);
        }
    }

    fn carry_out(&mut self, command: Command<u32, &'static str>) {
        match command {
            Command::Send(s) => {
                let is_second = self.pending.values().any(|p| p.sid == s.sid);
                assert!(!is_second, "rule 2: two attempts pending for {}", s.sid);
                assert!(
                    !self.real_policy || s.attempt.number < 3,
                    "{} is past the maximum of three attempts",
                    s.attempt
                );
                assert_eq!(s.paid, s.log_record.is_some(), "only paid set-ups are logged");
                let pending =
                    PendingAttempt { sid: s.sid, paid: s.paid, is_sent: false, is_cancelled: false };
                self.pending.insert(s.attempt, pending);
            }
            Command::Cancel { attempt, reason } => {
                let Some(pending) = self.pending.get_mut(&attempt).filter(|p| !p.is_cancelled) else {
                    return;
                };
                let end = match (pending.is_sent, reason) {
                    (true, CancelReason::Drained) => return,
                    (true, _) => AttemptEnd::Unanswered,
                    (false, _) => AttemptEnd::NeverSent,
                };
                pending.is_cancelled = true;
                self.reports.push(attempt_ended(attempt, end));
            }
            Command::Answer { viewer, answer } => {
                // A viewer that disconnected in this instant may still be answered in it.
                if self.disconnected.remove(&viewer.0) {
                    return;
                }
                let (sid, _) =
                    self.waiting.remove(&viewer.0).expect("rule 1: an answer to a viewer that does not wait");
                self.answers += 1;
                if let Answer::Stream { route, .. } | Answer::Follow(route) = answer {
                    assert_eq!(route.sid, sid);
                }
            }
            Command::KnowledgeMerged { .. } | Command::Persist(_) | Command::RungChanged { .. } => {}
            Command::Release { .. } | Command::SessionEnded { .. } => {}
        }
    }

    /// Checks that the core agrees with the model.
    pub fn assert_agrees(&self, model: &Model) {
        if self.queued.is_empty() {
            assert_eq!(self.core.server_list().serving_count(), model.serving(), "number of serving servers");
        }
        assert!(self.core.session_count() <= MAX_SESSIONS);
    }

    /// Ends the load: pending attempts end, waiting viewers are answered, sessions become idle, and no state is left.
    pub fn finish(mut self) -> (usize, usize) {
        for _ in 0..3 {
            for n in 0..64 {
                self.apply(Transition::Fail(n, AttemptEnd::Reset));
            }
            self.apply(Transition::TimePasses(3_000));
        }
        self.apply(Transition::TimePasses(20_000));
        assert!(self.waiting.is_empty(), "rule 1: {:?} never answered", self.waiting);
        assert!(self.pending.is_empty(), "attempts that were never ended");
        let counts = self.core.retained_counts();
        assert_eq!(
            (self.core.session_count(), self.core.routes().len(), counts.timers),
            (0, 0, 0),
            "state is left"
        );
        (self.steps, self.answers)
    }
}
