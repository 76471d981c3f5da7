//! Each step of the core looked at: its check, and its commands by the rules.

use super::shell::{Out, Shell, MOST};
use super::{Happens, Known};
use crate::common::*;
use cloverhollow_session::*;
use std::time::Duration;

impl Shell {
    /// Steps until nothing is due in this instant.
    pub fn settle(&mut self) {
        while !self.boxed.is_empty()
            || !self.words.is_empty()
            || self.core.next_deadline().is_some_and(|due| due <= self.now)
        {
            self.step(self.now);
        }
    }

    /// One step, and the core looked at after it.
    pub(super) fn step(&mut self, at: Duration) {
        self.steps += 1;
        let words = std::mem::take(&mut self.words);
        for word in &words {
            if let Input::AttemptEnded { attempt, .. } = word {
                self.booked.push(*attempt);
                self.out.remove(attempt);
            }
        }
        let inputs: Vec<_> = std::mem::take(&mut self.boxed).into_iter().chain(words).collect();
        let commands = self.core.step(at, inputs);
        if let Err(broken) = self.core.check() {
            panic!("{broken}");
        }
        for command in commands {
            self.carry_out(command);
        }
    }

    fn carry_out(&mut self, command: Command<u32, &'static str>) {
        match command {
            Command::Send(s) => {
                let twin = self.out.values().any(|o| o.sid == s.sid);
                assert!(!twin, "rule 2: two attempts out for {}", s.sid);
                assert!(!self.brain || s.attempt.number < 3, "{} of three attempts", s.attempt);
                assert_eq!(
                    s.paid,
                    s.log_record.is_some(),
                    "what later lives must know of is taken down first"
                );
                let out = Out { sid: s.sid, paid: s.paid, went: false, recalled: false };
                self.out.insert(s.attempt, out);
            }
            Command::Cancel { attempt, reason: why } => {
                let Some(out) = self.out.get_mut(&attempt).filter(|o| !o.recalled) else { return };
                let end = match (out.went, why) {
                    (true, CancelReason::Drained) => return,
                    (true, _) => AttemptEnd::Unanswered,
                    (false, _) => AttemptEnd::NeverSent,
                };
                out.recalled = true;
                self.words.push(ended(attempt, end));
            }
            Command::Answer { viewer, answer } => {
                // One who hung up in this instant may be answered in it too.
                if self.left.remove(&viewer.0) {
                    return;
                }
                let (sid, _) =
                    self.waiting.remove(&viewer.0).expect("rule 1: an answer to one who does not wait");
                self.answers += 1;
                if let Answer::Stream { route, .. } | Answer::Follow(route) = answer {
                    assert_eq!(route.sid, sid);
                }
            }
            Command::KnowledgeMerged { .. } | Command::Persist(_) | Command::RungChanged { .. } => {}
            Command::Release { .. } | Command::SessionEnded { .. } => {}
        }
    }

    /// What must hold whatever happened, beside what each step is looked at for.
    pub fn agrees(&self, known: &Known) {
        if self.boxed.is_empty() {
            assert_eq!(
                self.core.server_list().serving_count(),
                known.serving(),
                "servers that take new work"
            );
        }
        assert!(self.core.session_count() <= MOST);
    }

    /// Nothing comes any more: what is out ends, who waits is answered, who plays is idle, and nothing is left.
    pub fn ends(mut self) -> (usize, usize) {
        for _ in 0..3 {
            for n in 0..64 {
                self.happens(Happens::Ends(n, AttemptEnd::Reset));
            }
            self.happens(Happens::Passes(3_000));
        }
        self.happens(Happens::Passes(20_000));
        assert!(self.waiting.is_empty(), "rule 1: {:?} never answered", self.waiting);
        assert!(self.out.is_empty(), "attempts that nobody ended");
        let kept = self.core.retained_counts();
        assert_eq!(
            (self.core.session_count(), self.core.routes().len(), kept.timers),
            (0, 0, 0),
            "left behind"
        );
        (self.steps, self.answers)
    }
}
