//! A session manager under test: its configuration, its process by the deploy file's `run`, and its end.

use crate::channel::Channel;
use crate::record::{wait_for, Record};
use crate::viewers::Viewers;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGTERM: i32 = 15;

pub struct Manager {
    pub name: String,
    pub address: SocketAddr,
    folder: PathBuf,
    record: Record,
    child: Child,
    /// Number of its starts before this one.
    starts: usize,
}

/// What the deployment's settings vary between cases.
pub struct Site {
    pub managers: usize,
    pub places: usize,
    pub told_every_ms: u64,
    /// Sessions of one title of `signoff-briefing` that one session manager may hold.
    pub seats: usize,
}

/// The settings of instance `index`: the example of WIRE.md, in a small deployment.
fn settings(site: &Site, index: usize) -> String {
    let text = r#"{"balancers":MANAGERS,"client-habits":{"marks-retry":false},"discovery":"pushed",
"domain":{"class-live":[false,false,false],"class-top":[3,3,3],"fleet-kb":37110.0,"floor-by-class":[0,0,0],"join":1.0,
"ladder-worth":[0.18,0.49,0.75,1.0],"level-kb":[271.0,556.0,1139.0,2336.0],"link-unit-kb":7422.0,"places":PLACES,
"places-by-kind":[27],"rack-link-kb":19597.0,"refuses-from":1.0,"scale-by-class":[1.0,0.7,1.0],"seats":[SEATS,0,0],
"shelves":1,"stall-cost":6.0,"switch-s":0.74,"told-every":TOLD,"told-late":1046.0},"family":"streams",
"grades":[{"aim":1000.0,"deadline":3000.0,"effect":"at_most_once","group":"all","importance":3.0,"name":"signoff-briefing",
"streaming":true},{"aim":800.0,"deadline":3000.0,"effect":"idempotent","group":"all","importance":1.0,"name":"shift-clip",
"streaming":true},{"aim":1500.0,"deadline":5000.0,"effect":"idempotent","group":"all","importance":1.0,
"name":"audio-update","streaming":true}],"index":INDEX,"invariants":{"ask-within":10000.0,"cold":12000.0,"cold-from":0.4,
"drain-grace":250.0,"fall":1000.0,"fall-multiple":2.0,"grace-to-answer":40.0},"kinds":["small-2c"],
"limits":{"connect-timeout":250.0,"idle-close":15000.0,"max-open":1000000,"max-retry-after":1000.0,"may-cancel":true,
"may-duplicate":false,"may-probe":false,"most-tries":3,"multiplex":100,"peers":false,"retry-after":true},
"load-info":{"columns":["concurrent","x0","x1"],"source":"answers"},"over-share-worth":0.1,
"tenants":[{"fraction":0.7,"name":"sportclub-oost","quota-per-s":100.0},{"fraction":0.3,"name":"voedselbank-west",
"quota-per-s":50.0}],"tick":10.0,"tier":0,"tiers":["briefing-fleet"],"weights":"none","zone":"hal-a","zones":["hal-a"]}"#;
    let text = text.replace("MANAGERS", &site.managers.to_string()).replace("INDEX", &index.to_string());
    let text = text.replace("PLACES", &site.places.to_string()).replace("SEATS", &site.seats.to_string());
    text.replace("TOLD", &site.told_every_ms.to_string())
}

impl Manager {
    /// Starts a session manager and waits until it has passed a test.
    pub fn start(record: &Record, site: &Site, index: usize, channel: &Channel) -> Manager {
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = free.local_addr().unwrap();
        drop(free);
        let folder = std::env::temp_dir().join(format!("review-2-{}-n{index}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Manager::start_at(record, site, index, channel, address, folder, 0)
    }

    fn start_at(
        record: &Record,
        site: &Site,
        index: usize,
        channel: &Channel,
        address: SocketAddr,
        folder: PathBuf,
        starts: usize,
    ) -> Manager {
        let name = format!("n{index}");
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"seed\":\"8c1f30d27a5be96{index}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"channel\":\"{}\",\
             \"known\":{},\"settings\":{}}}",
            channel.address,
            channel.known(),
            settings(site, index)
        );
        let file = folder.join("config.json");
        std::fs::write(&file, config).expect("the configuration can be written");
        let deploy =
            std::fs::read_to_string("deploy/balancer.toml").expect("started from the repository's root");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"')).expect("`run`");
        let log = |kind: &str| {
            Stdio::from(File::create(folder.join(format!("{kind}-{starts}"))).expect("a log file"))
        };
        let mut command = Command::new("/bin/sh");
        // The session manager ends with the script, however that ends.
        unsafe { command.pre_exec(|| Ok(_ = prctl(PR_SET_PDEATHSIG, 9))) };
        let child = command
            .args(["-c", run])
            .env("NODE_NAME", &name)
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log("out"))
            .stderr(log("err"))
            .process_group(0)
            .spawn()
            .expect("`run` can be started");
        record.line(&name, format!("started: {run}, process {}, at {address}", child.id()));
        let manager = Manager { name, address, folder, record: record.clone(), child, starts };
        let passed = wait_for(10.0, || {
            Viewers::connect(record, "test", address).is_ok_and(|connection| connection.test(1.0))
        });
        assert!(passed, "the session manager passes its test");
        manager
    }

    /// Starts it again from nothing, under its name and address.
    pub fn restart(&mut self, site: &Site, index: usize, channel: &Channel) {
        let (folder, starts) = (self.folder.clone(), self.starts + 1);
        let next = Manager::start_at(&self.record, site, index, channel, self.address, folder, starts);
        // The folder goes with the last life.
        std::mem::replace(self, next).folder = PathBuf::new();
    }

    pub fn signal(&self, signal: i32, name: &str) -> f64 {
        unsafe { kill(self.child.id() as i32, signal) };
        let now = self.record.now();
        self.record.line(&self.name, format!("was sent {name}"));
        now
    }

    /// Whether the process has ended.
    pub fn ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Manager {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for start in 0..=self.starts {
            let log = std::fs::read_to_string(self.folder.join(format!("err-{start}"))).unwrap_or_default();
            for line in log.lines() {
                self.record.line(&format!("{}'s log", self.name), line);
            }
        }
        if self.folder.is_absolute() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
