//! A stand-in for a video server: JSON lines as in PROTOCOL.md, "Session managers to video servers".

mod says;

use crate::record::{json_field, sleep, Record};
use std::collections::{BTreeMap, HashMap};
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const [i32; 2], len: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// What happens to a connection past the most that a server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AtCap {
    Refuse,
    /// It does not come up.
    Silent,
    Reset,
}

/// What a server knows of one session.
#[derive(Clone, Debug)]
pub struct Session {
    pub class: String,
    pub title: String,
    /// Connection of its set-up.
    conn: u64,
    /// Time at which the set-up came whole.
    pub came_at: f64,
    /// Time at which the session stood; `None` while it is set up.
    pub stands_since: Option<f64>,
    /// Time at which the session manager released it or gave it up.
    pub released_at: Option<f64>,
}

pub struct Server {
    pub name: String,
    pub cell: usize,
    pub address: SocketAddr,
    record: Record,
    pub sessions: Mutex<BTreeMap<String, Session>>,
    conns: Mutex<HashMap<u64, Arc<TcpStream>>>,
    last_conn: AtomicU64,
    /// Most connections that it takes.
    pub cap: AtomicUsize,
    /// What happens to further ones.
    pub at_cap: Mutex<AtCap>,
    /// The machine has vanished: nothing is read, written or accepted any more.
    pub vanished: AtomicBool,
    /// The process takes set-ups and answers none.
    pub hangs: AtomicBool,
    /// Link load that its notes tell.
    pub load: Mutex<f64>,
    pub last_note_at: Mutex<f64>,
    work: Duration,
    told_every: Duration,
    filler: Mutex<Vec<TcpStream>>,
    /// Releases that are sent again on the next connection.
    owed: Mutex<Vec<String>>,
}

