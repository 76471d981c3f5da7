//! The ledger: prices, sizes, and what others are taken to ask.

use super::*;

impl Brain {
    /// Size of a server's link now. A cold one gives the part that it has surely warmed.
    pub(super) fn link_size(&self, s: &Server) -> f64 {
        s.rated * if self.is_cold(s) { self.set.rules.cold_from.max(0.01) } else { 1.0 }
    }

    pub(super) fn uplink(&self, r: &Rack) -> f64 {
        (r.uplink * (1.0 - r.missing.at(self.now))).max(TINY)
    }

    pub(super) fn rack_of(&self, cell: u64) -> Option<u64> {
        (self.set.racks > 0 && self.set.rack_uplink > 0.0).then(|| cell % self.set.racks.max(1))
    }

    pub(super) fn rack_at(&self, s: &Server) -> Option<&Rack> {
        self.rack_of(s.entry.cell).and_then(|r| self.racks.get(&r))
    }

    /// Works out what others ask of each link and uplink, once an instant.
    ///
    /// With many fronts most servers have no reading: they are taken to be as the read ones are, and before
    /// any reading the others to do as this front does, spread over the fleet.
    pub(super) fn look_round(&mut self) {
        if self.looked == Some(self.now) {
            return;
        }
        let (now, fronts) = (self.now, self.set.fronts.saturating_sub(1) as f64);
        let own: f64 = self.servers.values().map(|s| s.own.booked.rate).sum();
        let n = self.all.booked;
        let one = if n > 0.0 { own / n } else { self.set.ladder.first().map_or(0.0, |r| r.rate) }.max(TINY);
        (self.looked, self.session_rate) = (Some(now), one);
        let serving = self.servers.values().filter(|s| s.entry.state == Listed::Serving);
        let size = serving.clone().map(|s| s.rated).sum::<f64>().max(TINY);
        let peers = |size: f64, page: f64| Peers { fronts, all: n, size, streams: page / one, session: one };
        let links: Vec<_> = serving.map(|s| (s.rated, &s.link)).collect();
        let (mean, spread) = usual(now, &links, |rated| peers(size, rated));
        for s in self.servers.values_mut() {
            // Half of what is unread is over the mean, and a short link costs more than an empty one.
            s.link.others = s.link.others(now, mean + spread, &peers(size, s.rated));
        }
        if self.racks.values().any(|r| r.meter.read_at.is_some()) {
            let size = self.racks.values().map(|r| r.uplink).sum::<f64>().max(TINY);
            let pages: Vec<_> = self.racks.values().map(|r| (r.uplink, &r.meter)).collect();
            let (mean, _) = usual(now, &pages, |uplink| peers(size, uplink));
            for r in self.racks.values_mut() {
                r.meter.others = r.meter.others(now, mean, &peers(size, r.uplink));
            }
            return;
        }
        // Where readings of uplinks are not told: what the links are read to ask. A sick link's reading tells
        // of what it gives, not of what is asked.
        self.racks.values_mut().for_each(|r| r.meter.others = 0.0);
        for s in self.servers.values() {
            let Some(rack) = self.rack_of(s.entry.cell) else { continue };
            let likely = s.link.others(now, mean, &peers(size, s.rated));
            let part = if s.link.booked + likely >= 1.0 { mean.min(likely) } else { likely };
            let part = (s.link.booked + part).clamp(0.0, 1.0) - s.link.booked;
            let asked = part * self.link_size(s);
            if let Some(r) = self.racks.get_mut(&rack) {
                r.meter.others += asked / r.uplink.max(TINY);
            }
        }
    }

    /// By rate, or by the stream taken if that is more of the link; one that joins a live stream by its part.
    pub(super) fn price(&self, s: &Server, class: usize, rung: usize, joins: bool) -> Price {
        let streams = self.set.streams_by_kind.get(s.entry.kind).copied().unwrap_or(0.0);
        let part = if joins { self.set.join } else { 1.0 };
        let rate = self.set.ladder[rung].rate * self.set.classes[class].scale * part;
        let place = if streams > 0.0 && !joins { 1.0 / streams } else { 0.0 };
        Price { link: (rate / self.link_size(s).max(TINY)).max(place), rate }
    }

    pub(super) fn shares(&self, class: usize) -> bool {
        self.set.join < 1.0 && self.set.classes[class].live
    }

    pub(super) fn reckon(&mut self, server: ServerId) {
        let Some(s) = self.servers.get(&server) else { return };
        let (mut own, mut streams) = (Own::default(), BTreeSet::new());
        for x in s.sessions.iter().filter_map(|id| self.sessions.get(id)) {
            let joins = self.shares(x.call.class) && !streams.insert((x.call.title, x.call.class, x.rung));
            let price = self.price(s, x.call.class, x.rung, joins);
            let playing = f64::from(u8::from(matches!(x.state, State::Playing(..))));
            for (sum, part) in [(&mut own.booked, 1.0), (&mut own.playing, playing)] {
                sum.link += price.link * part;
                sum.rate += price.rate * part;
            }
        }
        let (now, keep, rack) = (self.now, self.set.told_late + REPORT_AGE, self.rack_of(s.entry.cell));
        let s = self.servers.get_mut(&server).expect("looked up above");
        s.link.record(now, own.booked.link, own.playing.link, keep);
        let old = std::mem::replace(&mut s.own, own);
        let all = self.sessions.values().filter(|s| s.at().is_some()).count() as f64;
        self.all.record(now, all, all, keep);
        self.looked = None;
        let Some(rack) = rack else { return };
        let r = self.racks.entry(rack).or_default();
        r.own.booked.rate = (r.own.booked.rate + own.booked.rate - old.booked.rate).max(0.0);
        r.own.playing.rate = (r.own.playing.rate + own.playing.rate - old.playing.rate).max(0.0);
        let uplink = r.uplink.max(TINY);
        r.meter.record(now, r.own.booked.rate / uplink, r.own.playing.rate / uplink, keep);
    }
}
