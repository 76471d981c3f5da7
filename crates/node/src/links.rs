//! All connections to video servers: which carries a set-up, a line, or waits; and what is proven of a set-up when
//! its connection ends. What is believed of the servers is [`Watch`]'s; here it is put on connections.

use crate::link::{self, Way};
use crate::mail::{First, Hold, Mail};
use crate::viewer::Waits;
use bytes::Bytes;
use cloverhollow::ServerId;
use cloverhollow_net::{Clock, Gate};
use cloverhollow_platform::lines::{cause, Line};
use cloverhollow_platform::watch::{Act, Down, LinkId, Watch};
use cloverhollow_session::{AttemptEnd, AttemptId, RecallWhy, Sid};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Most lines that wait for a connection to one video server; past them the oldest is dropped.
const MOST_WAITING: usize = 256;

/// A connection to a video server.
struct Link {
    server: ServerId,
    hold: Hold,
    up: bool,
    /// It closes after what is queued: nothing more is written on it.
    closing: bool,
    /// The set-up that is open on it.
    attempt: Option<(AttemptId, Sid)>,
    /// Settles whether that set-up's first byte goes out.
    gate: Arc<Gate>,
}

/// A set-up to be sent.
pub(crate) struct Outgoing {
    pub(crate) attempt: AttemptId,
    pub(crate) server: ServerId,
    pub(crate) address: SocketAddr,
    pub(crate) sid: Sid,
    /// It may take effect once only.
    pub(crate) paid: bool,
    pub(crate) line: Bytes,
    /// If its first byte has not gone out by then, it never does.
    pub(crate) until: Duration,
    /// Who waits for it.
    pub(crate) waits: Option<Waits>,
}

/// What came on a connection, as far as the connection tells.
pub(crate) struct Heard {
    pub(crate) server: ServerId,
    /// It is about the set-up that is open there.
    pub(crate) own: bool,
    pub(crate) closing: bool,
}

/// What is proven of a set-up.
pub(crate) type Ended = Option<(AttemptId, AttemptEnd)>;

pub(crate) struct Links {
    watch: Watch,
    clock: Clock,
    /// How long a connection may take to be made.
    connect: Duration,
    mail: mpsc::Sender<Mail>,
    links: HashMap<LinkId, Link>,
    out: HashMap<AttemptId, LinkId>,
    /// Lines that wait for a connection to a video server.
    waiting: HashMap<ServerId, Vec<Bytes>>,
    next: u64,
}

impl Links {
    pub(crate) fn new(watch: Watch, clock: Clock, connect: Duration, mail: mpsc::Sender<Mail>) -> Self {
        let (links, out, waiting) = (HashMap::new(), HashMap::new(), HashMap::new());
        Links { watch, clock, connect, mail, links, out, waiting, next: 0 }
    }

    /// Sessions stand at that server from now on.
    pub(crate) fn stands(&mut self, server: ServerId) {
        self.watch.stands(self.clock.now(), server);
    }

    /// Sends a set-up, on a connection that is there and may carry it, else on a new one.
    pub(crate) fn send(&mut self, out: Outgoing) {
        let Outgoing { attempt, server, address, sid, paid, line, until, waits } = out;
        let gate = Arc::new(Gate::default());
        let mut first = First { line, gate: gate.clone(), until, clock: self.clock, waits };
        let used = self.watch.take(self.clock.now(), server, paid);
        if let Some((id, link)) = used.and_then(|id| Some((id, self.links.get_mut(&id)?))) {
            match link.hold.setup(first) {
                Ok(()) => {
                    (link.attempt, link.gate) = (Some((attempt, sid)), gate);
                    self.out.insert(attempt, id);
                    return;
                }
                Err(back) => first = back,
            }
            self.watch.idle(self.clock.now(), server, id);
        }
        self.open(server, address, Some((attempt, sid)), Some(first));
    }

