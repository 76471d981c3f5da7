//! A video server: JSON lines over TCP.

use crate::record::Record;
pub use crate::server_state::{Reply, State};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    record: Record,
    state: Arc<Mutex<State>>,
}

/// A text field of a line.
fn field(line: &str, name: &str) -> String {
    let start = format!("\"{name}\":\"");
    let value = line.split_once(&start).map_or("", |(_, rest)| rest.split('"').next().unwrap_or(""));
    value.to_owned()
}

impl Server {
    /// Starts a server that tells its load every `told_every`.
    pub fn start(name: &str, told_every: Duration, record: &Record) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let state = State::new();
        let address = listener.local_addr().unwrap();
        let (name, state) = (name.to_owned(), Arc::new(Mutex::new(state)));
        let server = Server { name, address, record: record.clone(), state };
        let (accepting, telling) = (server.clone(), server.clone());
        std::thread::spawn(move || accepting.accept(listener));
        std::thread::spawn(move || loop {
            std::thread::sleep(told_every);
            let first = telling.state().sessions.keys().next().cloned();
            if let Some(sid) = first {
                telling.tell_load(&sid);
            }
        });
        server
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn note(&self, text: &str) -> f64 {
        self.record.note(&self.name, text)
    }

    /// Accepts connections. With as many as it takes it does not listen, so that further ones are refused.
    fn accept(&self, first: TcpListener) {
        let (mut listener, mut waits) = (Some(first), true);
        loop {
            if std::mem::replace(&mut waits, true) {
                std::thread::sleep(Duration::from_millis(1));
            }
            let (open, most, vanished) = {
                let state = self.state();
                (state.connections.len(), state.most_connections, state.vanished)
            };
            if vanished {
                // Nothing is accepted any more, so that further connections never come up once the queue is full.
                let Some(l) = listener.take() else { return };
                // SAFETY: the descriptor is open.
                unsafe { listen(l.as_raw_fd(), 0) };
                let fill = || TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
                let held: Vec<_> = std::iter::from_fn(|| fill().ok()).take(200).collect();
                self.note(&format!("new connections never come up: {}", held.len() < 200));
                std::mem::forget((l, held));
                return;
            }
            if open >= most {
                if listener.take().is_some() {
                    self.note(&format!("has all {most} connections it takes; refuses further ones"));
                }
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
                self.note("accepts connections again");
            }
            let Some(l) = &listener else { continue };
            l.set_nonblocking(true).unwrap();
            if let Ok((stream, _)) = l.accept() {
                waits = false;
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                let (mut state, stream) = (self.state(), Arc::new(stream));
                state.last_connection += 1;
                let n = state.last_connection;
                state.connections.insert(n, stream.clone());
                if state.is_filled {
                    state.others.insert(n); // nothing comes on it
                    continue;
                }
                drop(state);
                self.note(&format!("connection {n} accepted"));
                let server = self.clone();
                std::thread::spawn(move || server.serve(n, stream));
            }
        }
    }

