//! Measures of a front as a process, on this machine: latency added against the same load straight at a
//! server, set-ups and objects a second, memory a session. Measurements, not tests: nothing here fails.

use crate::exchange::Log;
use crate::fronts::forget;
use crate::score::{percentiles, Percentiles};
use crate::standin::Discovery;
use bytes::Bytes;
use cloverhollow_hints::cmcd::Record;
use cloverhollow_hints::cmsd::read_dynamic;
use cloverhollow_hints::Faults;
use cloverhollow_http::{Limits, RequestFrame, RequestHead, ResponseHead, Target};
use cloverhollow_net::{connect, read_body, write_response, ClientConn, ServerCodec, ServerConn};
use cloverhollow_session::{ServerEntry, WireState};
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio_util::codec::Framed;

/// Bytes of an object.
const BODY: usize = 1024;
/// Clock ticks of `/proc/PID/stat` a second, as Linux gives them to programs.
const TICKS: f64 = 100.0;

/// Nanoseconds to read hints, by length of the text.
#[derive(Debug, Serialize)]
pub struct HintFigures {
    /// Bytes, ns a header, ns a byte.
    pub cmcd: Vec<(usize, f64, f64)>,
    /// The same for `CMSD-Dynamic` by members.
    pub cmsd: Vec<(usize, f64, f64)>,
}

fn time(text: &str, mut read: impl FnMut(&str)) -> (usize, f64, f64) {
    let mut best = f64::INFINITY;
    for _ in 0..7 {
        let rounds = (2_000_000 / text.len().max(1)).max(20);
        let begun = Instant::now();
        (0..rounds).for_each(|_| read(black_box(text)));
        best = best.min(begun.elapsed().as_nanos() as f64 / rounds as f64);
    }
    (text.len(), best, best / text.len() as f64)
}

/// Hint parsing, the best of seven runs each.
pub fn hints() -> HintFigures {
    const ONE: &str = "bl=21300,br=3200,bs,cid=\"faec5fc2-ac30-11ea-bb37-0242ac130002\",d=4004,dl=18500,\
                       mtp=48100,ot=v,pr=1.08,rtp=12000,sf=d,sid=\"6e2fb550-c457-11e9-bb97-0800200c9a66\",\
                       st=v,su,tb=6000";
    let cmcd = [1, 4, 16, 64, 256].map(|n| {
        let text = vec![ONE; n].join(",");
        time(&text, |t| {
            let (mut r, mut f) = (Record::default(), Faults::default());
            r.read_query(t, &mut f);
            black_box((r, f));
        })
    });
    let cmsd = [1, 2, 4, 8, 16].map(|n| {
        let text =
            vec!["\"server-101\";etp=96000;rtt=8;com.cloverhollow-link=0.713;com.cloverhollow-streams=31"; n];
        time(&text.join(", "), |t| {
            black_box(read_dynamic(t, &mut Faults::default()));
        })
    });
    HintFigures { cmcd: cmcd.into(), cmsd: cmsd.into() }
}

/// A server that answers every request at once, without a model.
async fn quick_server() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(quick(stream));
            }
        }
    });
    Ok(address)
}

async fn quick(stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut conn: ServerConn = Framed::new(stream, ServerCodec::new(Limits::default()));
    let body = Bytes::from(vec![b'v'; BODY]);
    while let Some(Ok(RequestFrame::Head(_))) = conn.next().await {
        let Ok(Some(asked)) = read_body(&mut conn, 1 << 20).await else { return };
        let (status, body) = if asked.is_empty() { (200, body.clone()) } else { (204, Bytes::new()) };
        let mut head = ResponseHead::new(status, body.len());
        head.headers.push("cmsd-dynamic", "\"server\";com.cloverhollow-link=0.100");
        if write_response(&mut conn, head, body).await.is_err() {
            return;
        }
    }
}

/// A front as a process with that many quick servers behind it.
pub struct Bench {
    child: Child,
    front: SocketAddr,
    servers: Vec<SocketAddr>,
    _discovery: Arc<Discovery>,
}

/// What the front keeps of its deeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keeps {
    /// Nothing.
    Nothing,
    /// What its process's death must not lose.
    Process,
    /// What the machine's crash must not lose.
    Machine,
}

/// Whether a front says that it is ready.
async fn healthy(side: SocketAddr) -> bool {
    let Ok(mut conn) = connect(side).await else { return false };
    let Some(target) = Target::parse("/health".into()) else { return false };
    let mut head = RequestHead::get(target);
    head.headers.push("host", "front");
    conn.exchange(head, Bytes::new(), 1 << 16).await.is_ok_and(|(head, _)| head.status == 200)
}

/// What a closed loop came to.
#[derive(Debug, Serialize)]
pub struct Rate {
    /// Answered 200 a second.
    pub done: f64,
    /// The same for a second of the front's CPU.
    pub per_cpu: f64,
    /// Time to the answer's end.
    pub ms: Percentiles,
}

/// CPU that a process has used, seconds; 0 where it is gone.
pub fn cpu_of(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let at = |i: usize| rest.split_whitespace().nth(i).and_then(|t| t.parse().ok()).unwrap_or(0.0);
    (at(11) + at(12)) / TICKS
}

