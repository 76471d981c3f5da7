//! A front as a process: starts it, reports its addresses and runs it until a signal or an operator stops it.

use cloverhollow::SessionPolicy;
use cloverhollow_front::{Front, LeaveOutcome, StartError};
use cloverhollow_record::Recorder;
use cloverhollow_session::{Policy, StepObserver};
use cloverhollow_settings::{FrontSettings, SettingsError};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Command-line options of a front process.
#[derive(Clone, Debug)]
pub struct Serve {
    /// Path of the settings file (YAML).
    pub config: PathBuf,
    /// Directory in which each step of the session core is recorded; `None` records nothing.
    pub record: Option<PathBuf>,
}

/// Reason for which a front did not start or ended early.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the error messages describe the variants
pub enum ServeError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("--record {dir}: {source}")]
    Record { dir: String, source: std::io::Error },
    #[error("cannot install signal handlers: {0}")]
    Signal(std::io::Error),
}

impl ServeError {
    /// Exit code of the process: 2 for invalid settings or keys, 1 for all other errors.
    pub fn code(&self) -> u8 {
        match self {
            ServeError::Settings(_) | ServeError::Start(StartError::InvalidKey { .. }) => 2,
            _ => 1,
        }
    }
}

fn start_recording(
    dir: &Path,
    settings: &FrontSettings,
    settings_text: String,
    seed: u64,
) -> Result<StepObserver, ServeError> {
    let name = settings.instance.name.as_str();
    let created = Recorder::create(dir, name, settings_text, seed);
    let mut recorder =
        created.map_err(|source| ServeError::Record { dir: dir.display().to_string(), source })?;
    tracing::info!(file = %recorder.path.display(), "recording");
    let mut active = true;
    Ok(Box::new(move |now, events, actions| {
        if active && !recorder.record_step(now, events, actions) {
            active = false;
            tracing::warn!("recording stopped: the writer lags behind or the disk is full");
        }
    }))
}

/// Runs a front until SIGINT, SIGTERM or a granted request to leave at the side address. `policy` builds the decision
/// module from settings and seed.
///
/// Once the front listens, one JSON line goes to standard output with its `address` and, where configured, `side` and
/// `members`.
///
/// # Errors
/// The front did not start.
pub async fn serve<P: Policy + 'static>(
    serve: &Serve,
    policy: impl FnOnce(&FrontSettings, u64) -> P,
) -> Result<(), ServeError> {
    let settings = Arc::new(FrontSettings::load(&serve.config)?);
    let seed = match settings.instance.seed.get() {
        0 => fastrand::u64(1..1 << 53),
        seed => seed,
    };
    let observer = match &serve.record {
        None => None,
        Some(dir) => {
            let file = serve.config.display().to_string();
            let text = std::fs::read_to_string(&serve.config)
                .map_err(|source| SettingsError::Unreadable { file, source })?;
            Some(start_recording(dir, &settings, text, seed)?)
        }
    };
    let mut sigterm = signal(SignalKind::terminate()).map_err(ServeError::Signal)?;
    let mut sigint = signal(SignalKind::interrupt()).map_err(ServeError::Signal)?;
    let front = Front::start(settings.clone(), policy(&settings, seed), observer).await?;
    let side = front.side_address.map(|a| a.to_string());
    let members = front.members_address.map(|a| a.to_string());
    let ready = serde_json::json!({ "address": front.address.to_string(), "side": side, "members": members });
    println!("{ready}");
    wait_for_shutdown(&front, &settings, &mut sigterm, &mut sigint).await;
    tracing::info!("stopping");
    front.stop().await;
    Ok(())
}

/// Keeps the front serving until it may stop.
///
/// After a signal it waits at most `out.wait_ms` for a permit and then stops with or without one. After a request at
/// the side address it stops only with a permit. A second signal stops it at once.
async fn wait_for_shutdown(
    front: &Front,
    settings: &FrontSettings,
    sigterm: &mut Signal,
    sigint: &mut Signal,
) {
    let (name, wait) = (settings.instance.name.as_str(), settings.out_of_service.max_wait_ms.get());
    let mut signalled = false;
    loop {
        if !signalled {
            tokio::select! {
                _ = sigterm.recv() => signalled = true,
                _ = sigint.recv() => signalled = true,
                () = front.wait_for_leave_request() => {}
            }
        }
        let outcome = tokio::select! {
            outcome = front.wait_for_leave_permit(wait) => Some(outcome),
            _ = sigterm.recv() => None,
            _ = sigint.recv() => None,
        };
        match outcome {
            Some(LeaveOutcome::NotRequired | LeaveOutcome::Granted) => return,
            Some(LeaveOutcome::TimedOut) if signalled => {
                let (reason, waited_ms) = (front.permit_denial_reason(), wait.as_millis() as u64);
                tracing::warn!(member = name, reason, waited_ms, "goes out without a permit");
                return;
            }
            Some(LeaveOutcome::TimedOut) => {
                let reason = front.permit_denial_reason();
                tracing::warn!(member = name, reason, "was asked to go out and stays: no permit in time");
                front.cancel_leave();
            }
            None if signalled => {
                tracing::warn!(member = name, reason = "told a second time", "goes out without a permit");
                return;
            }
            // First signal while a request from the side address waits for its permit.
            None => signalled = true,
        }
    }
}

impl Serve {
    /// Runs a front with the decision module of crate `cloverhollow`.
    ///
    /// # Errors
    /// As [`serve`].
    pub async fn run(&self) -> Result<(), ServeError> {
        serve(self, |settings, seed| SessionPolicy::new(settings.decisions(), seed)).await
    }
}
