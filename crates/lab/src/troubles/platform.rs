//! Troubles of the platform: the list, discovery, planned restarts, new configurations, lines, bad clients.

use super::*;
use crate::bad_clients;
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::AtomicU64;

/// New connections go on coming to a front that was told to stop for so long, at least and at most.
const NEW_CONNECTIONS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(400));
/// A front is killed so long after the longest deadline, counted from when it was told to stop.
const KILL: Duration = Duration::from_millis(700);
/// Nobody asks a front for anything so shortly before it is killed that no answer could come.
const LAST_REQUEST: Duration = Duration::from_millis(50);
/// The longest deadline counts as this where it is longer.
const LONGEST: Duration = Duration::from_secs(3);

impl Stage {
    fn rng(&self, c: &Cast) -> ChaCha8Rng {
        stream(self.script.seed.get(), &format!("{:?} at {:?}", c.trouble.kind, c.trouble.at_ms.get()))
    }

    fn publish_together(&self, servers: &[u64], state: WireState) {
        let entries = servers.iter().filter_map(|server| {
            let handle = self.servers.get(server)?;
            let fleet = self.world.fleet();
            let s = fleet.servers.get(server)?;
            Some((entry(s, handle, state), s.started))
        });
        self.discovery.publish_all(entries.collect());
    }

    /// Servers leave the list and come back alive. Those that died meanwhile are left to whatever killed them.
    pub(super) async fn leave_list(&self, c: &Cast, end: Duration) {
        let half = c.trouble.at_ms.get() + c.trouble.for_ms.get() / 2;
        let runs = |server: &&u64| self.servers[*server].mode() != Mode::Down;
        let there: Vec<u64> = c.servers.iter().filter(runs).copied().collect();
        self.publish_together(&there, WireState::Draining);
        self.until(half).await;
        self.publish_together(&there, WireState::Gone);
        self.until(end).await;
        let back: Vec<u64> = there.iter().filter(runs).copied().collect();
        self.publish_together(&back, WireState::Serving);
    }

    /// Planned restarts, one after the other, each begun when the last one's process has ended.
    pub(super) async fn restart_in_series(&self, c: &Cast, end: Duration) {
        let longest = self.script.front.classes.0.iter().map(|class| class.deadline_ms.get()).max();
        let kill_after = longest.unwrap_or(LONGEST).min(LONGEST) + KILL;
        let mut rng = self.rng(c);
        for front in &c.fronts {
            if self.log.now() >= end {
                return;
            }
            let told = self.log.now();
            if !self.fronts.terminate(*front) {
                continue;
            }
            let (least, most) = NEW_CONNECTIONS;
            self.until(told + rng.random_range(least..=most)).await;
            self.fronts.close(*front);
            self.until(told + kill_after - LAST_REQUEST).await;
            self.fronts.shut(*front);
            self.until(told + kill_after).await;
            self.fronts.kill(*front).await;
            self.start(*front).await;
        }
    }

    /// New configurations in quick succession.
    pub(super) async fn reconfigure(&self, c: &Cast, end: Duration) {
        let times = c.trouble.size.get().max(1.0) as u32;
        let step = end.saturating_sub(self.log.now()) / times;
        for n in 0..times {
            let until = self.log.now() + step;
            for front in &c.fronts {
                let _one_at_a_time = self.reconfigures.lock().await;
                let moved = self.discovery.move_channel(*front, self.world.host).await;
                let told = moved.and_then(|port| self.fronts.reconfigure(*front, port));
                if let Err(error) = told {
                    tracing::error!(front, n, %error, "no new configuration");
                }
            }
            self.until(until).await;
        }
    }

    pub(super) async fn disturb_discovery(&self, c: &Cast, end: Duration) {
        let silent = c.trouble.kind == Kind::DiscoverySilent;
        let late = Duration::from_secs_f64(c.trouble.size.get());
        self.discovery.disturb(silent, if silent { Duration::ZERO } else { late });
        self.until(end).await;
        self.discovery.disturb(false, Duration::ZERO);
    }

    pub(super) async fn disturb_lines(&self, c: &Cast, end: Duration) {
        let size = c.trouble.size.get();
        let set = |on: bool| {
            let part = |of: &std::sync::atomic::AtomicU32| {
                of.store(if on { (size * 1e3) as u32 } else { 0 }, Relaxed)
            };
            let time = |of: &AtomicU64| of.store(if on { (size * 1e3) as u64 } else { 0 }, Relaxed);
            self.each(c, |s| match c.trouble.kind {
                Kind::SpoiltAnswers => part(&s.faults.spoilt),
                Kind::CloseEarly => part(&s.faults.close_early),
                Kind::Pieces => time(&s.faults.pieces_ms),
                _ => time(&s.faults.read_late_ms),
            });
        };
        set(true);
        self.until(end).await;
        set(false);
    }

    pub(super) async fn send_bad_clients(&self, c: &Cast, end: Duration) {
        let mut rng = self.rng(c);
        let every = Duration::from_secs_f64(1.0 / c.trouble.size.get().max(0.1));
        let mut all = JoinSet::new();
        while self.log.now() < end {
            let front = c.fronts[rng.random_range(0..c.fronts.len())];
            all.spawn(bad_clients::send(self.fronts.clone(), self.log.clone(), front, rng.random()));
            sleep(every).await;
        }
        while all.join_next().await.is_some() {}
    }
}
