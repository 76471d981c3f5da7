//! Admission of requests: choice of server and rung, and rungs of adopted sessions.

use super::*;

impl SessionPolicy {
    pub(super) fn holds_title(&self, request: &SessionRequest, server: &Server) -> bool {
        let cell_count = self.settings.cell_count;
        cell_count == 0
            || request.cell_count >= cell_count
            || (server.entry.cell + cell_count - request.first_cell % cell_count) % cell_count
                < request.cell_count
    }

    /// Returns whether the request may be sent to the server now, whatever its load.
    pub(super) fn is_usable(&self, request: &SessionRequest, server: &Server) -> bool {
        let class = &self.settings.classes[request.class];
        server.entry.state == ServerState::Serving
            && self.holds_title(request, server)
            && server.suspended_until <= self.now
            && (server.failures == 0 || (!server.probe_in_flight && !class.at_most_once))
            && ((!self.is_cold(server) && self.restarts_unknown_until <= self.now)
                || self.has_setup_slot(server))
    }

    /// Selects the least utilized usable server on which a rung fits, and the highest rung that fits there.
    pub(super) fn select_server(&mut self, request: &SessionRequest) -> Option<(ServerId, usize)> {
        let class = self.settings.classes.get(request.class)?;
        let max_rung = request.max_rung.min(class.max_rung).min(self.settings.ladder.len().checked_sub(1)?);
        if class.min_rung > max_rung {
            return None;
        }
        let min_rung = class.min_rung;
        self.estimate_other_fronts();
        let error_server = self.sessions.get(&request.id).and_then(|session| session.error_server);
        let usable = self
            .servers
            .iter()
            .filter(|(id, server)| error_server != Some(**id) && self.is_usable(request, server));
        let mut candidates: Vec<_> = usable.map(|(id, server)| (self.utilization(server), *id)).collect();
        self.rng.shuffle(&mut candidates); // ties are broken at random
        let sort_key = |(used, id): &(Utilization, ServerId)| {
            used.link.max(used.uplink)
                + if self.servers[id].entry.in_other_zone { OTHER_ZONE_PENALTY } else { 0.0 }
        };
        candidates.sort_by(|a, b| sort_key(a).total_cmp(&sort_key(b)));
        candidates.into_iter().find_map(|(used, id)| {
            let fits = |rung: &usize| self.fits(request, *rung, &self.servers[&id], &used);
            (min_rung..=max_rung).rev().find(fits).map(|rung| (id, rung))
        })
    }

    /// Returns whether one more session at that rung keeps the link and the uplink within the rung's
    /// utilization limit.
    pub(super) fn fits(
        &self,
        request: &SessionRequest,
        rung: usize,
        server: &Server,
        used: &Utilization,
    ) -> bool {
        let same_stream =
            |s: &Session| (s.request.title, s.request.class, s.rung) == (request.title, request.class, rung);
        let joins = self.shares_streams(request.class)
            && server
                .sessions
                .iter()
                .any(|id| *id != request.id && self.sessions.get(id).is_some_and(same_stream));
        let demand = self.demand(server, request.class, rung, joins);
        let limit = self.utilization_limits[request.class][rung];
        used.link + demand.link <= limit && used.uplink + demand.rate / used.uplink_capacity <= limit
    }

    pub(super) fn utilization(&self, server: &Server) -> Utilization {
        let link = server.link.utilization(self.now);
        let Some(rack) = self.rack_of_server(server) else {
            return Utilization { link, uplink: 0.0, uplink_capacity: f64::INFINITY };
        };
        let uplink_capacity = self.uplink_capacity(rack);
        Utilization {
            link,
            uplink: rack.uplink.utilization(self.now) * rack.uplink_capacity / uplink_capacity,
            uplink_capacity,
        }
    }

