//! Ledger of all links and uplinks: capacities, demands, and the estimated demand of other fronts.

use super::*;

impl SessionPolicy {
    /// Returns the present capacity of a server's link. For a cold server, only the fraction it has at its
    /// start counts.
    pub(super) fn link_capacity(&self, s: &Server) -> f64 {
        s.rated_capacity
            * if self.is_cold(s) { self.settings.rules.cold_capacity_fraction.max(0.01) } else { 1.0 }
    }

    /// Returns the present capacity of a rack's uplink, less what short delivery has shown to be missing.
    pub(super) fn uplink_capacity(&self, r: &Rack) -> f64 {
        (r.uplink_capacity * (1.0 - r.missing_capacity.at(self.now))).max(EPSILON)
    }

    /// Returns the rack of a cell; `None` if uplinks do not limit.
    pub(super) fn rack_of(&self, cell: u64) -> Option<u64> {
        (self.settings.rack_count > 0 && self.settings.rack_uplink_kb_per_s > 0.0)
            .then(|| cell % self.settings.rack_count.max(1))
    }

    pub(super) fn rack_of_server(&self, s: &Server) -> Option<&Rack> {
        self.rack_of(s.entry.cell).and_then(|r| self.racks.get(&r))
    }

    /// Estimates the demand of the other fronts on each link and uplink, at most once an instant.
    ///
    /// With many fronts most servers have no reading. They are assumed to be loaded as those with one; before
    /// the first reading the other fronts are assumed to act as this one does, spread over the fleet.
    pub(super) fn estimate_other_fronts(&mut self) {
        if self.estimated_at == Some(self.now) {
            return;
        }
        let (now, peer_count) = (self.now, self.settings.front_count.saturating_sub(1) as f64);
        let own_rate: f64 = self.servers.values().map(|s| s.own.reserved.rate).sum();
        let own_sessions = self.session_count.reserved;
        let session_rate = if own_sessions > 0.0 {
            own_rate / own_sessions
        } else {
            self.settings.ladder.first().map_or(0.0, |r| r.rate_kb_per_s)
        }
        .max(EPSILON);
        (self.estimated_at, self.session_rate) = (Some(now), session_rate);
        let serving = self.servers.values().filter(|s| s.entry.state == ServerState::Serving);
        let total_capacity = serving.clone().map(|s| s.rated_capacity).sum::<f64>().max(EPSILON);
        let peers = |total_capacity: f64, capacity: f64| PeerEstimate {
            peer_count,
            own_sessions,
            total_capacity,
            sessions_per_link: capacity / session_rate,
            session_rate,
        };
        let links: Vec<_> = serving.map(|s| (s.rated_capacity, &s.link)).collect();
        let (mean, deviation) = typical_demand(now, &links, |capacity| peers(total_capacity, capacity));
        for s in self.servers.values_mut() {
            // Half of the unread links are above the mean, and an overfull link costs more than an empty one.
            s.link.others =
                s.link.estimate_others(now, mean + deviation, &peers(total_capacity, s.rated_capacity));
        }
        if self.racks.values().any(|r| r.uplink.read_at.is_some()) {
            let total_capacity = self.racks.values().map(|r| r.uplink_capacity).sum::<f64>().max(EPSILON);
            let uplinks: Vec<_> = self.racks.values().map(|r| (r.uplink_capacity, &r.uplink)).collect();
            let (mean, _) = typical_demand(now, &uplinks, |capacity| peers(total_capacity, capacity));
            for r in self.racks.values_mut() {
                r.uplink.others =
                    r.uplink.estimate_others(now, mean, &peers(total_capacity, r.uplink_capacity));
            }
            return;
        }
        // Without readings of uplinks, their demand is that of the rack's links. The reading of an impaired
        // link reflects its reduced capacity, so the demand beyond a full link is limited to the mean.
        self.racks.values_mut().for_each(|r| r.uplink.others = 0.0);
        for s in self.servers.values() {
            let Some(rack) = self.rack_of(s.entry.cell) else { continue };
            let estimate = s.link.estimate_others(now, mean, &peers(total_capacity, s.rated_capacity));
            let others = if s.link.reserved + estimate >= 1.0 { mean.min(estimate) } else { estimate };
            let others = (s.link.reserved + others).clamp(0.0, 1.0) - s.link.reserved;
            let rate = others * self.link_capacity(s);
            if let Some(r) = self.racks.get_mut(&rack) {
                r.uplink.others += rate / r.uplink_capacity.max(EPSILON);
            }
        }
    }

    /// Returns the demand of a session: its rate, or on the link the share of one stream of the server if
    /// that is more. A session that joins a live stream adds only a fraction of its rate, and no stream.
    pub(super) fn demand(&self, s: &Server, class: usize, rung: usize, joins: bool) -> Demand {
        let max_streams = self.settings.max_streams_by_kind.get(s.entry.kind).copied().unwrap_or(0.0);
        let fraction = if joins { self.settings.join_cost_fraction } else { 1.0 };
        let rate =
            self.settings.ladder[rung].rate_kb_per_s * self.settings.classes[class].rate_scale * fraction;
        let stream = if max_streams > 0.0 && !joins { 1.0 / max_streams } else { 0.0 };
        Demand { link: (rate / self.link_capacity(s).max(EPSILON)).max(stream), rate }
    }

    /// Returns whether sessions of the class that play the same title and rung share a stream.
    pub(super) fn shares_streams(&self, class: usize) -> bool {
        self.settings.join_cost_fraction < 1.0 && self.settings.classes[class].live
    }

    /// Recomputes the demand of this front's sessions at a server and on the uplink of its rack.
    pub(super) fn update_demand(&mut self, server: ServerId) {
        let Some(s) = self.servers.get(&server) else { return };
        let (mut own, mut streams) = (OwnDemand::default(), BTreeSet::new());
        for session in s.sessions.iter().filter_map(|id| self.sessions.get(id)) {
            let joins = self.shares_streams(session.request.class)
                && !streams.insert((session.request.title, session.request.class, session.rung));
            let demand = self.demand(s, session.request.class, session.rung, joins);
            let playing = f64::from(u8::from(matches!(session.state, SessionState::Playing(..))));
            for (sum, part) in [(&mut own.reserved, 1.0), (&mut own.playing, playing)] {
                sum.link += demand.link * part;
                sum.rate += demand.rate * part;
            }
        }
        let (now, retention, rack) =
            (self.now, self.settings.report_delay + TYPICAL_REPORT_AGE, self.rack_of(s.entry.cell));
        let s = self.servers.get_mut(&server).expect("looked up above");
        s.link.record(now, own.reserved.link, own.playing.link, retention);
        let old = std::mem::replace(&mut s.own, own);
        let session_count = self.sessions.values().filter(|s| s.server().is_some()).count() as f64;
        self.session_count.record(now, session_count, session_count, retention);
        self.estimated_at = None;
        let Some(rack) = rack else { return };
        let r = self.racks.entry(rack).or_default();
        r.own.reserved.rate = (r.own.reserved.rate + own.reserved.rate - old.reserved.rate).max(0.0);
        r.own.playing.rate = (r.own.playing.rate + own.playing.rate - old.playing.rate).max(0.0);
        let capacity = r.uplink_capacity.max(EPSILON);
        r.uplink.record(now, r.own.reserved.rate / capacity, r.own.playing.rate / capacity, retention);
    }
}
