//! Runs one cold server and many session manager processes on real sockets. Each manager has its own command channel,
//! which reports the start of the server with a delay, and a viewer that sends set-ups continuously.

mod server;

use crate::platform::{endpoint, event, setup_request, start_node, Node};
use rustix::process::Signal;
use serde_json::{json, Value};
pub use server::Server;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Settings that limit set-ups at a cold server.
#[derive(Clone, Debug)]
pub struct ColdServerSettings {
    /// Number of session managers.
    pub fronts: usize,
    /// Time for which a server stays cold after its start.
    pub cold_ms: u64,
    /// Fraction of the full set-up rate that a server takes at its start.
    pub cold_from: f64,
    /// Length of the window in which set-ups are counted.
    pub window_ms: u64,
    /// Multiple of the permitted rate at which the server overloads.
    pub overload_multiple: f64,
    /// Concurrent sessions that a server can hold.
    pub places: f64,
}

impl ColdServerSettings {
    /// Maximum number of set-ups in a window: N + 2 * sqrt(N) + 2, where N is the expected number at the overload rate. The
    /// full rate fills all places once within the cold time; the overload rate is `overload_multiple * cold_from` of it.
    pub fn max_setups_per_window(&self) -> usize {
        let full_rate = self.places / (self.cold_ms as f64 / 1e3);
        let n = self.overload_multiple * self.cold_from * full_rate * (self.window_ms as f64 / 1e3);
        (n + 2.0 * n.sqrt() + 2.0).floor() as usize
    }

    /// Configuration of the session manager with this index.
    pub fn config(&self, index: usize, channel: SocketAddr, cursor: u64, entries: Vec<Value>) -> Value {
        let mut config = crate::platform::config(channel, &[]);
        config["name"] = json!(format!("n{index}"));
        config["known"] = json!({"cursor": cursor, "cmds": [event(cursor, true, entries)]});
        let settings = &mut config["settings"];
        (settings["balancers"], settings["index"]) = (json!(self.fronts), json!(index));
        settings["domain"]["places-by-kind"] = json!([self.places]);
        settings["domain"]["link-unit-kb"] = json!(1e9);
        settings["invariants"] = json!({"cold": self.cold_ms, "cold-from": self.cold_from, "fall": self.window_ms,
            "fall-multiple": self.overload_multiple});
        config
    }
}

/// Disruption of a session manager process.
#[derive(Clone, Copy, Debug)]
pub enum Disruption {
    /// SIGKILL, then a restart without persisted state.
    Kill,
    /// SIGTERM; SIGKILL after so many milliseconds, then a restart without persisted state. The viewer keeps sending.
    Term(u64),
    /// SIGSTOP, then SIGCONT after so many milliseconds.
    Stop(u64),
}

/// State shared by all session managers of a scenario.
pub struct Scenario {
    pub settings: ColdServerSettings,
    /// Server list before the start of the cold server.
    pub initial_list: Vec<Value>,
    /// Start time of the cold server and its list entry; `None` before the start.
    pub server_start: Mutex<Option<(Instant, Value)>>,
    /// Set to end the scenario.
    pub finished: AtomicBool,
}

/// Drives one session manager: its process, its command channel and its viewer.
pub struct ManagerDriver {
    pub index: usize,
    /// Delay from the start of the server to the list update for this manager; `None`: no update.
    pub update_delay: Option<Duration>,
    /// Disruptions with their delays from the start of the server.
    pub disruptions: Vec<(Duration, Disruption)>,
    /// Number of 503 responses to the viewer.
    pub refused: Arc<AtomicUsize>,
    /// Number of 200 responses to the viewer.
    pub served: Arc<AtomicUsize>,
}

/// Cursor of the last event before the start of the server.
const INITIAL_CURSOR: u64 = 7;
/// Interval between two set-ups of a viewer.
const SETUP_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two heartbeat comments of a command channel.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

impl ManagerDriver {
    /// Returns the list entry of the cold server once the update is due.
    fn due_update(&self, scenario: &Scenario) -> Option<Value> {
        let server_start = scenario.server_start.lock().unwrap();
        let (started_at, entry) = server_start.as_ref()?;
        (started_at.elapsed() >= self.update_delay?).then(|| entry.clone())
    }

    fn start_manager(&self, scenario: &Scenario, channel: SocketAddr, name: &str) -> (Node, TcpStream) {
        let (cursor, entries) = match self.due_update(scenario) {
            Some(entry) => (INITIAL_CURSOR + 1, vec![entry]),
            None => (INITIAL_CURSOR, scenario.initial_list.clone()),
        };
        let node = start_node(name, &scenario.settings.config(self.index, channel, cursor, entries));
        let conn = connect(&node);
        (node, conn)
    }

