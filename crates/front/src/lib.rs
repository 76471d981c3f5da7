//! Session manager: the Tokio shell around [`cloverhollow_session::Core`].
//!
//! Path of a request: `accept` takes the connection; `viewer` parses the request and reads its hints; an
//! event goes to the `event_loop`, the one task that owns the core and with it the placement policy;
//! `attempt` carries out the core's command to send a set-up; the `event_loop` answers the viewer; `object`
//! relays the server's response. Later objects of an established session go from `viewer` directly to
//! `object` by the core's routes, without passing the event loop.
//!
//! This crate makes no placement decisions. Each bound is documented, with its setting, where it applies.

mod accept;
mod attempt;
mod clock;
mod connection_pool;
mod discovery;
mod event_loop;
mod log_recovery;
mod members;
mod object;
mod out_of_service;
mod peers;
mod persistence;
mod release;
mod side_endpoint;
mod start_error;
mod upstream;
mod viewer;
mod write_ahead_log;

use cloverhollow_net::unix_ms;
pub use cloverhollow_net::Clock;
pub use log_recovery::log_file_path;
pub use out_of_service::LeaveOutcome;
pub use start_error::StartError;

use cloverhollow_recovery::Trust;
use cloverhollow_session::{Core, Input, Policy, Routes, SnapshotCell, Stats, StepObserver};
use cloverhollow_settings::FrontSettings;
use connection_pool::ConnectionPools;
use event_loop::{EventLoop, LoopEvent};
use side_endpoint::FrontStatus;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use write_ahead_log::WriteAheadLog;

/// Capacity of the event loop's queue. A sender that finds it full waits, which puts back-pressure on the
/// viewers' connections.
const MAX_QUEUED_EVENTS: usize = 65_536;

/// State shared by all tasks of one front.
pub(crate) struct Shared {
    pub(crate) settings: Arc<FrontSettings>,
    pub(crate) clock: Clock,
    pub(crate) routes: Arc<Routes>,
    pub(crate) stats: Arc<Stats>,
    pub(crate) knowledge: Arc<SnapshotCell>,
    pub(crate) pools: ConnectionPools,
    pub(crate) log: WriteAheadLog,
    pub(crate) event_tx: mpsc::Sender<LoopEvent>,
    /// Value of the `via` header in all messages that this front forwards.
    pub(crate) via: String,
    next_viewer: AtomicU64,
}

impl Shared {
    /// Returns a new identifier for a waiting request; none is used twice.
    pub(crate) fn next_viewer_id(&self) -> cloverhollow_session::ViewerId {
        cloverhollow_session::ViewerId(self.next_viewer.fetch_add(1, Relaxed))
    }
}

/// A running front.
pub struct Front {
    /// Address that accepts viewers' connections.
    pub address: SocketAddr,
    /// Address of the side endpoint, if it is enabled.
    pub side_address: Option<SocketAddr>,
    /// Address that receives the members' datagrams, if membership is enabled.
    pub members_address: Option<SocketAddr>,
    stop: CancellationToken,
    tasks: TaskTracker,
    log: WriteAheadLog,
    fleet_member: Option<Arc<members::FleetMember>>,
    name: String,
}

