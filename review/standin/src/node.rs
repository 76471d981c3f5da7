//! The session manager: its configuration, and its process, started by the deploy file's `run`.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Settings as of a small deployment; the form and most figures are those of WIRE's example and of rooster-media.
const SETTINGS: &str = r#"{"balancers":3,"index":0,"tier":0,"tiers":["briefing-fleet"],"family":"streams","tick":10.0,
"client-habits":{"marks-retry":true},"discovery":"pushed","zone":"hal-a","zones":["hal-a","hal-b","hal-c"],
"kinds":["small-2c"],"weights":"none","value-by":"request","over-share-worth":0.1,
"domain":{"class-live":[false,false,false],"class-top":[3,3,3],"fleet-kb":89065.0,"floor-by-class":[0,0,0],"join":1.0,
"ladder-worth":[0.18,0.49,0.75,1.0],"level-kb":[271.0,556.0,1139.0,2336.0],"link-unit-kb":22266.0,"places":PLACES,
"places-by-kind":[40],"rack-link-kb":60000.0,"refuses-from":1.0,"scale-by-class":[1.0,0.7,1.0],"seats":[4,0,0],
"shelves":3,"stall-cost":6.0,"switch-s":0.74,"told-every":TOLD_EVERY,"told-late":1046.61},
"goal":{"whole":0.4,"worst-class":0.2,"worst-tenant":0.1,"worst-window":0.3},
"grades":[
{"aim":1000.0,"deadline":3000.0,"effect":"at_most_once","group":"all","importance":3.0,"key-ttl":5000.0,"late-worth":0.0,"name":"signoff-briefing","streaming":true},
{"aim":800.0,"deadline":3000.0,"effect":"idempotent","group":"all","importance":1.0,"key-ttl":5000.0,"late-worth":0.0,"name":"shift-clip","streaming":true},
{"aim":1500.0,"deadline":5000.0,"effect":"idempotent","group":"all","importance":1.0,"key-ttl":5000.0,"late-worth":0.0,"name":"audio-update","streaming":true}],
"invariants":{"ask-within":10000.0,"cold":12000.0,"cold-from":0.4,"drain-grace":250.0,"fall":1000.0,"fall-multiple":2.0,"grace-to-answer":40.0},
"limits":{"connect-timeout":250.0,"cpu-us-per-request":0.0,"cpu-us-per-s":400000,"idle-close":15000.0,"max-open":1000000,
"max-retry-after":1000.0,"may-cancel":true,"may-duplicate":false,"may-probe":false,"most-tries":3,"multiplex":1048576,
"peers":false,"retry-after":true},
"load-info":{"columns":["concurrent","x0","x1"],"source":"answers"},
"tariffs":{"connection":0.0,"cross-zone":0.02,"discovery":0.0,"handshake":0.0,"late-fail":0.03,"moves":0.05,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.0},
"tenants":[{"fraction":0.7,"name":"sportclub-oost","quota-per-s":0.0},{"fraction":0.3,"name":"voedselbank-west","quota-per-s":0.0}]}"#;

pub struct Node {
    child: Child,
    pub address: SocketAddr,
    log: std::path::PathBuf,
    record: Record,
}

pub struct NodeConfig {
    pub channel: SocketAddr,
    /// Event 1 of the command channel, with the whole list.
    pub first_event: String,
    pub told_every_ms: u64,
    /// Number of cells.
    pub cells: u64,
    /// The most file descriptors that the session manager may hold.
    pub sockets: u32,
}

/// An address on loopback that was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .unwrap_or_else(|e| crate::cannot_run(&e.to_string()))
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).and_then(|l| l.strip_suffix('"'));
    line.unwrap_or_else(|| crate::cannot_run("no `run` in deploy/balancer.toml")).to_owned()
}

impl Node {
    /// Starts the session manager and waits until it has passed a test.
    pub fn start(config: &NodeConfig, record: &Record) -> Node {
        let folder = std::path::PathBuf::from(
            std::env::var("CASE_TMP").unwrap_or_else(|_| crate::cannot_run("no CASE_TMP")),
        );
        let (file, log) = (folder.join("config.json"), folder.join("node.log"));
        let address = free_address();
        let text = format!(
            r#"{{"name":"n0","listen":"{address}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"channel":"{}","known":{{"cursor":1,"cmds":[{}]}},"settings":{}}}"#,
            config.sockets,
            config.channel,
            config.first_event,
            SETTINGS
                .replace("TOLD_EVERY", &format!("{}.0", config.told_every_ms))
                .replace("PLACES", &config.cells.to_string())
        );
        std::fs::write(&file, &text).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        // A limit below the usual one is also set for the process, as on a platform.
        let limit =
            if config.sockets < 1_024 { format!("ulimit -n {} && ", config.sockets) } else { String::new() };
        let command = limit + &run_command();
        record.note("run", &format!("/bin/sh -c '{command}' with NODE_CONFIG: {text}"));
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_CONFIG", &file)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(&log).unwrap())
            .spawn()
            .unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let _ = std::fs::write(folder.join("pid"), child.id().to_string());
        let node = Node { child, address, log, record: record.clone() };
        let ready = (0..1000).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            node.passes_test()
        });
        if !ready {
            crate::cannot_run("the session manager is not ready after 10 s");
        }
        record.note("run", &format!("the session manager, process {}, has passed its test", node.child.id()));
        node
    }

    fn passes_test(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let ping = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n";
        let mut answer = [0; 256];
        stream.write_all(ping.as_bytes()).is_ok()
            && stream.read(&mut answer).is_ok_and(|n| answer[..n].starts_with(b"RTSP/1.0 200"))
    }

    /// File descriptors that the session manager holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, |files| files.count())
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the process, and adds its log to the record.
    pub fn end(mut self) {
        if !self.is_running() {
            self.record.note("run", "the session manager has ended by itself");
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.log.with_file_name("pid"));
        self.record
            .append("log of the session manager:", &std::fs::read_to_string(&self.log).unwrap_or_default());
    }
}