    /// Runs the session manager until the scenario is finished.
    pub fn run(mut self, scenario: &Scenario, scenario_name: &str) {
        let channel = TcpListener::bind("127.0.0.1:0").unwrap();
        channel.set_nonblocking(true).unwrap();
        let address = channel.local_addr().unwrap();
        let name = format!("ramp-{scenario_name}-{}", self.index);
        let (mut node, mut viewer) = self.start_manager(scenario, address, &name);
        let mut streams: Vec<(TcpStream, bool)> = Vec::new();
        let (mut last_setup, mut last_heartbeat, mut setup_count, mut resume_at) =
            (Instant::now(), Instant::now(), 0u64, None);
        self.disruptions.sort_by_key(|d| std::cmp::Reverse(d.0));
        while !scenario.finished.load(SeqCst) {
            while let Ok((conn, _)) = channel.accept() {
                streams.extend(accept_stream(conn));
            }
            let update = self.due_update(scenario);
            for (conn, updated) in streams.iter_mut().filter(|(_, updated)| !updated) {
                if let Some(entry) = &update {
                    crate::platform::send_event(conn, &event(INITIAL_CURSOR + 1, false, vec![entry.clone()]));
                    *updated = true;
                }
            }
            if last_setup.elapsed() >= SETUP_INTERVAL {
                (last_setup, setup_count) = (Instant::now(), setup_count + 1);
                let text = setup_request((self.index as u64) << 32 | setup_count, "clip", 1_500);
                let _ = viewer.write_all(text.as_bytes()); // fails when a stopped process has full socket buffers
            }
            if !self.count_responses(&mut viewer) {
                viewer = connect(&node);
            }
            if last_heartbeat.elapsed() >= HEARTBEAT_INTERVAL {
                last_heartbeat = Instant::now();
                streams.retain_mut(|(conn, _)| conn.write_all(b": beat\n\n").is_ok());
            }
            let since_start = scenario.server_start.lock().unwrap().as_ref().map(|(at, _)| at.elapsed());
            if resume_at.is_some_and(|at| Instant::now() >= at) {
                node.signal(Signal::CONT);
                resume_at = None;
            }
            let next = self
                .disruptions
                .last()
                .filter(|d| resume_at.is_none() && since_start.is_some_and(|s| s >= d.0))
                .copied();
            if let Some((at, disruption)) = next {
                self.disruptions.pop();
                match disruption {
                    Disruption::Stop(pause_ms) => {
                        node.signal(Signal::STOP);
                        resume_at = Some(Instant::now() + ms(pause_ms));
                    }
                    Disruption::Term(kill_delay_ms) => {
                        node.signal(Signal::TERM);
                        self.disruptions.push((at + ms(kill_delay_ms), Disruption::Kill));
                    }
                    Disruption::Kill => {
                        drop(node);
                        streams.clear();
                        (node, viewer) = self.start_manager(scenario, address, &name);
                    }
                }
            }
            sleep(ms(4));
        }
    }

    /// Counts the responses that have arrived at the viewer; returns false if its connection is closed.
    fn count_responses(&self, viewer: &mut TcpStream) -> bool {
        let mut buf = [0; 8192];
        loop {
            let length = match viewer.read(&mut buf) {
                Ok(0) => return false,
                Ok(length) => length,
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            };
            let text = String::from_utf8_lossy(&buf[..length]);
            self.refused.fetch_add(text.matches("RTSP/1.0 503").count(), SeqCst);
            self.served.fetch_add(text.matches("RTSP/1.0 200").count(), SeqCst);
        }
    }
}

fn connect(node: &Node) -> TcpStream {
    let conn = node.connect();
    conn.set_nonblocking(true).unwrap();
    conn
}

/// Accepts a subscription to the command channel; the flag is true if the manager already has the update.
fn accept_stream(conn: TcpStream) -> Option<(TcpStream, bool)> {
    conn.set_nonblocking(false).unwrap();
    conn.set_read_timeout(Some(crate::platform::TIMEOUT)).unwrap();
    let mut conn = conn;
    let head = crate::platform::read_head(&mut conn).to_lowercase();
    let last: u64 = head.lines().find_map(|l| l.strip_prefix("last-event-id: "))?.parse().ok()?;
    match conn.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n") {
        Err(e) if e.kind() == ErrorKind::BrokenPipe => None,
        _ => Some((conn, last > INITIAL_CURSOR)),
    }
}

/// List entry of the cold server.
pub fn list_entry(server: &Server, since_ms: u64) -> Value {
    endpoint(0, server.address, "in_service", since_ms)
}
