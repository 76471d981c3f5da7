//! A video server that speaks the platform's JSON lines: the same model, the same troubles.

use super::permille;
use super::platform::front_host;
use super::server::{bind_at, Standing};
use super::sides::{Say, Sides};
use crate::exchange::Seen;
use bytes::BytesMut;
use cloverhollow_platform::lines::{self, Line, Verb};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Most lines that wait to be written to one connection.
const MOST_LINES: usize = 4_096;
/// Into so many pieces lines are cut by a slow writer.
const PIECES: usize = 3;
/// Room for what came while a connection was not read.
const READ: usize = 64 * 1024;

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
            std::mem::take(&mut side.owed).into_iter().for_each(|line| {
                drop(out.try_send(Say::Line(line)));
            });
            side.next
        };
        let late = self.world.log.now() + Duration::from_millis(self.faults.read_late_ms.load(Relaxed));
        // What is read late has come before.
        let mut came = None;
        if late > self.world.log.now() {
            let readable = tokio::time::timeout(late - self.world.log.now(), stream.readable()).await;
            came = readable.is_ok().then(|| self.world.log.now());
            sleep(late.saturating_sub(self.world.log.now())).await;
        }
        // Set-ups open on it; what becomes of the sessions that stand is the process's.
        let mut open: BTreeMap<Arc<str>, tokio::task::AbortHandle> = BTreeMap::new();
        let mut setups = JoinSet::new();
        let mut buf = BytesMut::with_capacity(READ);
        // Lines that came while the process stood still.
        let mut held: Vec<(Duration, Line)> = Vec::new();
        let mut half_written = None;
        'conn: loop {
            tokio::select! {
                Some(say) = lines_out.recv() => {
                    let bytes = match &say {
                        Say::Line(line) => line.encode(),
                        Say::Bytes(bytes) => bytes.clone(),
                        Say::Close => break,
                    };
                    let wrote = self.write(&mut stream, &bytes).await;
                    let Say::Line(line) = say else { continue };
                    if wrote.is_err() {
                        half_written = Some(line);
                        break;
                    }
                    self.written(&line);
                }
                read = stream.read_buf(&mut buf) => {
                    if !matches!(read, Ok(n) if n > 0) {
                        break;
                    }
                    let (arrived, mut lines) = (came.take().unwrap_or_else(|| self.world.log.now()), Vec::new());
                    loop {
                        match lines::decode(&mut buf) {
                            Ok(Some(line)) => lines.push(line),
                            Ok(None) => break,
                            Err(_) => break 'conn,
                        }
                    }
                    // What is given up while it stands still is over from then on.
                    for line in lines.iter().filter(|l| l.verb == Verb::Finish) {
                        if let Some(task) = open.remove(line.sid.as_str()) {
                            task.abort();
                        }
                    }
                    held.extend(lines.into_iter().map(|line| (arrived, line)));
                }
                () = self.runs(), if !held.is_empty() => {
                    for (arrived, line) in std::mem::take(&mut held) {
                        let sid: Arc<str> = line.sid.as_str().into();
                        match line.verb {
                            Verb::Start => {
                                let (me, out, sides) = (self.clone(), out.clone(), sides.clone());
                                let task = setups.spawn(me.set_up_by_line((front, id, arrived), line, out, sides));
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
        // What was not written any more goes on another connection, else on the next.
        lines_out.close();
        let queued = std::iter::from_fn(|| lines_out.try_recv().ok()).filter_map(|say| match say {
            Say::Line(line) => Some(line),
            Say::Bytes(_) | Say::Close => None,
        });
        for line in half_written.into_iter().chain(queued) {
            if !sides.tell(front, id, line.clone(), false) {
                self.unsent(&line);
            }
        }
    }

    /// Writes whole or in pieces.
    async fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
        let pause = Duration::from_millis(self.faults.pieces_ms.load(Relaxed));
        if pause.is_zero() {
            return stream.write_all(bytes).await;
        }
        for piece in bytes.chunks(bytes.len().div_ceil(PIECES).max(1)) {
            stream.write_all(piece).await?;
            sleep(pause).await;
        }
        Ok(())
    }

    /// The release of a session was written on an open connection.
    pub(super) fn written(&self, line: &Line) {
        if line.verb == Verb::Finish {
            let sid = line.sid.as_str().into();
            self.world.log.put(Seen::ReleaseWritten { server: self.id, sid });
        }
    }

    /// There was no open connection for the release of a session.
    pub(super) fn unsent(&self, line: &Line) {
        if line.verb == Verb::Finish {
            let sid = line.sid.as_str().into();
            self.world.log.put(Seen::ReleaseUnsent { server: self.id, sid });
        }
    }

    /// Whether the connection is to be closed behind what is said of that session.
    pub(super) fn closes_early(&self, sid: &str) -> bool {
        permille(&format!("close {sid}")) < self.faults.close_early.load(Relaxed)
    }

    pub(super) fn let_go(&self, sid: &Arc<str>, front: usize, sides: &Sides) -> bool {
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

    /// With the load as late as reports are.
    pub(super) fn loaded(&self, line: Line) -> Line {
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
}
