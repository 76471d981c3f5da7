//! The session manager: a tokio shell round [`cloverhollow_session::Core`].
//!
//! The way of a request: `accept` (here) → `viewer` parses it and reads its hints → a mail to the `desk`,
//! the one task that owns the core and with it the decision module → its commands: `attempt` sends a set-up,
//! `desk` answers the viewer → `object` relays the server's answer. Later objects of a session that plays go
//! from `viewer` straight to `object` by the core's routes, without passing the desk.
//!
//! Nothing here decides; what is bounded and by which setting is said where it is bounded.

mod accept;
mod attempt;
mod clock;
mod desk;
mod discovery;
mod journal;
mod lives;
mod members;
mod object;
mod out;
mod peers;
mod pool;
mod release;
mod save;
mod side;
mod upstream;
mod viewer;

use cloverhollow_net::unix_ms;
pub use cloverhollow_net::Clock;
pub use lives::log_file_path;
pub use out::LeaveOutcome;

use cloverhollow_recovery::Trust;
use cloverhollow_session::{Core, Input, Policy, Routes, SnapshotCell, Stats, StepObserver};
use cloverhollow_settings::FrontSettings;
use desk::Desk;
use pool::Pools;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Most mails that wait for the desk. A sender past it waits: back-pressure on the viewers' connections.
const MOST_MAILS: usize = 65_536;

/// What all tasks of one front share.
pub(crate) struct Shared {
    pub(crate) settings: Arc<FrontSettings>,
    pub(crate) clock: Clock,
    pub(crate) routes: Arc<Routes>,
    pub(crate) stats: Arc<Stats>,
    pub(crate) shelf: Arc<SnapshotCell>,
    pub(crate) pools: Pools,
    pub(crate) journal: journal::Journal,
    pub(crate) desk: mpsc::Sender<desk::Mail>,
    pub(crate) via: String,
    next_viewer: AtomicU64,
}

impl Shared {
    /// A number for a waiting request, never used twice.
    pub(crate) fn viewer(&self) -> cloverhollow_session::ViewerId {
        cloverhollow_session::ViewerId(self.next_viewer.fetch_add(1, Relaxed))
    }
}