    fn open(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        attempt: Option<(AttemptId, Sid)>,
        first: Option<First>,
    ) {
        self.next += 1;
        let id = LinkId(self.next);
        let gate = first.as_ref().map(|f| f.gate.clone()).unwrap_or_default();
        let way = Way { id, address, connect: self.connect };
        let hold = link::spawn(way, first, self.mail.clone());
        if let Some((attempt, _)) = &attempt {
            self.out.insert(*attempt, id);
        }
        self.links.insert(id, Link { server, hold, up: false, closing: false, attempt, gate });
        self.watch.opening(server, id);
    }

    pub(crate) fn up(&mut self, id: LinkId) {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(&id) else { return };
        link.up = true;
        let server = link.server;
        self.watch.up(now, server);
        if link.attempt.is_none() {
            self.watch.idle(now, server, id);
        }
        for line in self.waiting.remove(&server).unwrap_or_default() {
            self.tell(server, line);
        }
    }

    /// A line for a video server: on a connection that is there, else on the next.
    pub(crate) fn tell(&mut self, server: ServerId, line: Bytes) {
        let idle = self.watch.link(server);
        let any =
            || self.links.iter().find(|(_, l)| l.server == server && l.up && !l.closing).map(|(id, _)| *id);
        let hold = idle.or_else(any).and_then(|id| self.links.get(&id));
        if hold.is_some_and(|l| l.hold.write(line.clone())) {
            return;
        }
        self.stands(server); // it is connected to for these lines
        let waiting = self.waiting.entry(server).or_default();
        waiting.push(line);
        if waiting.len() > MOST_WAITING {
            waiting.remove(0);
        }
    }

    /// A line came.
    pub(crate) fn heard(&mut self, id: LinkId, line: &Line) -> Option<Heard> {
        let link = self.links.get(&id)?;
        self.watch.heard(self.clock.now(), link.server);
        let own = link.attempt.as_ref().is_some_and(|(_, sid)| **sid == *line.tag);
        Some(Heard { server: link.server, own, closing: link.closing })
    }

    /// No set-up is open on it any more: the one that was.
    pub(crate) fn done(&mut self, id: LinkId) -> Option<AttemptId> {
        let link = self.links.get_mut(&id)?;
        let (attempt, _) = link.attempt.take()?;
        self.out.remove(&attempt);
        self.watch.idle(self.clock.now(), link.server, id);
        Some(attempt)
    }

    /// The set-up that is open on it.
    pub(crate) fn open_on(&self, id: LinkId) -> Option<&Sid> {
        self.links.get(&id)?.attempt.as_ref().map(|(_, sid)| sid)
    }

    /// The set-up on it was not sent, and never will be on it: it was decided too long ago.
    pub(crate) fn unsent(&mut self, id: LinkId) -> Ended {
        Some((self.done(id)?, AttemptEnd::NeverSent))
    }

    pub(crate) fn down(&mut self, id: LinkId, down: Down) -> Ended {
        let end = match down {
            Down::Refused | Down::NotUp => AttemptEnd::NotConnected,
            Down::Own => AttemptEnd::NeverSent,
            // The first byte had not gone out and now never will: a used connection broke under the set-up's feet.
            Down::Broke if self.links.get(&id)?.gate.recall() => AttemptEnd::NeverSent,
            Down::Broke => AttemptEnd::Reset,
        };
        let attempt = self.done(id);
        if let Some(link) = self.links.remove(&id) {
            self.watch.down(self.clock.now(), link.server, id, down);
        }
        Some((attempt?, end))
    }