impl Server {
    pub fn start(record: &Record, name: &str, cell: usize, work_ms: u64, told_every_ms: u64) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Server {
            name: name.to_owned(),
            cell,
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            sessions: Mutex::default(),
            conns: Mutex::default(),
            last_conn: AtomicU64::new(0),
            cap: AtomicUsize::new(usize::MAX),
            at_cap: Mutex::new(AtCap::Refuse),
            vanished: AtomicBool::new(false),
            hangs: AtomicBool::new(false),
            load: Mutex::new(0.2),
            last_note_at: Mutex::new(0.0),
            work: Duration::from_millis(work_ms),
            told_every: Duration::from_millis(told_every_ms),
            filler: Mutex::default(),
            owed: Mutex::default(),
        });
        let (accepting, noting) = (server.clone(), server.clone());
        std::thread::spawn(move || accepting.accept(listener));
        std::thread::spawn(move || noting.tell_notes());
        server
    }

    pub fn open_connections(&self) -> usize {
        self.conns.lock().unwrap().len()
    }

    /// Sessions of one title and class that stand here: started, and released by neither side.
    pub fn standing(&self, title: &str, class: &str) -> Vec<String> {
        let sessions = self.sessions.lock().unwrap();
        let stands = |s: &Session| s.stands_since.is_some() && s.released_at.is_none();
        let matching = sessions.iter().filter(|(_, s)| stands(s) && s.title == title && s.class == class);
        matching.map(|(sid, _)| sid.clone()).collect()
    }

    pub fn holds(&self, sid: &str) -> bool {
        let sessions = self.sessions.lock().unwrap();
        sessions.get(sid).is_some_and(|s| s.stands_since.is_some() && s.released_at.is_none())
    }

    fn accept(self: Arc<Self>, first: TcpListener) {
        first.set_nonblocking(true).unwrap();
        let mut listener = Some(first);
        loop {
            if self.vanished.load(SeqCst) {
                if let Some(l) = &listener {
                    self.block(l, "the machine has vanished: no connection comes up any more");
                }
                return std::mem::forget(listener);
            }
            let full = self.open_connections() >= self.cap.load(SeqCst);
            let at_cap = *self.at_cap.lock().unwrap();
            if full && at_cap == AtCap::Reset {
                if let Some(Ok((stream, _))) = listener.as_ref().map(|l| l.accept()) {
                    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &[1, 0], 8) };
                    drop(stream);
                    self.record.line(&self.name, "reset a new connection");
                }
                continue;
            }
            if full && at_cap == AtCap::Silent {
                if self.filler.lock().unwrap().is_empty() {
                    let l = listener.as_ref().expect("it listens");
                    self.block(l, "all its connections are taken: further ones do not come up");
                }
                sleep(0.002);
                continue;
            }
            if full && listener.take().is_some() {
                self.record.line(&self.name, "all its connections are taken: further ones are refused");
            } else if !full && listener.is_none() {
                self.record.line(&self.name, "takes connections again");
                let again = TcpListener::bind(self.address).expect("its own address");
                again.set_nonblocking(true).unwrap();
                listener = Some(again);
            }
            match listener.as_ref().map(|l| l.accept()) {
                Some(Ok((stream, _))) => self.clone().connected(stream),
                _ => sleep(0.001),
            }
        }
    }

    /// Fills the queue of the listening socket, so that further connections never come up.
    fn block(&self, listener: &TcpListener, why: &str) {
        unsafe { listen(listener.as_raw_fd(), 0) };
        let queued = (0..2)
            .filter_map(|_| TcpStream::connect_timeout(&self.address, Duration::from_millis(30)).ok())
            .collect();
        *self.filler.lock().unwrap() = queued;
        self.record.line(&self.name, why);
    }

    fn connected(self: Arc<Self>, stream: TcpStream) {
        stream.set_nonblocking(false).unwrap();
        let id = self.last_conn.fetch_add(1, SeqCst) + 1;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let stream = Arc::new(stream);
        self.conns.lock().unwrap().insert(id, stream.clone());
        for line in std::mem::take(&mut *self.owed.lock().unwrap()) {
            self.write(id, &line);
        }
        std::thread::Builder::new()
            .stack_size(128 * 1024)
            .spawn(move || {
                self.read(id, &stream);
                if !self.vanished.load(SeqCst) {
                    self.conns.lock().unwrap().remove(&id);
                }
            })
            .unwrap();
    }

    fn read(self: &Arc<Self>, id: u64, mut stream: &TcpStream) {
        let (mut buf, mut chunk) = (Vec::new(), [0; 4096]);
        loop {
            let read = stream.read(&mut chunk);
            if self.vanished.load(SeqCst) {
                return; // The connection stays open, and silent: `conns` holds it.
            }
            match read {
                Ok(0) => return,
                Ok(n) => buf.extend_from_slice(&chunk[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(_) => return,
            }
            while let Some(end) = buf.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = buf.drain(..=end).collect();
                self.line(id, std::str::from_utf8(&line).unwrap_or_default().trim());
            }
        }
    }

    fn line(self: &Arc<Self>, conn: u64, line: &str) {
        let field = |name: &str| json_field(line, name).unwrap_or_default().to_owned();
        let (verb, sid) = (field("verb"), field("tag"));
        self.record.line(&self.name, format!("connection {conn} brought {line}"));
        match &*verb {
            "START" => {
                let session = Session {
                    class: field("class"),
                    title: field("key"),
                    conn,
                    came_at: self.record.now(),
                    stands_since: None,
                    released_at: None,
                };
                self.sessions.lock().unwrap().insert(sid.clone(), session);
                let server = self.clone();
                std::thread::spawn(move || server.run(conn, &sid));
            }
            "FINISH" => {
                let now = self.record.now();
                if let Some(session) = self.sessions.lock().unwrap().get_mut(&sid) {
                    session.released_at.get_or_insert(now);
                }
                let heard = format!("{{\"verb\":\"FINISHED\",\"tag\":\"{sid}\",\"opts\":{{}}}}");
                self.write(conn, &heard);
            }
            "ECHO" => {
                self.write(conn, &format!("{{\"verb\":\"ECHOED\",\"tag\":\"{sid}\",\"opts\":{{}},\"rc\":1}}"))
            }
            _ => {}
        }
    }
}