    fn serve(&self, n: u64, stream: Arc<TcpStream>) {
        for line in BufReader::new(&*stream).lines() {
            let Ok(line) = line else { break };
            if self.state().vanished {
                continue;
            }
            let at = self.note(&format!("connection {n} reads {line}"));
            let (verb, sid) = (field(&line, "verb"), field(&line, "tag"));
            match &*verb {
                "START" => {
                    self.state().starts.push((at, sid.clone()));
                    let server = self.clone();
                    std::thread::spawn(move || server.set_up(n, &sid));
                }
                "FINISH" => {
                    let stood = {
                        let mut state = self.state();
                        state.finishes.push((at, sid.clone()));
                        state.sessions.remove(&sid).is_some()
                    };
                    self.write(n, &format!(r#"{{"verb":"FINISHED","tag":"{sid}","opts":{{}}}}"#));
                    if stood {
                        self.note(&format!("session {sid} is over: released by the session manager"));
                    }
                }
                "ECHO" => self.write(n, &format!(r#"{{"verb":"ECHOED","tag":"{sid}","opts":{{}},"rc":1}}"#)),
                _ => {}
            }
        }
        self.state().connections.remove(&n);
        self.note(&format!("connection {n} has ended"));
    }

    fn set_up(&self, n: u64, sid: &str) {
        let (reply, time) = self.state().replies();
        std::thread::sleep(time);
        if self.state().is_given_up(n, sid) {
            return;
        }
        let finish = |cause: u32| format!(r#"{{"verb":"FINISH","tag":"{sid}","opts":{{}},"rc":{cause}}}"#);
        match reply {
            Reply::Full => return self.write(n, &finish(34)),
            Reply::Error => return self.write(n, &finish(47)),
            Reply::Stands => {}
        }
        self.state().sessions.insert(sid.to_owned(), n);
        let name = &self.name;
        let blob = format!("v=0\\r\\no={name} {sid}\\r\\n");
        self.write(
            n,
            &format!(
                r#"{{"verb":"STARTED","tag":"{sid}","opts":{{"load":"x0:0.3;x1:0.3"}},"blob":"{blob}"}}"#
            ),
        );
        self.tell_load(sid);
    }

    /// Tells the load of its link and of its rack's uplink on a session.
    fn tell_load(&self, sid: &str) {
        for (note, value) in [("wire", 0.3), ("trunk", 0.3)] {
            let fields = format!(r#"{{"note":"{note}","value":{value}}}"#);
            self.write_for(sid, &format!(r#"{{"verb":"NOTICE","tag":"{sid}","opts":{fields}}}"#));
        }
    }

    /// Ends a session: it has come to its end.
    pub fn end(&self, sid: &str) -> f64 {
        self.write_for(sid, &format!(r#"{{"verb":"FINISH","tag":"{sid}","opts":{{}},"rc":16}}"#));
        self.state().sessions.remove(sid);
        self.note(&format!("session {sid} is over: it has come to its end"))
    }

    /// The process dies: its connections are reset and its sessions are cut. Another video server starts at its address.
    pub fn replace(&self, by: &str) -> f64 {
        let mut state = self.state();
        let cut: Vec<_> = std::mem::take(&mut state.sessions).into_keys().collect();
        for (_, stream) in std::mem::take(&mut state.connections) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        self.note(&format!("dies; its sessions are cut: {cut:?}; from here on {by} is at this address"))
    }

    /// Writes on the connection of the session's set-up, or else on the newest of the session manager's.
    fn write_for(&self, sid: &str, line: &str) {
        let state = self.state();
        let own = state.sessions.get(sid).copied().filter(|n| state.connections.contains_key(n));
        let any = || state.connections.keys().rev().find(|n| !state.others.contains(n)).copied();
        let Some(n) = own.or_else(any) else { return drop(state) };
        drop(state);
        self.write(n, line);
    }

    fn write(&self, n: u64, line: &str) {
        let stream = self.state().connections.get(&n).cloned();
        let (Some(stream), false) = (stream, self.state().vanished) else { return };
        let result = (&*stream).write_all(format!("{line}\n").as_bytes());
        self.note(&format!("connection {n} writes {line}{}", if result.is_err() { " (failed)" } else { "" }));
    }

    /// Another process, for the other session managers, opens connections until the server has all that it takes. The
    /// session manager opens none meanwhile. The process ends with this one.
    pub fn fill_by_others(&self) {
        let count = {
            let mut state = self.state();
            state.is_filled = true;
            state.most_connections - state.connections.len()
        };
        let program = std::env::current_exe().unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let args = ["fill".to_owned(), self.address.to_string(), count.to_string()];
        let others = std::process::Command::new(program).args(args).stdin(Stdio::piped()).spawn();
        self.state().held_by_others = others.ok();
        let until = Instant::now() + Duration::from_secs(5);
        while self.state().has_room() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(2));
        }
        self.state().is_filled = false;
    }

    /// Ends the process that holds connections for others.
    pub fn end_others(&self) {
        if let Some(mut others) = self.state().held_by_others.take() {
            let _ = (others.kill(), others.wait());
        }
    }
}

/// The process of `fill_by_others`: holds connections until its standard input ends.
pub fn fill(address: &str, count: usize) {
    let until = Instant::now() + Duration::from_secs(4);
    let mut held = Vec::new();
    while held.len() < count && Instant::now() < until {
        held.extend(TcpStream::connect(address));
    }
    let _ = std::io::stdin().read(&mut [0]);
}
