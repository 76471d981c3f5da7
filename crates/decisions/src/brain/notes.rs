//! Readings and notes, and degrading.

use super::*;

impl Brain {
    /// A reading of that age. Only notes raise sessions: of many noisy readings the lowest would decide.
    pub(super) fn report(&mut self, server: ServerId, age: Duration, report: Report) {
        let (now, round) = (self.now, self.set.told_every + self.set.told_late);
        let all = self.all.own_at(now.saturating_sub(age));
        let Some(s) = self.servers.get_mut(&server) else { return };
        let cell = s.entry.cell;
        report.link.into_iter().for_each(|x| s.link.read(now, age, x, round, all));
        self.looked = None;
        if let (Some(x), Some(rack)) = (report.rack, self.rack_of(cell)) {
            self.racks.entry(rack).or_default().meter.read(now, age, x, round, all);
        }
    }

    pub(super) fn note(&mut self, request: RequestId, server: ServerId, note: Note) {
        let Some(s) = self.sessions.get_mut(&request) else { return };
        // At set-up a reading is of about now; later ones are late.
        let young = matches!(s.state, State::Playing(_, t) if self.now - t < self.set.told_late);
        let age = if young { Duration::ZERO } else { self.set.told_late };
        match note {
            Note::Rung(rung) if rung < self.set.ladder.len() => {
                s.rung = rung;
                self.reckon(server);
            }
            Note::Rung(_) => {}
            Note::Link(x) => {
                self.report(server, age, Report { link: Some(x), rack: None });
                self.read.push(server);
            }
            Note::Rack(x) => self.report(server, age, Report { link: None, rack: Some(x) }),
            Note::Share(share) => self.share(server, share),
        }
    }

    /// Sessions there got this share of their rates.
    pub(super) fn share(&mut self, server: ServerId, share: f64) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.short_at = (share < SHORT).then_some(now);
        if share >= SHORT {
            return;
        }
        self.look_round();
        let s = &self.servers[&server];
        let link = s.link.told().unwrap_or(1.0);
        let rack = self.rack_of(s.entry.cell).filter(|r| self.rack_short(*r, link));
        let meter = match rack.and_then(|r| self.racks.get_mut(&r)) {
            Some(r) => {
                if r.meter.read_at.is_none() {
                    // Uplinks differ from the told mean: what was asked and the share of it tell the size.
                    // Also catches a sag; errs if the links' readings are old.
                    let part = 1.0 - (r.meter.booked + r.meter.others) * share;
                    r.missing = Fading(part.clamp(0.0, MARK).max(r.missing.at(now)), now);
                }
                &mut r.meter
            }
            None => &mut self.servers.get_mut(&server).expect("looked up above").link,
        };
        meter.fill(now);
        // Notes are late and all servers of a rack send them: what was done shows only after a while.
        if meter.stepped + NOTE_GAP + self.set.told_late <= now {
            meter.stepped = now;
            self.step_down(server, rack, share);
        }
    }

    /// Whether it is the rack that is short: then every server there with own sessions is. Guards against one
    /// sick server by which half the fleet would look full; errs while one server there is in use.
    pub(super) fn rack_short(&self, rack: u64, link: f64) -> bool {
        let told = self.racks.get(&rack).and_then(|r| r.meter.told());
        let (mut short, mut fine) = (0, 0);
        for s in self.servers.values().filter(|s| self.rack_of(s.entry.cell) == Some(rack)) {
            let in_use =
                s.own.playing.rate > 0.0 && s.link.own_at(self.now.saturating_sub(self.set.told_late)) > 0.0;
            match s.short_at {
                Some(t) if t + NOTE_GAP * 2 > self.now => short += 1,
                _ if in_use => fine += 1,
                _ => {}
            }
        }
        told.map_or(link < 1.0, |x| x > link) && short > fine * 4
    }

    /// A link that stays short: the own sessions there free what they take too much, those first that
    /// lose least worth for each kB, each one rung and at most once in `STEP_GAP`.
    pub(super) fn step_down(&mut self, server: ServerId, rack: Option<u64>, share: f64) {
        let now = self.now;
        let (mut asked, mut steps) = (0.0, Vec::new());
        for (id, s) in &self.sessions {
            let State::Playing(at, _) = s.state else { continue };
            let there = self.servers.get(&at).and_then(|s| self.rack_of(s.entry.cell));
            if at != server && (rack.is_none() || there != rack) {
                continue;
            }
            let class = &self.set.classes[s.call.class];
            let rate = |rung: usize| self.set.ladder[rung].rate * class.scale;
            asked += rate(s.rung);
            if s.rung > class.floor && s.stepped.is_none_or(|t| t + STEP_GAP <= now) {
                let (from, to) = (self.set.ladder[s.rung], self.set.ladder[s.rung - 1]);
                let freed = rate(s.rung) - rate(s.rung - 1);
                let loss = class.worth * (from.worth - to.worth) / freed.max(TINY);
                steps.push((loss, *id, freed));
            }
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut excess = asked * (1.0 - share);
        for (_, id, freed) in steps {
            // With few own sessions a whole step frees more than the own part, on all fronts at once.
            if excess <= 0.0 || self.rng.f64() * freed >= excess {
                return;
            }
            excess -= freed;
            let s = self.sessions.get_mut(&id).expect("listed above");
            s.stepped = Some(now);
            let lower = s.rung - 1;
            self.set_rung(id, lower);
        }
    }
}