impl Bench {
    /// Starts servers, a list and a front.
    ///
    /// # Errors
    /// Something did not start.
    pub async fn start(exe: &Path, dir: &Path, servers: usize, keeps: Keeps) -> std::io::Result<Bench> {
        std::fs::create_dir_all(dir)?;
        let mut all = Vec::new();
        for _ in 0..servers {
            all.push(quick_server().await?);
        }
        let file: PathBuf = dir.join("bench.keep");
        forget(&file);
        let discovery = Discovery::start(Arc::new(Log::begin()), Ipv4Addr::LOCALHOST).await?;
        for (i, address) in all.iter().enumerate() {
            let entry = ServerEntry {
                id: i as u64 + 1,
                key: None,
                address: *address,
                zone: String::new(),
                kind: String::new(),
                cell: 0,
                weight: 1.0,
                state: WireState::Serving,
                incarnation: 1,
                started_ms_ago: None,
            };
            discovery.publish(entry, None);
        }
        let keep = match keeps {
            Keeps::Nothing => serde_json::json!({}),
            Keeps::Process => serde_json::json!({"file": file}),
            Keeps::Machine => serde_json::json!({"file": file, "outlives": "machine"}),
        };
        let settings = serde_json::json!({
            "instance": {"seed": 1},
            "listen": {"address": "127.0.0.1:0", "connections": 100_000},
            "side": {"address": "127.0.0.1:0"},
            "discovery": {"address": discovery.address},
            "keep": keep,
            "servers": {"connections": 4096},
            "sessions": {"idle_ms": 600_000, "most": 1_000_000},
            "classes": [{"name": "clip", "aim_ms": 2000, "deadline_ms": 10_000, "paid": true}],
            "ladder": [{"rate_kb": 1, "worth": 1}],
            "fleet": {"kinds": [{"name": "any", "streams": 1_000_000}], "link_unit_kb": 1_000_000_000.0},
        });
        let config = dir.join("bench.yaml");
        std::fs::write(&config, settings.to_string())?;
        let mut command = Command::new(exe);
        command.args(["front", "--policy", "brain", "--log-level", "error", "--config"]).arg(&config);
        let mut child = command.stdout(Stdio::piped()).kill_on_drop(true).spawn()?;
        let out = child.stdout.take().ok_or_else(|| std::io::Error::other("no output"))?;
        let line = BufReader::new(out).lines().next_line().await?.unwrap_or_default();
        let ready: serde_json::Value = serde_json::from_str(&line)?;
        let of = |key: &str| ready[key].as_str().and_then(|a| a.parse::<SocketAddr>().ok());
        let (Some(front), Some(side)) = (of("address"), of("side")) else {
            return Err(std::io::Error::other("the front did not start"));
        };
        while !healthy(side).await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(Bench { child, front, servers: all, _discovery: discovery })
    }
    /// CPU that the front has used, seconds.
    fn cpu(&self) -> f64 {
        self.child.id().map_or(0.0, cpu_of)
    }

    /// Memory that it holds, KiB.
    fn memory(&self) -> f64 {
        let pid = self.child.id().unwrap_or(0);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.split_whitespace().next()).and_then(|t| t.parse().ok()).unwrap_or(0.0)
    }
}

fn request(sid: &str, object: u64) -> RequestHead {
    let target = Target::parse(format!("/club/clip/t{}/{object}.m4s", sid.len()).into());
    let mut head = RequestHead::get(target.unwrap_or_else(|| unreachable!("a path of names")));
    head.headers.push("host", "front");
    head.headers.push("cmcd-session", format!("cid=\"title\",sf=h,sid=\"{sid}\",st=v"));
    head.headers.push("cmcd-object", "br=3200,d=2000,ot=v,tb=6000");
    head.headers.push("cmcd-request", if object == 0 { "su" } else { "bl=4000,mtp=25000" });
    head
}

/// An open-loop load's outcome. Latency counts from the time that a request was meant to be sent.
#[derive(Debug, Serialize)]
pub struct Load {
    /// Requests asked for a second.
    pub wanted: f64,
    /// Answered 200 a second.
    pub done: f64,
    /// Other answers, and broken connections.
    pub failed: u64,
    /// Latency.
    pub ms: Percentiles,
    /// CPU of the front, as a part of one core.
    pub cores: f64,
}

