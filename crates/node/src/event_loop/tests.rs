//! The event loop with viewers' connections that no task reads; the tests hold both ends.

use super::*;
use crate::viewer_conn::{ReadyNotifier, ViewerCommand, ViewerConn, ViewerMemory};
use bytes::BytesMut;
use cloverhollow_platform::config;
use cloverhollow_platform::rtsp;
use cloverhollow_session::{ClassConfig, CoreConfig};
use std::io::Write;
use std::time::Instant;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

mod sessions;

const SHUTDOWN: ShutdownSchedule =
    ShutdownSchedule { refuse_after: TEST_TIMEOUT, close_idle_after: TEST_TIMEOUT, exit_after: TEST_TIMEOUT };
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

struct Fixture {
    event_loop: EventLoop,
    event_rx: mpsc::Receiver<LoopEvent>,
    notifier: Arc<ReadyNotifier>,
    servers: [TcpListener; 2],
}

impl Fixture {
    async fn new(limits: Limits) -> Fixture {
        let servers = [
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        ];
        let entries: Vec<String> = (servers.iter().enumerate())
            .map(|(i, s)| {
                let address = s.local_addr().unwrap();
                format!(
                    r#"{{"name":"s-{i}","address":"{address}","zone":"east","type":"std","group":{i},
                       "status":"in_service","weight":4.0,"since_ms":0}}"#
                )
            })
            .collect();
        let text = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"sockets":256}},
               "channel":"127.0.0.1:9","known":{{"cursor":1,"cmds":[{{"cursor":1,"nodes":{{"index":1,
               "snapshot":true,"endpoints":[{}]}}}}]}},
               "settings":{{"balancers":1,"index":0,"zone":"east","kinds":["std"],"discovery":"pushed",
               "grades":[{{"name":"clip","aim":800.0,"deadline":2000.0,"effect":"idempotent","importance":1.0}}],
               "domain":{{"level-kb":[200.0,800.0],"ladder-worth":[0.3,1.0],"link-unit-kb":100000.0,
               "places-by-kind":[500.0],"told-every":3000.0,"told-late":1000.0}},
               "limits":{{"most-tries":3,"connect-timeout":20000.0,"idle-close":15000.0}}}}}}"#,
            entries.join(",")
        );
        let config = config::read(&text).unwrap();
        let site = config.site;
        let core_config = CoreConfig {
            classes: vec![ClassConfig { paid: false, deadline: site.deadlines[0] }],
            rates_kbps: vec![Arc::from([])],
            server_kinds: site.names.kinds.clone(),
            zone: site.names.zone.clone(),
            retry_after: site.settings.limits.max_retry_after,
            answer_margin: Duration::ZERO,
            max_sessions: 1_000,
            max_waiting: 1,
            max_paid_sessions: 8,
            idle_timeout: None,
            persistence: None,
        };
        let core = Core::new(SessionPolicy::new(site.settings.clone(), 1), core_config, 1);
        let link_monitor = LinkMonitor::new(site.link_monitor_config(8));
        let (event_tx, event_rx) = mpsc::channel(crate::messages::MAX_QUEUED_EVENTS);
        let (ready_tx, ready_rx) = mpsc::channel(64);
        let (position_tx, _) =
            watch::channel(ChannelPosition { address: config.channel, cursor: 0, rejected_stream: 0 });
        let clock = Clock::start();
        let mut event_loop = EventLoop::new(
            core,
            clock,
            Arc::new(site),
            link_monitor,
            limits,
            position_tx,
            Queues { event_tx, ready_rx },
        );
        for update in config.initial_updates {
            event_loop.apply_channel_update(0, update);
        }
        event_loop.step();
        Fixture {
            event_loop,
            event_rx,
            notifier: ReadyNotifier::new(ready_tx, ViewerMemory::new(None)),
            servers,
        }
    }

    /// Opens a viewer's connection whose socket is never read.
    async fn connect_viewer(&mut self, id: u64) -> TestViewer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let stream = Arc::new(listener.accept().await.unwrap().0);
        let conn = Arc::new(ViewerConn::new(ConnId(id), &stream, self.notifier.clone()));
        let (command_tx, command_rx) = mpsc::channel(64);
        self.event_loop.handle_event(LoopEvent::ViewerConnected(
            ConnId(id),
            ViewerHandle { command_tx, conn: conn.clone() },
        ));
        TestViewer { conn, _stream: stream, client, command_rx }
    }

    /// Handles events up to and including the first that `is_expected` accepts.
    async fn handle_until(&mut self, is_expected: impl Fn(&LoopEvent) -> bool) {
        loop {
            let event =
                tokio::time::timeout(TEST_TIMEOUT, self.event_rx.recv()).await.expect("an event").unwrap();
            let found = is_expected(&event);
            self.event_loop.handle_event(event);
            self.event_loop.step();
            if found {
                return;
            }
        }
    }
}