/// Why a front did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("{field} {address}: {source}")]
    Listen {
        /// The setting.
        field: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A key of the members' datagrams can't be used.
    #[error("members.keys {file}: {reason}")]
    InvalidKey {
        /// The file.
        file: String,
        /// Why.
        reason: String,
    },
    /// Another process of this front runs: two lives at once would each spend the whole of every budget.
    #[error("keep.file: {0}")]
    AlreadyRunning(#[from] cloverhollow_store::LogFileError),
}

/// A front that runs.
pub struct Front {
    /// Where viewers call.
    pub address: SocketAddr,
    /// Where operators ask, if anywhere.
    pub side_address: Option<SocketAddr>,
    /// Where the other fronts' datagrams come in, if anywhere.
    pub members_address: Option<SocketAddr>,
    stop: CancellationToken,
    tasks: TaskTracker,
    journal: journal::Journal,
    fleet: Option<Arc<members::Fleet>>,
    name: String,
}

impl Front {
    /// Starts a front whose decisions are `policy`'s; `tap` is told each of its steps.
    ///
    /// # Errors
    /// An address cannot be listened on. Nothing runs then.
    pub async fn start<P: Policy + 'static>(
        settings: Arc<FrontSettings>,
        policy: P,
        tap: Option<StepObserver>,
    ) -> Result<Front, StartError> {
        // First of all: a second process of this front must not so much as open the first one's store.
        let found = lives::open(&settings).await?;
        let loaded = save::load(&settings).await;
        let lives = lives::read(&settings, found, loaded.was_there);
        let listener = bind("listen.address", settings.listen.address).await?;
        let side = match settings.admin.address {
            Some(address) => Some(bind("side.address", address).await?),
            None => None,
        };
        let address = local(&listener, settings.listen.address);
        let side_address = side.as_ref().map(|s| local(s, address));

        let mut core = Core::new(policy, settings.clone(), fastrand::u64(1..));
        if let Some(tap) = tap {
            core.set_step_observer(tap);
        }
        let clock = Clock::start();
        let fleet = members::Fleet::open(&settings, clock, side_address).await?;
        let (mail, mails) = mpsc::channel(MOST_MAILS);
        let shared = Arc::new(Shared {
            clock,
            routes: core.routes(),
            stats: core.stats(),
            shelf: core.knowledge_snapshot(),
            pools: Pools::new(&settings.servers),
            journal: lives.journal,
            desk: mail,
            via: format!("1.1 {}", settings.instance.name.as_str()),
            next_viewer: AtomicU64::new(1),
            settings: settings.clone(),
        });
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let state = Arc::new(side::State::new(&settings.peers, fleet.as_ref().map(|f| f.0.clone())));
        let (outcome, outcomes) = mpsc::channel(peers::MOST_OUTCOMES);

        // What was kept goes in before the first request can: the desk reads its mails in order.
        let now = clock.now();
        let proven = lives.recovered.trust;
        state.set_before(proven.describe(), lives.wait.crashes, now + lives.wait.delay);
        if !lives.wait.delay.is_zero() {
            let (deaths, hold_ms) = (lives.wait.crashes, lives.wait.delay.as_millis() as u64);
            tracing::warn!(deaths, hold_ms, "died again and again: takes no viewers for a while");
        }
        let ahead = Duration::from_millis(unix_ms()).saturating_sub(clock.now());
        let _ = shared.desk.send(desk::Mail::of(Input::ClockOffset(ahead))).await;
        if proven != Trust::FirstStart {
            let _ = shared.desk.send(desk::Mail::of(Input::Recovered(Box::new(lives.recovered)))).await;
        }
        if let Some(news) = loaded.list {
            let _ = shared.desk.send(desk::Mail::list(news)).await;
        }
        if let Some(message) = loaded.knowledge {
            let _ = shared.desk.send(desk::Mail::of(Input::PersistedKnowledge(message))).await;
        }
        let saver = save::spawn(&tasks, &settings, loaded.keep, shared.shelf.clone(), clock, &stop);
        let desk = Desk::new(core, shared.clone(), mails, saver, outcome, state.clone());
        tasks.spawn(until(stop.clone(), desk.run()));
        tasks.spawn(until(stop.clone(), discovery::run(shared.clone())));
        let asks = !settings.peers.addresses.is_empty();
        if asks {
            state.set_level(
                cloverhollow_knowledge::KnowledgeLevel::Warming,
                cloverhollow_knowledge::LevelReason::RequestsPending,
            );
        }
        tasks.spawn(until(stop.clone(), peers::run(shared.clone(), state.clone(), side_address, outcomes)));
        let members_address = fleet.as_ref().and_then(|(_, socket)| socket.local_addr().ok());
        let of_fleet = fleet.as_ref().map(|f| f.0.clone());
        if let Some((fleet, socket)) = fleet {
            // It ends by itself too: a write that is under way is waited for.
            tasks.spawn(out::keep(fleet.clone(), stop.clone()));
            // Stops by itself: it leaves with a word.
            tasks.spawn(members::run(fleet, socket, settings.members.sync_interval_ms.get(), stop.clone()));
        }
        if let Some(side) = side {
            tasks.spawn(until(stop.clone(), side::run(side, shared.clone(), state.clone())));
        }
        // Connections wait in the listener's queue meanwhile. Guards against the first moment of a front that
        // comes back: its last list may name servers that have drained since.
        let hold = settings.peers.max_hold_ms.get();
        let journal = shared.journal.clone();
        tasks.spawn(until(stop.clone(), async move {
            // Drains that the last life heard may be lost: then the list is waited for.
            let _ = tokio::time::timeout(hold, state.settled(proven.may_miss_records())).await;
            tokio::join!(
                accept::accept(listener, shared.clone(), state.clone()),
                out::comes_back(shared, state)
            );
        }));
        let name = settings.instance.name.as_str().to_string();
        tracing::info!(%address, name, "front started");
        Ok(Front { address, side_address, members_address, stop, tasks, journal, fleet: of_fleet, name })
    }

    /// Stops at once: connections are closed, sessions forgotten, the last list is kept.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        // Last of all: what no deed follows has ended in order.
        self.journal.close().await;
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { field, address, source })
}

fn local(listener: &TcpListener, told: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(told)
}

async fn until(stop: CancellationToken, task: impl std::future::Future<Output = ()>) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = task => {}
    }
}
