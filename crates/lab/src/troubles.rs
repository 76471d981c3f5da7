//! Plays a script's troubles: each in a task of its own, begun and ended by the day's clock.

mod kill_when;
mod platform;
mod weaken;

use crate::client::Clients;
use crate::exchange::{Log, Seen};
use crate::fronts::Fronts;
use crate::plan::stream;
use crate::script::{Kind, Script, Trouble};
use crate::standin::{Discovery, Mode, ServerHandle, World};
use crate::wires::{Effect, Fault, Wires};
use cloverhollow_session::{ServerEntry, WireState};
use rand::seq::SliceRandom;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// What troubles befall.
pub struct Stage {
    /// The day.
    pub script: Script,
    /// The model behind the servers.
    pub world: Arc<World>,
    /// The servers, by id.
    pub servers: BTreeMap<u64, ServerHandle>,
    /// Discovery.
    pub discovery: Arc<Discovery>,
    /// The fronts.
    pub fronts: Arc<Fronts>,
    /// The wires, where the day has them.
    pub wires: Option<Arc<Wires>>,
    /// The clients, where the fronts are the platform's.
    pub clients: Option<Arc<Clients>>,
    /// New configurations are written one after the other.
    pub reconfigures: tokio::sync::Mutex<()>,
    /// The day's clock.
    pub log: Arc<Log>,
}

/// Whom one trouble befalls, drawn before the day begins.
struct Cast {
    trouble: Trouble,
    servers: Vec<u64>,
    fronts: Vec<usize>,
    racks: Vec<usize>,
    notice: Duration,
}

/// So many of all as the share says, at least one, drawn.
fn draw<T>(mut all: Vec<T>, share: f64, rng: &mut impl rand::Rng) -> Vec<T> {
    all.shuffle(rng);
    let n = ((all.len() as f64 * share).round() as usize).clamp(1, all.len().max(1));
    all.truncate(n);
    all
}

impl Stage {
    async fn until(&self, at: Duration) {
        sleep(at.saturating_sub(self.log.now())).await;
    }
    /// Runs all troubles to their ends.
    pub async fn play(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        for (i, trouble) in self.script.troubles.iter().enumerate() {
            let mut rng = stream(self.script.seed.get(), &format!("trouble {i}"));
            let share = trouble.share.get();
            let racks = self.world.fleet().racks.len();
            let (lo, hi) = (self.script.notice_ms.0.get(), self.script.notice_ms.1.get());
            let cast = Cast {
                trouble: trouble.clone(),
                servers: draw(self.servers.keys().copied().collect(), share, &mut rng),
                fronts: draw((0..self.fronts.count()).collect(), share, &mut rng),
                racks: draw((0..racks).collect(), share, &mut rng),
                notice: lo + (hi - lo).mul_f64(rng.random::<f64>()),
            };
            tasks.spawn(self.clone().one(cast));
        }
        while tasks.join_next().await.is_some() {}
    }

    fn publish(&self, server: u64, state: WireState) {
        let Some(handle) = self.servers.get(&server) else { return };
        let (entry, started) = {
            let fleet = self.world.fleet();
            let Some(s) = fleet.servers.get(&server) else { return };
            (entry(s, handle, state), s.started)
        };
        self.discovery.publish(entry, started);
    }

    fn down(&self, server: u64) {
        if let Some(s) = self.world.fleet().servers.get_mut(&server) {
            s.lose();
        }
        self.servers[&server].set(Mode::Down);
    }

    /// A new process, unless it has fallen over: then it stays down.
    fn back(&self, server: u64) -> bool {
        let now = self.log.now();
        let standing = match self.world.fleet().servers.get_mut(&server) {
            // Another trouble may have brought it back already.
            Some(s) if !s.fallen && self.servers[&server].mode() == Mode::Down => {
                s.restart(now);
                true
            }
            _ => false,
        };
        if standing {
            self.servers[&server].set(Mode::Up);
        }
        standing
    }

