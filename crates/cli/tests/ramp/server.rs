//! The cold server's stand-in.

use super::ms;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime};

/// What the stand-in's socket saw since its last start.
#[derive(Default)]
struct Seen {
    conns: Vec<TcpStream>,
    came: Vec<(Instant, usize)>,
}

/// A video server that answers each set-up at once.
pub struct Server {
    pub address: SocketAddr,
    up: Arc<AtomicBool>,
    over: Arc<AtomicBool>,
    seen: Arc<Mutex<Seen>>,
}

impl Server {
    /// At a loopback address of its own: nobody takes its port while it is down.
    pub fn new(host: [u8; 4]) -> Server {
        let first = TcpListener::bind((Ipv4Addr::from(host), 0)).unwrap();
        let address = first.local_addr().unwrap();
        let (up, over, seen) = (Arc::new(AtomicBool::new(true)), Arc::default(), Arc::default());
        let server = Server { address, up, over, seen };
        let (up, over, seen) = (server.up.clone(), server.over.clone(), server.seen.clone());
        spawn(move || {
            let mut listener = Some(first);
            while !over.load(SeqCst) {
                if !up.load(SeqCst) {
                    listener = None;
                    for conn in std::mem::take(&mut seen.lock().unwrap().conns) {
                        let _ = socket2::SockRef::from(&conn).set_linger(Some(Duration::ZERO));
                        let _ = conn.shutdown(Shutdown::Both);
                    }
                } else {
                    let listener = listener.get_or_insert_with(|| bind_again(address));
                    listener.set_nonblocking(true).unwrap();
                    while let Ok((conn, _)) = listener.accept() {
                        serve(conn, &seen);
                    }
                }
                sleep(ms(1));
            }
            seen.lock().unwrap().conns.iter().for_each(|c| drop(c.shutdown(Shutdown::Both)));
        });
        server
    }

    /// Its process dies.
    pub fn dies(&self) {
        self.up.store(false, SeqCst);
    }

    /// It starts, cold: when, by its clock and in Unix milliseconds.
    pub fn starts(&self) -> (Instant, u64) {
        self.seen.lock().unwrap().came.clear();
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64;
        self.up.store(true, SeqCst);
        (Instant::now(), unix)
    }

    /// When set-ups came, and from whom.
    pub fn came(&self) -> Vec<(Instant, usize)> {
        self.seen.lock().unwrap().came.clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.over.store(true, SeqCst);
    }
}

fn serve(conn: TcpStream, seen: &Arc<Mutex<Seen>>) {
    conn.set_nonblocking(false).unwrap();
    conn.set_nodelay(true).unwrap();
    seen.lock().unwrap().conns.push(conn.try_clone().unwrap());
    let seen = seen.clone();
    spawn(move || {
        let mut out = conn.try_clone().unwrap();
        for line in BufReader::new(conn).lines() {
            let (Ok(line), at) = (line, Instant::now()) else { return };
            let line: Value = serde_json::from_str(&line).unwrap();
            if line["verb"] == "START" {
                let tag = line["tag"].as_str().unwrap();
                let front = u64::from_str_radix(tag, 16).unwrap() >> 32;
                seen.lock().unwrap().came.push((at, front as usize));
                let answer = json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "v=0"});
                let _ = out.write_all(format!("{answer}\n").as_bytes());
            }
        }
    });
}

/// Its address, as soon as what stood there is gone.
fn bind_again(address: SocketAddr) -> TcpListener {
    crate::platform::until("its address is free", || TcpListener::bind(address).ok())
}
