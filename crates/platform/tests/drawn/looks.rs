//! Each command of the core looked at by the rules.

use super::front::{Front, Held};
use cloverhollow_session::*;

impl Front {
    pub(super) fn carry_out(&mut self, command: Command<u32, ()>) {
        let set = &self.site.settings;
        match command {
            Command::Send(s) => {
                let h = &self.held[&s.sid];
                let class = &set.classes[h.class];
                assert!(h.out.is_none() && !h.plays, "rule 2: two out for {}", s.sid);
                assert!(!(class.at_most_once && h.ran), "rule 2: {} may have run", s.sid);
                assert!(
                    s.attempt.number < set.limits.max_attempts,
                    "{} of {}",
                    s.attempt,
                    set.limits.max_attempts
                );
                assert_eq!(self.states.get(&s.server), Some(&WireState::Serving), "rule 3: {}", s.server);
                let top = class.max_rung.min(h.top).min(set.ladder.len() - 1);
                assert!(
                    (class.min_rung..=top).contains(&s.rung),
                    "rule 5: rung {} of {}..={top}",
                    s.rung,
                    class.min_rung
                );
                let alike =
                    |o: &&Held| (o.title, o.class) == (h.title, h.class) && (o.plays || o.out.is_some());
                let taken = self.held.values().filter(alike).count();
                assert!(
                    class.max_sessions_per_title == 0 || taken < class.max_sessions_per_title,
                    "rule 5: {taken} of {} seats",
                    class.max_sessions_per_title
                );
                self.held.get_mut(&s.sid).unwrap().out = Some((s.attempt, self.rng.bool()));
            }
            Command::Cancel { attempt, reason: why } => {
                let out = self.held.values().find_map(|h| h.out.filter(|(a, _)| *a == attempt));
                match (out, why) {
                    (None, _) | (Some((_, true)), CancelReason::Drained) => {}
                    (Some((_, true)), _) => self.ended(attempt, AttemptEnd::Unanswered),
                    (Some((_, false)), _) => self.ended(attempt, AttemptEnd::NeverSent),
                }
            }
            Command::Answer { viewer, answer } => {
                if self.left.remove(&viewer) {
                    return;
                }
                let of = |h: &Held| h.waits.is_some_and(|(v, _)| v == viewer);
                let found = self.held.iter_mut().find(|(_, h)| of(h));
                let (sid, h) = found.expect("rule 1: an answer to one who does not wait");
                h.waits = None;
                self.answers += 1;
                self.streams += usize::from(matches!(answer, Answer::Stream { .. }));
                assert_eq!(matches!(answer, Answer::Stream { .. }), h.plays, "served is who plays: {sid}");
                if !h.plays {
                    let sid = sid.clone();
                    self.held.remove(&sid);
                }
            }
            Command::SessionEnded { sid, .. } => drop(self.held.remove(&sid)),
            Command::RungChanged { sid, rung, .. } => {
                let h = &self.held[&sid];
                let class = &set.classes[h.class];
                let top = class.max_rung.min(h.top).min(set.ladder.len() - 1);
                assert!(h.adopted || (class.min_rung..=top).contains(&rung), "rule 5: rung {rung}");
            }
            Command::Persist(_) | Command::KnowledgeMerged { .. } | Command::Release { .. } => {}
        }
    }

    pub(super) fn ended(&mut self, attempt: AttemptId, end: AttemptEnd) {
        let of = |h: &Held| h.out.is_some_and(|(a, _)| a == attempt);
        let Some((sid, h)) = self.held.iter_mut().find(|(_, h)| of(h)) else { return };
        h.out = None;
        h.ran |= matches!(end, AttemptEnd::Reset | AttemptEnd::Error { .. } | AttemptEnd::Unanswered);
        let (sid, nobody) = (sid.clone(), h.waits.is_none());
        if nobody {
            self.held.remove(&sid);
        }
        self.inputs.push(Input::AttemptEnded { attempt, end, load: Load::default() });
    }
}