    async fn return_cold(&self, servers: &[u64], notice: Duration) {
        let back: Vec<_> = servers.iter().filter(|s| self.back(**s)).collect();
        sleep(notice).await;
        back.into_iter().for_each(|s| self.publish(*s, WireState::Serving));
    }

    async fn one(self: Arc<Self>, c: Cast) {
        let t = &c.trouble;
        let (at, end, size) = (t.at_ms.get(), t.at_ms.get() + t.for_ms.get(), t.size.get());
        self.until(at).await;
        tracing::info!(kind = ?t.kind, servers = ?c.servers, fronts = ?c.fronts, "trouble begins");
        match t.kind {
            Kind::Crash => {
                c.servers.iter().for_each(|s| self.down(*s));
                sleep(c.notice.min(t.for_ms.get())).await;
                c.servers.iter().for_each(|s| self.publish(*s, WireState::Gone));
                self.until(end).await;
                self.return_cold(&c.servers, c.notice).await;
            }
            Kind::Vanish => {
                c.servers.iter().for_each(|s| self.servers[s].set(Mode::Frozen));
                self.until(end).await;
                c.servers.iter().for_each(|s| self.down(*s));
                // The old process's connections close before the new one listens.
                sleep(Duration::from_millis(50)).await;
                self.return_cold(&c.servers, c.notice).await;
            }
            Kind::Hang => {
                c.servers.iter().for_each(|s| self.servers[s].set(Mode::Frozen));
                self.until(end).await;
                c.servers.iter().filter(|s| self.servers[s].mode() == Mode::Frozen).for_each(|s| {
                    self.servers[s].set(Mode::Up);
                });
            }
            Kind::Drain => {
                c.servers.iter().for_each(|s| self.publish(*s, WireState::Draining));
                self.until(end).await;
                c.servers.iter().for_each(|s| self.publish(*s, WireState::Serving));
            }
            Kind::Release => {
                c.servers.iter().for_each(|s| self.publish(*s, WireState::Draining));
                self.until(at + t.for_ms.get() / 2).await;
                c.servers.iter().for_each(|s| {
                    self.down(*s);
                    self.publish(*s, WireState::Gone);
                });
                self.until(end).await;
                self.return_cold(&c.servers, c.notice).await;
            }
            Kind::ListLeave => self.leave_list(&c, end).await,
            Kind::BalancerTerm => self.restart_in_series(&c, end).await,
            Kind::BalancerHup => self.reconfigure(&c, end).await,
            Kind::DiscoverySilent | Kind::DiscoverySlow => self.disturb_discovery(&c, end).await,
            Kind::SpoiltAnswers | Kind::Pieces | Kind::CloseEarly | Kind::LateConnections => {
                self.disturb_lines(&c, end).await;
            }
            Kind::BadClients => self.send_bad_clients(&c, end).await,
            Kind::Slow | Kind::Neighbour | Kind::Ageing => self.weaken(&c, end).await,
            Kind::OriginSlow => {
                let set = |factor: f64| {
                    let mut fleet = self.world.fleet();
                    c.racks.iter().for_each(|r| fleet.racks[*r].factor = factor);
                };
                set(1.0 / size);
                self.until(end).await;
                set(1.0);
            }
            Kind::ReportLate => {
                let set = |ms: u64| self.each(&c, |s| s.faults.report_late_ms.store(ms, Relaxed));
                set((size * 1e3) as u64);
                self.until(end).await;
                set(0);
            }
            Kind::FastErrors => {
                let set = |part: f64| self.each(&c, |s| s.faults.errors.store((part * 1e3) as u32, Relaxed));
                set(size);
                self.until(end).await;
                set(0.0);
            }
            Kind::ResetSetups => {
                let set = |part: f64| self.each(&c, |s| s.faults.resets.store((part * 1e3) as u32, Relaxed));
                set(size);
                self.until(end).await;
                set(0.0);
            }
            Kind::LateAnswers => {
                let set = |ms: u64| self.each(&c, |s| s.faults.late_ms.store(ms, Relaxed));
                set((size * 1e3) as u64);
                self.until(end).await;
                set(0);
            }
            Kind::DiscoveryDown => {
                self.discovery.set_up(false);
                self.until(end).await;
                self.discovery.set_up(true);
            }
            Kind::ListGap => self.discovery.skip(size as u32),
            Kind::BalancerCrash => {
                let dead: Vec<_> = c.fronts.iter().map(|f| self.fronts.kill(*f)).collect();
                for kill in dead {
                    kill.await;
                }
                self.until(end).await;
                for f in &c.fronts {
                    self.start(*f).await;
                }
            }
            Kind::BalancerCrashWhen => self.clone().kill_when(&c, end).await,
            Kind::BalancerLoop => {
                let mut lives = JoinSet::new();
                for front in c.fronts {
                    let me = self.clone();
                    lives.spawn(async move {
                        while me.log.now() < end {
                            sleep(Duration::from_secs_f64(size)).await;
                            me.fronts.kill(front).await;
                            me.start(front).await;
                        }
                    });
                }
                while lives.join_next().await.is_some() {}
            }
            Kind::BalancerRoll => {
                let step = t.for_ms.get() / self.fronts.count().max(1) as u32;
                for f in 0..self.fronts.count() {
                    self.fronts.kill(f).await;
                    sleep(step / 2).await;
                    self.start(f).await;
                    self.until(at + step * (f as u32 + 1)).await;
                }
            }
            Kind::BalancerStall => {
                c.fronts.iter().for_each(|f| self.fronts.freeze(*f));
                self.until(end).await;
                c.fronts.iter().for_each(|f| self.fronts.thaw(*f));
            }
            Kind::WireCut
            | Kind::WireCutOut
            | Kind::WireCutIn
            | Kind::WireRefuse
            | Kind::WireLoss
            | Kind::WireDelay
            | Kind::WireDouble
            | Kind::WireAgain
            | Kind::WireReset
            | Kind::WireTrickle
            | Kind::WireBound => {
                if let (Some(wires), Some((effect, side))) = (&self.wires, t.kind.wire(size)) {
                    // A cut leaves what passes among those cut off; what is bad of a wire is bad for all of them.
                    let among = !matches!(effect, Effect::Silent);
                    let (fronts, servers) = match &t.hall {
                        Some(hall) => self.hall(hall.as_str()),
                        None => (c.fronts.iter().copied().collect(), BTreeSet::new()),
                    };
                    let to = t.to.iter().copied().collect();
                    let id = wires.faults.begin(Fault { effect, fronts, servers, side, among, to });
                    self.until(end).await;
                    wires.faults.end(id);
                }
            }
            // Drawn with the viewers.
            Kind::TenantBurst => {}
        }
        tracing::info!(kind = ?t.kind, "trouble ends");
    }

