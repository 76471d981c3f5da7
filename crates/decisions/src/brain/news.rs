//! List, cold servers and health.

use super::*;

impl Brain {
    pub(super) fn list(&mut self, mode: ListMode, entries: &[Entry]) {
        if mode == ListMode::Broken {
            if !self.set.list_pushed {
                self.out.push(Action::Timer((self.set.rules.ask_within / 2).max(REST), ASK_AGAIN));
            }
            return;
        }
        if mode == ListMode::Stale && !self.set.list_pushed {
            self.out.push(Action::Subscribe);
        }
        if mode != ListMode::Patch {
            self.servers.values_mut().for_each(|s| s.entry.state = Listed::Gone);
        }
        for e in entries {
            let s = self.servers.entry(e.server).or_default();
            let restarted = e.started > s.entry.started;
            s.entry = *e;
            if restarted {
                self.started(e.server, e.started);
            }
        }
        // One that is gone is kept for its sessions alone; what is learnt of it ends with them.
        self.servers.retain(|_, s| s.entry.state != Listed::Gone || !s.sessions.is_empty());
        self.size_links();
        self.looked = None;
    }

    /// A new start ends what was held against the old process.
    pub(super) fn started(&mut self, server: ServerId, at: Duration) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        (s.lost, s.trial, s.fails, s.rest_until) = (false, false, 0, now);
        s.cold_since = s.cold_since.max(Some(at));
    }

    /// A peer's word on a server of the own list. Guards a front that came back against drains, starts and
    /// failures that it slept through, and against taking the fleet for empty. It never makes it less
    /// careful; its own list and what it sees itself take it back. May hurt: a peer that errs costs some
    /// seconds' rest.
    pub(super) fn heard(&mut self, h: &Heard) {
        let then = self.now.saturating_sub(h.age);
        let Some(s) = self.servers.get_mut(&h.server) else { return };
        if h.state != Listed::Serving {
            s.entry.state = h.state;
        }
        if h.started > s.entry.started {
            s.entry.started = h.started;
            self.started(h.server, h.started);
        }
        let (unknown, cell) = {
            let s = &self.servers[&h.server];
            (s.fails == 0 && s.sessions.is_empty(), s.entry.cell)
        };
        if h.failed && unknown {
            self.failed(h.server, h.lost, "a peer's word");
        }
        let older = |m: Option<&Meter>| m.and_then(|m| m.read_at).is_none_or(|t| t < then);
        let rack = self.rack_of(cell);
        let link = h.report.link.filter(|_| older(self.servers.get(&h.server).map(|s| &s.link)));
        let uplink = h.report.rack.filter(|_| older(rack.and_then(|r| self.racks.get(&r)).map(|r| &r.meter)));
        self.report(h.server, h.age, Report { link, rack: uplink });
        // It has faded since it was read.
        if let (Some(_), Some(s)) = (link, self.servers.get_mut(&h.server)) {
            s.link.read_at = Some(then);
        }
        if let (Some(_), Some(r)) = (uplink, rack.and_then(|r| self.racks.get_mut(&r))) {
            r.meter.read_at = Some(then);
        }
    }

    /// Links by their weight, or by their kind's streams; uplinks by the rated links of their cells.
    pub(super) fn size_links(&mut self) {
        let streams = |e: &Entry| self.set.streams_by_kind.get(e.kind).copied().unwrap_or(1.0);
        let all: f64 = self.servers.values().map(|s| streams(&s.entry)).sum();
        let mean = all / self.servers.len().max(1) as f64;
        for s in self.servers.values_mut() {
            let weight = if mean > 0.0 { streams(&s.entry) / mean } else { 1.0 };
            s.rated = self.set.link_unit * if self.set.weights_tell_size { s.entry.weight } else { weight };
        }
        self.racks.values_mut().for_each(|r| r.links = 0.0);
        for s in self.servers.values() {
            if let Some(rack) = self.rack_of(s.entry.cell) {
                self.racks.entry(rack).or_default().links += s.rated;
            }
        }
        let mean = self.racks.values().map(|r| r.links).sum::<f64>() / self.racks.len().max(1) as f64;
        for r in self.racks.values_mut() {
            r.uplink = self.set.rack_uplink * if mean > 0.0 { r.links / mean } else { 1.0 };
        }
    }

    pub(super) fn is_cold(&self, s: &Server) -> bool {
        s.lost || s.cold_since.is_some_and(|t| t + self.set.rules.cold > self.now)
    }

    /// Rule 4: whether one more set-up of this front may go to a cold server now, taking it for no warmer
    /// than at its start. `most`: what a window holds under the line at which it falls.
    ///
    /// Where that is one a front or more, each sends its part, evenly spaced. Else fronts take turns that
    /// all reckon alike, by the clock, their number and the server's key: one opens each `step` and stays
    /// open for a while, for one set-up. Those that touch a window, with what is late on its way, are
    /// `most`. Who has no number has no turn then. May hurt: a turn that finds no request goes by.
    pub(super) fn has_turn(&self, s: &Server) -> bool {
        let r = &self.set.rules;
        let streams = self.set.streams_by_kind.get(s.entry.kind).copied().unwrap_or(1.0);
        let budget = r.fall_multiple * streams / secs(r.cold).max(TINY) * r.cold_from * secs(r.fall_span);
        let most = (budget + r.fall_free + r.fall_root * budget.max(0.0).sqrt()).floor();
        let (fronts, window) = (self.set.fronts.max(1), secs(r.fall_span + LATE));
        let since = |t: Duration| secs(self.now.saturating_sub(t));
        if self.counted == Some(None) || most < 1.0 {
            return false;
        }
        if most >= fronts as f64 {
            let gap = window / (most / fronts as f64).floor();
            // At one that is only doubted the first may go at once.
            let ran = self.ran.filter(|_| self.is_cold(s));
            return s.sent.is_none_or(|t| since(t) >= gap) && ran.is_none_or(|t| since(t) >= window);
        }
        let Some(number) = self.set.number.filter(|_| self.counted.is_none()) else { return false };
        let open = secs(r.fall_span) * OPEN;
        let step = (window + open) / most;
        let at = (number as u64 + s.entry.key % fronts as u64) as f64 * step;
        let opened = (secs(self.now + self.ahead) - at).rem_euclid(step * fronts as f64);
        opened < open && s.sent.max(self.ran).is_none_or(|t| since(t) > opened + secs(LATE))
    }

    /// A set-up to a cold server that was just decided goes out within this or never, lest it comes after its
    /// turn: its front stood still, or its connection came up late (rule 4). May hurt: it uses up an attempt.
    pub fn send_within(&self, server: ServerId) -> Option<Duration> {
        let s = self.servers.get(&server)?;
        (self.is_cold(s) || self.doubt > self.now).then_some(LATE - WAY)
    }

    /// Guards a front that dies and comes back against spending anew what its last life spent (rules 4, 6):
    /// what cannot be proven otherwise counts as spent for one span. And against servers that started anew
    /// while it was dead, of which its list is yet to tell: each gets its set-ups as a cold one would. May
    /// hurt: it refuses after one attempt that long, and what comes in a rush after a return.
    pub(super) fn before(&mut self, before: &Before) {
        let now = self.now;
        if let Some(r) = self.set.rules.ration {
            let mut made: Vec<_> = before.further.iter().map(|age| now.saturating_sub(*age)).collect();
            made.sort();
            self.extra.extend(made);
            self.unproven = now + r.span.saturating_sub(before.known);
        }
        self.ran = before.ran.map(|ago| now.saturating_sub(ago));
        self.doubt = now + before.late.min(self.set.rules.cold);
    }

    /// Guards cold servers against fronts that reckon with too few others (rule 4). Parts of those that
    /// reckon with different numbers sum up to no more; numbers of their own they do not have then. May
    /// hurt: uncounted, cold servers get nothing.
    pub(super) fn counted(&mut self, fronts: Option<usize>) {
        self.counted = Some(fronts);
        self.set.fronts = fronts.unwrap_or(self.set.fronts);
        self.looked = None;
    }

    /// An error may be the request's own fault, which no server can serve: it tells of the server only where
    /// the last answer there was an error too, and a request's further errors tell nothing. Guards against a
    /// client by whose set-ups all servers would rest. Costs one set-up more at a server that begins to err.
    pub(super) fn erred(&mut self, request: RequestId, server: ServerId) {
        let first = self.sessions.get_mut(&request).and_then(|s| s.erred_at.replace(server)).is_none();
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.trial = false;
        if (first && std::mem::replace(&mut s.erred, true)) || s.fails > 0 {
            self.failed(server, false, "errors");
        }
    }

    pub(super) fn failed(&mut self, server: ServerId, lost: bool, why: &str) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.trial = false;
        s.lost |= lost;
        if now < s.rest_until && s.fails > 0 {
            return; // one trouble, heard of by several sessions
        }
        s.fails += 1;
        s.rest_until = now + (REST * 2u32.pow((s.fails - 1).min(8))).min(LONGEST_REST);
        if s.fails == 1 {
            self.out.push(Action::Log(format!("server {server} rests: {why}")));
        }
    }

    pub(super) fn worked(&mut self, server: ServerId) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server) else { return };
        (s.trial, s.erred) = (false, false);
        if s.lost {
            s.lost = false;
            s.cold_since = s.cold_since.max(Some(now));
        }
        if std::mem::take(&mut s.fails) > 0 {
            s.rest_until = now;
            self.out.push(Action::Log(format!("server {server} works again")));
        }
    }
}
