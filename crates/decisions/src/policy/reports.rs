//! Load reports, session reports, and stepping sessions down on links that are short of capacity.

use super::*;

impl SessionPolicy {
    /// Applies a load report of the given age. Only session reports raise adopted sessions: if each reading
    /// could, the lowest of many noisy ones would decide.
    pub(super) fn apply_load_report(&mut self, server_id: ServerId, age: Duration, load: LoadReport) {
        let (now, round) = (self.now, self.settings.report_interval + self.settings.report_delay);
        let sessions = self.session_count.own_demand_at(now.saturating_sub(age));
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        let cell = server.entry.cell;
        load.link_load
            .into_iter()
            .for_each(|reading| server.link.apply_reading(now, age, reading, round, sessions));
        self.estimated_at = None;
        if let (Some(reading), Some(rack_id)) = (load.uplink_load, self.rack_id_of(cell)) {
            self.racks.entry(rack_id).or_default().uplink.apply_reading(now, age, reading, round, sessions);
        }
    }

    pub(super) fn apply_session_report(&mut self, id: RequestId, server_id: ServerId, report: SessionReport) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        // The reading that comes with a set-up is current; later ones are delayed.
        let just_started =
            matches!(session.state, SessionState::Playing(_, t) if self.now - t < self.settings.report_delay);
        let age = if just_started { Duration::ZERO } else { self.settings.report_delay };
        match report {
            SessionReport::Rung(rung) if rung < self.settings.ladder.len() => {
                session.rung = rung;
                self.update_demand(server_id);
            }
            SessionReport::Rung(_) => {}
            SessionReport::LinkLoad(load) => {
                self.apply_load_report(
                    server_id,
                    age,
                    LoadReport { link_load: Some(load), uplink_load: None },
                );
                self.reported_servers.push(server_id);
            }
            SessionReport::UplinkLoad(load) => self.apply_load_report(
                server_id,
                age,
                LoadReport { link_load: None, uplink_load: Some(load) },
            ),
            SessionReport::DeliveredShare(share) => self.apply_delivered_share(server_id, share),
        }
    }

    /// Applies a report of the fraction of their rates that the server's sessions received.
    pub(super) fn apply_delivered_share(&mut self, server_id: ServerId, share: f64) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.short_delivery_at = (share < MIN_DELIVERED_SHARE).then_some(now);
        if share >= MIN_DELIVERED_SHARE {
            return;
        }
        self.estimate_other_fronts();
        let server = &self.servers[&server_id];
        let link_load = server.link.last_reading().unwrap_or(1.0);
        let rack_id = self.rack_id_of(server.entry.cell).filter(|id| self.uplink_is_short(*id, link_load));
        let account = match rack_id.and_then(|id| self.racks.get_mut(&id)) {
            Some(rack) => {
                if rack.uplink.read_at.is_none() {
                    // Uplinks differ from the configured mean. The demand and the share of it that was
                    // delivered give the capacity, also during a temporary loss; the result is wrong if the
                    // readings of the links are old.
                    let missing = 1.0 - (rack.uplink.reserved + rack.uplink.others) * share;
                    rack.missing_capacity = FadingValue(
                        missing.clamp(0.0, MAX_UTILIZATION).max(rack.missing_capacity.value_at(now)),
                        now,
                    );
                }
                &mut rack.uplink
            }
            None => &mut self.servers.get_mut(&server_id).expect("looked up above").link,
        };
        account.mark_full(now);
        // Reports are delayed and all servers of a rack send them, so the effect of a step down shows late.
        if account.last_step_down_at + SHORT_DELIVERY_INTERVAL + self.settings.report_delay <= now {
            account.last_step_down_at = now;
            self.step_down(server_id, rack_id, share);
        }
    }

    /// Returns whether the uplink is short of capacity rather than a link: then more than four fifths of the
    /// rack's servers that this front uses deliver less than their sessions' rates. Guards against one
    /// impaired server that makes half the fleet look full. Drawback: wrong while only one server of the rack
    /// is in use.
    pub(super) fn uplink_is_short(&self, rack_id: u64, link_load: f64) -> bool {
        let uplink_load = self.racks.get(&rack_id).and_then(|rack| rack.uplink.last_reading());
        let (mut short, mut sufficient) = (0, 0);
        for server in
            self.servers.values().filter(|server| self.rack_id_of(server.entry.cell) == Some(rack_id))
        {
            let in_use = server.own.playing.rate > 0.0
                && server.link.own_demand_at(self.now.saturating_sub(self.settings.report_delay)) > 0.0;
            match server.short_delivery_at {
                Some(t) if t + SHORT_DELIVERY_INTERVAL * 2 > self.now => short += 1,
                _ if in_use => sufficient += 1,
                _ => {}
            }
        }
        uplink_load.map_or(link_load < 1.0, |x| x > link_load) && short > sufficient * 4
    }

    /// Steps sessions of a server or rack that is short of capacity down until this front has freed its part
    /// of the missing capacity. Sessions that lose the least worth for each kB go first, each by one rung and
    /// at most once in `STEP_DOWN_INTERVAL`.
    pub(super) fn step_down(&mut self, server_id: ServerId, rack_id: Option<u64>, share: f64) {
        let now = self.now;
        let (mut total_rate, mut steps) = (0.0, Vec::new());
        for (id, session) in &self.sessions {
            let SessionState::Playing(playing_at, _) = session.state else { continue };
            let session_rack_id =
                self.servers.get(&playing_at).and_then(|server| self.rack_id_of(server.entry.cell));
            if playing_at != server_id && (rack_id.is_none() || session_rack_id != rack_id) {
                continue;
            }
            let class = &self.settings.classes[session.request.class];
            let rate = |rung: usize| self.settings.ladder[rung].rate_kb_per_s * class.rate_scale;
            total_rate += rate(session.rung);
            if session.rung > class.min_rung
                && session.last_step_down_at.is_none_or(|t| t + STEP_DOWN_INTERVAL <= now)
            {
                let (from, to) = (self.settings.ladder[session.rung], self.settings.ladder[session.rung - 1]);
                let freed = rate(session.rung) - rate(session.rung - 1);
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
            let session = self.sessions.get_mut(&id).expect("listed above");
            session.last_step_down_at = Some(now);
            let lower = session.rung - 1;
            self.set_rung(id, lower);
        }
    }
}