impl Front {
    /// Starts a front whose placement decisions are made by `policy`. `step_observer` is called for each step
    /// of the core.
    ///
    /// # Errors
    /// An address cannot be listened on, a member key cannot be used, or another process of this front is
    /// running. No task runs then.
    pub async fn start<P: Policy + 'static>(
        settings: Arc<FrontSettings>,
        policy: P,
        step_observer: Option<StepObserver>,
    ) -> Result<Front, StartError> {
        // Must come first: a second process of this front must not even open the store of the first one.
        let log_file = log_recovery::open(&settings).await?;
        let loaded = persistence::load(&settings).await;
        let recovery = log_recovery::replay(&settings, log_file, loaded.existed);
        let listener = bind("listen.address", settings.listen.address).await?;
        let side_listener = match settings.admin.address {
            Some(address) => Some(bind("side.address", address).await?),
            None => None,
        };
        let address = local_address(&listener, settings.listen.address);
        let side_address = side_listener.as_ref().map(|listener| local_address(listener, address));

        let mut core = Core::new(policy, settings.clone(), fastrand::u64(1..));
        if let Some(observer) = step_observer {
            core.set_step_observer(observer);
        }
        let clock = Clock::start();
        let membership = members::FleetMember::open(&settings, clock, side_address).await?;
        let (event_tx, event_rx) = mpsc::channel(MAX_QUEUED_EVENTS);
        let shared = Arc::new(Shared {
            clock,
            routes: core.routes(),
            stats: core.stats(),
            knowledge: core.knowledge_snapshot(),
            pools: ConnectionPools::new(&settings.servers),
            log: recovery.log,
            event_tx,
            via: format!("1.1 {}", settings.instance.name.as_str()),
            next_viewer: AtomicU64::new(1),
            settings: settings.clone(),
        });
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let status = Arc::new(FrontStatus::new(&settings.peers, membership.as_ref().map(|f| f.0.clone())));
        let (merge_tx, merge_outcomes) = mpsc::channel(peers::MAX_MERGE_OUTCOMES);

        // Persisted state is queued before any request can be: the event loop handles its events in order.
        let now = clock.now();
        let (trust, restart_delay) = (recovery.recovered.trust, recovery.restart_delay);
        status.set_previous_incarnations(trust.describe(), restart_delay.crashes, now + restart_delay.delay);
        if !restart_delay.delay.is_zero() {
            let (deaths, hold_ms) = (restart_delay.crashes, restart_delay.delay.as_millis() as u64);
            tracing::warn!(deaths, hold_ms, "repeated crashes: no viewers are accepted for a while");
        }
        let wall_clock_offset = Duration::from_millis(unix_ms()).saturating_sub(clock.now());
        let _ = shared.event_tx.send(LoopEvent::from_input(Input::ClockOffset(wall_clock_offset))).await;
        if trust != Trust::FirstStart {
            let _ = shared
                .event_tx
                .send(LoopEvent::from_input(Input::Recovered(Box::new(recovery.recovered))))
                .await;
        }
        if let Some(update) = loaded.list {
            let _ = shared.event_tx.send(LoopEvent::list_update(update)).await;
        }
        if let Some(message) = loaded.knowledge {
            let _ = shared.event_tx.send(LoopEvent::from_input(Input::PersistedKnowledge(message))).await;
        }
        let list_tx = persistence::spawn_writer(
            &tasks,
            &settings,
            loaded.store,
            shared.knowledge.clone(),
            clock,
            &stop,
        );
        let event_loop = EventLoop::new(core, shared.clone(), event_rx, list_tx, merge_tx, status.clone());
        tasks.spawn(run_until(stop.clone(), event_loop.run()));
        tasks.spawn(run_until(stop.clone(), discovery::run(shared.clone())));
        let has_peers = !settings.peers.addresses.is_empty();
        if has_peers {
            status.set_level(
                cloverhollow_knowledge::KnowledgeLevel::Warming,
                cloverhollow_knowledge::LevelReason::RequestsPending,
            );
        }
        tasks.spawn(run_until(
            stop.clone(),
            peers::run(shared.clone(), status.clone(), side_address, merge_outcomes),
        ));
        let members_address = membership.as_ref().and_then(|(_, socket)| socket.local_addr().ok());
        let fleet_member = membership.as_ref().map(|f| f.0.clone());
        if let Some((fleet, socket)) = membership {
            // Stops by itself: a write in progress is completed.
            tasks.spawn(out_of_service::persist(fleet.clone(), stop.clone()));
            // Stops by itself: it announces that the member leaves.
            tasks.spawn(members::run(fleet, socket, settings.members.sync_interval_ms.get(), stop.clone()));
        }
        if let Some(side_listener) = side_listener {
            tasks.spawn(run_until(
                stop.clone(),
                side_endpoint::run(side_listener, shared.clone(), status.clone()),
            ));
        }
        // Until the warm start has ended, connections wait in the listener's queue. Guards against set-ups at
        // servers that the persisted list still names but that have drained since.
        let max_wait = settings.peers.max_hold_ms.get();
        let log = shared.log.clone();
        tasks.spawn(run_until(stop.clone(), async move {
            // Drain notices received by the previous incarnation may be lost; then the full list is awaited.
            let _ =
                tokio::time::timeout(max_wait, status.wait_for_warm_start(trust.may_miss_records())).await;
            tokio::join!(
                accept::accept(listener, shared.clone(), status.clone()),
                out_of_service::enter_service_when_ready(shared, status)
            );
        }));
        let name = settings.instance.name.as_str().to_string();
        tracing::info!(%address, name, "front started");
        Ok(Front { address, side_address, members_address, stop, tasks, log, fleet_member, name })
    }

    /// Stops at once: closes the connections, drops the sessions, persists the last server list.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        // Must come last: a log that ends with this record shows that everything ended in order.
        self.log.close().await;
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { field, address, source })
}

fn local_address(listener: &TcpListener, fallback: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(fallback)
}

async fn run_until(stop: CancellationToken, task: impl std::future::Future<Output = ()>) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = task => {}
    }
}
