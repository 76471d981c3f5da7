//! The desk, its viewers' connections held by the test: nobody reads them but it.

use super::*;
use crate::viewer::{Bell, Reply, Viewer};
use bytes::BytesMut;
use cloverhollow_platform::config;
use cloverhollow_platform::rtsp;
use cloverhollow_session::{ClassConfig, CoreConfig};
use std::io::Write;
use std::time::Instant;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const STOP: Stop = Stop { refuse: LONG, close: LONG, end: LONG };
const LONG: Duration = Duration::from_secs(20);

struct Rig {
    desk: Desk,
    mails: mpsc::Receiver<Mail>,
    bell: Arc<Bell>,
    servers: [TcpListener; 2],
}

impl Rig {
    async fn new(bounds: Bounds) -> Rig {
        let servers = [
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        ];
        let entries: Vec<String> = (servers.iter().enumerate())
            .map(|(i, s)| {
                let at = s.local_addr().unwrap();
                format!(
                    r#"{{"name":"s-{i}","address":"{at}","zone":"east","type":"std","group":{i},
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
        let terms = CoreConfig {
            classes: vec![ClassConfig { paid: false, deadline: site.deadlines[0] }],
            rates_kbps: vec![Arc::from([])],
            server_kinds: site.names.kinds.clone(),
            zone: site.names.zone.clone(),
            retry_after: site.settings.limits.max_retry_after,
            answer_margin: Duration::ZERO,
            max_sessions: 1_000,
            max_waiting: 1,
            idle_timeout: None,
            persistence: None,
        };
        let core = Core::new(SessionPolicy::new(site.settings.clone(), 1), terms, 1);
        let watch = LinkMonitor::new(Duration::ZERO, site.idle_close, 8);
        let (mail, mails) = mpsc::channel(crate::mail::MOST_MAILS);
        let (rings, rung) = mpsc::channel(64);
        let (from, _) = watch::channel(From { address: config.channel, cursor: 0, useless: 0 });
        let clock = Clock::start();
        let mut desk = Desk::new(core, clock, Arc::new(site), watch, bounds, from, Post { mail, rung });
        for told in config.initial_updates {
            desk.told(0, told);
        }
        desk.step();
        Rig { desk, mails, bell: Bell::new(rings), servers }
    }

    /// A viewer's connection whose socket is never read.
    async fn open(&mut self, id: u64) -> Open {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let stream = Arc::new(listener.accept().await.unwrap().0);
        let viewer = Arc::new(Viewer::new(ConnId(id), &stream, self.bell.clone()));
        let (replies, written) = mpsc::channel(64);
        self.desk.take(Mail::Opened(ConnId(id), ViewerHold { replies, viewer: viewer.clone() }));
        Open { viewer, _stream: stream, client, written }
    }

    /// Takes mails until one is as looked for, and that one too.
    async fn until(&mut self, look: impl Fn(&Mail) -> bool) {
        loop {
            let mail = tokio::time::timeout(LONG, self.mails.recv()).await.expect("mail").unwrap();
            let found = look(&mail);
            self.desk.take(mail);
            self.desk.step();
            if found {
                return;
            }
        }
    }
}

struct Open {
    viewer: Arc<Viewer>,
    _stream: Arc<TcpStream>,
    client: std::net::TcpStream,
    written: mpsc::Receiver<Reply>,
}

impl Open {
    /// The client closes, behind what nobody has read; waits for the system alone, no task runs meanwhile.
    fn leave(mut self) -> impl Sized {
        self.client.write_all(b"OPTIONS ").unwrap();
        let Open { viewer, _stream, client, written } = self;
        drop(client);
        let begun = Instant::now();
        while !viewer.has_closed() {
            assert!(begun.elapsed() < LONG, "the close is not seen");
            std::thread::sleep(Duration::from_millis(1));
        }
        (_stream, written)
    }
}

fn setup(id: u64) -> Came {
    let text = format!(
        "SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nSession: {id:016x}\r\nX-Service: clip\r\n\
         X-Setup-Ms: 2000\r\nX-Route: home:0;copies:9;top:1\r\nContent-Length: 0\r\n\r\n"
    );
    Came::Message(rtsp::decode(&mut BytesMut::from(&*text)).unwrap().unwrap())
}

const BOUNDS: Bounds = Bounds { conns: 2, open: 8, open_on_one: 8, stop: STOP };

/// The close is known at the gate alone: the set-up counts as never run, and no further attempt follows.
#[tokio::test]
async fn who_is_found_gone_at_the_gate_gets_no_further_attempt() {
    let mut rig = Rig::new(BOUNDS).await;
    let open = rig.open(1).await;
    open.viewer.put(setup(1));
    rig.desk.step();
    assert_eq!(
        (rig.desk.standing.pending_setups(), rig.desk.core.session_count()),
        (1, 1),
        "an attempt is on its way"
    );
    let _open = open.leave();
    rig.until(|mail| matches!(mail, Mail::Unsent(..))).await;
    assert_eq!(
        (rig.desk.standing.pending_setups(), rig.desk.core.session_count()),
        (0, 0),
        "nobody waits for it"
    );
    for server in &rig.servers {
        // The connection that was made stays; a second one was not begun.
        let second = async {
            server.accept().await.unwrap();
            server.accept().await.unwrap();
        };
        tokio::select! {
            biased;
            () = second => panic!("a further attempt"),
            () = tokio::task::yield_now() => {}
        }
    }
}

/// The same as the answer comes: the session is let go of at its server.
#[tokio::test]
async fn who_is_found_gone_as_the_answer_comes_leaves_no_session_behind() {
    let mut rig = Rig::new(BOUNDS).await;
    let open = rig.open(1).await;
    open.viewer.put(setup(1));
    rig.desk.step();
    rig.until(|mail| matches!(mail, Mail::Up(_))).await;
    let stream = tokio::select! {
        came = rig.servers[0].accept() => came.unwrap().0,
        came = rig.servers[1].accept() => came.unwrap().0,
    };
    let mut server = BufReader::new(stream);
    let mut line = String::new();
    server.read_line(&mut line).await.unwrap();
    assert!(line.contains("START"), "{line}");
    let _open = open.leave();
    let answer = r#"{"verb":"STARTED","tag":"0000000000000001","opts":{},"blob":"v=0"}"#;
    server.write_all(format!("{answer}\n").as_bytes()).await.unwrap();
    rig.until(|mail| matches!(mail, Mail::Line(..))).await;
    assert_eq!((rig.desk.standing.pending_setups(), rig.desk.core.session_count()), (0, 0), "nobody has it");
    line.clear();
    tokio::time::timeout(LONG, server.read_line(&mut line)).await.expect("it is told").unwrap();
    assert!(line.contains("FINISH"), "{line}");
}

/// A place is wanted in the step in which a set-up has come on the connection that was idle so far: another goes.
#[tokio::test]
async fn a_set_up_that_has_come_keeps_its_connection() {
    let mut rig = Rig::new(BOUNDS).await;
    let (first, second) = (rig.open(1).await, rig.open(2).await);
    first.viewer.put(setup(1));
    let mut third = rig.open(3).await;
    rig.desk.step();
    assert!(rig.desk.conns.contains_key(&ConnId(1)) && !rig.desk.conns.contains_key(&ConnId(2)));
    assert_eq!(rig.desk.standing.pending_setups(), 1);
    assert!(third.written.try_recv().is_err());
    drop((first, second));
}

/// The list and a session at a server of it come in one step in which connections are looked at: the server has an address.
#[tokio::test]
async fn a_session_handed_over_in_the_step_that_brings_its_server_is_not_cut() {
    let mut rig = Rig::new(BOUNDS).await;
    let open = rig.open(1).await;
    let address = rig.servers[0].local_addr().unwrap();
    let event = format!(
        r#"{{"cursor":2,"nodes":{{"snapshot":false,"endpoints":[{{"name":"s-new","address":"127.0.0.1:{}","status":"in_service"}}]}}}}"#,
        address.port()
    );
    rig.desk.told(1, ServerDirectory::parse_update(&event).unwrap());
    let text =
        "SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nSession: 00000000000000a1\r\nX-Service: clip\r\n\
                X-Setup-Ms: 4000000\r\nX-Route: home:0;copies:9;top:1;at:s-new\r\nContent-Length: 0\r\n\r\n";
    open.viewer.put(Came::Message(rtsp::decode(&mut BytesMut::from(text)).unwrap().unwrap()));
    rig.desk.take_from(ConnId(1));
    rig.desk.looked = Duration::ZERO;
    tokio::time::sleep(LOOK).await;
    rig.desk.turn().await;
    assert!(rig.desk.standing.may_be_held_by_server("00000000000000a1"), "it stands");
}
