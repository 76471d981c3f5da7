//! Set-ups on connections to video servers, over real sockets.

mod sending;

use super::*;
use crate::messages::MAX_QUEUED_EVENTS;
use cloverhollow_platform::lines::Verb;
use cloverhollow_platform::link_monitor::LinkMonitorConfig;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const SERVER: ServerId = 7;
/// Limit on waiting for an expected event.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

struct Fixture {
    links: Links,
    event_rx: mpsc::Receiver<LoopEvent>,
    listener: TcpListener,
    setups_sent: u64,
}

impl Fixture {
    async fn new() -> Fixture {
        let (event_tx, event_rx) = mpsc::channel(MAX_QUEUED_EVENTS);
        let monitor = LinkMonitor::new(LinkMonitorConfig {
            report_interval: Duration::from_secs(2),
            idle_close: Duration::from_secs(60),
            connect_timeout: Duration::from_secs(5),
            max_idle: 8,
        });
        let links = Links::new(monitor, Clock::start(), Duration::from_secs(5), event_tx);
        Fixture { links, event_rx, listener: TcpListener::bind("127.0.0.1:0").await.unwrap(), setups_sent: 0 }
    }

    fn send_setup(&mut self) {
        self.send_setup_within(Duration::from_secs(60));
    }

    /// Sends a set-up that becomes obsolete if its first byte is not written within that time.
    fn send_setup_within(&mut self, within: Duration) {
        self.setups_sent += 1;
        let sid: SessionId = format!("{:016x}", self.setups_sent).into();
        let line = Line::new(Verb::Start, &sid).encode();
        let send_deadline = self.links.clock.now() + within;
        let (attempt, address) = (attempt(self.setups_sent), self.listener.local_addr().unwrap());
        self.links.send_setup(OutgoingSetup {
            attempt,
            server: SERVER,
            address,
            sid,
            at_most_once: true,
            line,
            send_deadline,
            waiter: None,
        });
    }

    /// Opens a connection on which a first set-up has been sent and answered.
    async fn used_connection(&mut self) -> (LinkId, BufReader<TcpStream>) {
        self.send_setup();
        let (stream, _) = self.listener.accept().await.unwrap();
        let Some(LoopEvent::LinkUp(id)) = self.event_rx.recv().await else { panic!("the link is not up") };
        self.links.link_up(id);
        let mut server = BufReader::new(stream);
        read_line(&mut server).await;
        assert_eq!(self.links.finish_setup(id), Some(attempt(1)));
        (id, server)
    }
}

fn attempt(request: u64) -> AttemptId {
    AttemptId { request, number: 0 }
}

async fn read_line(server: &mut BufReader<TcpStream>) -> String {
    let mut line = String::new();
    tokio::time::timeout(TEST_TIMEOUT, server.read_line(&mut line))
        .await
        .expect("a line or a close")
        .unwrap();
    line
}

#[tokio::test]
async fn idle_connection_is_reused_and_concurrent_set_up_gets_its_own() {
    let mut fixture = Fixture::new().await;
    let (id, mut server) = fixture.used_connection().await;
    fixture.send_setup();
    assert!(read_line(&mut server).await.contains("0000000000000002"));
    fixture.send_setup();
    let (stream, _) = fixture.listener.accept().await.unwrap();
    let mut third = BufReader::new(stream);
    assert!(read_line(&mut third).await.contains("0000000000000003"));
    // A broken connection ends only the set-up that is open on it, which may have been executed.
    drop(server);
    loop {
        match fixture.event_rx.recv().await {
            Some(LoopEvent::LinkDown(down, reason, _)) => {
                assert_eq!(down, id);
                assert_eq!(
                    fixture.links.link_down(id, reason, vec![]),
                    Some((attempt(2), AttemptEnd::Reset))
                );
                return;
            }
            Some(LoopEvent::LinkUp(_)) => {}
            other => panic!("{other:?}"),
        }
    }
}

