//! Ledger of all links and uplinks: capacities, demands, and the estimated demand of other fronts.

use super::*;

impl SessionPolicy {
    /// Returns the present capacity of a server's link. For a cold server, only the fraction it has at its
    /// start counts.
    pub(super) fn link_capacity(&self, server: &Server) -> f64 {
        server.rated_capacity
            * if self.is_cold(server) { self.settings.rules.cold_capacity_fraction.max(0.01) } else { 1.0 }
    }

    /// Returns the present capacity of a rack's uplink, less what short delivery has shown to be missing.
    pub(super) fn uplink_capacity(&self, rack: &Rack) -> f64 {
        (rack.uplink_capacity * (1.0 - rack.missing_capacity.value_at(self.now))).max(EPSILON)
    }

    /// Returns the rack of a cell; `None` if uplinks do not limit.
    pub(super) fn rack_id_of(&self, cell: u64) -> Option<u64> {
        (self.settings.rack_count > 0 && self.settings.rack_uplink_kb_per_s > 0.0)
            .then(|| cell % self.settings.rack_count.max(1))
    }

    pub(super) fn rack_of_server(&self, server: &Server) -> Option<&Rack> {
        self.rack_id_of(server.entry.cell).and_then(|id| self.racks.get(&id))
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
        let own_rate: f64 = self.servers.values().map(|server| server.own.reserved.rate).sum();
        let own_sessions = self.session_count.reserved;
        let session_rate = if own_sessions > 0.0 {
            own_rate / own_sessions
        } else {
            self.settings.ladder.first().map_or(0.0, |r| r.rate_kb_per_s)
        }
        .max(EPSILON);
        (self.estimated_at, self.session_rate) = (Some(now), session_rate);
        let serving = self.servers.values().filter(|server| server.entry.state == ServerState::Serving);
        let total_capacity = serving.clone().map(|server| server.rated_capacity).sum::<f64>().max(EPSILON);
        let peers = |total_capacity: f64, capacity: f64| PeerEstimate {
            peer_count,
            own_sessions,
            total_capacity,
            sessions_per_link: capacity / session_rate,
            session_rate,
        };
        let links: Vec<_> = serving.map(|server| (server.rated_capacity, &server.link)).collect();
        let (mean, deviation) = typical_demand(now, &links, |capacity| peers(total_capacity, capacity));
        for server in self.servers.values_mut() {
            // Half of the links without a reading are above the mean, and an overfull link costs more than an
            // empty one.
            server.link.others = server.link.estimate_others(
                now,
                mean + deviation,
                &peers(total_capacity, server.rated_capacity),
            );
        }
        if self.racks.values().any(|rack| rack.uplink.read_at.is_some()) {
            let total_capacity =
                self.racks.values().map(|rack| rack.uplink_capacity).sum::<f64>().max(EPSILON);
            let uplinks: Vec<_> =
                self.racks.values().map(|rack| (rack.uplink_capacity, &rack.uplink)).collect();
            let (mean, _) = typical_demand(now, &uplinks, |capacity| peers(total_capacity, capacity));
            for rack in self.racks.values_mut() {
                rack.uplink.others =
                    rack.uplink.estimate_others(now, mean, &peers(total_capacity, rack.uplink_capacity));
            }
            return;
        }
        // Without readings of uplinks, their demand is that of the rack's links. The reading of an impaired
        // link reflects its reduced capacity, so the demand beyond a full link is limited to the mean.
        self.racks.values_mut().for_each(|rack| rack.uplink.others = 0.0);
        for server in self.servers.values() {
            let Some(rack_id) = self.rack_id_of(server.entry.cell) else { continue };
            let estimate =
                server.link.estimate_others(now, mean, &peers(total_capacity, server.rated_capacity));
            let others = if server.link.reserved + estimate >= 1.0 { mean.min(estimate) } else { estimate };
            let others = (server.link.reserved + others).clamp(0.0, 1.0) - server.link.reserved;
            let rate = others * self.link_capacity(server);
            if let Some(rack) = self.racks.get_mut(&rack_id) {
                rack.uplink.others += rate / rack.uplink_capacity.max(EPSILON);
            }
        }
    }

    /// Returns the demand of a session: its rate, or on the link the share of one stream of the server if
    /// that is more. A session that joins a live stream adds only a fraction of its rate, and no stream.
    pub(super) fn demand(&self, server: &Server, class: usize, rung: usize, joins: bool) -> Demand {
        let max_streams = self.settings.max_streams_by_kind.get(server.entry.kind).copied().unwrap_or(0.0);
        let fraction = if joins { self.settings.join_cost_fraction } else { 1.0 };
        let rate =
            self.settings.ladder[rung].rate_kb_per_s * self.settings.classes[class].rate_scale * fraction;
        let stream = if max_streams > 0.0 && !joins { 1.0 / max_streams } else { 0.0 };
        Demand { link: (rate / self.link_capacity(server).max(EPSILON)).max(stream), rate }
    }

    /// Returns whether sessions of the class that play the same title and rung share a stream.
    pub(super) fn shares_streams(&self, class: usize) -> bool {
        self.settings.join_cost_fraction < 1.0 && self.settings.classes[class].live
    }

    /// Recomputes the demand of this front's sessions at a server and on the uplink of its rack.
    pub(super) fn update_demand(&mut self, server_id: ServerId) {
        let Some(server) = self.servers.get(&server_id) else { return };
        let (mut own, mut streams) = (OwnDemand::default(), BTreeSet::new());
        for session in server.sessions.iter().filter_map(|id| self.sessions.get(id)) {
            let joins = self.shares_streams(session.request.class)
                && !streams.insert((session.request.title, session.request.class, session.rung));
            let demand = self.demand(server, session.request.class, session.rung, joins);
            let playing = f64::from(u8::from(matches!(session.state, SessionState::Playing(..))));
            for (sum, part) in [(&mut own.reserved, 1.0), (&mut own.playing, playing)] {
                sum.link += demand.link * part;
                sum.rate += demand.rate * part;
            }
        }
        let (now, retention, rack_id) =
            (self.now, self.settings.report_delay + TYPICAL_REPORT_AGE, self.rack_id_of(server.entry.cell));
        let server = self.servers.get_mut(&server_id).expect("looked up above");
        server.link.record(now, own.reserved.link, own.playing.link, retention);
        let old = std::mem::replace(&mut server.own, own);
        let session_count =
            self.sessions.values().filter(|session| session.server().is_some()).count() as f64;
        self.session_count.record(now, session_count, session_count, retention);
        self.estimated_at = None;
        let Some(rack_id) = rack_id else { return };
        let rack = self.racks.entry(rack_id).or_default();
        rack.own.reserved.rate = (rack.own.reserved.rate + own.reserved.rate - old.reserved.rate).max(0.0);
        rack.own.playing.rate = (rack.own.playing.rate + own.playing.rate - old.playing.rate).max(0.0);
        let capacity = rack.uplink_capacity.max(EPSILON);
        rack.uplink.record(
            now,
            rack.own.reserved.rate / capacity,
            rack.own.playing.rate / capacity,
            retention,
        );
    }
}
