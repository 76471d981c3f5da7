//! Connections to video servers, on real sockets.

mod lines;

use super::*;
use crate::mail::MOST_MAILS;
use cloverhollow_platform::lines::Verb;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const S: ServerId = 7;
/// A guard against waiting for ever.
const LONG: Duration = Duration::from_secs(10);

struct Rig {
    links: Links,
    mails: mpsc::Receiver<Mail>,
    listener: TcpListener,
    sent: u64,
}

impl Rig {
    async fn new() -> Rig {
        let (mail, mails) = mpsc::channel(MOST_MAILS);
        let watch = LinkMonitor::new(Duration::from_secs(2), Duration::from_secs(60), 8);
        let links = Links::new(watch, Clock::start(), Duration::from_secs(5), mail);
        Rig { links, mails, listener: TcpListener::bind("127.0.0.1:0").await.unwrap(), sent: 0 }
    }

    fn send(&mut self) {
        self.send_until(Duration::from_secs(60));
    }

    /// Its first byte goes out within that time, or never.
    fn send_until(&mut self, within: Duration) {
        self.sent += 1;
        let sid: SessionId = format!("{:016x}", self.sent).into();
        let line = Line::new(Verb::Start, &sid).encode();
        let until = self.links.clock.now() + within;
        let (attempt, address) = (attempt(self.sent), self.listener.local_addr().unwrap());
        self.links.send(Outgoing { attempt, server: S, address, sid, paid: true, line, until, waits: None });
    }

    /// A connection over which a first set-up went and was answered.
    async fn used(&mut self) -> (LinkId, BufReader<TcpStream>) {
        self.send();
        let (stream, _) = self.listener.accept().await.unwrap();
        let Some(Mail::Up(id)) = self.mails.recv().await else { panic!("it did not come up") };
        self.links.up(id);
        let mut server = BufReader::new(stream);
        read(&mut server).await;
        assert_eq!(self.links.done(id), Some(attempt(1)));
        (id, server)
    }
}

fn attempt(request: u64) -> AttemptId {
    AttemptId { request, number: 0 }
}

async fn read(server: &mut BufReader<TcpStream>) -> String {
    let mut line = String::new();
    tokio::time::timeout(LONG, server.read_line(&mut line)).await.expect("a line or a close").unwrap();
    line
}

#[tokio::test]
async fn a_second_set_up_goes_on_the_same_connection_a_third_beside_it_on_its_own() {
    let mut rig = Rig::new().await;
    let (id, mut server) = rig.used().await;
    rig.send();
    assert!(read(&mut server).await.contains("0000000000000002"));
    rig.send();
    let (stream, _) = rig.listener.accept().await.unwrap();
    let mut third = BufReader::new(stream);
    assert!(read(&mut third).await.contains("0000000000000003"));
    // What breaks takes along the one that was open there, which may have run.
    drop(server);
    loop {
        match rig.mails.recv().await {
            Some(Mail::Down(down, why, _)) => {
                assert_eq!(down, id);
                assert_eq!(rig.links.down(id, why, vec![]), Some((attempt(2), AttemptEnd::Reset)));
                return;
            }
            Some(Mail::Up(_)) => {}
            other => panic!("{other:?}"),
        }
    }
}

/// A used connection that its server has closed, unheard of so far: the set-up is not written, which proves that
/// a paid one may go elsewhere.
#[tokio::test]
async fn a_set_up_on_a_connection_that_has_been_closed_never_ran() {
    let mut rig = Rig::new().await;
    let (id, server) = rig.used().await;
    drop(server);
    rig.send();
    let Some(Mail::Down(down, why, _)) = rig.mails.recv().await else { panic!("it is not down") };
    assert_eq!(down, id);
    assert_eq!(rig.links.down(id, why, vec![]), Some((attempt(2), AttemptEnd::NeverSent)));
}

#[tokio::test]
async fn what_is_recalled_before_its_first_byte_leaves_the_connection_as_good_as_before() {
    let mut rig = Rig::new().await;
    let (_, mut server) = rig.used().await;
    rig.send();
    let ended = rig.links.recall(attempt(2), CancelReason::TimedOut);
    assert_eq!(ended, Some((attempt(2), AttemptEnd::NeverSent)));
    rig.send();
    assert!(read(&mut server).await.contains("0000000000000003"), "the second was never written");
}

/// The word that the second was too late is on its way while the desk recalls it and sends the third on the same
/// connection: that one is on the wire, and may run once only.
#[tokio::test]
async fn the_word_that_a_set_up_was_too_late_says_nothing_of_the_one_after_it() {
    let mut rig = Rig::new().await;
    let (id, mut server) = rig.used().await;
    rig.send_until(Duration::ZERO);
    let Some(Mail::Unsent(link, late)) = rig.mails.recv().await else { panic!("it was not too late") };
    assert_eq!((link, late), (id, attempt(2)));
    assert_eq!(
        rig.links.recall(attempt(2), CancelReason::TimedOut),
        Some((attempt(2), AttemptEnd::NeverSent))
    );
    rig.send();
    assert!(read(&mut server).await.contains("0000000000000003"));
    assert_eq!(rig.links.unsent(link, late), None);
    let end = rig.links.recall(attempt(3), CancelReason::TimedOut);
    assert_eq!(end, Some((attempt(3), AttemptEnd::Unanswered)), "it is out still");
}

#[tokio::test]
async fn a_set_up_that_was_too_late_may_go_elsewhere() {
    let mut rig = Rig::new().await;
    let (_, _server) = rig.used().await;
    rig.send_until(Duration::ZERO);
    let Some(Mail::Unsent(link, late)) = rig.mails.recv().await else { panic!("it was not too late") };
    assert_eq!(rig.links.unsent(link, late), Some((attempt(2), AttemptEnd::NeverSent)));
    assert_eq!(rig.links.unsent(link, late), None, "once");
}

/// A server says its refusal twice, and the session is set up there again meanwhile.
#[tokio::test]
async fn a_second_copy_of_a_refusal_does_not_end_the_next_attempt() {
    let mut rig = Rig::new().await;
    let (first, mut server) = rig.used().await;
    let (attempt, sid) = (AttemptId { request: 1, number: 1 }, SessionId::from("0000000000000001"));
    let line = Line::new(Verb::Start, &sid).encode();
    let until = rig.links.clock.now() + LONG;
    let address = rig.listener.local_addr().unwrap();
    rig.links.send(Outgoing { attempt, server: S, address, sid, paid: true, line, until, waits: None });
    let accepted = tokio::time::timeout(LONG, rig.listener.accept()).await;
    let (stream, _) = accepted.expect("it goes on a connection of its own").unwrap();
    assert!(read(&mut BufReader::new(stream)).await.contains("START"));
    let heard = rig.links.heard(first, &Line::finish("0000000000000001", cause::FULL));
    assert!(heard.is_some_and(|h| !h.own), "it is no word about the one that is open");
    assert_eq!(read(&mut server).await, "", "that connection is closed");
}
