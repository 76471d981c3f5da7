//! A video server that speaks the platform's JSON lines: the same model, the same troubles.

use super::platform::front_host;
use super::server::{bind_at, OpenSetup, Standing};
use crate::exchange::Seen;
use crate::model::SetupVerdict;
use bytes::BytesMut;
use cloverhollow_platform::lines::{self, cause, Line, Verb};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Most lines that wait to be written to one connection.
const MOST_LINES: usize = 4_096;
/// Time between notes of short delivery.
const NOTE: Duration = Duration::from_secs(1);

/// What one front has at one server: its connections, and the sessions that stand with the connection of each.
#[derive(Default)]
struct Side {
    next: u64,
    conns: BTreeMap<u64, mpsc::Sender<Line>>,
    standing: BTreeMap<Arc<str>, u64>,
    /// Releases that had no connection to go on.
    owed: Vec<Line>,
}

/// All fronts' sides of one server's process.
#[derive(Default)]
pub(super) struct Sides(Mutex<BTreeMap<usize, Side>>);

impl Sides {
    fn all(&self) -> MutexGuard<'_, BTreeMap<usize, Side>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A line about a session that stands: on its own connection, else any, else the next.
    fn tell(&self, front: usize, own: u64, line: Line) {
        let mut all = self.all();
        let side = all.entry(front).or_default();
        let conn = side.conns.get(&own).or_else(|| side.conns.values().next());
        match conn {
            Some(conn) => drop(conn.try_send(line)),
            None if line.verb == Verb::Finish => side.owed.push(line),
            None => {}
        }
    }
}

impl Standing {
    /// One process's life for the fronts of the platform: each reaches it at an address of its own, by which it
    /// is known.
    pub(super) async fn live_by_lines(self: Arc<Self>, port: u16) {
        let sides = Arc::new(Sides::default());
        let mut tasks = JoinSet::new();
        for front in 0..self.world.fronts {
            let listener = bind_at((front_host(self.world.host, front), port).into()).await;
            tasks.spawn(self.clone().accept_lines(front, listener, sides.clone()));
        }
        tasks.spawn(self.clone().notes(sides));
        while tasks.join_next().await.is_some() {}
    }