/// The server has closed a used connection and the close is not known yet: the set-up is not written, which
/// proves that even an at-most-once set-up may be sent elsewhere.
#[tokio::test]
async fn set_up_on_a_closed_connection_is_never_sent() {
    let mut fixture = Fixture::new().await;
    let (id, server) = fixture.used_connection().await;
    drop(server);
    fixture.send_setup();
    let Some(LoopEvent::LinkDown(down, reason, _)) = fixture.event_rx.recv().await else {
        panic!("the link is not down")
    };
    assert_eq!(down, id);
    assert_eq!(fixture.links.link_down(id, reason, vec![]), Some((attempt(2), AttemptEnd::NeverSent)));
}

#[tokio::test]
async fn connection_is_reusable_after_an_unsent_set_up_is_cancelled() {
    let mut fixture = Fixture::new().await;
    let (_, mut server) = fixture.used_connection().await;
    fixture.send_setup();
    let ended = fixture.links.cancel_setup(attempt(2), CancelReason::TimedOut);
    assert_eq!(ended, Some((attempt(2), AttemptEnd::NeverSent)));
    fixture.send_setup();
    assert!(read_line(&mut server).await.contains("0000000000000003"), "the second was never written");
}

/// The event that the second set-up was not sent is still queued when the event loop cancels it and sends the
/// third one on the same connection. The event must not end the third set-up, which would then be executed
/// twice.
#[tokio::test]
async fn late_not_sent_event_does_not_affect_the_next_set_up() {
    let mut fixture = Fixture::new().await;
    let (id, mut server) = fixture.used_connection().await;
    fixture.send_setup_within(Duration::ZERO);
    let Some(LoopEvent::SetupNotSent(link, late)) = fixture.event_rx.recv().await else {
        panic!("the set-up was not obsolete")
    };
    assert_eq!((link, late), (id, attempt(2)));
    assert_eq!(
        fixture.links.cancel_setup(attempt(2), CancelReason::TimedOut),
        Some((attempt(2), AttemptEnd::NeverSent))
    );
    fixture.send_setup();
    assert!(read_line(&mut server).await.contains("0000000000000003"));
    assert_eq!(fixture.links.setup_not_sent(link, late), None);
    let end = fixture.links.cancel_setup(attempt(3), CancelReason::TimedOut);
    assert_eq!(end, Some((attempt(3), AttemptEnd::Unanswered)), "the third set-up is still open");
}

#[tokio::test]
async fn obsolete_set_up_ends_once_as_never_sent() {
    let mut fixture = Fixture::new().await;
    let (_, _server) = fixture.used_connection().await;
    fixture.send_setup_within(Duration::ZERO);
    let Some(LoopEvent::SetupNotSent(link, late)) = fixture.event_rx.recv().await else {
        panic!("the set-up was not obsolete")
    };
    assert_eq!(fixture.links.setup_not_sent(link, late), Some((attempt(2), AttemptEnd::NeverSent)));
    assert_eq!(fixture.links.setup_not_sent(link, late), None, "it ends only once");
}

/// A server sends its refusal twice, and the session is set up there again in the meantime.
#[tokio::test]
async fn duplicate_refusal_does_not_end_the_next_attempt() {
    let mut fixture = Fixture::new().await;
    let (first, mut server) = fixture.used_connection().await;
    let (attempt, sid) = (AttemptId { request: 1, number: 1 }, SessionId::from("0000000000000001"));
    let line = Line::new(Verb::Start, &sid).encode();
    let send_deadline = fixture.links.clock.now() + TEST_TIMEOUT;
    let address = fixture.listener.local_addr().unwrap();
    fixture.links.send_setup(OutgoingSetup {
        attempt,
        server: SERVER,
        address,
        sid,
        at_most_once: true,
        line,
        send_deadline,
        waiter: None,
    });
    let accepted = tokio::time::timeout(TEST_TIMEOUT, fixture.listener.accept()).await;
    let (stream, _) = accepted.expect("it is sent on a connection of its own").unwrap();
    assert!(read_line(&mut BufReader::new(stream)).await.contains("START"));
    let source = fixture.links.line_received(first, &Line::finish("0000000000000001", cause::FULL));
    assert!(source.is_some_and(|s| !s.is_open_setup), "the duplicate does not concern the open set-up");
    assert_eq!(read_line(&mut server).await, "", "the first connection is closed");
}
