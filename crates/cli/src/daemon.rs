//! A front as a process: starts, says where it listens, runs until it is told to stop.

use cloverhollow::SessionPolicy;
use cloverhollow_front::{Front, LeaveOutcome, StartError};
use cloverhollow_record::Recorder;
use cloverhollow_session::{Policy, StepObserver};
use cloverhollow_settings::{FrontSettings, SettingsError};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a front is started with.
#[derive(Clone, Debug)]
pub struct Serve {
    /// The file of settings.
    pub config: PathBuf,
    /// Where each step is recorded, if anywhere.
    pub record: Option<PathBuf>,
}

/// Why a front did not start, or not go on.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum ServeError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("--record {dir}: {source}")]
    Record { dir: String, source: std::io::Error },
    #[error("signals: {0}")]
    Signal(std::io::Error),
}

impl ServeError {
    /// The process's exit code: 2 for settings, 1 for the rest.
    pub fn code(&self) -> u8 {
        match self {
            ServeError::Settings(_) | ServeError::Start(StartError::InvalidKey { .. }) => 2,
            _ => 1,
        }
    }
}

fn recorder(
    dir: &Path,
    settings: &FrontSettings,
    text: String,
    seed: u64,
) -> Result<StepObserver, ServeError> {
    let name = settings.instance.name.as_str();
    let begun = Recorder::begin(dir, name, text, seed);
    let mut recorder =
        begun.map_err(|source| ServeError::Record { dir: dir.display().to_string(), source })?;
    tracing::info!(file = %recorder.path.display(), "recording");
    let mut on = true;
    Ok(Box::new(move |now, events, actions| {
        if on && !recorder.step(now, events, actions) {
            on = false;
            tracing::warn!("record ended: its writer is behind or its disk full");
        }
    }))
}

/// Runs a front until SIGINT or SIGTERM. `policy` makes whoever decides from
/// settings and seed.
///
/// Once it listens it writes one JSON line to standard output: `address`, and `side` and `members` where it has them.
///
/// # Errors
/// It did not start.
pub async fn serve<P: Policy + 'static>(
    serve: &Serve,
    policy: impl FnOnce(&FrontSettings, u64) -> P,
) -> Result<(), ServeError> {
    let settings = Arc::new(FrontSettings::load(&serve.config)?);
    let seed = match settings.instance.seed.get() {
        0 => fastrand::u64(1..1 << 53),
        seed => seed,
    };
    let tap = match &serve.record {
        None => None,
        Some(dir) => {
            let file = serve.config.display().to_string();
            let text = std::fs::read_to_string(&serve.config)
                .map_err(|source| SettingsError::Unreadable { file, source })?;
            Some(recorder(dir, &settings, text, seed)?)
        }
    };
    let mut term = signal(SignalKind::terminate()).map_err(ServeError::Signal)?;
    let mut int = signal(SignalKind::interrupt()).map_err(ServeError::Signal)?;
    let front = Front::start(settings.clone(), policy(&settings, seed), tap).await?;
    let side = front.side_address.map(|a| a.to_string());
    let members = front.members_address.map(|a| a.to_string());
    let ready = serde_json::json!({ "address": front.address.to_string(), "side": side, "members": members });
    println!("{ready}");
    until_it_may_stop(&front, &settings, &mut term, &mut int).await;
    tracing::info!("stopping");
    front.stop().await;
    Ok(())
}

/// Serves on until it may stop: told by a signal it waits for its permit, `out.wait_ms` at most, and asked at the side
/// address it goes with a permit or not at all. A second signal is obeyed at once.
async fn until_it_may_stop(front: &Front, settings: &FrontSettings, term: &mut Signal, int: &mut Signal) {
    let (name, wait) = (settings.instance.name.as_str(), settings.out.wait_ms.get());
    let mut told = false;
    loop {
        if !told {
            tokio::select! {
                _ = term.recv() => told = true,
                _ = int.recv() => told = true,
                () = front.wait_for_leave_request() => {}
            }
        }
        let left = tokio::select! {
            left = front.wait_for_leave_permit(wait) => Some(left),
            _ = term.recv() => None,
            _ = int.recv() => None,
        };
        match left {
            Some(LeaveOutcome::NotRequired | LeaveOutcome::Granted) => return,
            Some(LeaveOutcome::TimedOut) if told => {
                let (reason, waited_ms) = (front.permit_denial_reason(), wait.as_millis() as u64);
                tracing::warn!(member = name, reason, waited_ms, "goes out without a permit");
                return;
            }
            Some(LeaveOutcome::TimedOut) => {
                let reason = front.permit_denial_reason();
                tracing::warn!(member = name, reason, "was asked to go out and stays: no permit in time");
                front.cancel_leave();
            }
            None if told => {
                tracing::warn!(member = name, reason = "told a second time", "goes out without a permit");
                return;
            }
            // It was asked to go when it may, and is now told to stop.
            None => told = true,
        }
    }
}

impl Serve {
    /// Runs a front that the decision module decides for.
    ///
    /// # Errors
    /// As [`serve`].
    pub async fn with_brain(&self) -> Result<(), ServeError> {
        serve(self, |settings, seed| SessionPolicy::new(settings.decisions(), seed)).await
    }
}
