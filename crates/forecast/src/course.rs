//! The course of a session in a play: it comes, is sent, plays, ends or is refused.

use crate::follow::{key, FOLLOWERS};
use crate::play::{Live, Run, What, EPOCH};
use crate::world::{Part, SetUp};
use crate::{LaidTitle, Limiting};
use cloverhollow::{
    Action, AttemptOutcome, Event, LoadReport, RequestId, ServerId, SessionReport, SessionRequest,
};
use rand::RngExt;
use std::time::Duration;

impl Run<'_> {
    pub fn comes(&mut self, now: Duration, i: usize) {
        let w = &self.wanted[i];
        let title = self.titles.get(&w.title).copied();
        let front = self.cast.pick(w.hall, &mut self.rng);
        let (Some(title), Some(front)) = (title, front) else {
            let worth = self.out.refused(self.stage.settings, w, now - EPOCH);
            *self.out.came.blame.entry(Limiting::Title(w.title)).or_default() += worth;
            return;
        };
        let many = self.cast.fronts[front].stands_for;
        if many > 1 && self.rng.random_range(0..many) > 0 && self.follows(now, i, &title, front) {
            return;
        }
        self.calls(now, i, &title, front);
    }

    /// A call reaches a front that is played.
    fn calls(&mut self, now: Duration, i: usize, title: &LaidTitle, front: usize) {
        let w = &self.wanted[i];
        self.requests += 1;
        let id = self.requests;
        let call = SessionRequest {
            id,
            title: w.title,
            class: w.class,
            tenant: w.tenant,
            max_rung: self.stage.settings.classes.get(w.class).map_or(0, |c| c.max_rung),
            first_cell: title.first_cell,
            cell_count: title.cells,
            deadline: now + self.stage.manner.waits,
            is_repeat: false,
        };
        let live =
            Live { wanted: i, front, came: now - EPOCH, rung: 0, attempts: 0, at: None, follows: false };
        self.live.insert(id, live);
        self.tell(front, Event::Request(call));
    }

    pub fn arrives(&mut self, now: Duration, id: RequestId, attempt: u32, server: ServerId) {
        let Some(s) = self.live.get(&id) else { return };
        let w = &self.wanted[s.wanted];
        let (part, front) = (Part { title: w.title, class: w.class, rung: s.rung }, s.front);
        let (follows, i) = (s.follows, s.wanted);
        let until = EPOCH + w.until;
        match self.world.set_up(now, server, if follows { FOLLOWERS } else { front }, id, part) {
            SetUp::NoServer | SetUp::Full if follows => {
                self.live.remove(&id);
                if let Some(title) = self.titles.get(&w.title).copied().filter(|_| self.cast.alive(front)) {
                    self.calls(now, i, &title, front);
                }
            }
            SetUp::NoServer => self.ended(id, attempt, server, AttemptOutcome::ConnectFailed, false),
            SetUp::Full => self.ended(id, attempt, server, AttemptOutcome::Full, false),
            SetUp::Plays => {
                let many = self.cast.fronts[front].stands_for;
                let which = if follows { self.rng.random_range(1..many.max(2)) } else { 0 };
                let crosses = self.world.lanes.get(&server).is_some_and(|l| l.hall != w.hall);
                self.out.plays(front, which, server, crosses);
                if let Some(s) = self.live.get_mut(&id) {
                    s.at = Some(server);
                }
                if !follows {
                    self.tell(front, Event::Playing(id, attempt, server, Duration::ZERO));
                }
                if !follows && !self.stage.settings.report_interval.is_zero() {
                    let link = self.world.link(now, server);
                    self.tell(front, Event::SessionReport(id, server, SessionReport::LinkLoad(link)));
                }
                self.plan(until.max(now), What::Ends(id));
            }
        }
    }

    pub fn ended(&mut self, id: RequestId, attempt: u32, server: ServerId, how: AttemptOutcome, over: bool) {
        let Some(s) = self.live.get(&id) else { return };
        let front = s.front;
        self.tell(front, Event::AttemptEnded(id, attempt, server, how, over, LoadReport::default()));
    }

    /// A session is over. The front hears of links by notes alone.
    pub fn ends(&mut self, id: RequestId) {
        let Some(s) = self.live.remove(&id) else { return };
        let w = &self.wanted[s.wanted];
        let Some(server) = s.at else { return };
        let part = Part { title: w.title, class: w.class, rung: s.rung };
        self.world.end(server, if s.follows { FOLLOWERS } else { s.front }, id, part);
        if s.follows {
            return;
        }
        let over = Event::AttemptEnded(
            id,
            s.attempts.saturating_sub(1),
            server,
            AttemptOutcome::Ok,
            true,
            LoadReport::default(),
        );
        self.tell(s.front, over);
    }

    pub fn does(&mut self, now: Duration, front: usize, action: Action) {
        match action {
            Action::Send(id, server, within) => {
                let Some(s) = self.live.get_mut(&id) else { return };
                let attempt = s.attempts;
                s.attempts += 1;
                let (w, rung) = (&self.wanted[s.wanted], s.rung);
                if let Some(title) = self.titles.get(&w.title) {
                    self.leaders.led(now, key(title, w.class), Some((server, rung)));
                }
                let manner = self.stage.manner;
                let takes = manner.setup.mul_f64(1.0 + manner.uneven * self.rng.random::<f64>());
                match takes <= within {
                    true => self.plan(now + takes, What::Arrives(id, attempt, server)),
                    false => self.plan(now + within, What::Late(id, attempt, server)),
                }
            }
            Action::SetRung(id, rung) => {
                let Some(s) = self.live.get_mut(&id) else { return };
                let w = &self.wanted[s.wanted];
                let part = Part { title: w.title, class: w.class, rung: s.rung };
                s.rung = rung;
                if let Some(server) = s.at {
                    self.world.rung(server, part, rung);
                    self.followers_too(front, server, part, rung);
                }
            }
            Action::Refuse(id, _) | Action::Fail(id) => {
                let w = self.live.get(&id).map(|s| &self.wanted[s.wanted]);
                if let Some((w, title)) = w.and_then(|w| Some((w, self.titles.get(&w.title)?))) {
                    self.leaders.led(now, key(title, w.class), None);
                }
                self.refused(id);
            }
            Action::SetTimer(after, token) => self.plan(now + after, What::Timer(front, token)),
            Action::Subscribe => {
                let list = self.cast.list(front, self.layout, &self.news);
                self.tell(front, list);
            }
            _ => {}
        }
    }

    /// The worth goes to what stood in the way: of each holder its link or its uplink, the fuller one.
    pub fn refused(&mut self, id: RequestId) {
        let Some(s) = self.live.remove(&id) else { return };
        let w = &self.wanted[s.wanted];
        let worth = self.out.refused(self.stage.settings, w, s.came);
        let title = self.titles.get(&w.title);
        let holders = title.map_or(Vec::new(), |t| self.layout.holders(t, self.stage.settings.cell_count));
        let there: Vec<_> = holders.iter().filter(|h| !self.news.gone.contains(h)).collect();
        if there.is_empty() {
            *self.out.came.blame.entry(Limiting::Title(w.title)).or_default() += worth;
        }
        for holder in &there {
            let link = self.loads.links.get(holder).copied().unwrap_or(0.0);
            let what = match self.world.uplink(&self.loads, **holder) {
                Some((rack, up)) if up > link => Limiting::Uplink(rack),
                _ => Limiting::Link(**holder),
            };
            *self.out.came.blame.entry(what).or_default() += worth / there.len() as f64;
        }
    }
}
