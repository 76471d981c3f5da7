//! What happens to all at once in a play: seconds and their notes, a new layout, the loss of a hall.

use crate::cast::News;
use crate::follow::FOLLOWERS;
use crate::play::{places, Live, Run, What, EPOCH, SECOND};
use crate::world::Part;
use cloverhollow::{AttemptOutcome, Event, LoadReport, ServerId, SessionReport};
use std::collections::BTreeSet;
use std::time::Duration;

impl Run<'_> {
    pub fn second(&mut self, now: Duration) {
        self.plan(now + SECOND, What::Second);
        debug_assert_eq!(self.world.check(), Ok(()));
        let loads = self.world.loads(now);
        self.out.second(now - EPOCH, &self.world, &loads);
        let set = self.stage.settings;
        let every = (set.report_interval.as_secs_f64().round() as u64).max(1);
        let mut notes = Vec::new();
        for (id, lane) in &self.world.lanes {
            let share = self.world.share(&loads, *id);
            let was = if share < 1.0 { !self.short.insert(*id) } else { self.short.remove(id) };
            let due = !set.report_interval.is_zero() && (now.as_secs() + id).is_multiple_of(every);
            if !due && !was && share >= 1.0 {
                continue;
            }
            let link = loads.links.get(id).copied().unwrap_or(0.0);
            for (_, sessions) in lane.there.iter().filter(|(f, _)| **f != FOLLOWERS) {
                let all = if self.stage.manner.all_notes { sessions.len() } else { 1 };
                for one in sessions.iter().take(all) {
                    if due {
                        notes.push((*one, *id, SessionReport::LinkLoad(link)));
                    }
                }
                if let Some(one) = sessions.first().filter(|_| was || share < 1.0) {
                    notes.push((*one, *id, SessionReport::DeliveredShare(share)));
                }
            }
        }
        self.loads = loads;
        self.late.push_back(notes);
        if self.late.len() as f64 > set.report_delay.as_secs_f64().round() {
            for (id, server, note) in self.late.pop_front().unwrap_or_default() {
                if let Some(s) = self.live.get(&id).filter(|s| s.at == Some(server)) {
                    let front = s.front;
                    self.tell(front, Event::SessionReport(id, server, note));
                }
            }
        }
    }

    /// The layout changes: what is otherwise starts anew, cold; its sessions come again.
    pub fn change(&mut self, now: Duration) {
        let anew: BTreeSet<_> = self.layout.changed(self.stage.layout).into_iter().collect();
        let lost = self.drop_sessions(&anew, &BTreeSet::new());
        self.layout = self.stage.layout;
        self.titles = places(self.layout);
        self.world.lay(self.layout, &anew, Some(now));
        self.news = News { cold: anew, since: now, gone: self.news.gone.clone() };
        self.leaders.forget();
        self.tell_lists();
        self.deliver(now);
        lost.into_iter().for_each(|i| self.comes(now, i));
    }

    /// A hall is lost: its servers and its fronts.
    pub fn lose(&mut self, now: Duration) {
        let Some(hall) = self.stage.lost else { return };
        let gone: BTreeSet<_> =
            self.world.lanes.iter().filter(|(_, l)| l.hall == hall).map(|(id, _)| *id).collect();
        let fronts = self.cast.lose(hall);
        let lost = self.drop_sessions(&gone, &fronts);
        self.world.lanes.retain(|id, _| !gone.contains(id));
        self.news.gone.extend(gone);
        self.leaders.forget();
        self.tell_lists();
        self.deliver(now);
        lost.into_iter().for_each(|i| self.comes(now, i));
    }

    /// Sessions at those servers and fronts are lost; whose viewers come again.
    fn drop_sessions(&mut self, servers: &BTreeSet<ServerId>, fronts: &BTreeSet<usize>) -> Vec<usize> {
        let hit = |s: &Live| s.at.is_some_and(|at| servers.contains(&at)) || fronts.contains(&s.front);
        let ids: Vec<_> = self.live.iter().filter(|(_, s)| hit(s)).map(|(id, _)| *id).collect();
        let mut again = Vec::new();
        for id in ids {
            let Some(s) = self.live.remove(&id) else { continue };
            let w = &self.wanted[s.wanted];
            if let Some(at) = s.at {
                let part = Part { title: w.title, class: w.class, rung: s.rung };
                self.world.end(at, if s.follows { FOLLOWERS } else { s.front }, id, part);
                if !s.follows {
                    let attempt = s.attempts.saturating_sub(1);
                    let ended = Event::AttemptEnded(
                        id,
                        attempt,
                        at,
                        AttemptOutcome::Reset,
                        true,
                        LoadReport::default(),
                    );
                    self.tell(s.front, ended);
                }
            }
            again.push(s.wanted);
        }
        again
    }
}
