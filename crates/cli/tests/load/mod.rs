//! Clients that send at full speed on many connections, video servers that answer at once, and ordinary viewers whose
//! responses are counted meanwhile.

use crate::platform::{setup_request, wait_for, Node};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Size of a read by a client that drops what it reads.
const READ_BYTES: usize = 64 * 1024;

/// A runtime for the clients and servers of one test.
pub fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

/// Video server that confirms each set-up at once and releases nothing.
pub fn start_answering_server(runtime: &Runtime) -> SocketAddr {
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_setups(stream));
        }
    });
    address
}

async fn answer_setups(stream: TcpStream) {
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let line: Value = serde_json::from_str(&line).unwrap();
        if line["verb"] == "START" {
            let answer = json!({"verb": "STARTED", "tag": line["tag"], "opts": {}, "blob": "v=0 answer"});
            if writer.write_all(format!("{answer}\n").as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Clients that send at full speed.
pub struct Flood {
    /// Number of connections that send at once.
    pub connections: usize,
    /// Bytes that a client sends next; it is given the number of times that it has sent some.
    pub payload: Arc<dyn Fn(u64) -> Vec<u8> + Send + Sync>,
    /// Whether clients read what they are sent.
    pub reads: bool,
}

/// Flooding clients, which run until [`RunningFlood::stop`].
pub struct RunningFlood {
    sent_bytes: Arc<AtomicU64>,
    tasks: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts the clients. Each connects again when its connection ends.
    pub fn start(self, runtime: &Runtime, node: SocketAddr) -> RunningFlood {
        let (flood, sent_bytes) = (Arc::new(self), Arc::new(AtomicU64::new(0)));
        let spawn = |_| runtime.spawn(flood.clone().run_client(node, sent_bytes.clone()));
        let tasks = (0..flood.connections).map(spawn).collect();
        RunningFlood { sent_bytes, tasks }
    }

    async fn run_client(self: Arc<Self>, node: SocketAddr, sent_bytes: Arc<AtomicU64>) {
        let mut repetition = 0;
        loop {
            let Ok(stream) = TcpStream::connect(node).await else { continue };
            let (reader, mut writer) = stream.into_split();
            let write = async {
                loop {
                    let bytes = (self.payload)(repetition);
                    repetition += 1;
                    if writer.write_all(&bytes).await.is_err() {
                        return;
                    }
                    sent_bytes.fetch_add(bytes.len() as u64, Relaxed);
                }
            };
            tokio::select! { () = drain(&reader, self.reads) => {}, () = write => {} }
        }
    }
}

/// Reads until the connection ends, or does not read at all.
async fn drain(reader: &OwnedReadHalf, reads: bool) {
    if !reads {
        return std::future::pending().await;
    }
    let mut chunk = vec![0; READ_BYTES];
    while reader.readable().await.is_ok() {
        match reader.try_read(&mut chunk) {
            Ok(0) => return,
            Err(e) if e.kind() != ErrorKind::WouldBlock => return,
            _ => {}
        }
    }
}

impl RunningFlood {
    /// Waits until the clients have sent that many bytes together.
    pub fn wait_until_sent(&self, bytes: u64) {
        wait_for("bytes sent by clients", || (self.sent_bytes.load(Relaxed) >= bytes).then_some(()));
    }

    /// Ends the clients.
    pub fn stop(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Sends set-ups, one each `interval`, each on a connection of its own, and waits up to `wait` for each response. Returns
/// the number of responses by status; `None` stands for no response.
pub fn send_setups(
    runtime: &Runtime,
    node: &Node,
    ids: RangeInclusive<u64>,
    interval: Duration,
    wait: Duration,
) -> BTreeMap<Option<u16>, usize> {
    let address = node.address;
    runtime.block_on(async move {
        let mut requests = Vec::new();
        for id in ids {
            requests.push(tokio::spawn(timeout(wait, request(address, id, wait))));
            tokio::time::sleep(interval).await;
        }
        let mut by_status = BTreeMap::new();
        for request in requests {
            let status = request.await.unwrap().ok().flatten();
            *by_status.entry(status).or_default() += 1;
        }
        by_status
    })
}

async fn request(address: SocketAddr, id: u64, wait: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = setup_request(id, "clip", wait.as_millis() as u64);
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).await.ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Peak resident memory of a process, bytes.
pub fn peak_memory_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let kb = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kb.unwrap() * 1024
}
