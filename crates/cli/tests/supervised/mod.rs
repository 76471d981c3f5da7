//! Fleets of front processes, each under a supervisor thread that restarts it when it exits.
//!
//! A front is **out** from the exit of its process until the next process reports on `/health` that it is ready. The number
//! of fronts out at once is counted whenever a process has exited, before its supervisor restarts it: all others that have
//! exited or are not ready at that moment count too. A front that is already back is therefore never counted; one that
//! becomes ready during the count may be missed.

#[path = "../common/mod.rs"]
pub mod common;

use common::*;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time limit of a wait, far above any time that these tests need.
pub const TIMEOUT: Duration = Duration::from_secs(150);
/// `out.wait_ms`, far above [`TIMEOUT`]: a front that stops within a test has stopped under a permit.
pub const WAIT_MS: u64 = 600_000;

/// Delay before discovery sends its list to a restarted front.
const DISCOVERY_DELAY: Duration = Duration::from_millis(800);

/// One front and the state of its supervisor.
#[derive(Default)]
pub struct SupervisedFront {
    pub config: PathBuf,
    log: PathBuf,
    pid: AtomicUsize,
    side: Mutex<Option<SocketAddr>>,
    /// True from the exit of a process until the next one is ready.
    pub is_out: AtomicBool,
    /// Number of processes that have exited.
    pub exits: AtomicUsize,
    /// The supervisor restarts the front while this is set.
    pub restart_enabled: AtomicBool,
    shutdown: AtomicBool,
}

/// Fleet of supervised fronts, killed when dropped.
pub struct Fleet {
    pub fronts: Arc<Vec<SupervisedFront>>,
    /// Largest number of fronts out at once, counted at each exit.
    pub max_out: Arc<AtomicUsize>,
    supervisors: Vec<std::thread::JoinHandle<()>>,
}

/// Starts a discovery proxy that delays the list: a front without a persisted list is not ready for that time.
fn start_slow_discovery(server: SocketAddr) -> SocketAddr {
    let (listener, discovery) = (TcpListener::bind("127.0.0.1:0").unwrap(), start_discovery(server));
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                std::thread::sleep(DISCOVERY_DELAY);
                let Ok(upstream) = TcpStream::connect(discovery) else { return };
                let (mut input, mut output) = (stream.try_clone().unwrap(), upstream.try_clone().unwrap());
                std::thread::spawn(move || std::io::copy(&mut input, &mut output));
                let (mut upstream, mut stream) = (upstream, stream);
                let _ = std::io::copy(&mut upstream, &mut stream);
            });
        }
    });
    address
}

/// GET at a side address: whether the status is 200, and the body. `None` without a response.
pub fn http_get(side: SocketAddr, path: &str) -> Option<(bool, String)> {
    let mut stream = TcpStream::connect(side).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.starts_with("HTTP/1.1 200"), body.into()))
}

impl SupervisedFront {
    /// Side address of the running process.
    pub fn side(&self) -> Option<SocketAddr> {
        *self.side.lock().unwrap()
    }

    pub fn is_ready(&self) -> bool {
        self.side().and_then(|s| http_get(s, "/health")).is_some_and(|a| a.0)
    }

    /// State of the permits as reported on `/v1/fleet`.
    pub fn permit_status(&self) -> Value {
        let page = self.side().and_then(|s| http_get(s, "/v1/fleet")).map(|a| a.1).unwrap_or_default();
        serde_json::from_str::<Value>(&page).map(|p| p["out"].clone()).unwrap_or_default()
    }

    /// Log of all processes of this front.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.pid.load(SeqCst) as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Starts a process and waits for its ready line.
    fn spawn(&self) -> ProcessGuard {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_cloverhollow"))
            .args(["serve", "--log-level", "info", "--config"])
            .arg(&self.config)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        self.pid.store(child.id() as usize, SeqCst);
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let ready: Value = serde_json::from_str(&line).unwrap_or_default();
        *self.side.lock().unwrap() = ready["side"].as_str().and_then(|s| s.parse().ok());
        ProcessGuard::from(child)
    }
}