struct TestViewer {
    conn: Arc<ViewerConn>,
    _stream: Arc<TcpStream>,
    client: std::net::TcpStream,
    command_rx: mpsc::Receiver<ViewerCommand>,
}

impl TestViewer {
    /// Closes the client's side behind unread bytes and blocks until the system reports the close.
    fn disconnect(mut self) -> impl Sized {
        self.client.write_all(b"OPTIONS ").unwrap();
        let TestViewer { conn, _stream, client, command_rx } = self;
        drop(client);
        let started_at = Instant::now();
        while !conn.has_closed() {
            assert!(started_at.elapsed() < TEST_TIMEOUT, "the close is not detected");
            std::thread::sleep(Duration::from_millis(1));
        }
        (_stream, command_rx)
    }
}

fn setup_message(id: u64) -> Received {
    let text = format!(
        "SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nSession: {id:016x}\r\nX-Service: clip\r\n\
         X-Setup-Ms: 2000\r\nX-Route: home:0;copies:9;top:1\r\nContent-Length: 0\r\n\r\n"
    );
    Received::Message(rtsp::decode(&mut BytesMut::from(&*text)).unwrap().unwrap())
}

const LIMITS: Limits =
    Limits { max_conns: 2, max_open_setups: 8, max_open_setups_per_conn: 8, shutdown: SHUTDOWN };

/// The viewer's close is detected only when its set-up is about to be sent, which then counts as never sent.
#[tokio::test]
async fn set_up_is_not_retried_if_the_viewer_has_left_before_it_is_sent() {
    let mut fixture = Fixture::new(LIMITS).await;
    let viewer = fixture.connect_viewer(1).await;
    viewer.conn.push_received(setup_message(1));
    fixture.event_loop.step();
    assert_eq!(
        (fixture.event_loop.registry.pending_setups(), fixture.event_loop.core.session_count()),
        (1, 1),
        "an attempt is open"
    );
    let _held = viewer.disconnect();
    fixture.handle_until(|event| matches!(event, LoopEvent::SetupNotSent(..))).await;
    assert_eq!(
        (fixture.event_loop.registry.pending_setups(), fixture.event_loop.core.session_count()),
        (0, 0),
        "nothing is pending"
    );
    for server in &fixture.servers {
        // The connection of the first attempt stays open, and no second one is opened.
        let second = async {
            server.accept().await.unwrap();
            server.accept().await.unwrap();
        };
        tokio::select! {
            biased;
            () = second => panic!("the set-up was retried"),
            () = tokio::task::yield_now() => {}
        }
    }
}

/// The viewer's close is detected only when the answer arrives: the session is released at its server.
#[tokio::test]
async fn session_is_released_if_the_viewer_has_left_when_the_answer_arrives() {
    let mut fixture = Fixture::new(LIMITS).await;
    let viewer = fixture.connect_viewer(1).await;
    viewer.conn.push_received(setup_message(1));
    fixture.event_loop.step();
    fixture.handle_until(|event| matches!(event, LoopEvent::LinkUp(_))).await;
    let stream = tokio::select! {
        accepted = fixture.servers[0].accept() => accepted.unwrap().0,
        accepted = fixture.servers[1].accept() => accepted.unwrap().0,
    };
    let mut server = BufReader::new(stream);
    let mut line = String::new();
    server.read_line(&mut line).await.unwrap();
    assert!(line.contains("START"), "{line}");
    let _held = viewer.disconnect();
    let answer = r#"{"verb":"STARTED","tag":"0000000000000001","opts":{},"blob":"v=0"}"#;
    server.write_all(format!("{answer}\n").as_bytes()).await.unwrap();
    fixture.handle_until(|event| matches!(event, LoopEvent::LineReceived(..))).await;
    assert_eq!(
        (fixture.event_loop.registry.pending_setups(), fixture.event_loop.core.session_count()),
        (0, 0),
        "no session is established"
    );
    line.clear();
    tokio::time::timeout(TEST_TIMEOUT, server.read_line(&mut line)).await.expect("a line").unwrap();
    assert!(line.contains("FINISH"), "{line}");
}

/// A set-up on the oldest connection arrives in the step in which one must be evicted: the next oldest is.
#[tokio::test]
async fn connection_with_a_received_set_up_is_not_evicted() {
    let mut fixture = Fixture::new(LIMITS).await;
    let (first, second) = (fixture.connect_viewer(1).await, fixture.connect_viewer(2).await);
    first.conn.push_received(setup_message(1));
    let mut third = fixture.connect_viewer(3).await;
    fixture.event_loop.step();
    assert!(
        fixture.event_loop.viewer_conns.contains_key(&ConnId(1))
            && !fixture.event_loop.viewer_conns.contains_key(&ConnId(2))
    );
    assert_eq!(fixture.event_loop.registry.pending_setups(), 1);
    assert!(third.command_rx.try_recv().is_err());
    drop((first, second));
}
