//! Effects of list updates on queued lines, and of rejected updates on the command channel.

use super::*;
use crate::messages::MAX_QUEUED_EVENTS;
use cloverhollow_platform::channel::ServerDirectory;
use cloverhollow_platform::settings;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Never reached in these tests.
const SHUTDOWN: ShutdownSchedule =
    ShutdownSchedule { refuse_after: TEST_TIMEOUT, close_idle_after: TEST_TIMEOUT, exit_after: TEST_TIMEOUT };
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

const SID: &str = "9b1f03aa5c7e2d41";
const SERVER_START_MS: u64 = 1_790_000_000_000;

/// An event loop whose events are passed to it by the test.
struct Fixture {
    event_loop: EventLoop,
    event_rx: mpsc::Receiver<LoopEvent>,
    /// Listener of the only server in the list.
    listener: TcpListener,
}

impl Fixture {
    async fn new() -> Fixture {
        let site = settings::read(json!({
            "grades": [{"name": "clip"}], "domain": {"level-kb": [200.0], "told-every": 3000.0},
            "limits": {"connect-timeout": 20_000.0},
        }));
        let site = site.unwrap();
        let (event_tx, event_rx) = mpsc::channel(MAX_QUEUED_EVENTS);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let core = Core::new(SessionPolicy::new(site.settings.clone(), 7), site.core_config(), 7);
        let link_monitor = LinkMonitor::new(site.link_monitor_config(8));
        let limits =
            Limits { max_conns: 8, max_open_setups: 8, max_open_setups_per_conn: 8, shutdown: SHUTDOWN };
        let queues = Queues { event_tx, ready_rx: mpsc::channel(8).1 };
        let (position_tx, _) = watch::channel(ChannelPosition { address, cursor: 0, rejected_stream: 0 });
        let event_loop =
            EventLoop::new(core, Clock::start(), Arc::new(site), link_monitor, limits, position_tx, queues);
        let mut fixture = Fixture { event_loop, event_rx, listener };
        fixture.update_server(1, "in_service", SERVER_START_MS);
        fixture
    }

    fn update_server(&mut self, cursor: u64, status: &str, since_ms: u64) {
        let event = event(cursor, self.listener.local_addr().unwrap(), status, since_ms);
        self.event_loop.apply_channel_update(1, ServerDirectory::parse_update(&event.to_string()).unwrap());
        self.event_loop.step();
    }

    /// Has the event loop connect to the server, and returns the first line received there.
    async fn first_line(self) -> String {
        timeout(TEST_TIMEOUT, self.connect_and_read()).await.expect("a line")
    }

    async fn connect_and_read(mut self) -> String {
        self.event_loop.run_maintenance();
        let (stream, _) = self.listener.accept().await.unwrap();
        let Some(LoopEvent::LinkUp(link)) = self.event_rx.recv().await else { panic!("the link is not up") };
        self.event_loop.handle_event(LoopEvent::LinkUp(link));
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).await.unwrap();
        line
    }
}

fn event(cursor: u64, address: SocketAddr, status: &str, since_ms: u64) -> Value {
    let a = json!({"name": "a", "address": address, "zone": "", "type": "", "group": 0, "status": status,
        "weight": 1.0, "since_ms": since_ms});
    json!({"cursor": cursor, "nodes": {"snapshot": cursor == 1, "endpoints": [a]}})
}

/// Each update that named a server started after this process used to drop the lines queued for it.
#[tokio::test]
async fn update_about_the_same_process_keeps_its_queued_release() {
    let mut fixture = Fixture::new().await;
    let server = fixture.event_loop.directory.server_id("a").unwrap();
    fixture.event_loop.links.send_line(server, Line::finish(SID, cause::CANCELLED));
    fixture.update_server(2, "terminating", SERVER_START_MS);
    assert!(fixture.first_line().await.contains(SID));
}

#[tokio::test]
async fn new_process_under_the_same_name_gets_no_line_of_the_previous_one() {
    let mut fixture = Fixture::new().await;
    let server = fixture.event_loop.directory.server_id("a").unwrap();
    fixture.event_loop.links.send_line(server, Line::finish(SID, cause::CANCELLED));
    fixture.update_server(2, "in_service", SERVER_START_MS + 5_000);
    fixture.event_loop.links.send_line(server, Line::finish("5c7e2d419b1f03aa", cause::CANCELLED));
    assert!(fixture.first_line().await.contains("5c7e2d419b1f03aa"));
}

/// A queued update of a rejected stream used to end the next stream as well.
#[tokio::test]
async fn queued_update_of_a_rejected_stream_does_not_reject_another() {
    let mut fixture = Fixture::new().await;
    let address = fixture.listener.local_addr().unwrap();
    let update = |cursor| {
        ServerDirectory::parse_update(&event(cursor, address, "terminating", SERVER_START_MS).to_string())
            .unwrap()
    };
    fixture.event_loop.apply_channel_update(3, update(5));
    let rejected_stream = |fixture: &Fixture| fixture.event_loop.channel_position.borrow().rejected_stream;
    assert_eq!((rejected_stream(&fixture), fixture.event_loop.channel_position.borrow().cursor), (3, 1));
    fixture.event_loop.apply_channel_update(2, update(6));
    assert_eq!(rejected_stream(&fixture), 3, "an earlier stream does not affect the current one");
    fixture.event_loop.apply_channel_update(4, update(2));
    assert_eq!((rejected_stream(&fixture), fixture.event_loop.channel_position.borrow().cursor), (3, 2));
}
