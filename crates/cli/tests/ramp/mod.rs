//! A cold server, and session managers that want it: processes on real sockets, each with its own command channel that
//! tells of the server's start late, and a viewer that never stops asking.

mod server;

use crate::platform::{endpoint, event, setup, start, Node};
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

/// The settings that say what a cold server takes, in the platform's words.
#[derive(Clone, Debug)]
pub struct Terms {
    pub fronts: usize,
    pub cold: u64,
    pub cold_from: f64,
    pub fall: u64,
    pub multiple: f64,
    pub places: f64,
}

impl Terms {
    /// Set-ups that a window may hold: of the rate that turns all places over once in the time that a start stays cold, the
    /// part that it has at its start, the multiple of that, over the fall's span; and 2 x root of it + 2.
    pub fn line(&self) -> usize {
        let full = self.places / (self.cold as f64 / 1e3);
        let n = self.multiple * self.cold_from * full * (self.fall as f64 / 1e3);
        (n + 2.0 * n.sqrt() + 2.0).floor() as usize
    }

    /// The configuration of one of them.
    pub fn config(&self, index: usize, channel: SocketAddr, cursor: u64, entries: Vec<Value>) -> Value {
        let mut c = crate::platform::config(channel, &[]);
        c["name"] = json!(format!("n{index}"));
        c["known"] = json!({"cursor": cursor, "cmds": [event(cursor, true, entries)]});
        let s = &mut c["settings"];
        (s["balancers"], s["index"]) = (json!(self.fronts), json!(index));
        s["domain"]["places-by-kind"] = json!([self.places]);
        s["domain"]["link-unit-kb"] = json!(1e9);
        s["invariants"] = json!({"cold": self.cold, "cold-from": self.cold_from, "fall": self.fall,
            "fall-multiple": self.multiple});
        c
    }
}

/// What befalls a session manager.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// SIGKILL, and a start from nothing.
    Kill,
    /// SIGTERM, its viewer goes on asking, so much later SIGKILL, and a start from nothing.
    Term(u64),
    /// SIGSTOP, and SIGCONT so much later.
    Stop(u64),
}

/// What the day tells all session managers.
pub struct Stage {
    pub terms: Terms,
    /// What the list holds before the server's start.
    pub before: Vec<Value>,
    /// When it started, and the entry that tells of it.
    pub started: Mutex<Option<(Instant, Value)>>,
    pub over: AtomicBool,
}

/// One session manager's place: its process, its command channel, its viewer.
pub struct Seat {
    pub index: usize,
    /// It is told so long after the server's start; `None`: never.
    pub told: Option<Duration>,
    /// So long after the server's start.
    pub acts: Vec<(Duration, Act)>,
    pub refused: Arc<AtomicUsize>,
    pub served: Arc<AtomicUsize>,
}

/// The last event before the server's start.
const FIRST: u64 = 7;
/// Between two set-ups of a viewer.
const ASKS: Duration = Duration::from_millis(20);
/// Between two comments of a command channel.
const BEAT: Duration = Duration::from_millis(500);

impl Seat {
    fn due(&self, stage: &Stage) -> Option<Value> {
        let started = stage.started.lock().unwrap();
        let (at, entry) = started.as_ref()?;
        (at.elapsed() >= self.told?).then(|| entry.clone())
    }

    fn start(&self, stage: &Stage, channel: SocketAddr, name: &str) -> (Node, TcpStream) {
        let (cursor, entries) = match self.due(stage) {
            Some(entry) => (FIRST + 1, vec![entry]),
            None => (FIRST, stage.before.clone()),
        };
        let node = start(name, &stage.terms.config(self.index, channel, cursor, entries));
        let conn = connect(&node);
        (node, conn)
    }

    /// Lives its day.
    pub fn play(mut self, stage: &Stage, day: &str) {
        let channel = TcpListener::bind("127.0.0.1:0").unwrap();
        channel.set_nonblocking(true).unwrap();
        let address = channel.local_addr().unwrap();
        let name = format!("ramp-{day}-{}", self.index);
        let (mut node, mut viewer) = self.start(stage, address, &name);
        let mut watches: Vec<(TcpStream, bool)> = Vec::new();
        let (mut asked, mut beat, mut n, mut resume) = (Instant::now(), Instant::now(), 0u64, None);
        self.acts.sort_by_key(|a| std::cmp::Reverse(a.0));
        while !stage.over.load(SeqCst) {
            while let Ok((conn, _)) = channel.accept() {
                watches.extend(watch(conn));
            }
            let due = self.due(stage);
            for (conn, told) in watches.iter_mut().filter(|(_, told)| !told) {
                if let Some(entry) = &due {
                    crate::platform::tell(conn, &event(FIRST + 1, false, vec![entry.clone()]));
                    *told = true;
                }
            }
            if asked.elapsed() >= ASKS {
                (asked, n) = (Instant::now(), n + 1);
                let text = setup((self.index as u64) << 32 | n, "clip", 1_500);
                let _ = viewer.write_all(text.as_bytes()); // a process that stands still takes only so much
            }
            if !self.hear(&mut viewer) {
                viewer = connect(&node);
            }
            if beat.elapsed() >= BEAT {
                beat = Instant::now();
                watches.retain_mut(|(conn, _)| conn.write_all(b": beat\n\n").is_ok());
            }
            let since = stage.started.lock().unwrap().as_ref().map(|(at, _)| at.elapsed());
            if resume.is_some_and(|at| Instant::now() >= at) {
                node.signal(Signal::CONT);
                resume = None;
            }
            let act =
                self.acts.last().filter(|a| resume.is_none() && since.is_some_and(|s| s >= a.0)).copied();
            if let Some((at, act)) = act {
                self.acts.pop();
                match act {
                    Act::Stop(long) => {
                        node.signal(Signal::STOP);
                        resume = Some(Instant::now() + ms(long));
                    }
                    Act::Term(later) => {
                        node.signal(Signal::TERM);
                        self.acts.push((at + ms(later), Act::Kill));
                    }
                    Act::Kill => {
                        drop(node);
                        watches.clear();
                        (node, viewer) = self.start(stage, address, &name);
                    }
                }
            }
            sleep(ms(4));
        }
    }

    /// Reads what its viewer gets, as far as it is there; whether its connection holds.
    fn hear(&self, viewer: &mut TcpStream) -> bool {
        let mut buf = [0; 8192];
        loop {
            let got = match viewer.read(&mut buf) {
                Ok(0) => return false,
                Ok(got) => got,
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            };
            let text = String::from_utf8_lossy(&buf[..got]);
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

/// A session manager that asks for news; whether it knows of the start already.
fn watch(conn: TcpStream) -> Option<(TcpStream, bool)> {
    conn.set_nonblocking(false).unwrap();
    conn.set_read_timeout(Some(crate::platform::LONG)).unwrap();
    let mut conn = conn;
    let head = crate::platform::head(&mut conn).to_lowercase();
    let last: u64 = head.lines().find_map(|l| l.strip_prefix("last-event-id: "))?.parse().ok()?;
    match conn.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n") {
        Err(e) if e.kind() == ErrorKind::BrokenPipe => None,
        _ => Some((conn, last > FIRST)),
    }
}

/// The entry of the cold server, under its one name.
pub fn entry(server: &Server, since: u64) -> Value {
    endpoint(0, server.address, "in_service", since)
}
