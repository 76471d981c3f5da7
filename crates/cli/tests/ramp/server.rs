//! Fake cold server.

use super::ms;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime};

/// Connections and set-ups since the last start of the server.
#[derive(Default)]
struct Received {
    conns: Vec<TcpStream>,
    /// Arrival time and index of the session manager.
    setups: Vec<(Instant, usize)>,
}

/// Video server that answers each set-up at once and can be stopped and started.
pub struct Server {
    pub address: SocketAddr,
    running: Arc<AtomicBool>,
    shutdown: Arc<AtomicBool>,
    received: Arc<Mutex<Received>>,
}

impl Server {
    /// Listens on `host`, a loopback address that no other test uses, so that its port stays free while it is stopped.
    pub fn new(host: [u8; 4]) -> Server {
        let first_listener = TcpListener::bind((Ipv4Addr::from(host), 0)).unwrap();
        let address = first_listener.local_addr().unwrap();
        let (running, shutdown, received) = (Arc::new(AtomicBool::new(true)), Arc::default(), Arc::default());
        let server = Server { address, running, shutdown, received };
        let (running, shutdown, received) =
            (server.running.clone(), server.shutdown.clone(), server.received.clone());
        spawn(move || {
            let mut listener = Some(first_listener);
            while !shutdown.load(SeqCst) {
                if !running.load(SeqCst) {
                    listener = None;
                    for conn in std::mem::take(&mut received.lock().unwrap().conns) {
                        let _ = socket2::SockRef::from(&conn).set_linger(Some(Duration::ZERO));
                        let _ = conn.shutdown(Shutdown::Both);
                    }
                } else {
                    let listener = listener.get_or_insert_with(|| rebind(address));
                    listener.set_nonblocking(true).unwrap();
                    while let Ok((conn, _)) = listener.accept() {
                        serve(conn, &received);
                    }
                }
                sleep(ms(1));
            }
            received.lock().unwrap().conns.iter().for_each(|c| drop(c.shutdown(Shutdown::Both)));
        });
        server
    }

    /// Closes the listener and resets all connections.
    pub fn stop(&self) {
        self.running.store(false, SeqCst);
    }

    /// Starts the server cold; returns the start time, also in Unix ms.
    pub fn start_cold(&self) -> (Instant, u64) {
        self.received.lock().unwrap().setups.clear();
        let unix_ms = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64;
        self.running.store(true, SeqCst);
        (Instant::now(), unix_ms)
    }

    /// Arrival times of the set-ups and the indices of the session managers that sent them.
    pub fn setups(&self) -> Vec<(Instant, usize)> {
        self.received.lock().unwrap().setups.clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.store(true, SeqCst);
    }
}

fn serve(conn: TcpStream, received: &Arc<Mutex<Received>>) {
    conn.set_nonblocking(false).unwrap();
    conn.set_nodelay(true).unwrap();
    received.lock().unwrap().conns.push(conn.try_clone().unwrap());
    let received = received.clone();
    spawn(move || {
        let mut writer = conn.try_clone().unwrap();
        for line in BufReader::new(conn).lines() {
            let (Ok(line), received_at) = (line, Instant::now()) else { return };
            let line: Value = serde_json::from_str(&line).unwrap();
            if line["verb"] == "START" {
                let tag = line["tag"].as_str().unwrap();
                let front = u64::from_str_radix(tag, 16).unwrap() >> 32;
                received.lock().unwrap().setups.push((received_at, front as usize));
                let answer = json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "v=0"});
                let _ = writer.write_all(format!("{answer}\n").as_bytes());
            }
        }
    });
}

/// Binds the address again once the previous listener has released it.
fn rebind(address: SocketAddr) -> TcpListener {
    crate::platform::wait_for("the address is free", || TcpListener::bind(address).ok())
}
