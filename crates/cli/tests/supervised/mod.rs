//! Fleets of fronts as processes, each under a supervisor that starts it anew when it has ended.
//!
//! **Out** is a front from the end of its process until its next life says on `/health` that it is ready. How many are out at
//! once is looked at whenever a process has ended, before its supervisor starts the next life: the others that have ended, or
//! do not say now that they are ready, are out with it. So nobody counts as out that is back already, and whoever is back
//! within the look is missed.

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

/// Far over anything that these tests wait for.
pub const LONG: Duration = Duration::from_secs(150);
/// Under it: a front that goes within has gone by a permit.
pub const WAIT_MS: u64 = 600_000;

/// So long discovery says nothing to a new life.
const LATE: Duration = Duration::from_millis(800);

#[derive(Default)]
pub struct One {
    pub config: PathBuf,
    log: PathBuf,
    pid: AtomicUsize,
    side: Mutex<Option<SocketAddr>>,
    /// Its process has ended, and no next life was ready since.
    pub ended: AtomicBool,
    pub ends: AtomicUsize,
    /// Its supervisor starts it again.
    pub again: AtomicBool,
    over: AtomicBool,
}

pub struct Fleet {
    pub fronts: Arc<Vec<One>>,
    /// Most that were out at once, as seen at each end.
    pub most: Arc<AtomicUsize>,
    supervisors: Vec<std::thread::JoinHandle<()>>,
}

/// Tells its list late: a life that kept none is not ready for as long.
fn slow_discovery(server: SocketAddr) -> SocketAddr {
    let (listener, told) = (TcpListener::bind("127.0.0.1:0").unwrap(), discovery(server));
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                std::thread::sleep(LATE);
                let Ok(to) = TcpStream::connect(told) else { return };
                let (mut from, mut back) = (stream.try_clone().unwrap(), to.try_clone().unwrap());
                std::thread::spawn(move || std::io::copy(&mut from, &mut back));
                let (mut to, mut stream) = (to, stream);
                let _ = std::io::copy(&mut to, &mut stream);
            });
        }
    });
    address
}

/// One answer of a side address; nothing where there is none.
pub fn get(side: SocketAddr, path: &str) -> Option<(bool, String)> {
    let mut stream = TcpStream::connect(side).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.starts_with("HTTP/1.1 200"), body.into()))
}

impl One {
    pub fn side(&self) -> Option<SocketAddr> {
        *self.side.lock().unwrap()
    }

    pub fn is_ready(&self) -> bool {
        self.side().and_then(|s| get(s, "/health")).is_some_and(|a| a.0)
    }

