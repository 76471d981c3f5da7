//! Load reports, session reports, and stepping sessions down on links that are short.

use super::*;

impl SessionPolicy {
    /// Applies a load report of the given age. It does not raise sessions, only session reports do: of many
    /// noisy readings the lowest would decide.
    pub(super) fn apply_load_report(&mut self, server: ServerId, age: Duration, load: LoadReport) {
        let (now, round) = (self.now, self.settings.report_interval + self.settings.report_delay);
        let sessions = self.session_count.own_demand_at(now.saturating_sub(age));
        let Some(s) = self.servers.get_mut(&server) else { return };
        let cell = s.entry.cell;
        load.link_load.into_iter().for_each(|x| s.link.apply_reading(now, age, x, round, sessions));
        self.estimated_at = None;
        if let (Some(x), Some(rack)) = (load.uplink_load, self.rack_of(cell)) {
            self.racks.entry(rack).or_default().uplink.apply_reading(now, age, x, round, sessions);
        }
    }

    pub(super) fn apply_session_report(&mut self, id: RequestId, server: ServerId, report: SessionReport) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        // The reading that comes with a set-up is current; later ones are delayed.
        let just_started =
            matches!(s.state, SessionState::Playing(_, t) if self.now - t < self.settings.report_delay);
        let age = if just_started { Duration::ZERO } else { self.settings.report_delay };
        match report {
            SessionReport::Rung(rung) if rung < self.settings.ladder.len() => {
                s.rung = rung;
                self.update_demand(server);
            }
            SessionReport::Rung(_) => {}
            SessionReport::LinkLoad(x) => {
                self.apply_load_report(server, age, LoadReport { link_load: Some(x), uplink_load: None });
                self.reported_servers.push(server);
            }
            SessionReport::UplinkLoad(x) => {
                self.apply_load_report(server, age, LoadReport { link_load: None, uplink_load: Some(x) })
            }
            SessionReport::DeliveredShare(share) => self.apply_delivered_share(server, share),
        }
    }

    /// Applies a report of the fraction of their rates that the server's sessions received.
    pub(super) fn apply_delivered_share(&mut self, server: ServerId, share: f64) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.short_delivery_at = (share < MIN_DELIVERED_SHARE).then_some(now);
        if share >= MIN_DELIVERED_SHARE {
            return;
        }
        self.estimate_other_fronts();
        let s = &self.servers[&server];
        let link_load = s.link.last_reading().unwrap_or(1.0);
        let rack = self.rack_of(s.entry.cell).filter(|r| self.uplink_is_short(*r, link_load));
        let account = match rack.and_then(|r| self.racks.get_mut(&r)) {
            Some(r) => {
                if r.uplink.read_at.is_none() {
                    // Uplinks differ from the configured mean. The demand and the share of it that was
                    // delivered give the capacity, also during a sag; the result is wrong if the readings of
                    // the links are old.
                    let missing = 1.0 - (r.uplink.reserved + r.uplink.others) * share;
                    r.missing_capacity =
                        FadingValue(missing.clamp(0.0, MAX_UTILIZATION).max(r.missing_capacity.at(now)), now);
                }
                &mut r.uplink
            }
            None => &mut self.servers.get_mut(&server).expect("looked up above").link,
        };
        account.mark_full(now);
        // Reports are delayed and all servers of a rack send them, so the effect of a step down shows late.
        if account.last_step_down_at + SHORT_DELIVERY_INTERVAL + self.settings.report_delay <= now {
            account.last_step_down_at = now;
            self.step_down(server, rack, share);
        }
    }

    /// Returns whether the uplink is short rather than a link: then all servers of the rack that this front
    /// uses deliver short. Guards against one impaired server that makes half the fleet look full. May hurt:
    /// wrong while only one server of the rack is in use.
    pub(super) fn uplink_is_short(&self, rack: u64, link_load: f64) -> bool {
        let uplink_load = self.racks.get(&rack).and_then(|r| r.uplink.last_reading());
        let (mut short, mut sufficient) = (0, 0);
        for s in self.servers.values().filter(|s| self.rack_of(s.entry.cell) == Some(rack)) {
            let in_use = s.own.playing.rate > 0.0
                && s.link.own_demand_at(self.now.saturating_sub(self.settings.report_delay)) > 0.0;
            match s.short_delivery_at {
                Some(t) if t + SHORT_DELIVERY_INTERVAL * 2 > self.now => short += 1,
                _ if in_use => sufficient += 1,
                _ => {}
            }
        }
        uplink_load.map_or(link_load < 1.0, |x| x > link_load) && short > sufficient * 4
    }

    /// Steps sessions of a short server or rack down until this front has freed its part of the missing
    /// capacity: first those that lose the least worth for each kB, each by one rung and at most once in
    /// `STEP_DOWN_INTERVAL`.
    pub(super) fn step_down(&mut self, server: ServerId, rack: Option<u64>, share: f64) {
        let now = self.now;
        let (mut total_rate, mut steps) = (0.0, Vec::new());
        for (id, s) in &self.sessions {
            let SessionState::Playing(playing_at, _) = s.state else { continue };
            let its_rack = self.servers.get(&playing_at).and_then(|s| self.rack_of(s.entry.cell));
            if playing_at != server && (rack.is_none() || its_rack != rack) {
                continue;
            }
            let class = &self.settings.classes[s.request.class];
            let rate = |rung: usize| self.settings.ladder[rung].rate_kb_per_s * class.rate_scale;
            total_rate += rate(s.rung);
            if s.rung > class.min_rung && s.last_step_down_at.is_none_or(|t| t + STEP_DOWN_INTERVAL <= now) {
                let (from, to) = (self.settings.ladder[s.rung], self.settings.ladder[s.rung - 1]);
                let freed = rate(s.rung) - rate(s.rung - 1);
                let loss = class.worth * (from.worth - to.worth) / freed.max(EPSILON);
                steps.push((loss, *id, freed));
            }
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut excess = total_rate * (1.0 - share);
        for (_, id, freed) in steps {
            // A whole step may free more than this front's part, on all fronts at once; it is taken with a
            // probability that frees the right amount on average.
            if excess <= 0.0 || self.rng.f64() * freed >= excess {
                return;
            }
            excess -= freed;
            let s = self.sessions.get_mut(&id).expect("listed above");
            s.last_step_down_at = Some(now);
            let lower = s.rung - 1;
            self.set_rung(id, lower);
        }
    }
}
