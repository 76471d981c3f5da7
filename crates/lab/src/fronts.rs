//! Fronts as processes of their own: started, killed outright, stopped and continued.

mod planned;
mod settings;

use crate::exchange::{Log, Seen};
use crate::policies::PolicyName;
use crate::script::Script;
use crate::standin::{config as config_of, front_host, Discovery};
use crate::wires::Wires;
use cloverhollow_front::log_file_path;
pub(crate) use planned::{MEMORY_MB, SOCKETS};
use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// A front that says nothing for so long after its start has failed.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// Why a front is not there.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum FrontError {
    #[error("front {front}: {source}")]
    Io { front: usize, source: std::io::Error },
    #[error("front {front} did not start: see {log}")]
    NotReady { front: usize, log: String },
}

/// What a front that comes back knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum StartMode {
    /// Nothing.
    Cold,
    /// Its last list.
    LastList,
    /// Its last list, and whom to ask.
    Warm,
}

impl StartMode {
    /// All of them.
    pub const ALL: [StartMode; 3] = [StartMode::Cold, StartMode::LastList, StartMode::Warm];

    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            StartMode::Cold => "cold",
            StartMode::LastList => "last list",
            StartMode::Warm => "warm",
        }
    }
}

/// Removes all that a front keeps: its next life is its first.
pub fn forget(keep: &Path) {
    for file in [keep, &log_file_path(keep)] {
        let _ = std::fs::remove_file(file);
    }
}

/// What a front keeps, in a day's folder.
pub fn keep_file(dir: &Path, front: usize) -> PathBuf {
    dir.join(format!("front-{front}.keep"))
}

/// Witnesses of the count: the first fronts.
const WITNESSES: usize = 3;
/// The key of the members' datagrams, in a day's folder.
const KEY: &str = "members.key";

/// Peers named in a front's settings; it hears of the others from them.
const SEEDS: usize = 4;

/// A key that only its owner reads: no secret, for nobody else is there.
fn write_key(path: &Path) -> std::io::Result<()> {
    use std::os::unix::fs::PermissionsExt;
    if !path.exists() {
        std::fs::write(path, "5a".repeat(32))?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    }
    Ok(())
}

/// How fronts are started.
#[derive(Clone)]
pub struct FrontCommand {
    /// This program.
    pub exe: PathBuf,
    /// Who decides.
    pub policy: PolicyName,
    /// Folder of their settings, last lists, records and logs.
    pub dir: PathBuf,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// The settings that they share.
    pub settings: serde_json::Value,
    /// How many there are.
    pub fronts: usize,
    /// Seed of the day: each front's own follows from it.
    pub seed: u64,
    /// Whether they record each step.
    pub record: bool,
    /// What those know that come back.
    pub mode: StartMode,
    /// Where they listen.
    pub host: Ipv4Addr,
    /// The wires that they speak over, where there are any.
    pub wires: Option<Arc<Wires>>,
    /// Whether they are members of each other's fleet.
    pub members: bool,
    /// Where they are fronts of the platform: the day, and who tells its list.
    pub platform: Option<(Script, Arc<Discovery>)>,
}

/// How a front takes what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not run.
    Down,
    /// It runs, and has not passed its test yet.
    Starting,
    /// It takes connections and requests.
    Open,
    /// It was told to stop, and new connections still come.
    Stopping,
    /// It was told to stop: requests come on connections that are open, and no new ones.
    Closing,
    /// It is about to be killed: no requests come.
    Ending,
}

struct Slot {
    child: Option<Child>,
    phase: Phase,
    address: SocketAddr,
    /// Where it is asked, or was last.
    side: Option<SocketAddr>,
    starts: u64,
}

/// All fronts of a day.
pub struct Fronts {
    command: FrontCommand,
    log: Arc<Log>,
    slots: Vec<Mutex<Slot>>,
}

impl Fronts {
    /// None runs yet.
    pub fn new(command: FrontCommand, log: Arc<Log>) -> Self {
        let slot = || {
            Mutex::new(Slot {
                child: None,
                phase: Phase::Down,
                address: ([127, 0, 0, 1], 9).into(),
                side: None,
                starts: 0,
            })
        };
        Fronts { slots: (0..command.fronts).map(|_| slot()).collect(), command, log }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.slots.len()
    }

    /// Where viewers find a front, or found it last.
    pub fn address(&self, front: usize) -> SocketAddr {
        self.command.wires.as_ref().map_or_else(|| self.slot(front).address, |w| w.viewers(front))
    }