    /// Who stands in a hall: its servers, and the fronts, which stand in the halls in turn.
    fn hall(&self, hall: &str) -> (BTreeSet<usize>, BTreeSet<u64>) {
        let halls = &self.script.fleet.halls;
        let own = |front: &usize| halls[front % halls.len()].as_str() == hall;
        let fleet = self.world.fleet();
        let servers = fleet.servers.values().filter(|s| s.facts.hall == hall).map(|s| s.facts.id);
        ((0..self.fronts.count()).filter(own).collect(), servers.collect())
    }

    async fn start(&self, front: usize) {
        if let Err(e) = self.fronts.start(front).await {
            tracing::error!(error = %e, "front did not come back");
        }
        if let Some(clients) = &self.clients {
            clients.hand_over(front, &self.world).await;
        }
    }

    fn each(&self, c: &Cast, set: impl Fn(&ServerHandle)) {
        c.servers.iter().for_each(|s| set(&self.servers[s]));
    }
}

/// A server as discovery lists it.
pub fn entry(s: &crate::model::Server, handle: &ServerHandle, state: WireState) -> ServerEntry {
    ServerEntry {
        id: s.facts.id,
        key: None,
        address: handle.address(),
        zone: s.facts.hall.clone(),
        kind: s.facts.kind.clone(),
        cell: s.facts.cell,
        weight: s.facts.weight,
        state,
        incarnation: s.incarnation,
        started_ms_ago: None,
    }
}
