//! The session manager's process: configuration, sockets and signals.

use crate::channel::{self, ChannelPosition};
use crate::event_loop::{EventLoop, Limits, Queues, ShutdownSchedule};
use crate::gossip::GossipSocket;
use crate::listen;
use crate::messages::{LoopEvent, MAX_QUEUED_EVENTS};
use crate::viewer_conn::{ReadyNotifier, ViewerMemory};
use cloverhollow::SessionPolicy;
use cloverhollow_net::{unix_ms, Clock};
use cloverhollow_platform::config::{self, Config, ConfigError};
use cloverhollow_platform::link_monitor::LinkMonitor;
use cloverhollow_recovery::RecoveredState;
use cloverhollow_session::{Core, Input};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::time::timeout;

/// Error that prevented a session manager from starting.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the error messages describe the variants
pub enum NodeError {
    #[error("NODE_CONFIG {file}: {source}")]
    Unreadable { file: String, source: std::io::Error },
    #[error("{file}: {source}")]
    Config { file: String, source: ConfigError },
    #[error("listen {address}: {source}")]
    Listen { address: std::net::SocketAddr, source: std::io::Error },
    #[error("signals: {0}")]
    Signal(std::io::Error),
}

impl NodeError {
    /// Exit code of the process: 2 for an invalid configuration, 1 for all other errors.
    pub fn exit_code(&self) -> u8 {
        match self {
            NodeError::Unreadable { .. } | NodeError::Config { .. } => 2,
            _ => 1,
        }
    }
}

fn load_config(file: &Path) -> Result<Config, NodeError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|source| NodeError::Unreadable { file: name.clone(), source })?;
    config::read(&text).map_err(|source| NodeError::Config { file: name, source })
}

/// Maximum time to wait at the end for the queued responses to be written to viewers.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a session manager until SIGTERM or SIGINT, and then on until every pending set-up is answered and a
/// viewer's longest deadline has passed. `file` is the path of the configuration file, which is read again on
/// SIGHUP.
///
/// # Errors
/// The configuration is invalid, or the socket or the signal handlers could not be set up.
pub async fn run(file: PathBuf) -> Result<(), NodeError> {
    // Signal handlers come first, so that a signal during the start is handled like any other.
    let listen_for = |kind| signal(kind).map_err(NodeError::Signal);
    let (term, int) = (listen_for(SignalKind::terminate())?, listen_for(SignalKind::interrupt())?);
    let hup = listen_for(SignalKind::hangup())?;
    let config = load_config(&file)?;
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|source| NodeError::Listen { address: config.listen, source })?;
    let address = listener.local_addr().unwrap_or(config.listen);
    // Tells the parent process the port if the configured one is 0, as in tests.
    println!("{{\"address\":\"{address}\"}}");
    let (event_tx, event_rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    // Each viewer's connection is in this queue at most once, until the event loop handles it.
    let (ready_tx, ready_rx) = mpsc::channel(config.limits.sockets + 2 * MAX_QUEUED_EVENTS);
    let (position_tx, position_rx) =
        watch::channel(ChannelPosition { address: config.channel, cursor: 0, rejected_stream: 0 });
    let Config { site, seed, limits, initial_updates, name, peer_listen, peers, .. } = config;
    for (class, effect) in &site.unknown_effects {
        tracing::warn!(
            class,
            effect,
            "unknown effect; a set-up of this class that may have been executed is not retried"
        );
    }
    let clock = Clock::start();
    // All session managers derive the time slots of cold servers from the wall clock.
    let wall_clock_offset = Duration::from_millis(unix_ms()).saturating_sub(clock.now());
    let shutdown = ShutdownSchedule::new(site.deadlines.iter().copied().max().unwrap_or_default());
    let settings = site.settings.clone();
    let core = Core::new(SessionPolicy::new(settings.clone(), seed), site.core_config(), seed);
    // A server with established sessions sends a link report on one of them every `report_interval`.
    let link_monitor = LinkMonitor::new(site.link_monitor_config(limits.sockets / 8));
    let loop_limits = Limits {
        max_conns: limits.sockets / 2,
        max_open_setups: limits.sockets / 4,
        max_open_setups_per_conn: limits.sockets / 8,
        shutdown,
    };
    let mut event_loop = EventLoop::new(
        core,
        clock,
        Arc::new(site),
        link_monitor,
        loop_limits,
        position_tx,
        Queues { event_tx: event_tx.clone(), ready_rx },
    );
    if let Some(listen) = peer_listen {
        event_loop.gossip = GossipSocket::open(listen, &peers, seed, event_tx.clone()).await;
    }
    event_loop.push_initial_input(Input::ClockOffset(wall_clock_offset));
    // Nothing is persisted, so a previous incarnation may have just sent set-ups: its time slots at cold
    // servers count as used.
    event_loop.push_initial_input(Input::Recovered(Box::new(RecoveredState {
        retries_complete_for: Duration::MAX,
        ..RecoveredState::not_persisted()
    })));
    for update in initial_updates {
        event_loop.apply_channel_update(0, update);
    }
    tracing::info!(name, sockets = limits.sockets, "session manager starts");
    tokio::spawn(channel::run(position_rx, event_tx.clone(), seed));
    // Some permits beyond the event loop's limit are for connections that it has dropped and that still
    // write.
    let max_conns = loop_limits.max_conns + limits.sockets / 16;
    let permits = Arc::new(Semaphore::new(max_conns));
    let notifier = ReadyNotifier::new(ready_tx, ViewerMemory::new(limits.memory_mb));
    tokio::spawn(listen::accept(listener, permits.clone(), event_tx.clone(), notifier));
    tokio::spawn(forward_signals(term, int, hup, file, event_tx));
    event_loop.run(event_rx).await;
    // Waits for the connections' tasks to write the last responses. One permit is held by `accept`.
    let _ = timeout(FINAL_WRITE_TIMEOUT, permits.acquire_many(max_conns as u32 - 1)).await;
    tracing::info!(name, "session manager ends");
    Ok(())
}

async fn forward_signals(
    mut term: Signal,
    mut int: Signal,
    mut hup: Signal,
    file: PathBuf,
    event_tx: mpsc::Sender<LoopEvent>,
) {
    loop {
        let event = tokio::select! {
            Some(()) = term.recv() => LoopEvent::Terminate,
            Some(()) = int.recv() => LoopEvent::Terminate,
            Some(()) = hup.recv() => match load_config(&file) {
                Ok(config) => LoopEvent::ConfigReloaded(Box::new(config)),
                Err(error) => {
                    tracing::warn!(%error, "cannot reload the configuration; keeping the previous one");
                    continue;
                }
            },
            else => return,
        };
        if event_tx.send(event).await.is_err() {
            return;
        }
    }
}
