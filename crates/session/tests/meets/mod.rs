//! A core with one request and one attempt out, a shell that carries its commands out, and what may happen to the attempt.

use crate::common::*;
use cloverhollow::ListMode;
use cloverhollow_session::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// What meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meets {
    Answer,
    Reset,
    Full,
    /// The connection was refused, or it was too late to be written.
    Unsent,
    HangUp,
    Drain,
    Gone,
    /// Another server stands at its address.
    Replaced,
    /// It is missing on a whole list.
    Unlisted,
}

use Meets::*;

pub const ALL: [Meets; 9] = [Answer, Reset, Full, Unsent, HangUp, Drain, Gone, Replaced, Unlisted];

pub struct Attempt {
    server: u64,
    /// Its first byte went out.
    pub went: bool,
    /// Its end is told.
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
    /// Servers that were told to let go of the session.
    released: Vec<u64>,
    pub over: usize,
    left: bool,
    stopped: Vec<u64>,
}

pub type In = Input<u32, &'static str>;

impl Front {
    pub fn new(case: String, class: &str) -> Front {
        let (core, paid) = (core(), class == "paid");
        let mut front = Front {
            case,
            core,
            now: DAY,
            paid,
            attempts: BTreeMap::new(),
            answers: Vec::new(),
            released: Vec::new(),
            over: 0,
            left: false,
            stopped: Vec::new(),
        };
        let words = front.step(vec![serving(3), call(1, "s", class)]);
        assert!(words.is_empty() && front.attempts.len() == 1, "{}", front.case);
        front
    }

    /// One step; gives the shell's words on what it recalls.
    pub fn step(&mut self, inputs: Vec<In>) -> Vec<In> {
        let commands = self.core.step(self.now, inputs);
        assert_eq!(self.core.check(), Ok(()), "{}", self.case);
        let mut words = Vec::new();
        for command in commands {
            match command {
                Command::Send(s) => {
                    let out = self.attempts.values().any(|a| a.end.is_none() && !a.plays);
                    let ran = self.attempts.values().any(|a| a.plays || a.end.is_some_and(may_have_run));
                    assert!(!out, "{}: two attempts out", self.case);
                    assert!(!(self.paid && ran), "{}: a paid one again", self.case);
                    assert!(!self.left, "{}: for nobody", self.case);
                    assert!(!self.stopped.contains(&s.server), "{}: to a stopped server", self.case);
                    let attempt = Attempt { server: s.server, went: true, end: None, plays: false };
                    assert!(self.attempts.insert(s.attempt, attempt).is_none(), "{}", self.case);
                }
                Command::Cancel { attempt, reason: why } => words.extend(self.recalled(attempt, why)),
                Command::Answer { answer, .. } => self.answers.push((self.now, answer.token().into())),
                Command::Release { server, .. } => self.released.push(server),
                Command::SessionEnded { .. } => self.over += 1,
                Command::Persist(_) | Command::RungChanged { .. } | Command::KnowledgeMerged { .. } => {}
            }
        }
        words
    }

    fn recalled(&mut self, attempt: AttemptId, why: CancelReason) -> Option<In> {
        let a = self.attempts.get_mut(&attempt).unwrap();
        // One that has ended by another word gets none; one that went out is not called back by a drain.
        if a.plays || a.end.is_some() || (a.went && why == CancelReason::Drained) {
            return None;
        }
        let end = if a.went { AttemptEnd::Unanswered } else { AttemptEnd::NeverSent };
        a.end = Some(end);
        Some(ended(attempt, end))
    }

    /// What meets, as an input. Of several words on the attempt the first one counts.
    pub fn input(&mut self, what: Meets) -> In {
        let (id, a) = self.attempts.first_key_value().unwrap();
        let (id, at, a_plays, told) = (*id, a.server, a.plays, a.plays || a.end.is_some());
        let end = match what {
            Answer => {
                self.attempts.get_mut(&id).unwrap().plays = !told || a_plays;
                return playing(id);
            }
            Reset => AttemptEnd::Reset,
            Full => AttemptEnd::Full,
            Unsent => AttemptEnd::NotConnected,
            HangUp => {
                self.left = true;
                return Input::Disconnected { viewer: ViewerId(1), sid: "s".into() };
            }
            Drain | Gone | Replaced | Unlisted => {
                self.stopped.push(at);
                let state = if what == Drain { WireState::Draining } else { WireState::Gone };
                let mut news = vec![server(at, state)];
                if what == Unlisted {
                    let others = (1..=3).filter(|n| *n != at).map(|n| server(n, WireState::Serving));
                    return list(ListMode::Full, others.collect());
                }
                if what == Replaced {
                    news.push(ServerEntry {
                        address: server(at, state).address,
                        ..server(9, WireState::Serving)
                    });
                }
                return list(ListMode::Patch, news);
            }
        };
        if !told {
            self.attempts.get_mut(&id).unwrap().end = Some(end);
        }
        ended(id, end)
    }

    /// Steps until nothing is due any more; what is still out says nothing.
    pub fn ends(&mut self, mut words: Vec<In>) {
        for _ in 0..200 {
            if words.is_empty() {
                match self.core.next_deadline() {
                    Some(due) if due < DAY + ms(10_000) => self.now = self.now.max(due),
                    _ => return,
                }
            }
            words = self.step(words);
        }
        panic!("{}: it goes round and round", self.case);
    }

    pub fn judge(&self, want: usize) {
        let Front { case, answers, attempts, .. } = self;
        assert_eq!(answers.len(), want, "{case}: {answers:?}");
        assert!(answers.iter().all(|(at, _)| *at < DAY + ms(3_000)), "{case}: {answers:?} too late");
        assert!(attempts.values().all(|a| a.plays || a.end.is_some()), "{case}: out for ever");
        // Each server that may hold it is told once that nobody does any more; no other is.
        let holds = |a: &&Attempt| a.plays || a.end.is_some_and(may_have_run);
        let mut owed: Vec<_> = attempts.values().filter(holds).map(|a| a.server).collect();
        let mut released = self.released.clone();
        owed.sort();
        released.sort();
        assert_eq!(released, owed, "{case}: releases");
        let plays = attempts.values().filter(|a| a.plays).count();
        assert_eq!((self.core.session_count(), self.over), (0, plays), "{case}: held for nobody");
    }
}

pub fn may_have_run(end: AttemptEnd) -> bool {
    !matches!(end, AttemptEnd::Full | AttemptEnd::NotConnected | AttemptEnd::NeverSent)
}
