//! A session manager as a process: its configuration, its sockets, its signals.

use crate::channel::{self, From};
use crate::desk::{Bounds, Desk, Post, Stop};
use crate::gossip::GossipSocket;
use crate::listen;
use crate::mail::{Mail, MOST_MAILS};
use crate::viewer::Bell;
use cloverhollow::SessionPolicy;
use cloverhollow_net::{unix_ms, Clock};
use cloverhollow_platform::config::{self, Config, ConfigError};
use cloverhollow_platform::link_monitor::LinkMonitor;
use cloverhollow_recovery::Recovered;
use cloverhollow_session::{Core, Input};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::time::timeout;

/// Why a session manager did not start.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
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
    /// The process's exit code: 2 for the configuration, 1 for the rest.
    pub fn exit_code(&self) -> u8 {
        match self {
            NodeError::Unreadable { .. } | NodeError::Config { .. } => 2,
            _ => 1,
        }
    }
}

fn load(file: &Path) -> Result<Config, NodeError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|source| NodeError::Unreadable { file: name.clone(), source })?;
    config::read(&text).map_err(|source| NodeError::Config { file: name, source })
}

/// Longest that the process waits at its end for what is queued for viewers to be written.
const LAST: Duration = Duration::from_secs(1);

/// Runs a session manager until SIGTERM or SIGINT, and what it then still owes is done.
///
/// # Errors
/// It did not start.
pub async fn run(file: PathBuf) -> Result<(), NodeError> {
    // First of all: a signal that comes while it starts is taken as any other.
    let sig = |kind| signal(kind).map_err(NodeError::Signal);
    let (term, int) = (sig(SignalKind::terminate())?, sig(SignalKind::interrupt())?);
    let hup = sig(SignalKind::hangup())?;
    let config = load(&file)?;
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|source| NodeError::Listen { address: config.listen, source })?;
    let address = listener.local_addr().unwrap_or(config.listen);
    // For whoever started it with port 0, as tests do.
    println!("{{\"address\":\"{address}\"}}");
    let (mail, mails) = mpsc::channel(MOST_MAILS);
    // Each connection of viewers has one place at the most, until the desk takes it.
    let (bell, rung) = mpsc::channel(config.limits.sockets + 2 * MOST_MAILS);
    let (from, heard) = watch::channel(From { address: config.channel, cursor: 0, useless: 0 });
    let Config { site, seed, limits, initial_updates, name, peer_listen, peers, .. } = config;
    for (class, effect) in &site.unknown_effects {
        tracing::warn!(class, effect, "an effect that is not known: nothing that may have run is repeated");
    }
    let clock = Clock::start();
    // By the wall clock all session managers reckon their turns alike.
    let ahead = Duration::from_millis(unix_ms()).saturating_sub(clock.now());
    let stop = Stop::new(site.deadlines.iter().copied().max().unwrap_or_default());
    let settings = site.settings.clone();
    let core = Core::new(SessionPolicy::new(settings.clone(), seed), site.core_config(), seed);
    // A server where sessions stand sends a link note on one of them each `report_interval`.
    let watch = LinkMonitor::new(settings.report_interval, site.idle_close, limits.sockets / 8);
    let bounds =
        Bounds { conns: limits.sockets / 2, open: limits.sockets / 4, open_on_one: limits.sockets / 8, stop };
    let mut desk =
        Desk::new(core, clock, Arc::new(site), watch, bounds, from, Post { mail: mail.clone(), rung });
    if let Some(listen) = peer_listen {
        desk.gossip = GossipSocket::open(listen, &peers, seed, mail.clone()).await;
    }
    desk.first(Input::ClockOffset(ahead));
    // Nothing is kept, so an earlier life may have set up somewhere a moment ago: its turns at cold servers count as used.
    desk.first(Input::Recovered(Box::new(Recovered { known: Duration::MAX, ..Recovered::unkept() })));
    for told in initial_updates {
        desk.told(0, told);
    }
    tracing::info!(name, sockets = limits.sockets, "session manager starts");
    tokio::spawn(channel::run(heard, mail.clone(), seed));
    // Those that the desk has let go of still write what is queued.
    let most = bounds.conns + limits.sockets / 16;
    let places = Arc::new(Semaphore::new(most));
    tokio::spawn(listen::accept(listener, places.clone(), mail.clone(), Bell::new(bell)));
    tokio::spawn(signals(term, int, hup, file, mail));
    desk.run(mails).await;
    // The last answers are queued by now: their connections' tasks write them. One place is the next connection's.
    let _ = timeout(LAST, places.acquire_many(most as u32 - 1)).await;
    tracing::info!(name, "session manager ends");
    Ok(())
}

async fn signals(
    mut term: Signal,
    mut int: Signal,
    mut hup: Signal,
    file: PathBuf,
    mail: mpsc::Sender<Mail>,
) {
    loop {
        let word = tokio::select! {
            Some(()) = term.recv() => Mail::Terminate,
            Some(()) = int.recv() => Mail::Terminate,
            Some(()) = hup.recv() => match load(&file) {
                Ok(config) => Mail::Config(Box::new(config)),
                Err(error) => {
                    tracing::warn!(%error, "the configuration can't be used; the one before stays");
                    continue;
                }
            },
            else => return,
        };
        if mail.send(word).await.is_err() {
            return;
        }
    }
}
