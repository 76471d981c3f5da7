//! Server list, cold servers and health of servers.

use super::*;

impl SessionPolicy {
    pub(super) fn update_list(&mut self, mode: ListMode, entries: &[ListEntry]) {
        if mode == ListMode::Failed {
            if !self.settings.list_pushed {
                self.actions.push(Action::SetTimer(
                    (self.settings.rules.list_refresh_interval / 2).max(INITIAL_BACKOFF),
                    RESUBSCRIBE_TOKEN,
                ));
            }
            return;
        }
        if mode == ListMode::Stale && !self.settings.list_pushed {
            self.actions.push(Action::Subscribe);
        }
        if mode != ListMode::Patch {
            self.servers.values_mut().for_each(|server| server.entry.state = ServerState::Removed);
        }
        for entry in entries {
            let server = self.servers.entry(entry.server).or_default();
            let restarted = entry.started_at > server.entry.started_at;
            server.entry = *entry;
            if restarted {
                self.server_restarted(entry.server, entry.started_at);
            }
        }
        // A removed server is tracked, with its readings, until its last session ends.
        self.servers
            .retain(|_, server| server.entry.state != ServerState::Removed || !server.sessions.is_empty());
        self.compute_capacities();
        self.estimated_at = None;
    }

    /// Clears the failures of the server's previous process and counts the server as cold from its new start.
    pub(super) fn server_restarted(&mut self, server_id: ServerId, started_at: Duration) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        (server.may_have_restarted, server.probe_in_flight, server.failures, server.suspended_until) =
            (false, false, 0, now);
        server.cold_since = server.cold_since.max(Some(started_at));
    }

    /// Applies a peer's knowledge of a server that this front's list contains. Guards a restarted front
    /// against drains, restarts and failures that it missed, and against the assumption that the fleet is
    /// empty. A report can only make this front more cautious; its own list and observations override it.
    /// Drawback: a peer's mistake suspends a server for some seconds.
    pub(super) fn apply_peer_report(&mut self, report: &PeerReport) {
        let read_at = self.now.saturating_sub(report.load_age);
        let Some(server) = self.servers.get_mut(&report.server) else { return };
        if report.state != ServerState::Serving {
            server.entry.state = report.state;
        }
        if report.started_at > server.entry.started_at {
            server.entry.started_at = report.started_at;
            self.server_restarted(report.server, report.started_at);
        }
        let (unused, cell) = {
            let server = &self.servers[&report.server];
            (server.failures == 0 && server.sessions.is_empty(), server.entry.cell)
        };
        if report.failed && unused {
            self.record_failure(report.server, report.may_have_restarted, "a peer's word");
        }
        let is_older =
            |own: Option<&LinkAccount>| own.and_then(|own| own.read_at).is_none_or(|t| t < read_at);
        let rack_id = self.rack_id_of(cell);
        let link_load = report
            .load
            .link_load
            .filter(|_| is_older(self.servers.get(&report.server).map(|server| &server.link)));
        let uplink_load = report
            .load
            .uplink_load
            .filter(|_| is_older(rack_id.and_then(|id| self.racks.get(&id)).map(|rack| &rack.uplink)));
        self.apply_load_report(report.server, report.load_age, LoadReport { link_load, uplink_load });
        // The reading has been fading since the peer took it.
        if let (Some(_), Some(server)) = (link_load, self.servers.get_mut(&report.server)) {
            server.link.read_at = Some(read_at);
        }
        if let (Some(_), Some(rack)) = (uplink_load, rack_id.and_then(|id| self.racks.get_mut(&id))) {
            rack.uplink.read_at = Some(read_at);
        }
    }

    /// Computes the capacities of links, from the servers' weights or the streams of their kinds, and of
    /// uplinks, in proportion to the links of their racks.
    pub(super) fn compute_capacities(&mut self) {
        let max_streams =
            |entry: &ListEntry| self.settings.max_streams_by_kind.get(entry.kind).copied().unwrap_or(1.0);
        let total: f64 = self.servers.values().map(|server| max_streams(&server.entry)).sum();
        let mean = total / self.servers.len().max(1) as f64;
        for server in self.servers.values_mut() {
            let weight = if mean > 0.0 { max_streams(&server.entry) / mean } else { 1.0 };
            server.rated_capacity = self.settings.link_unit_kb_per_s
                * if self.settings.sized_by_weight { server.entry.weight } else { weight };
        }
        self.racks.values_mut().for_each(|rack| rack.links_capacity = 0.0);
        for server in self.servers.values() {
            if let Some(rack_id) = self.rack_id_of(server.entry.cell) {
                self.racks.entry(rack_id).or_default().links_capacity += server.rated_capacity;
            }
        }
        let mean =
            self.racks.values().map(|rack| rack.links_capacity).sum::<f64>() / self.racks.len().max(1) as f64;
        for rack in self.racks.values_mut() {
            rack.uplink_capacity = self.settings.rack_uplink_kb_per_s
                * if mean > 0.0 { rack.links_capacity / mean } else { 1.0 };
        }
    }

    pub(super) fn is_cold(&self, server: &Server) -> bool {
        server.may_have_restarted
            || server.cold_since.is_some_and(|t| t + self.settings.rules.warm_up > self.now)
    }

    /// Returns whether this front may send one more set-up to a cold server now. The server's capacity is
    /// taken to be that at its start; `max_setups` is what one overload window may then hold over all fronts.
    ///
    /// If that is one or more for each front, each sends its share, evenly spaced. Otherwise fronts have time
    /// slots, which all of them compute alike from the shared clock, their index and the server's key: a slot
    /// opens each `interval` and stays open for a while, for one set-up. At most `max_setups` slots overlap a
    /// window, including set-ups that arrive late. A front without an index has no slot. Drawback: a slot in
    /// which no request arrives is unused.
    pub(super) fn has_setup_slot(&self, server: &Server) -> bool {
        let rules = &self.settings.rules;
        let max_streams = self.settings.max_streams_by_kind.get(server.entry.kind).copied().unwrap_or(1.0);
        let nominal_setups = rules.overload_multiple * max_streams / secs(rules.warm_up).max(EPSILON)
            * rules.cold_capacity_fraction
            * secs(rules.overload_window);
        let max_setups = (nominal_setups
            + rules.overload_margin
            + rules.overload_margin_root * nominal_setups.max(0.0).sqrt())
        .floor();
        let (fronts, window) =
            (self.settings.front_count.max(1), secs(rules.overload_window + MAX_SETUP_DELAY));
        let elapsed = |t: Duration| secs(self.now.saturating_sub(t));
        if self.fleet_size == Some(None) || max_setups < 1.0 {
            return false;
        }
        if max_setups >= fronts as f64 {
            let gap = window / (max_setups / fronts as f64).floor();
            // At a server that may have restarted unnoticed, the first set-up need not wait.
            let recovered_setup_at = self.recovered_setup_at.filter(|_| self.is_cold(server));
            return server.last_setup_at.is_none_or(|t| elapsed(t) >= gap)
                && recovered_setup_at.is_none_or(|t| elapsed(t) >= window);
        }
        let Some(index) = self.settings.front_index.filter(|_| self.fleet_size.is_none()) else {
            return false;
        };
        let slot_length = secs(rules.overload_window) * SLOT_LENGTH_WINDOWS;
        let interval = (window + slot_length) / max_setups;
        let offset = (index as u64 + server.entry.shared_key % fronts as u64) as f64 * interval;
        let since_opening =
            (secs(self.now + self.clock_offset) - offset).rem_euclid(interval * fronts as f64);
        since_opening < slot_length
            && server
                .last_setup_at
                .max(self.recovered_setup_at)
                .is_none_or(|t| elapsed(t) > since_opening + secs(MAX_SETUP_DELAY))
    }

    /// Returns the time within which a set-up to this server, decided just now, must be sent or dropped;
    /// `None` if there is no such limit. Guards a cold server against set-ups that arrive after their time
    /// slot because the front was suspended or the connection was made late. Drawback: a dropped set-up uses
    /// up an attempt.
    pub fn max_send_delay(&self, server_id: ServerId) -> Option<Duration> {
        let server = self.servers.get(&server_id)?;
        (self.is_cold(server) || self.restarts_unknown_until > self.now)
            .then_some(MAX_SETUP_DELAY - TRANSIT_ALLOWANCE)
    }

    /// Restores the history of previous incarnations. Guards against a restarted front that exceeds the retry
    /// budget or the limits at cold servers, because its previous incarnation used part of them: for one
    /// window everything that is not proven unused counts as used. Also guards against restarts of servers
    /// while this front was down that the list does not show yet: each server gets set-ups as a cold one
    /// does. Drawback: for that time requests are refused after one attempt, as are those that arrive in a
    /// rush after the restart.
    pub(super) fn restore_history(&mut self, history: &RecoveredHistory) {
        let now = self.now;
        if let Some(budget) = self.settings.rules.retry_budget {
            let mut retries: Vec<_> = history.retry_ages.iter().map(|age| now.saturating_sub(*age)).collect();
            retries.sort();
            self.retry_times.extend(retries);
            self.budget_unproven_until = now + budget.window.saturating_sub(history.complete_for);
        }
        self.recovered_setup_at = history.last_setup_age.map(|age| now.saturating_sub(age));
        self.restarts_unknown_until = now + history.list_delay.min(self.settings.rules.warm_up);
    }

    /// Sets the bound of the fleet's size. Guards cold servers against fronts that assume too few others: the
    /// shares of fronts with different bounds add up to no more than the limit. Fronts have no indices from
    /// then on. Drawback: without a bound, cold servers get no set-ups.
    pub(super) fn set_fleet_size(&mut self, max_fronts: Option<usize>) {
        self.fleet_size = Some(max_fronts);
        self.settings.front_count = max_fronts.unwrap_or(self.settings.front_count);
        self.estimated_at = None;
    }

    /// Records an error reply. The request itself may be at fault, so that no server can serve it: an error
    /// counts as the server's failure only if another error came since its last success, and only the first
    /// error of a request counts. Guards against a client whose set-ups would suspend all servers. Drawback:
    /// one more set-up goes to a server that begins to fail.
    pub(super) fn record_error(&mut self, id: RequestId, server_id: ServerId) {
        let first =
            self.sessions.get_mut(&id).and_then(|session| session.error_server.replace(server_id)).is_none();
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.probe_in_flight = false;
        if (first && std::mem::replace(&mut server.error_since_success, true)) || server.failures > 0 {
            self.record_failure(server_id, false, "errors");
        }
    }

    pub(super) fn record_failure(&mut self, server_id: ServerId, may_have_restarted: bool, reason: &str) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.probe_in_flight = false;
        server.may_have_restarted |= may_have_restarted;
        if now < server.suspended_until && server.failures > 0 {
            return; // the same failure, reported by several sessions
        }
        server.failures += 1;
        server.suspended_until =
            now + (INITIAL_BACKOFF * 2u32.pow((server.failures - 1).min(8))).min(MAX_BACKOFF);
        if server.failures == 1 {
            // Action texts are part of records: changing them breaks the replay of records written before.
            self.actions.push(Action::Log(format!("server {server_id} rests: {reason}")));
        }
    }

    pub(super) fn record_success(&mut self, server_id: ServerId) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        (server.probe_in_flight, server.error_since_success) = (false, false);
        if server.may_have_restarted {
            server.may_have_restarted = false;
            server.cold_since = server.cold_since.max(Some(now));
        }
        if std::mem::take(&mut server.failures) > 0 {
            server.suspended_until = now;
            self.actions.push(Action::Log(format!("server {server_id} works again")));
        }
    }
}