    /// What it says of permits.
    pub fn out(&self) -> Value {
        let page = self.side().and_then(|s| get(s, "/v1/fleet")).map(|a| a.1).unwrap_or_default();
        serde_json::from_str::<Value>(&page).map(|p| p["out"].clone()).unwrap_or_default()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.pid.load(SeqCst) as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    fn life(&self) -> Life {
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
        Life::from(child)
    }
}

/// Lives, one after the other.
fn supervise(n: usize, all: &[One], most: &AtomicUsize) {
    let own = &all[n];
    while !own.over.load(SeqCst) {
        let mut life = own.life();
        while !own.is_ready() && life.try_wait().unwrap().is_none() {
            std::thread::sleep(Duration::from_millis(5));
        }
        own.ended.store(false, SeqCst);
        life.wait().unwrap();
        *own.side.lock().unwrap() = None;
        own.ended.store(true, SeqCst);
        own.ends.fetch_add(1, SeqCst);
        if own.over.load(SeqCst) {
            return;
        }
        let others = all.iter().enumerate().filter(|(m, _)| *m != n);
        let out = others.filter(|(_, o)| !o.is_ready()).count();
        most.fetch_max(1 + out, SeqCst);
        // Without its last list, so that it is not ready at once.
        let _ = std::fs::remove_file(own.config.with_extension("keep"));
        while !own.again.load(SeqCst) && !own.over.load(SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Fleet {
    /// Starts `halls.len()` fronts, the first three of them witnesses, and waits until all are ready and know each
    /// other. `out`: the settings of permits; `more(n)`: further ones of that front.
    pub fn start(name: &str, halls: &[&str], out: &str, more: impl Fn(usize) -> String) -> Fleet {
        let dir = folder(name);
        let key = dir.join("members.key");
        std::fs::write(&key, "0123456789abcdef0123456789abcdef\n").unwrap();
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
        let (tx, _) = std::sync::mpsc::channel();
        let discovery = slow_discovery(server(tx));
        let sockets: Vec<_> = halls.iter().map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let at: Vec<String> = sockets.iter().map(|s| s.local_addr().unwrap().to_string()).collect();
        drop(sockets);
        let witnesses = at[..3].join(", ");
        let one = |(n, hall): (usize, &&str)| {
            let text = format!(
                "instance: {{name: front-{n}, hall: {hall}}}\nlisten: {{address: \"127.0.0.1:0\"}}\n\
                 side: {{address: \"127.0.0.1:0\"}}\ndiscovery: {{address: \"{discovery}\"}}\n\
                 keep: {{file: {}, restarts: {{window_ms: 0}}}}\n\
                 members: {{listen: {}, seeds: [{witnesses}], witnesses: [{witnesses}], probe_ms: 200,\n  \
                 answer_ms: 60, suspicion_ms: 2000, gossip_ms: 60, heal_ms: 400, sync_ms: 1000,\n  \
                 keys: [{{id: 1, file: {}}}]}}\nout: {{{out}, lease_ms: 8000, {}}}\n",
                dir.join(format!("{n}.keep")).display(),
                at[n],
                key.display(),
                more(n)
            );
            let config = dir.join(format!("{n}.yaml"));
            std::fs::write(&config, text).unwrap();
            let one = One { config, log: dir.join(format!("{n}.log")), ..One::default() };
            one.again.store(true, SeqCst);
            one.ended.store(true, SeqCst);
            one
        };
        let fronts: Arc<Vec<One>> = Arc::new(halls.iter().enumerate().map(one).collect());
        let most = Arc::new(AtomicUsize::new(0));
        let supervisors = (0..halls.len()).map(|n| {
            let (fronts, most) = (fronts.clone(), most.clone());
            std::thread::spawn(move || supervise(n, &fronts, &most))
        });
        let fleet = Fleet { supervisors: supervisors.collect(), fronts, most };
        let n = halls.len();
        fleet.until("all are ready and know each other", || {
            fleet.fronts.iter().all(|f| {
                let page = f.side().and_then(|s| get(s, "/v1/fleet")).map(|a| a.1).unwrap_or_default();
                let page: Value = serde_json::from_str(&page).unwrap_or_default();
                f.is_ready() && page["view"]["at_least"] == n && page["out"]["unsure_ms"].is_number()
            })
        });
        fleet
    }

    /// Waits until that is so.
    pub fn until(&self, what: &str, so: impl Fn() -> bool) {
        let begun = Instant::now();
        while !so() {
            let pages = || self.fronts.iter().map(|f| f.out().to_string()).collect::<Vec<_>>().join("\n");
            assert!(begun.elapsed() < LONG, "not within {LONG:?}: {what}\n{}", pages());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// What `cloverhollow fleet` says, asked of that front.
    pub fn command(&self, n: usize, word: &str) -> String {
        let side = self.fronts[n].side().unwrap().to_string();
        let exe = env!("CARGO_BIN_EXE_cloverhollow");
        let said = Command::new(exe).args(["fleet", word, "--side", &side]).output().unwrap();
        String::from_utf8_lossy(&said.stdout).into_owned() + &String::from_utf8_lossy(&said.stderr)
    }

    /// Whether that front counts the other as out.
    pub fn counts_out(&self, n: usize, other: usize) -> bool {
        let name = format!("front-{other}");
        let out = self.fronts[n].out();
        out["counted_out"].as_array().is_some_and(|list| list.iter().any(|o| o["name"] == *name))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.fronts.iter().for_each(|f| f.over.store(true, SeqCst));
        while self.supervisors.iter().any(|s| !s.is_finished()) {
            for f in self.fronts.iter() {
                let pid = Pid::from_raw(f.pid.load(SeqCst) as i32);
                if let (Some(pid), false) = (pid, f.ended.load(SeqCst) && !f.is_ready()) {
                    let _ = kill_process(pid, Signal::KILL);
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
