//! Permits over wires that lose and double datagrams: who is told to stop still goes alone.

use cloverhollow_lab::exchange::Log;
use cloverhollow_lab::wires::{Effect, End, Fault, Side, Wires};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Command;
use tokio::time::{sleep, timeout, Instant};

const LONG: Duration = Duration::from_secs(150);
const FRONTS: usize = 5;

/// A stream that lists one server, which nobody asks.
async fn discovery() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 1024]).await;
                let list = json!({"kind": "whole", "version": 1, "servers":
                    [{"id": 1, "address": "127.0.0.1:9", "state": "serving", "incarnation": 1}]});
                let said = format!("HTTP/1.1 200 OK\r\n\r\ndata: {list}\n\n");
                let _ = stream.write_all(said.as_bytes()).await;
                let _ = stream.read(&mut [0; 1]).await;
            });
        }
    });
    address
}

async fn get(side: SocketAddr, path: &str) -> Option<(bool, String)> {
    let asked = async {
        let mut stream = TcpStream::connect(side).await.ok()?;
        let head = format!("GET {path} HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        Some((head.starts_with("HTTP/1.1 200"), body.to_string()))
    };
    timeout(Duration::from_secs(5), asked).await.ok().flatten()
}

/// A front under its supervisor.
#[derive(Default)]
struct One {
    dir: PathBuf,
    side: Mutex<Option<SocketAddr>>,
    pid: AtomicUsize,
    ends: AtomicUsize,
    over: AtomicBool,
}

impl One {
    async fn is_ready(&self) -> bool {
        let side = *self.side.lock().unwrap();
        match side {
            Some(side) => get(side, "/health").await.is_some_and(|a| a.0),
            None => false,
        }
    }

    async fn page(&self) -> Value {
        let side = *self.side.lock().unwrap();
        let Some(side) = side else { return Value::Null };
        let text = get(side, "/v1/fleet").await.map(|a| a.1).unwrap_or_default();
        serde_json::from_str(&text).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.pid.load(SeqCst) as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

/// Lives, one after the other. Out is a front from the end of its process until its next life says that it is ready; how
/// many are out is looked at after each end, before the next life.
async fn supervise(n: usize, all: Arc<Vec<One>>, most: Arc<AtomicUsize>, wires: Arc<Wires>) {
    let own = &all[n];
    while !own.over.load(SeqCst) {
        let log = std::fs::File::options().create(true).append(true).open(own.dir.join("log")).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_cloverhollow-lab"))
            .args(["front", "--policy", "brain", "--config"])
            .arg(own.dir.join("front.yaml"))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        own.pid.store(child.id().unwrap() as usize, SeqCst);
        let line = BufReader::new(child.stdout.take().unwrap()).lines().next_line().await.unwrap();
        let ready: Value = serde_json::from_str(&line.unwrap_or_default()).unwrap_or_default();
        let at = |key: &str| ready[key].as_str().and_then(|a| a.parse::<SocketAddr>().ok());
        wires.set_front(n, at("address").unwrap(), at("members"));
        *own.side.lock().unwrap() = at("side");
        let _ = child.wait().await;
        *own.side.lock().unwrap() = None;
        wires.front_dies(n);
        own.ends.fetch_add(1, SeqCst);
        if own.over.load(SeqCst) {
            return;
        }
        let mut out = 0;
        for other in all.iter() {
            out += usize::from(!other.is_ready().await);
        }
        most.fetch_max(out, SeqCst);
    }
}

async fn until<F: std::future::Future<Output = bool>>(what: &str, so: impl Fn() -> F) {
    let begun = Instant::now();
    while !so().await {
        assert!(begun.elapsed() < LONG, "not within {LONG:?}: {what}");
        sleep(Duration::from_millis(30)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn under_loss_and_doubling_all_told_in_one_instant_go_one_after_the_other() {
    let dir = std::env::temp_dir().join(format!("cloverhollow-out-wires-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    let key = dir.join("members.key");
    std::fs::write(&key, "5a".repeat(32)).unwrap();
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
    let log = Arc::new(Log::begin());
    let wires = Wires::start(FRONTS, &[], discovery().await, Ipv4Addr::LOCALHOST, 5, log).await.unwrap();
    let wires = Arc::new(wires);
    let at: Vec<String> = (0..FRONTS).map(|n| wires.member(n).to_string()).collect();
    let one = |n: usize| {
        let one = One { dir: dir.join(format!("front-{n}")), ..One::default() };
        std::fs::create_dir_all(&one.dir).unwrap();
        let settings = json!({
            "instance": {"name": format!("front-{n}"), "hall": "a"},
            "listen": {"address": "127.0.0.1:0"}, "side": {"address": "127.0.0.1:0"},
            "discovery": {"address": wires.discovery(n).to_string()},
            "keep": {"file": one.dir.join("keep"), "restarts": {"window_ms": 0}},
            "members": {
                "listen": "127.0.0.1:0", "address": at[n], "seeds": at[..3], "witnesses": at[..3],
                "probe_ms": 200, "answer_ms": 60, "suspicion_ms": 2000, "gossip_ms": 60, "heal_ms": 400,
                "sync_ms": 1000, "keys": [{"id": 1, "file": key}],
            },
            "out": {"fleet": 1, "lease_ms": 8000, "wait_ms": 600_000},
        });
        std::fs::write(one.dir.join("front.yaml"), settings.to_string()).unwrap();
        one
    };
    let all: Arc<Vec<One>> = Arc::new((0..FRONTS).map(one).collect());
    let most = Arc::new(AtomicUsize::new(0));
    let lives: Vec<_> =
        (0..FRONTS).map(|n| tokio::spawn(supervise(n, all.clone(), most.clone(), wires.clone()))).collect();
    until("all are ready and know each other", || async {
        let mut so = true;
        for f in all.iter() {
            so &= f.is_ready().await && f.page().await["view"]["at_least"] == FRONTS;
        }
        so
    })
    .await;

    let to = || BTreeSet::from([End::Fronts]);
    for effect in [Effect::Loss(0.3), Effect::Double(0.5)] {
        let (fronts, servers) = ((0..FRONTS).collect(), BTreeSet::new());
        wires.faults.begin(Fault { effect, fronts, servers, side: Side::Both, among: true, to: to() });
    }
    all.iter().for_each(|f| f.signal(Signal::TERM));
    until("all have gone and are back", || async {
        let mut so = true;
        for f in all.iter() {
            so &= f.ends.load(SeqCst) >= 1 && f.is_ready().await;
        }
        so
    })
    .await;
    assert_eq!(most.load(SeqCst), 1, "out at once");
    for f in all.iter() {
        let log = std::fs::read_to_string(f.dir.join("log")).unwrap();
        assert_eq!(f.ends.load(SeqCst), 1);
        assert!(!log.contains("without a permit"), "{log}");
    }
    let touched = wires.faults.reports().iter().all(|r| r.datagrams > 0);
    assert!(touched, "the wires lost some and doubled some");
    for f in all.iter() {
        f.over.store(true, SeqCst);
        f.signal(Signal::KILL);
    }
    for life in lives {
        life.await.unwrap();
    }
}
