//! A core with one request and one pending attempt, a caller that executes its commands, and occurrences that may
//! affect the attempt.

use crate::common::*;
use cloverhollow::ListMode;
use cloverhollow_session::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// An occurrence that affects the attempt or its viewer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occurrence {
    Answer,
    Reset,
    Full,
    /// The connection was refused, or the request was too late to be sent.
    Unsent,
    Disconnect,
    Drain,
    Gone,
    /// Another server is listed at its address.
    Replaced,
    /// The server is missing on a full list.
    Unlisted,
}

use Occurrence::*;

pub const ALL: [Occurrence; 9] = [Answer, Reset, Full, Unsent, Disconnect, Drain, Gone, Replaced, Unlisted];

pub struct Attempt {
    server: u64,
    /// True if the first byte of its request was sent.
    pub is_sent: bool,
    /// End that was reported to the core, if any.
    pub end: Option<AttemptEnd>,
    pub plays: bool,
}

pub struct Front {
    pub case: String,
    pub core: TestCore,
    pub now: Duration,
    paid: bool,
    pub attempts: BTreeMap<AttemptId, Attempt>,
    answers: Vec<(Duration, String)>,
    /// Servers that received a release of the session.
    released: Vec<u64>,
    pub sessions_ended: usize,
    disconnected: bool,
    stopped: Vec<u64>,
}

pub type In = Input<u32, &'static str>;

impl Front {
    pub fn new(case: String, class: &str) -> Front {
        let (core, paid) = (core(), class == "paid");
        let mut front = Front {
            case,
            core,
            now: START,
            paid,
            attempts: BTreeMap::new(),
            answers: Vec::new(),
            released: Vec::new(),
            sessions_ended: 0,
            disconnected: false,
            stopped: Vec::new(),
        };
        let reports = front.step(vec![serving_list(3), arrived(1, "s", class)]);
        assert!(reports.is_empty() && front.attempts.len() == 1, "{}", front.case);
        front
    }

    /// Runs one step, and returns the reports on attempts that it cancels.
    pub fn step(&mut self, inputs: Vec<In>) -> Vec<In> {
        let commands = self.core.step(self.now, inputs);
        assert_eq!(self.core.check(), Ok(()), "{}", self.case);
        let mut reports = Vec::new();
        for command in commands {
            match command {
                Command::Send(s) => {
                    let is_pending = self.attempts.values().any(|a| a.end.is_none() && !a.plays);
                    let is_executed =
                        self.attempts.values().any(|a| a.plays || a.end.is_some_and(may_have_been_executed));
                    assert!(!is_pending, "{}: two attempts pending", self.case);
                    assert!(!(self.paid && is_executed), "{}: a paid session is repeated", self.case);
                    assert!(!self.disconnected, "{}: set-up without a waiting viewer", self.case);
                    assert!(!self.stopped.contains(&s.server), "{}: set-up at a stopped server", self.case);
                    let attempt = Attempt { server: s.server, is_sent: true, end: None, plays: false };
                    assert!(self.attempts.insert(s.attempt, attempt).is_none(), "{}", self.case);
                }
                Command::Cancel { attempt, reason } => reports.extend(self.cancel(attempt, reason)),
                Command::Answer { answer, .. } => self.answers.push((self.now, answer.token().into())),
                Command::Release { server, .. } => self.released.push(server),
                Command::SessionEnded { .. } => self.sessions_ended += 1,
                Command::Persist(_) | Command::RungChanged { .. } | Command::KnowledgeMerged { .. } => {}
            }
        }
        reports
    }

    fn cancel(&mut self, attempt: AttemptId, reason: CancelReason) -> Option<In> {
        let a = self.attempts.get_mut(&attempt).unwrap();
        // An attempt whose end was reported gets no second report, and a drain does not cancel one that was sent.
        if a.plays || a.end.is_some() || (a.is_sent && reason == CancelReason::Drained) {
            return None;
        }
        let end = if a.is_sent { AttemptEnd::Unanswered } else { AttemptEnd::NeverSent };
        a.end = Some(end);
        Some(attempt_ended(attempt, end))
    }

    /// Input that reports an occurrence. Of several reports on the attempt the first one counts.
    pub fn input(&mut self, occurrence: Occurrence) -> In {
        let (id, a) = self.attempts.first_key_value().unwrap();
        let (id, server_id, a_plays, is_reported) = (*id, a.server, a.plays, a.plays || a.end.is_some());
        let end = match occurrence {
            Answer => {
                self.attempts.get_mut(&id).unwrap().plays = !is_reported || a_plays;
                return playing(id);
            }
            Reset => AttemptEnd::Reset,
            Full => AttemptEnd::Full,
            Unsent => AttemptEnd::NotConnected,
            Disconnect => {
                self.disconnected = true;
                return Input::Disconnected { viewer: ViewerId(1), sid: "s".into() };
            }
            Drain | Gone | Replaced | Unlisted => {
                self.stopped.push(server_id);
                let state = if occurrence == Drain { WireState::Draining } else { WireState::Gone };
                let mut entries = vec![server(server_id, state)];
                if occurrence == Unlisted {
                    let others = (1..=3).filter(|n| *n != server_id).map(|n| server(n, WireState::Serving));
                    return list_update(ListMode::Full, others.collect());
                }
                if occurrence == Replaced {
                    entries.push(ServerEntry {
                        address: server(server_id, state).address,
                        ..server(9, WireState::Serving)
                    });
                }
                return list_update(ListMode::Patch, entries);
            }
        };
        if !is_reported {
            self.attempts.get_mut(&id).unwrap().end = Some(end);
        }
        attempt_ended(id, end)
    }

    /// Runs steps until no timer is armed. Attempts that are still pending are never answered.
    pub fn settle(&mut self, mut reports: Vec<In>) {
        for _ in 0..200 {
            if reports.is_empty() {
                match self.core.next_deadline() {
                    Some(due) if due < START + ms(10_000) => self.now = self.now.max(due),
                    _ => return,
                }
            }
            reports = self.step(reports);
        }
        panic!("{}: does not settle", self.case);
    }

    /// Checks the answers, the ends of all attempts, the releases and the session's end.
    pub fn assert_outcome(&self, expected_answers: usize) {
        let Front { case, answers, attempts, .. } = self;
        assert_eq!(answers.len(), expected_answers, "{case}: {answers:?}");
        assert!(answers.iter().all(|(at, _)| *at < START + ms(3_000)), "{case}: {answers:?} too late");
        assert!(attempts.values().all(|a| a.plays || a.end.is_some()), "{case}: an attempt never ends");
        // Each server that may hold the session is released once, and no other server is.
        let holds = |a: &&Attempt| a.plays || a.end.is_some_and(may_have_been_executed);
        let mut expected: Vec<_> = attempts.values().filter(holds).map(|a| a.server).collect();
        let mut released = self.released.clone();
        expected.sort();
        released.sort();
        assert_eq!(released, expected, "{case}: releases");
        let plays = attempts.values().filter(|a| a.plays).count();
        assert_eq!((self.core.session_count(), self.sessions_ended), (0, plays), "{case}: a session is left");
    }
}

pub fn may_have_been_executed(end: AttemptEnd) -> bool {
    !matches!(end, AttemptEnd::Full | AttemptEnd::NotConnected | AttemptEnd::NeverSent)
}
