use super::*;
use crate::mail::MOST_MAILS;
use cloverhollow_platform::channel::ServerDirectory;
use cloverhollow_platform::settings;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Only a guard.
const STOP: Stop = Stop { refuse: LONG, close: LONG, end: LONG };
const LONG: Duration = Duration::from_secs(5);

const SID: &str = "9b1f03aa5c7e2d41";
const START: u64 = 1_790_000_000_000;

/// A desk that nobody runs: a test hands it its mails.
struct Rig {
    desk: Desk,
    mails: mpsc::Receiver<Mail>,
    /// Of the one server of the list.
    listener: TcpListener,
}

impl Rig {
    async fn new() -> Rig {
        let site = settings::read(json!({
            "grades": [{"name": "clip"}], "domain": {"level-kb": [200.0], "told-every": 3000.0},
            "limits": {"connect-timeout": 20_000.0},
        }));
        let site = site.unwrap();
        let (mail, mails) = mpsc::channel(MOST_MAILS);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let core = Core::new(SessionPolicy::new(site.settings.clone(), 7), site.core_config(), 7);
        let watch = LinkMonitor::new(site.settings.report_interval, site.idle_close, 8);
        let bounds = Bounds { conns: 8, open: 8, open_on_one: 8, stop: STOP };
        let post = Post { mail, rung: mpsc::channel(8).1 };
        let (from, _) = watch::channel(From { address, cursor: 0, useless: 0 });
        let desk = Desk::new(core, Clock::start(), Arc::new(site), watch, bounds, from, post);
        let mut rig = Rig { desk, mails, listener };
        rig.told(1, "in_service", START);
        rig
    }

    fn told(&mut self, cursor: u64, status: &str, since: u64) {
        let event = event(cursor, self.listener.local_addr().unwrap(), status, since);
        self.desk.told(1, ServerDirectory::parse_update(&event.to_string()).unwrap());
        self.desk.step();
    }

    /// A release waits for a connection to the server. Has the desk open one.
    async fn first_line(self) -> String {
        timeout(LONG, self.line()).await.expect("a line")
    }

    async fn line(mut self) -> String {
        self.desk.look();
        let (stream, _) = self.listener.accept().await.unwrap();
        let Some(Mail::Up(link)) = self.mails.recv().await else { panic!("it is not up") };
        self.desk.take(Mail::Up(link));
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).await.unwrap();
        line
    }
}

fn event(cursor: u64, address: SocketAddr, status: &str, since: u64) -> Value {
    let a = json!({"name": "a", "address": address, "zone": "", "type": "", "group": 0, "status": status,
        "weight": 1.0, "since_ms": since});
    json!({"cursor": cursor, "nodes": {"snapshot": cursor == 1, "endpoints": [a]}})
}

/// Guards what waits for a connection: each event that named a server that was started late dropped it.
#[tokio::test]
async fn a_word_of_the_list_on_the_same_process_drops_no_release_that_waits_for_it() {
    let mut rig = Rig::new().await;
    let server = rig.desk.directory.server_id("a").unwrap();
    rig.desk.links.tell(server, Line::finish(SID, cause::CANCELLED));
    rig.told(2, "terminating", START);
    assert!(rig.first_line().await.contains(SID));
}

#[tokio::test]
async fn another_process_under_the_name_gets_no_line_about_the_one_before() {
    let mut rig = Rig::new().await;
    let server = rig.desk.directory.server_id("a").unwrap();
    rig.desk.links.tell(server, Line::finish(SID, cause::CANCELLED));
    rig.told(2, "in_service", START + 5_000);
    rig.desk.links.tell(server, Line::finish("5c7e2d419b1f03aa", cause::CANCELLED));
    assert!(rig.first_line().await.contains("5c7e2d419b1f03aa"));
}

/// Guards the next stream: an event of the last one that still waited ended it as well.
#[tokio::test]
async fn what_of_a_useless_stream_still_waits_ends_no_other() {
    let mut rig = Rig::new().await;
    let at = rig.listener.local_addr().unwrap();
    let told =
        |cursor| ServerDirectory::parse_update(&event(cursor, at, "terminating", START).to_string()).unwrap();
    rig.desk.told(3, told(5));
    let useless = |rig: &Rig| rig.desk.from.borrow().useless;
    assert_eq!((useless(&rig), rig.desk.from.borrow().cursor), (3, 1));
    rig.desk.told(2, told(6));
    assert_eq!(useless(&rig), 3, "an older one says nothing of the stream that is read now");
    rig.desk.told(4, told(2));
    assert_eq!((useless(&rig), rig.desk.from.borrow().cursor), (3, 2));
}
