//! Checks on each command of the session core.

use super::front::Front;
use super::session_state::SessionState;
use cloverhollow_session::*;

impl Front {
    pub(super) fn execute(&mut self, command: Command<u32, ()>) {
        let settings = &self.site.settings;
        match command {
            Command::Send(s) => {
                let session = &self.sessions[&s.sid];
                let class = &settings.classes[session.class];
                assert!(
                    session.attempt.is_none() && !session.playing,
                    "second concurrent attempt for {}",
                    s.sid
                );
                assert!(
                    !(class.at_most_once && session.possibly_executed),
                    "retry of {}, which may have been executed",
                    s.sid
                );
                assert!(
                    s.attempt.number < settings.limits.max_attempts,
                    "attempt {}, maximum {}",
                    s.attempt,
                    settings.limits.max_attempts
                );
                assert_eq!(
                    self.states.get(&s.server),
                    Some(&WireState::Serving),
                    "attempt at server {}, which is not in service",
                    s.server
                );
                let max_rung = class.max_rung.min(session.max_rung).min(settings.ladder.len() - 1);
                assert!(
                    (class.min_rung..=max_rung).contains(&s.rung),
                    "rung {} is outside {}..={max_rung}",
                    s.rung,
                    class.min_rung
                );
                let same_title = |other: &&SessionState| {
                    (other.title, other.class) == (session.title, session.class)
                        && (other.playing || other.attempt.is_some())
                };
                let taken = self.sessions.values().filter(same_title).count();
                assert!(
                    class.max_sessions_per_title == 0 || taken < class.max_sessions_per_title,
                    "{taken} sessions of the title, maximum {}",
                    class.max_sessions_per_title
                );
                self.sessions.get_mut(&s.sid).unwrap().attempt = Some((s.attempt, self.rng.bool()));
            }
            Command::Cancel { attempt, reason } => {
                let open = self.sessions.values().find_map(|s| s.attempt.filter(|(a, _)| *a == attempt));
                match (open, reason) {
                    (None, _) | (Some((_, true)), CancelReason::Drained) => {}
                    (Some((_, true)), _) => self.end_attempt(attempt, AttemptEnd::Unanswered),
                    (Some((_, false)), _) => self.end_attempt(attempt, AttemptEnd::NeverSent),
                }
            }
            Command::Answer { viewer, answer } => {
                if self.disconnected.remove(&viewer) {
                    return;
                }
                let is_match = |s: &SessionState| s.waiting.is_some_and(|(v, _)| v == viewer);
                let found = self.sessions.iter_mut().find(|(_, s)| is_match(s));
                let (sid, session) = found.expect("response to a viewer that does not wait");
                session.waiting = None;
                self.answers += 1;
                self.streams += usize::from(matches!(answer, Answer::Stream { .. }));
                assert_eq!(
                    matches!(answer, Answer::Stream { .. }),
                    session.playing,
                    "response does not match the state of {sid}"
                );
                if !session.playing {
                    let sid = sid.clone();
                    self.sessions.remove(&sid);
                }
            }
            Command::SessionEnded { sid, .. } => drop(self.sessions.remove(&sid)),
            Command::RungChanged { sid, rung, .. } => {
                let session = &self.sessions[&sid];
                let class = &settings.classes[session.class];
                let max_rung = class.max_rung.min(session.max_rung).min(settings.ladder.len() - 1);
                assert!(
                    session.adopted || (class.min_rung..=max_rung).contains(&rung),
                    "rung {rung} is out of range"
                );
            }
            Command::Persist(_) | Command::KnowledgeMerged { .. } | Command::Release { .. } => {}
        }
    }

    pub(super) fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) {
        let is_match = |s: &SessionState| s.attempt.is_some_and(|(a, _)| a == attempt);
        let Some((sid, session)) = self.sessions.iter_mut().find(|(_, s)| is_match(s)) else {
            return;
        };
        session.attempt = None;
        session.possibly_executed |=
            matches!(end, AttemptEnd::Reset | AttemptEnd::Error { .. } | AttemptEnd::Unanswered);
        let (sid, disconnected) = (sid.clone(), session.waiting.is_none());
        if disconnected {
            self.sessions.remove(&sid);
        }
        self.inputs.push(Input::AttemptEnded { attempt, end, load: Load::default() });
    }
}