    /// Gives the server's adopted sessions the rung that an admission would give them, once for each, when
    /// the load of its link is reported.
    ///
    /// All fronts with sessions there receive the report in the same instant and act alike; their number is
    /// estimated from the other fronts' demand. If a rung has room for only some of the sessions, each takes
    /// it with the probability that as many do as have room, less one standard deviation.
    pub(super) fn raise_adopted(&mut self, server_id: ServerId) {
        let Some(server) = self.servers.get(&server_id) else { return };
        let known = server.sessions.iter().filter_map(|id| Some((self.sessions.get(id)?, *id)));
        let undecided = known.filter(|(session, _)| {
            session.rung_undecided && matches!(session.state, SessionState::Playing(..))
        });
        let mut ids: Vec<_> =
            undecided.map(|(session, id)| (self.settings.classes[session.request.class].worth, id)).collect();
        ids.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in ids {
            self.estimate_other_fronts();
            let (session, server) = (&self.sessions[&id], &self.servers[&server_id]);
            let (request, old_rung) = (&session.request, session.rung);
            let max_rung = request
                .max_rung
                .min(self.settings.classes[request.class].max_rung)
                .min(self.settings.ladder.len() - 1);
            let used = self.utilization(server);
            let estimated_fronts = |rate: f64| {
                1.0 + (rate / self.session_rate)
                    .clamp(0.0, self.settings.front_count.saturating_sub(1) as f64)
            };
            let link_fronts = estimated_fronts(server.link.others * server.rated_capacity);
            let uplink_fronts = estimated_fronts(
                self.rack_of_server(server).map_or(0.0, |rack| rack.uplink.others * rack.uplink_capacity),
            );
            let demand = |rung: usize| self.demand(server, request.class, rung, false);
            let probability = |rung: usize| {
                let (limit, old, lower, new) = (
                    self.utilization_limits[request.class][rung],
                    demand(old_rung),
                    demand(rung - 1),
                    demand(rung),
                );
                let share_with_room = |used: f64, old: f64, lower: f64, new: f64, n: f64| {
                    let p = ((limit - used) / n - (lower - old)) / (new - lower).max(EPSILON);
                    p - (p * (1.0 - p) / n).max(0.0).sqrt()
                };
                let uplink = |demand: &Demand| demand.rate / used.uplink_capacity;
                share_with_room(used.link, old.link, lower.link, new.link, link_fronts).min(share_with_room(
                    used.uplink,
                    uplink(&old),
                    uplink(&lower),
                    uplink(&new),
                    uplink_fronts,
                ))
            };
            let choices: Vec<_> = (old_rung + 1..=max_rung).map(|rung| (rung, probability(rung))).collect();
            let drawn = choices.into_iter().rev().find(|c| c.1 > 0.0 && (c.1 >= 1.0 || self.rng.f64() < c.1));
            let Some((rung, _)) = drawn else { continue };
            self.sessions.get_mut(&id).expect("listed above").rung_undecided = false;
            self.set_rung(id, rung);
        }
    }

    /// Accepts a request; returns its identifier unless the request is known already.
    pub(super) fn accept(&mut self, request: &SessionRequest) -> Option<RequestId> {
        if self.sessions.contains_key(&request.id) {
            return None;
        }
        self.request_times.extend(self.settings.rules.retry_budget.map(|_| self.now));
        self.sessions.insert(request.id, Session { request: request.clone(), ..Session::default() });
        Some(request.id)
    }

    /// Sends the set-up of a waiting request to a server, or answers the request.
    pub(super) fn place(&mut self, id: RequestId) {
        let Some(session) = self.sessions.get(&id) else { return };
        if session.state != SessionState::Waiting || session.settled {
            return;
        }
        let request = session.request.clone();
        // The limit of sessions per title includes adopted sessions and those in set-up.
        let max_sessions = self.settings.classes.get(request.class).map_or(0, |c| c.max_sessions_per_title);
        let same_title = |session: &&Session| {
            (session.request.title, session.request.class) == (request.title, request.class)
                && session.server().is_some()
        };
        let within_limit =
            max_sessions == 0 || self.sessions.values().filter(same_title).count() < max_sessions;
        match if within_limit { self.select_server(&request) } else { None } {
            Some((server_id, rung)) => self.send(id, server_id, rung),
            None => self.answer(id),
        }
    }
}