    pub(crate) fn recall(&mut self, attempt: AttemptId, why: RecallWhy) -> Ended {
        let id = self.out.get(&attempt).copied()?;
        let link = self.links.get(&id)?;
        let (unsent, up) = (link.gate.recall(), link.up);
        if !unsent && why == RecallWhy::Drained {
            return None;
        }
        let end = if unsent { AttemptEnd::NeverSent } else { AttemptEnd::Unanswered };
        if let (false, Some((_, sid))) = (unsent, &link.attempt) {
            link.hold.write(Line::finish(sid, cause::DONE).encode());
        }
        self.done(id);
        match (unsent, up) {
            // Nothing went out on it: it is as good as before.
            (true, true) => {}
            (true, false) => drop(self.down(id, Down::Broke)),
            (false, _) => self.close(id),
        }
        Some((attempt, end))
    }

    /// Closes a connection after what is queued on it.
    fn close(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.closing = true;
        self.watch.closing(link.server, id);
        if !link.hold.close() {
            self.links.remove(&id);
        }
    }

    /// Does what is due with connections; gives the servers whose sessions are cut.
    pub(crate) fn look(
        &mut self,
        stands: impl Fn(ServerId) -> bool,
        address: impl Fn(ServerId) -> Option<SocketAddr>,
    ) -> Vec<ServerId> {
        let waiting = &self.waiting;
        let acts = self.watch.due(self.clock.now(), |s| stands(s) || waiting.contains_key(&s));
        let mut cut = Vec::new();
        for act in acts {
            match act {
                Act::Open(server) => match address(server) {
                    Some(address) => self.open(server, address, None, None),
                    None => cut.push(server),
                },
                Act::Close(id) => self.close(id),
                Act::Cut(server) => cut.push(server),
            }
        }
        cut
    }

    /// The sessions there are cut: lines about them go nowhere.
    pub(crate) fn cut(&mut self, server: ServerId) {
        self.waiting.remove(&server);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::mail::MOST_MAILS;
    use tokio::io::{AsyncBufReadExt, BufReader};
    use tokio::net::{TcpListener, TcpStream};

    const S: ServerId = 7;

    struct Rig {
        links: Links,
        mails: mpsc::Receiver<Mail>,
        listener: TcpListener,
        sent: u64,
    }

    impl Rig {
        async fn new() -> Rig {
            let (mail, mails) = mpsc::channel(MOST_MAILS);
            let watch = Watch::new(Duration::from_secs(2), Duration::from_secs(60), 8);
            let links = Links::new(watch, Clock::start(), Duration::from_secs(5), mail);
            Rig { links, mails, listener: TcpListener::bind("127.0.0.1:0").await.unwrap(), sent: 0 }
        }

        fn send(&mut self) {
            self.sent += 1;
            let sid: Sid = format!("{:016x}", self.sent).into();
            let line = Line::new(cloverhollow_platform::lines::Verb::Start, &sid).encode();
            let until = self.links.clock.now() + Duration::from_secs(60);
            let (attempt, address) = (attempt(self.sent), self.listener.local_addr().unwrap());
            self.links.send(Outgoing {
                attempt,
                server: S,
                address,
                sid,
                paid: true,
                line,
                until,
                waits: None,
            });
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
        server.read_line(&mut line).await.unwrap();
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
                Some(Mail::Down(down, why)) => {
                    assert_eq!(down, id);
                    assert_eq!(rig.links.down(id, why), Some((attempt(2), AttemptEnd::Reset)));
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
        let Some(Mail::Down(down, why)) = rig.mails.recv().await else { panic!("it is not down") };
        assert_eq!(down, id);
        assert_eq!(rig.links.down(id, why), Some((attempt(2), AttemptEnd::NeverSent)));
    }

    #[tokio::test]
    async fn what_is_recalled_before_its_first_byte_leaves_the_connection_as_good_as_before() {
        let mut rig = Rig::new().await;
        let (_, mut server) = rig.used().await;
        rig.send();
        let ended = rig.links.recall(attempt(2), RecallWhy::TimedOut);
        assert_eq!(ended, Some((attempt(2), AttemptEnd::NeverSent)));
        rig.send();
        assert!(read(&mut server).await.contains("0000000000000003"), "the second was never written");
    }
}
