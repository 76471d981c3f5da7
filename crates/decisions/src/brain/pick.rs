//! Pick and admission.

use super::*;

impl Brain {
    pub(super) fn holds(&self, call: &Call, s: &Server) -> bool {
        let cells = self.set.cells;
        cells == 0
            || call.cells >= cells
            || (s.entry.cell + cells - call.first_cell % cells) % cells < call.cells
    }

    pub(super) fn usable(&self, call: &Call, s: &Server) -> bool {
        let class = &self.set.classes[call.class];
        s.entry.state == Listed::Serving
            && self.holds(call, s)
            && s.rest_until <= self.now
            && (s.fails == 0 || (!s.trial && !class.at_most_once))
            && ((!self.is_cold(s) && self.doubt <= self.now) || self.has_turn(s))
    }

    /// The holder with the most room on link and uplink, and the highest rung that fits there.
    pub(super) fn pick(&mut self, call: &Call) -> Option<(ServerId, usize)> {
        let class = self.set.classes.get(call.class)?;
        let top = call.top.min(class.top).min(self.set.ladder.len().checked_sub(1)?);
        if class.floor > top {
            return None;
        }
        let floor = class.floor;
        self.look_round();
        let erred_at = self.sessions.get(&call.request).and_then(|s| s.erred_at);
        let holders = self.servers.iter().filter(|(id, s)| erred_at != Some(**id) && self.usable(call, s));
        let mut rooms: Vec<_> = holders.map(|(id, s)| (self.use_of(s), *id)).collect();
        self.rng.shuffle(&mut rooms); // ties at random
        let order = |(used, id): &(Use, ServerId)| {
            used.link.max(used.rack) + if self.servers[id].entry.far { ALIKE } else { 0.0 }
        };
        rooms.sort_by(|a, b| order(a).total_cmp(&order(b)));
        rooms.into_iter().find_map(|(used, id)| {
            let fits = |rung: &usize| self.fits(call, *rung, &self.servers[&id], &used);
            (floor..=top).rev().find(fits).map(|rung| (id, rung))
        })
    }

    /// Whether a session more at that rung stays under its mark on the link and on the uplink.
    pub(super) fn fits(&self, call: &Call, rung: usize, s: &Server, used: &Use) -> bool {
        let same = |x: &Session| (x.call.title, x.call.class, x.rung) == (call.title, call.class, rung);
        let joins = self.shares(call.class)
            && s.sessions.iter().any(|id| *id != call.request && self.sessions.get(id).is_some_and(same));
        let cost = self.price(s, call.class, rung, joins);
        let mark = self.marks[call.class][rung];
        used.link + cost.link <= mark && used.rack + cost.rate / used.uplink <= mark
    }

    pub(super) fn use_of(&self, s: &Server) -> Use {
        let link = s.link.used(self.now);
        let Some(r) = self.rack_at(s) else { return Use { link, rack: 0.0, uplink: f64::INFINITY } };
        let uplink = self.uplink(r);
        Use { link, rack: r.meter.used(self.now) * r.uplink / uplink, uplink }
    }

    /// Adopted sessions get the rung that an admission would give them, once each, at a note of the link.
    ///
    /// All fronts there hear it in the same instant: as many others as it tells sessions do alike. Where a
    /// rung has room for some of them only, so many take it as have room, less a spread of their number.
    pub(super) fn raise(&mut self, server: ServerId) {
        let Some(at) = self.servers.get(&server) else { return };
        let known = at.sessions.iter().filter_map(|id| Some((self.sessions.get(id)?, *id)));
        let adopted = known.filter(|(s, _)| s.adopted && matches!(s.state, State::Playing(..)));
        let mut ids: Vec<_> = adopted.map(|(s, id)| (self.set.classes[s.call.class].worth, id)).collect();
        ids.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in ids {
            self.look_round();
            let (s, at) = (&self.sessions[&id], &self.servers[&server]);
            let (call, old) = (&s.call, s.rung);
            let top = call.top.min(self.set.classes[call.class].top).min(self.set.ladder.len() - 1);
            let used = self.use_of(at);
            let alike =
                |kb: f64| 1.0 + (kb / self.session_rate).clamp(0.0, self.set.fronts.saturating_sub(1) as f64);
            let near = alike(at.link.others * at.rated);
            let far = alike(self.rack_at(at).map_or(0.0, |r| r.meter.others * r.uplink));
            let price = |rung: usize| self.price(at, call.class, rung, false);
            let chance = |rung: usize| {
                let (mark, old, less, new) =
                    (self.marks[call.class][rung], price(old), price(rung - 1), price(rung));
                let part = |used: f64, old: f64, less: f64, new: f64, n: f64| {
                    let p = ((mark - used) / n - (less - old)) / (new - less).max(TINY);
                    p - (p * (1.0 - p) / n).max(0.0).sqrt()
                };
                let rate = |p: &Price| p.rate / used.uplink;
                part(used.link, old.link, less.link, new.link, near).min(part(
                    used.rack,
                    rate(&old),
                    rate(&less),
                    rate(&new),
                    far,
                ))
            };
            let chances: Vec<_> = (old + 1..=top).map(|rung| (rung, chance(rung))).collect();
            let drawn = chances.into_iter().rev().find(|c| c.1 > 0.0 && (c.1 >= 1.0 || self.rng.f64() < c.1));
            let Some((rung, _)) = drawn else { continue };
            self.sessions.get_mut(&id).expect("listed above").adopted = false;
            self.set_rung(id, rung);
        }
    }

    pub(super) fn take(&mut self, call: &Call) -> Option<RequestId> {
        if self.sessions.contains_key(&call.request) {
            return None;
        }
        self.taken.extend(self.set.rules.ration.map(|_| self.now));
        self.sessions.insert(call.request, Session { call: call.clone(), ..Session::default() });
        Some(call.request)
    }

    pub(super) fn place(&mut self, request: RequestId) {
        let Some(s) = self.sessions.get(&request) else { return };
        if s.state != State::Waiting || s.over {
            return;
        }
        let call = s.call.clone();
        // Rule 5: seats count adopted sessions and those in set-up.
        let seats = self.set.classes.get(call.class).map_or(0, |c| c.seats);
        let same =
            |s: &&Session| (s.call.title, s.call.class) == (call.title, call.class) && s.at().is_some();
        let seated = seats == 0 || self.sessions.values().filter(same).count() < seats;
        match if seated { self.pick(&call) } else { None } {
            Some((server, rung)) => self.send(request, server, rung),
            None => self.answer(request),
        }
    }
}