    async fn accept_lines(self: Arc<Self>, front: usize, listener: TcpListener, sides: Arc<Sides>) {
        let mut conns = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    conns.spawn(self.clone().serve_lines(front, stream, sides.clone()));
                },
                Some(_) = conns.join_next() => {}
            }
        }
    }

    async fn serve_lines(self: Arc<Self>, front: usize, mut stream: TcpStream, sides: Arc<Sides>) {
        let _ = stream.set_nodelay(true);
        let (out, mut lines_out) = mpsc::channel(MOST_LINES);
        let id = {
            let mut all = sides.all();
            let side = all.entry(front).or_default();
            side.next += 1;
            side.conns.insert(side.next, out.clone());
            std::mem::take(&mut side.owed).into_iter().for_each(|line| drop(out.try_send(line)));
            side.next
        };
        // Set-ups open on it; what becomes of the sessions that stand is the process's.
        let mut open: BTreeMap<Arc<str>, tokio::task::AbortHandle> = BTreeMap::new();
        let mut setups = JoinSet::new();
        let mut buf = BytesMut::new();
        'conn: loop {
            tokio::select! {
                Some(line) = lines_out.recv() => {
                    if stream.write_all(&Line::encode(&line)).await.is_err() {
                        break;
                    }
                }
                read = stream.read_buf(&mut buf) => {
                    if !matches!(read, Ok(n) if n > 0) {
                        break;
                    }
                    self.runs().await;
                    loop {
                        let line = match lines::decode(&mut buf) {
                            Ok(Some(line)) => line,
                            Ok(None) => break,
                            Err(_) => break 'conn,
                        };
                        let sid: Arc<str> = line.tag.as_str().into();
                        match line.verb {
                            Verb::Start => {
                                let (me, out, sides) = (self.clone(), out.clone(), sides.clone());
                                let task = setups.spawn(me.set_up_by_line(front, id, line, out, sides));
                                open.insert(sid, task);
                            }
                            Verb::Finish => {
                                if let Some(task) = open.remove(&sid) {
                                    task.abort();
                                }
                                self.let_go(&sid, front, &sides);
                            }
                            Verb::Rate => {
                                let rung = line.field("rung").and_then(|r| r.parse().ok()).unwrap_or(0);
                                self.rate(front, sid, rung);
                            }
                            _ => {}
                        }
                    }
                }
                Some(ended) = setups.join_next() => {
                    // A reset that the script asks for.
                    if matches!(ended, Ok(false)) {
                        let _ = stream.set_zero_linger();
                        break;
                    }
                }
            }
        }
        if let Some(side) = sides.all().get_mut(&front) {
            side.conns.remove(&id);
        }
    }

    fn let_go(&self, sid: &Arc<str>, front: usize, sides: &Sides) -> bool {
        sides.all().get_mut(&front).map(|s| s.standing.remove(sid));
        let held = self.world.fleet().servers.get_mut(&self.id).is_some_and(|s| s.end(sid));
        if held {
            self.world.log.put(Seen::SessionEnded { server: self.id, sid: sid.clone() });
        }
        held
    }

    fn rate(&self, front: usize, sid: Arc<str>, rung: usize) {
        let now = self.world.log.now();
        let Some((class, title)) = self.world.asked(&sid) else { return };
        let kbps = self.world.kbps(class, rung);
        let rate = self.world.true_rate(&title, kbps);
        let held = self.world.fleet().servers.get_mut(&self.id).is_some_and(|s| s.object(now, &sid, rate));
        if held {
            self.world.log.put(Seen::Object { server: self.id, front, sid, kbps });
        }
    }

    /// Whether the connection lives on.
    async fn set_up_by_line(
        self: Arc<Self>,
        front: usize,
        conn: u64,
        line: Line,
        out: mpsc::Sender<Line>,
        sides: Arc<Sides>,
    ) -> bool {
        let arrived = self.world.log.now();
        let sid: Arc<str> = line.tag.as_str().into();
        let finish = |cause| self.loaded(Line::finish(&sid, cause));
        let Some((class, title)) = self.world.asked(&sid) else {
            let _ = out.send(finish(cause::ERROR)).await; // no viewer has sent it
            return true;
        };
        let rung = line.field("rung").and_then(|r| r.parse().ok()).unwrap_or(0);
        let kbps = self.world.kbps(class, rung);
        let rate = self.world.true_rate(&title, kbps);
        let verdict = self.world.fleet().set_up(arrived, self.id, &sid, rate);
        let ran = !matches!(verdict, SetupVerdict::Full | SetupVerdict::Over);
        let server = self.id;
        self.world.log.put(Seen::SetupRead {
            server,
            front,
            sid: sid.clone(),
            class,
            title,
            kbps,
            ran,
            arrived,
        });
        let mut open = OpenSetup { log: self.world.log.clone(), server, sid: sid.clone(), status: None };
        if !ran {
            open.status = Some(503);
            let _ = out.send(finish(cause::FULL)).await;
            return true;
        }
        if verdict == SetupVerdict::Topples {
            self.topple();
            return false;
        }
        let draw = super::permille(&sid);
        if draw < self.faults.resets.load(Relaxed) {
            return false;
        }
        if draw < self.faults.errors.load(Relaxed) {
            open.status = Some(500);
            if let Some(server) = self.world.fleet().servers.get_mut(&self.id) {
                server.end(&sid);
            }
            let _ = out.send(finish(cause::ERROR)).await;
            return true;
        }
        sleep(self.takes()).await;
        self.runs().await;
        open.status = Some(200);
        drop(open);
        sides.all().entry(front).or_default().standing.insert(sid.clone(), conn);
        let started = Line { blob: line.blob.clone(), ..Line::new(Verb::Started, &sid) };
        let _ = out.send(started).await;
        // Some sessions come to their end here, the others by their viewers.
        let length = line.blob.as_deref().and_then(|b| b.split("len=").nth(1)?.trim().parse().ok());
        let end = length.map_or(self.world.idle, Duration::from_millis);
        tokio::spawn(async move {
            sleep(end).await;
            let stands = sides.all().get(&front).is_some_and(|s| s.standing.contains_key(&sid));
            if stands && self.let_go(&sid, front, &sides) {
                sides.tell(front, conn, self.loaded(Line::finish(&sid, cause::DONE)));
            }
        });
        true
    }

    /// With the load as late as reports are.
    fn loaded(&self, line: Line) -> Line {
        let (now, late) = (self.world.log.now(), self.faults.report_late_ms.load(Relaxed));
        let at = now.saturating_sub(Duration::from_millis(late));
        let load = self.world.fleet().servers.get(&self.id).and_then(|s| s.told(at));
        match load {
            Some(l) => {
                line.with("load", format!("concurrent:{};x0:{:.3};x1:{:.3}", l.streams, l.link, l.rack))
            }
            None => line,
        }
    }

    /// Notes on one session of each front: link and uplink now and then, short delivery while it lasts.
    async fn notes(self: Arc<Self>, sides: Arc<Sides>) {
        let every = self.world.site.reports.every_ms.get();
        let (mut next, mut short) = (Duration::ZERO, false);
        loop {
            sleep(NOTE).await;
            self.runs().await;
            let now = self.world.log.now();
            let (share, load) = {
                let fleet = self.world.fleet();
                (fleet.share(now, self.id), fleet.load(now, self.id))
            };
            let mut notes = Vec::new();
            if share < 0.98 || short {
                notes.push(("kept_up", share));
            }
            short = share < 0.98;
            if now >= next {
                next = now + every;
                notes.extend([("trunk", load.rack), ("wire", load.link)]);
            }
            let first: Vec<_> = {
                let all = sides.all();
                let first = |(front, side): (&usize, &Side)| {
                    side.standing.iter().next().map(|(sid, conn)| (*front, sid.clone(), *conn))
                };
                all.iter().filter_map(first).collect()
            };
            for (front, sid, conn) in first {
                for (name, value) in &notes {
                    let line =
                        Line::new(Verb::Notice, &sid).with("note", name).with("value", format!("{value:.3}"));
                    sides.tell(front, conn, line);
                }
            }
        }
    }
}
