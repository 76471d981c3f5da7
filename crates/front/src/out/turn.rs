//! What comes in and what is due: words in, words out.

use super::said::Said;
use super::{world, Asks, Held, Out, AGAIN, MOST_HELD};
use cloverhollow_out::{Change, Message, Outcome, Register};
use std::net::SocketAddr;
use std::time::Duration;

impl Out {
    pub(super) fn word(&mut self, now: Duration, word: Message) {
        match word {
            Message::Prepare { .. } | Message::Accept { .. } => {
                let Some(clerk) = &mut self.clerk else { return };
                let before = clerk.persisted_state();
                let answer = clerk.handle_message(now, &word);
                self.version += u64::from(clerk.persisted_state() != before);
                if let Some(register) = clerk.accepted_value().cloned() {
                    self.heard(now, register);
                }
                // Guards against an answer that a witness forgets: it waits until what it rests on is written.
                match answer {
                    Some((to, word)) if self.version <= self.good => self.words.push((to, Said::Out(word))),
                    Some((to, word)) if self.answers.len() < MOST_HELD => {
                        self.answers.push_back((self.version, to, word));
                    }
                    _ => {}
                }
            }
            word => {
                if let Message::Promise { accepted: Some((_, register)), .. } = &word {
                    self.heard(now, register.clone());
                }
                let seen = Out::seen(&self.world, &self.limits);
                let words = self.asker.handle_message(now, word, seen);
                self.say(words);
            }
        }
    }

    fn heard(&mut self, now: Duration, register: Register) {
        if self.register.as_ref().is_none_or(|(_, old)| old.term <= register.term) {
            self.register = Some((now, register));
        }
    }

    /// Does what is due, by the view that [`Out::look`] saw last.
    pub(crate) fn tick(&mut self, now: Duration) {
        if let Some(outcome) = self.asker.take_outcome() {
            self.came(now, outcome);
        }
        if !self.asker.is_busy() && now >= self.next_ask {
            self.ask(now);
        }
        let words = self.asker.handle_timeout(now);
        self.say(words);
        self.question(now);
    }

    fn say(&mut self, words: Vec<(SocketAddr, Message)>) {
        self.words.extend(words.into_iter().map(|(to, word)| (to, Said::Out(word))));
    }

    /// When [`Out::tick`] is next due; none: when something comes.
    pub(crate) fn next_due(&self, now: Duration) -> Option<Duration> {
        let asks = self.next(now).map(|_| self.next_ask);
        let question = (self.wanted && !self.strangers.is_empty()).then_some(self.next_question);
        self.asker.next_timeout().or(asks).into_iter().chain(question).min()
    }

    /// Words to be sent, since the last call; those to this front itself are heard at once.
    pub(crate) fn take_words(&mut self, now: Duration) -> Vec<(SocketAddr, Said)> {
        let mut out = Vec::new();
        // Each round of words to itself is answered by shorter ones; a bound all the same.
        for _ in 0..16 {
            if self.words.is_empty() && self.answers.is_empty() {
                break;
            }
            if self.file.is_none() {
                self.set_kept(self.version, true);
            }
            for (to, said) in std::mem::take(&mut self.words) {
                match said {
                    Said::Out(word) if to == self.me => self.word(now, word),
                    said => out.push((to, said)),
                }
            }
        }
        if let Some(outcome) = self.asker.take_outcome() {
            self.came(now, outcome);
        }
        out
    }

    /// What it would ask now. What an earlier life owes goes first: a permit has one holder.
    fn next(&self, now: Duration) -> Option<Asks> {
        // Its own is given back only where it is not to go, and so does not use it.
        let owed = self.owed.iter().filter(|l| if **l == self.life { !self.wanted } else { self.back });
        // One that lapsed while the process stood still is none.
        let lacks = self.wanted && !self.held.is_some_and(|h| h.granted.is_valid_at(now));
        owed.copied().next().map(Asks::GiveBack).or(lacks.then_some(Asks::Grant))
    }

    fn ask(&mut self, now: Duration) {
        let Some(next) = self.next(now) else { return };
        if next == Asks::Grant {
            // Written before it is used: whatever becomes of this life, the next one gives it back.
            self.held = None;
            self.owe(self.life);
        }
        let change = match next {
            Asks::GiveBack(_) => Change::ReturnPermit { subject: self.subject },
            Asks::Grant => Change::Grant {
                subject: self.subject,
                place: self.place,
                lease_ms: self.lease.as_millis() as u32,
                release: None,
            },
        };
        self.asker.return_permits_of(if let Asks::GiveBack(life) = next { Some(life) } else { None });
        self.next_ask = now + AGAIN + AGAIN.mul_f64(fastrand::f64());
        if self.asker.submit(now, change) {
            self.asks = Some(next);
        }
    }

    fn came(&mut self, now: Duration, outcome: Outcome) {
        let Some(asked) = self.asks.take() else { return };
        let subject = world::digits(self.subject);
        match (asked, outcome) {
            (Asks::GiveBack(life), Outcome::Committed(register, _)) => {
                self.owed.retain(|l| *l != life);
                self.version += 1;
                tracing::info!(
                    member = self.name.as_str(),
                    term = register.term.0,
                    subject,
                    reason = "it is back",
                    "permit given back"
                );
                self.heard(now, register);
            }
            (Asks::Grant, Outcome::Committed(register, granted)) => {
                let term = register.term;
                self.heard(now, register);
                // Where it is not wanted any more it is given back.
                if let Some(granted) = granted.filter(|_| self.wanted) {
                    self.held = Some(Held { granted, term, version: self.version });
                    tracing::info!(
                        member = self.name.as_str(),
                        term = term.0,
                        subject,
                        reason = "told to go",
                        "permit had"
                    );
                }
            }
            (_, Outcome::Denied(why)) => self.reason = why.to_string(),
            (_, Outcome::NoQuorum) => self.reason = "no majority of the witnesses answered".into(),
            (_, Outcome::Unknown) => self.reason = "no majority of the witnesses took it in time".into(),
        }
        self.next_ask = now + AGAIN + AGAIN.mul_f64(fastrand::f64());
    }
}
