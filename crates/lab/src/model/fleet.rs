//! All servers and the uplinks that their racks share.

use super::server::{ColdFacts, LoadTold, Server, SetupVerdict};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A rack.
#[derive(Clone, Copy, Debug)]
pub struct Rack {
    /// What its uplink gives, kB a second; infinite where there is none.
    pub uplink_kb: f64,
    /// That, over the usual.
    pub factor: f64,
}

/// All servers.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// How fresh servers warm.
    pub cold: ColdFacts,
    /// The servers, by id.
    pub servers: BTreeMap<u64, Server>,
    /// The racks; a server's is its cell modulo their number.
    pub racks: Vec<Rack>,
}

impl Fleet {
    /// The rack of a server.
    pub fn rack_of(&self, server: &Server) -> usize {
        (server.facts.cell % self.racks.len().max(1) as u64) as usize
    }

    fn rack_load(&self, now: Duration, rack: usize) -> f64 {
        let Some(r) = self.racks.get(rack) else { return 0.0 };
        let there = self.servers.values().filter(|s| self.rack_of(s) == rack);
        there.map(|s| s.asked(now)).sum::<f64>() / (r.uplink_kb * r.factor).max(1e-6)
    }

    /// A server's load now.
    pub fn load(&self, now: Duration, id: u64) -> LoadTold {
        let Some(s) = self.servers.get(&id) else { return LoadTold::default() };
        LoadTold {
            link: s.asked(now) / s.gives(now, &self.cold),
            rack: self.rack_load(now, self.rack_of(s)),
            streams: s.streams(),
        }
    }

    /// The share of their rates that sessions at a server get: where more is asked than link or uplink
    /// gives, all there get the same cut.
    pub fn share(&self, now: Duration, id: u64) -> f64 {
        let load = self.load(now, id);
        1.0 / load.link.max(load.rack).max(1.0)
    }

    /// A set-up arrives at a server.
    pub fn set_up(&mut self, now: Duration, id: u64, sid: &Arc<str>, rate_kb: f64) -> SetupVerdict {
        let cold = self.cold;
        match self.servers.get_mut(&id) {
            Some(s) => s.set_up(now, sid, rate_kb, &cold),
            None => SetupVerdict::Full,
        }
    }

    /// Takes the load of all servers down.
    pub fn record(&mut self, now: Duration) {
        let loads: Vec<_> = self.servers.keys().map(|id| (*id, self.load(now, *id))).collect();
        for (id, load) in loads {
            if let Some(s) = self.servers.get_mut(&id) {
                s.record(now, load);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::server::ServerFacts;
    use super::*;

    fn fleet() -> Fleet {
        let facts = |id| ServerFacts {
            id,
            hall: "h".into(),
            kind: "k".into(),
            cell: id,
            weight: 1.0,
            link_kb: 1000.0,
            streams: 20,
            setup: Duration::ZERO,
        };
        Fleet {
            cold: ColdFacts {
                span: Duration::from_secs(10),
                from: 0.4,
                multiple: 2.0,
                window: Duration::from_secs(1),
                slack: 0.0,
            },
            servers: (0..4).map(|id| (id, Server::new(facts(id)))).collect(),
            racks: vec![Rack { uplink_kb: 1500.0, factor: 1.0 }; 2],
        }
    }

    #[test]
    fn links_and_uplinks_cut_all_sessions_alike() {
        let mut f = fleet();
        let now = Duration::from_secs(100);
        assert_eq!(f.set_up(now, 0, &"a".into(), 800.0), SetupVerdict::Runs);
        assert_eq!(f.share(now, 0), 1.0);
        f.set_up(now, 0, &"b".into(), 800.0);
        assert!((f.share(now, 0) - 1.0 / 1.6).abs() < 1e-9, "the link is short");
        f.set_up(now, 2, &"c".into(), 900.0);
        assert!((f.share(now, 2) - 1500.0 / 2500.0).abs() < 1e-9, "the uplink is short");
        assert_eq!(f.share(now, 1), 1.0, "another rack");
        assert!(f.servers.get_mut(&0).unwrap().end(&"b".into()));
        assert_eq!(f.set_up(now, 0, &"b".into(), 1.0), SetupVerdict::Over);
    }

    #[test]
    fn a_cold_server_topples_under_a_burst_and_a_warm_one_does_not() {
        let mut f = fleet();
        let mut now = Duration::from_secs(100);
        let s = f.servers.get_mut(&1).unwrap();
        s.restart(now);
        // 20 places over 10 s at 0.4: 0.8 a second, twice that in a window of 1 s: one set-up, not two.
        assert_eq!(f.set_up(now, 1, &"a".into(), 1.0), SetupVerdict::Runs);
        assert_eq!(f.set_up(now, 1, &"b".into(), 1.0), SetupVerdict::Topples);
        now += Duration::from_secs(20);
        let verdicts: Vec<_> = (0..15).map(|i| f.set_up(now, 1, &format!("s{i}").into(), 1.0)).collect();
        assert!(verdicts.iter().all(|v| *v == SetupVerdict::Runs), "{verdicts:?}");
    }

    #[test]
    fn a_session_that_nobody_fetches_asks_nothing_though_it_is_held() {
        let mut f = fleet();
        let now = Duration::from_secs(100);
        f.servers.get_mut(&0).unwrap().active = Duration::from_secs(6);
        f.set_up(now, 0, &"a".into(), 800.0);
        let later = now + Duration::from_secs(6);
        assert_eq!((f.load(later, 0).link, f.load(later, 0).streams), (0.0, 1));
        assert!(f.servers.get_mut(&0).unwrap().object(later, "a", 800.0));
        assert_eq!(f.load(later, 0).link, 0.8);
    }

    #[test]
    fn old_reports_tell_old_loads() {
        let mut f = fleet();
        let at = |ms| Duration::from_millis(ms);
        f.record(at(1000));
        f.set_up(at(1500), 0, &"a".into(), 500.0);
        f.record(at(2000));
        let s = &f.servers[&0];
        assert_eq!(s.told(at(1900)).unwrap().link, 0.0);
        assert_eq!(s.told(at(2000)).unwrap().link, 0.5);
    }
}