/// Sends `rate` objects a second over `conns` connections for `span`, whether or not answers come in time.
/// Each connection plays a session of its own, set up before the clock starts.
async fn objects(
    address: SocketAddr,
    conns: usize,
    rate: f64,
    span: Duration,
    tag: &str,
) -> (Histogram<u64>, u64, u64) {
    let mut tasks = JoinSet::new();
    let gap = Duration::from_secs_f64(conns as f64 / rate);
    let start = tokio::time::Instant::now() + Duration::from_millis(1500);
    for c in 0..conns {
        let sid = format!("{tag}-{c}");
        tasks.spawn(async move {
            let mut out = (histogram(), 0u64, 0u64);
            let Ok(mut conn) = connect(address).await else { return out };
            if conn.exchange(request(&sid, 0), Bytes::new(), BODY * 4).await.is_err() {
                return out;
            }
            let first = start + gap.mul_f64(c as f64 / conns as f64);
            let mut n = 0u64;
            loop {
                let meant = first + gap.mul_f64(n as f64);
                if meant >= start + span {
                    return out;
                }
                tokio::time::sleep_until(meant).await;
                n += 1;
                match conn.exchange(request(&sid, n), Bytes::new(), BODY * 4).await {
                    Ok((head, _)) if head.status == 200 => {
                        out.1 += 1;
                        out.0.saturating_record(meant.elapsed().as_micros() as u64);
                    }
                    _ => out.2 += 1,
                }
            }
        });
    }
    let mut all = (histogram(), 0, 0);
    while let Some(Ok((h, done, failed))) = tasks.join_next().await {
        let _ = all.0.add(h);
        all.1 += done;
        all.2 += failed;
    }
    all
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
}

impl Bench {
    /// The same load through the front and straight at its servers, side by side in one run.
    pub async fn latency(&self, conns: usize, rate: f64, span: Duration, round: usize) -> (Load, Load) {
        let measure = |address, tag: String| async move {
            let cpu = self.cpu();
            let begun = Instant::now();
            let (h, done, failed) = objects(address, conns, rate, span, &tag).await;
            let cores = (self.cpu() - cpu) / begun.elapsed().as_secs_f64();
            Load { wanted: rate, done: done as f64 / span.as_secs_f64(), failed, ms: percentiles(&h), cores }
        };
        let straight = measure(self.servers[0], format!("straight{round}")).await;
        let through = measure(self.front, format!("through{round}")).await;
        (through, straight)
    }

    /// As many objects as the front can do: each connection asks again at once. Objects a second, and a
    /// second of the front's CPU.
    pub async fn most_objects(&self, conns: usize, span: Duration, round: usize) -> Rate {
        self.closed_loop(conns, span, move |c, n| request(&format!("most{round}-{c}"), n)).await
    }

    /// As many set-ups as it can do, each of a new session.
    pub async fn most_setups(&self, conns: usize, span: Duration, round: usize) -> Rate {
        self.closed_loop(conns, span, move |c, n| request(&format!("setup{round}-{c}-{n}"), 0)).await
    }

    async fn closed_loop(
        &self,
        conns: usize,
        span: Duration,
        make: impl Fn(usize, u64) -> RequestHead + Send + Sync + 'static,
    ) -> Rate {
        let make = Arc::new(make);
        let mut tasks = JoinSet::new();
        let (address, begun, cpu) = (self.front, Instant::now(), self.cpu());
        for c in 0..conns {
            let make = make.clone();
            tasks.spawn(async move {
                let mut took = histogram();
                let Ok(mut conn) = connect(address).await else { return took };
                for n in 0.. {
                    if begun.elapsed() >= span {
                        break;
                    }
                    let sent = Instant::now();
                    let got = conn.exchange(make(c, n), Bytes::new(), BODY * 4).await;
                    if got.is_ok_and(|(head, _)| head.status == 200) {
                        let _ = took.record(sent.elapsed().as_micros() as u64);
                    }
                }
                took
            });
        }
        let mut all = histogram();
        while let Some(took) = tasks.join_next().await {
            let _ = took.map(|took| all.add(took));
        }
        let n = all.len() as f64;
        let (done, per_cpu) = (n / begun.elapsed().as_secs_f64(), n / (self.cpu() - cpu).max(1e-9));
        Rate { done, per_cpu, ms: percentiles(&all) }
    }

    /// KiB a session that plays: with its viewer's connection closed, and with it open.
    pub async fn memory_a_session(&self, sessions: usize) -> (f64, f64) {
        let before = self.memory();
        drop(self.hold(sessions, "closed", false).await);
        tokio::time::sleep(SETTLE).await;
        let closed = self.memory();
        let open = self.hold(sessions, "open", true).await;
        tokio::time::sleep(SETTLE).await;
        let all = self.memory();
        drop(open);
        let each = |kib: f64| kib / sessions.max(1) as f64;
        (each(closed - before), each(all - closed))
    }

    /// Sets sessions up, 64 at a time; their connections, if they are to stay open.
    async fn hold(&self, sessions: usize, tag: &str, keep: bool) -> Vec<ClientConn> {
        let mut open = Vec::new();
        let mut tasks: JoinSet<Option<ClientConn>> = JoinSet::new();
        for c in 0..sessions {
            if tasks.len() >= 64 {
                open.extend(tasks.join_next().await.and_then(Result::ok).flatten());
            }
            let (address, sid) = (self.front, format!("held-{tag}-{c}"));
            tasks.spawn(async move {
                let mut conn = connect(address).await.ok()?;
                conn.exchange(request(&sid, 0), Bytes::new(), BODY * 4).await.ok()?;
                keep.then_some(conn)
            });
        }
        while let Some(conn) = tasks.join_next().await {
            open.extend(conn.ok().flatten());
        }
        open
    }
}

/// Time for a process's memory to settle after a change.
const SETTLE: Duration = Duration::from_millis(700);