    fn slot(&self, front: usize) -> std::sync::MutexGuard<'_, Slot> {
        self.slots[front].lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn seed(&self, front: usize, starts: u64) -> u64 {
        1 + (self.command.seed + front as u64 * 7_919 + starts * 104_729) % 1_000_000_007
    }

    /// Side addresses of all fronts that run.
    pub fn sides(&self) -> Vec<(usize, SocketAddr)> {
        let running = (0..self.count()).filter_map(|f| {
            let slot = self.slot(f);
            slot.child.as_ref().and(slot.side).map(|side| (f, side))
        });
        running.collect()
    }

    /// CPU that a front has used, seconds; 0 where it does not run.
    pub fn cpu(&self, front: usize) -> f64 {
        let pid = self.slot(front).child.as_ref().and_then(Child::id);
        pid.map_or(0.0, crate::bench::cpu_of)
    }

    /// Starts a front and waits until it listens.
    ///
    /// # Errors
    /// It did not start.
    pub async fn start(&self, front: usize) -> Result<(), FrontError> {
        let io = |source| FrontError::Io { front, source };
        let c = &self.command;
        if self.slot(front).child.is_some() {
            return Ok(()); // another trouble was first
        }
        let starts = {
            let mut slot = self.slot(front);
            slot.starts += 1;
            slot.starts
        };
        if c.members {
            write_key(&c.dir.join(KEY)).map_err(io)?;
        }
        let config = self.config_path(front);
        let (word, text) = match &c.platform {
            None => ("front", self.settings(front, starts)),
            Some((script, discovery)) => {
                let known = discovery.known(front, front_host(c.host, front));
                let (seed, channel) = (self.seed(front, starts), discovery.channel_port(front));
                ("node", config_of(script, front, seed, c.host, channel, known))
            }
        };
        std::fs::write(&config, text.to_string()).map_err(io)?;
        let log_path = c.dir.join(format!("front-{front}.log"));
        let log = std::fs::File::options().create(true).append(true).open(&log_path).map_err(io)?;
        let mut command = Command::new(&c.exe);
        command.arg(word).arg("--config").arg(&config);
        if c.platform.is_none() {
            command.arg("--policy").arg(c.policy.to_string());
        }
        if c.record {
            command.arg("--record").arg(c.dir.join("records"));
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).kill_on_drop(true);
        let mut child = command.spawn().map_err(io)?;
        let not_ready = || FrontError::NotReady { front, log: log_path.display().to_string() };
        let out = child.stdout.take().ok_or_else(not_ready)?;
        let mut lines = BufReader::new(out).lines();
        let line = timeout(READY_WITHIN, lines.next_line()).await;
        let Ok(Ok(Some(line))) = line else { return Err(not_ready()) };
        let ready: serde_json::Value = serde_json::from_str(&line).map_err(|_| not_ready())?;
        let parse = |key: &str| ready[key].as_str().and_then(|a| a.parse::<SocketAddr>().ok());
        let address = parse("address").ok_or_else(not_ready)?;
        if let Some(wires) = &c.wires {
            wires.set_front(front, address, parse("members"));
        }
        let mut slot = self.slot(front);
        (slot.child, slot.address, slot.side) = (Some(child), address, parse("side"));
        slot.phase = Phase::Starting;
        self.log.put(Seen::FrontUp { front });
        Ok(())
    }

    /// Kills a front outright.
    pub async fn kill(&self, front: usize) {
        // Another trouble was first: it is started again by that one.
        let child = self.slot(front).child.take();
        self.slot(front).phase = Phase::Down;
        if child.is_none() {
            return;
        }
        if let Some(wires) = &self.command.wires {
            wires.front_dies(front);
        }
        // Taken down first: from here on nothing is owed by it.
        self.log.put(Seen::FrontDown { front });
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    fn signal(&self, front: usize, signal: Signal) {
        let id = self.slot(front).child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).unwrap_or(0)));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Has a front stand still.
    pub fn freeze(&self, front: usize) {
        self.log.put(Seen::FrontFrozen { front });
        self.signal(front, Signal::STOP);
    }

    /// Has it run on.
    pub fn thaw(&self, front: usize) {
        self.signal(front, Signal::CONT);
        self.log.put(Seen::FrontThawed { front });
    }

    /// Kills all that run.
    pub async fn stop(&self) {
        for front in 0..self.count() {
            let child = self.slot(front).child.take();
            if let Some(mut child) = child {
                let _ = child.kill().await;
            }
        }
    }
}