/// Restarts the processes of front `n` until its shutdown.
fn supervise(n: usize, all: &[SupervisedFront], max_out: &AtomicUsize) {
    let front = &all[n];
    while !front.shutdown.load(SeqCst) {
        let mut process = front.spawn();
        while !front.is_ready() && process.try_wait().unwrap().is_none() {
            std::thread::sleep(Duration::from_millis(5));
        }
        front.is_out.store(false, SeqCst);
        process.wait().unwrap();
        *front.side.lock().unwrap() = None;
        front.is_out.store(true, SeqCst);
        front.exits.fetch_add(1, SeqCst);
        if front.shutdown.load(SeqCst) {
            return;
        }
        let others = all.iter().enumerate().filter(|(other, _)| *other != n);
        let others_out = others.filter(|(_, front)| !front.is_ready()).count();
        max_out.fetch_max(1 + others_out, SeqCst);
        // Without its persisted server list the next process is not ready at once.
        let _ = std::fs::remove_file(front.config.with_extension("keep"));
        while !front.restart_enabled.load(SeqCst) && !front.shutdown.load(SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Fleet {
    /// Starts `zones.len()` fronts, the first three of them witnesses, and waits until all are ready and know each
    /// other. `out` holds the settings of permits, `extra_out(n)` further ones for front `n`.
    pub fn start(name: &str, zones: &[&str], out: &str, extra_out: impl Fn(usize) -> String) -> Fleet {
        let dir = temp_dir(name);
        let key = dir.join("members.key");
        std::fs::write(&key, "0123456789abcdef0123456789abcdef\n").unwrap();
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
        let (tx, _) = std::sync::mpsc::channel();
        let discovery = start_slow_discovery(start_server(tx));
        let sockets: Vec<_> = zones.iter().map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let addresses: Vec<String> = sockets.iter().map(|s| s.local_addr().unwrap().to_string()).collect();
        drop(sockets);
        let witnesses = addresses[..3].join(", ");
        let configure = |(n, zone): (usize, &&str)| {
            let text = format!(
                "instance: {{name: front-{n}, hall: {zone}}}\nlisten: {{address: \"127.0.0.1:0\"}}\n\
                 side: {{address: \"127.0.0.1:0\"}}\ndiscovery: {{address: \"{discovery}\"}}\n\
                 keep: {{file: {}, restarts: {{window_ms: 0}}}}\n\
                 members: {{listen: {}, seeds: [{witnesses}], witnesses: [{witnesses}], probe_ms: 200,\n  \
                 answer_ms: 60, suspicion_ms: 2000, gossip_ms: 60, heal_ms: 400, sync_ms: 1000,\n  \
                 keys: [{{id: 1, file: {}}}]}}\nout: {{{out}, lease_ms: 8000, {}}}\n",
                dir.join(format!("{n}.keep")).display(),
                addresses[n],
                key.display(),
                extra_out(n)
            );
            let config = dir.join(format!("{n}.yaml"));
            std::fs::write(&config, text).unwrap();
            let front =
                SupervisedFront { config, log: dir.join(format!("{n}.log")), ..SupervisedFront::default() };
            front.restart_enabled.store(true, SeqCst);
            front.is_out.store(true, SeqCst);
            front
        };
        let fronts: Arc<Vec<SupervisedFront>> = Arc::new(zones.iter().enumerate().map(configure).collect());
        let max_out = Arc::new(AtomicUsize::new(0));
        let supervisors = (0..zones.len()).map(|n| {
            let (fronts, max_out) = (fronts.clone(), max_out.clone());
            std::thread::spawn(move || supervise(n, &fronts, &max_out))
        });
        let fleet = Fleet { supervisors: supervisors.collect(), fronts, max_out };
        let n = zones.len();
        fleet.wait_until("all are ready and know each other", || {
            fleet.fronts.iter().all(|f| {
                let page = f.side().and_then(|s| http_get(s, "/v1/fleet")).map(|a| a.1).unwrap_or_default();
                let page: Value = serde_json::from_str(&page).unwrap_or_default();
                f.is_ready() && page["view"]["at_least"] == n && page["out"]["unsure_ms"].is_number()
            })
        });
        fleet
    }

    /// Waits until the condition holds.
    pub fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let started_at = Instant::now();
        while !condition() {
            let pages =
                || self.fronts.iter().map(|f| f.permit_status().to_string()).collect::<Vec<_>>().join("\n");
            assert!(started_at.elapsed() < TIMEOUT, "timed out after {TIMEOUT:?}: {what}\n{}", pages());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Output of `cloverhollow fleet` for front `n`.
    pub fn run_command(&self, n: usize, subcommand: &str) -> String {
        let side = self.fronts[n].side().unwrap().to_string();
        let exe = env!("CARGO_BIN_EXE_cloverhollow");
        let output = Command::new(exe).args(["fleet", subcommand, "--side", &side]).output().unwrap();
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
    }

    /// Returns whether front `n` counts front `other` as out.
    pub fn counts_as_out(&self, n: usize, other: usize) -> bool {
        let name = format!("front-{other}");
        let out = self.fronts[n].permit_status();
        out["counted_out"].as_array().is_some_and(|list| list.iter().any(|member| member["name"] == *name))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.fronts.iter().for_each(|f| f.shutdown.store(true, SeqCst));
        while self.supervisors.iter().any(|s| !s.is_finished()) {
            for f in self.fronts.iter() {
                let pid = Pid::from_raw(f.pid.load(SeqCst) as i32);
                if let (Some(pid), false) = (pid, f.is_out.load(SeqCst) && !f.is_ready()) {
                    let _ = kill_process(pid, Signal::KILL);
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
