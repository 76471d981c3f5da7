//! A video server on a loopback socket.

pub use super::faults::{Faults, Mode};
use super::{front_of, permille};
use crate::exchange::{Log, Seen};
use crate::model::{Fleet, LoadTold, SetupVerdict};
use crate::wires::Wires;
use bytes::Bytes;
use cloverhollow_hints::cmcd::{read_reports, Record};
use cloverhollow_hints::cmsd::{self, Hop, Static};
use cloverhollow_hints::{Faults as HintFaults, Group};
use cloverhollow_http::{Limits, Method, RequestFrame, RequestHead, ResponseHead};
use cloverhollow_net::{read_body, wait_closed, write_response, ServerCodec, ServerConn};
use cloverhollow_session::arrival::{end_reason, rates_kbps};
use cloverhollow_settings::FrontSettings;
use futures_util::StreamExt;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::codec::Framed;

/// What all stand-ins share.
pub struct World {
    /// The model.
    pub fleet: Mutex<Fleet>,
    /// What passes.
    pub log: Arc<Log>,
    /// The loopback address that all of the day listens at. Days that run side by side have each their own: the
    /// port of a process that is down may be another day's next.
    pub host: Ipv4Addr,
    /// The site, as the fronts know it too: classes, pattern of paths.
    pub site: Arc<FrontSettings>,
    /// Sessions not heard of for so long are let go.
    pub idle: Duration,
    /// Playing time of an object.
    pub object: Duration,
    /// Bytes of an object for each kB a second of its rate.
    pub bytes_per_kb: f64,
    /// How far true rates lie above or below the ladder, by title.
    pub vary: f64,
    /// Fronts that reach the servers by the platform's lines; 0: they speak HTTP.
    pub fronts: usize,
    /// Class and title of each session that a viewer of the platform has asked for.
    pub asked: Mutex<HashMap<Arc<str>, (usize, String)>>,
    /// The server at which each of them last came to stand.
    pub stood: Mutex<HashMap<Arc<str>, u64>>,
}

impl World {
    /// The model, for a moment.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A viewer of the platform asks for a session.
    pub fn ask(&self, sid: &Arc<str>, class: usize, title: &str) {
        let mut asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        asked.insert(sid.clone(), (class, title.to_owned()));
    }

    /// A session has come to stand at a server.
    pub(super) fn stands(&self, sid: &Arc<str>, server: u64) {
        let mut stood = self.stood.lock().unwrap_or_else(PoisonError::into_inner);
        stood.insert(sid.clone(), server);
    }

    /// The server at which a session came to stand.
    pub(crate) fn stood_at(&self, sid: &str) -> Option<u64> {
        self.stood.lock().unwrap_or_else(PoisonError::into_inner).get(sid).copied()
    }

    /// Class and title of a session, if a viewer of the platform has asked for it.
    pub(crate) fn asked(&self, sid: &str) -> Option<(usize, String)> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner).get(sid).cloned()
    }

    /// A class's rate at a rung, kbps.
    pub(super) fn kbps(&self, class: usize, rung: usize) -> u32 {
        rates_kbps(&self.site, class).get(rung).copied().unwrap_or(0)
    }

    /// What a title's sessions truly ask at that rate.
    pub(super) fn true_rate(&self, title: &str, kbps: u32) -> f64 {
        let part = f64::from(permille(title)) / 500.0 - 1.0;
        f64::from(kbps) / 8.0 * (1.0 + self.vary * part)
    }
}

/// A stand-in server that runs or not.
pub struct ServerHandle {
    /// Its id.
    pub id: u64,
    /// What it does wrong.
    pub faults: Arc<Faults>,
    mode: watch::Sender<Mode>,
    address: watch::Receiver<SocketAddr>,
}

/// One server's task.
pub(super) struct Standing {
    pub(super) id: u64,
    pub(super) world: Arc<World>,
    pub(super) faults: Arc<Faults>,
    mode: watch::Receiver<Mode>,
    set_mode: watch::Sender<Mode>,
}

impl ServerHandle {
    /// Starts one.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn start(id: u64, world: Arc<World>) -> std::io::Result<ServerHandle> {
        let listener = TcpListener::bind((world.host, 0)).await?;
        let (address_tx, address) = watch::channel(listener.local_addr()?);
        let (mode, mode_rx) = watch::channel(Mode::Up);
        let faults = Arc::new(Faults::default());
        let standing = Standing { id, world, faults: faults.clone(), mode: mode_rx, set_mode: mode.clone() };
        tokio::spawn(Arc::new(standing).run(listener, address_tx));
        Ok(ServerHandle { id, faults, mode, address })
    }

    /// Where it listens, or listened last.
    pub fn address(&self) -> SocketAddr {
        *self.address.borrow()
    }

    /// Leads wires to it: where it listens while its process runs, nowhere else. Ends with it.
    pub fn lead(&self, wires: Arc<Wires>) -> impl std::future::Future<Output = ()> + Send + 'static {
        let (id, mut mode, mut moved) = (self.id, self.mode.subscribe(), self.address.clone());
        async move {
            loop {
                let runs = *mode.borrow_and_update() != Mode::Down;
                let there = *moved.borrow_and_update();
                wires.set_server(id, runs.then_some(there));
                tokio::select! {
                    changed = mode.changed() => if changed.is_err() { return },
                    changed = moved.changed() => if changed.is_err() { return },
                }
            }
        }
    }

    /// Sets how its process is.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// How its process is.
    pub fn mode(&self) -> Mode {
        *self.mode.borrow()
    }
}

impl Standing {
    async fn run(self: Arc<Self>, first: TcpListener, address: watch::Sender<SocketAddr>) {
        let mut listener = Some(first);
        let mut mode = self.mode.clone();
        loop {
            let listener = match listener.take() {
                Some(l) => l,
                None => bind_again(&address).await,
            };
            self.life(listener).await;
            if mode.wait_for(|m| *m != Mode::Down).await.is_err() {
                return;
            }
        }
    }

    /// One process's life: until it is down.
    async fn life(self: &Arc<Self>, listener: TcpListener) {
        let now = self.world.log.now();
        {
            let fleet = self.world.fleet();
            if let Some(s) = fleet.servers.get(&self.id) {
                let cold = s.started.is_some_and(|t| t + fleet.cold.span > now);
                let (incarnation, streams) = (s.incarnation, s.facts.streams);
                drop(fleet);
                self.world.log.put(Seen::ServerUp { server: self.id, incarnation, streams, cold });
            }
        }
        let mut conns = JoinSet::new();
        if let (1.., Ok(address)) = (self.world.fronts, listener.local_addr()) {
            conns.spawn(self.clone().live_by_lines(address.port()));
        }
        let mut mode = self.mode.clone();
        loop {
            // Looked at here and not only on a change: one that came while a connection was accepted counts as
            // seen by now, and a process that is gone would go on listening until it is started again.
            if *mode.borrow_and_update() == Mode::Down {
                break;
            }
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        conns.spawn(self.clone().serve(stream));
                    }
                }
                changed = mode.changed() => {
                    if changed.is_err() {
                        break;
                    }
                }
                Some(_) = conns.join_next() => {}
            }
        }
        self.world.log.put(Seen::ServerDown { server: self.id });
        // Dropping the set closes all connections, as a process's end does.
    }

    /// Waits while the process stands still.
    pub(super) async fn runs(&self) {
        let _ = self.mode.clone().wait_for(|m| *m == Mode::Up).await;
    }

    /// It falls over.
    pub(super) fn topple(&self) {
        self.world.log.put(Seen::ServerToppled { server: self.id });
        self.set_mode.send_replace(Mode::Down);
    }

    /// Time that a set-up takes now.
    pub(super) fn takes(&self) -> Duration {
        let fleet = self.world.fleet();
        let ageing = fleet.servers.get(&self.id).map_or(Duration::ZERO, |s| s.facts.setup.mul_f64(s.ageing));
        ageing + Duration::from_millis(self.faults.late_ms.load(Relaxed))
    }

    /// Waits while the process stands still; whether the peer is there afterwards.
    async fn thawed(&self, conn: &ServerConn) -> bool {
        let mut mode = self.mode.clone();
        tokio::select! {
            biased;
            // What was called off while it stood still must not run after all.
            () = wait_closed(conn) => false,
            up = mode.wait_for(|m| *m == Mode::Up) => up.is_ok(),
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut conn: ServerConn = Framed::new(stream, ServerCodec::new(Limits::default()));
        while let Some(Ok(RequestFrame::Head(head))) = conn.next().await {
            let Ok(Some(body)) = read_body(&mut conn, 1 << 20).await else { return };
            let arrived = self.world.log.now();
            if !self.thawed(&conn).await {
                return;
            }
            let served = match head.method {
                Method::Post => self.reports(&mut conn, &body).await,
                Method::Get => self.object(&mut conn, &head, arrived).await,
                _ => write_response(&mut conn, ResponseHead::new(405, 0), Bytes::new()).await.ok(),
            };
            if served.is_none() || !head.keep_alive {
                return;
            }
        }
    }

    async fn reports(&self, conn: &mut ServerConn, body: &[u8]) -> Option<()> {
        let text = std::str::from_utf8(body).ok()?;
        for record in read_reports(text, &mut HintFaults::default()) {
            if let (Some(_), Some(sid)) = (end_reason(&record), record.sid) {
                let sid: Arc<str> = sid.into();
                let held = self.world.fleet().servers.get_mut(&self.id).is_some_and(|s| s.end(&sid));
                if held {
                    self.world.log.put(Seen::SessionEnded { server: self.id, sid });
                }
            }
        }
        write_response(conn, ResponseHead::new(204, 0), Bytes::new()).await.ok()
    }

    async fn object(&self, conn: &mut ServerConn, head: &RequestHead, arrived: Duration) -> Option<()> {
        let mut hints = Record::default();
        for group in Group::ALL {
            if let Some(text) = head.headers.get_str(group.header()) {
                hints.read_header(group, text, &mut HintFaults::default());
            }
        }
        let found = self.world.site.mapping.path.match_path(head.target.path());
        let (Some(sid), Some(found)) = (hints.sid.clone(), found) else {
            return write_response(conn, ResponseHead::new(404, 0), Bytes::new()).await.ok();
        };
        let sid: Arc<str> = sid.into();
        let title = found.title.unwrap_or_default();
        let kbps = hints.br.map_or(0, |k| k.0);
        let rate = self.world.true_rate(title, kbps);
        if hints.custom.iter().any(|c| &*c.key == "com.cloverhollow-setup") {
            let classes = &self.world.site.classes.0;
            let class = classes.iter().position(|c| found.class == Some(c.name.as_str())).unwrap_or(0);
            let (front, title) = (front_of(&head.headers), title.into());
            return self.set_up(conn, Setup { front, sid, class, title, kbps, rate, arrived }).await;
        }
        let now = self.world.log.now();
        let held = self.world.fleet().servers.get_mut(&self.id).is_some_and(|s| s.object(now, &sid, rate));
        if !held {
            let hop = Hop { reason: Some("unknown-session".into()), ..self.hop(kbps) };
            return self.say(conn, 410, hop, 0).await;
        }
        self.world.log.put(Seen::Object { server: self.id, front: front_of(&head.headers), sid, kbps });
        self.say(conn, 200, self.hop(kbps), kbps).await
    }

    async fn set_up(&self, conn: &mut ServerConn, s: Setup) -> Option<()> {
        let now = self.world.log.now();
        let verdict = self.world.fleet().set_up(now, self.id, &s.sid, s.rate);
        let ran = !matches!(verdict, SetupVerdict::Full | SetupVerdict::Over);
        let (server, sid, kbps) = (self.id, s.sid.clone(), s.kbps);
        let (front, class, title) = (s.front, s.class, s.title.clone());
        let read =
            Seen::SetupRead { server, front, sid: sid.clone(), class, title, kbps, ran, arrived: s.arrived };
        self.world.log.put(read);
        let mut open = OpenSetup { log: self.world.log.clone(), server, sid: sid.clone(), status: None };
        if !ran {
            open.status = Some(503);
            let hop = Hop { not_executed: true, reason: Some("full".into()), ..self.hop(kbps) };
            return self.say(conn, 503, hop, 0).await;
        }
        if verdict == SetupVerdict::Topples {
            self.topple();
            return None;
        }
        let draw = permille(&sid);
        if draw < self.faults.resets.load(Relaxed) {
            let _ = conn.get_ref().set_zero_linger();
            return None; // closed with a reset
        }
        if draw < self.faults.errors.load(Relaxed) {
            open.status = Some(500);
            if let Some(server) = self.world.fleet().servers.get_mut(&self.id) {
                server.end(&sid);
            }
            return self.say(conn, 500, self.hop(kbps), 0).await;
        }
        tokio::select! {
            () = tokio::time::sleep(self.takes()) => {}
            () = wait_closed(conn) => return None,
        }
        if !self.thawed(conn).await {
            return None;
        }
        open.status = Some(200);
        drop(open);
        self.say(conn, 200, self.hop(kbps), kbps).await
    }

    /// Its member of `CMSD-Dynamic`: the throughput now, the load as late as its reports are.
    fn hop(&self, kbps: u32) -> Hop {
        let now = self.world.log.now();
        let at = now.saturating_sub(Duration::from_millis(self.faults.report_late_ms.load(Relaxed)));
        let fleet = self.world.fleet();
        let load: Option<LoadTold> = fleet.servers.get(&self.id).and_then(|s| s.told(at));
        Hop {
            name: format!("server-{}", self.id),
            throughput_kbps: Some((f64::from(kbps) * fleet.share(now, self.id)) as u32),
            streams: load.map(|l| l.streams as u32),
            link_utilization: load.map(|l| l.link),
            rack_utilization: load.map(|l| l.rack),
            ..Hop::default()
        }
    }

    async fn say(&self, conn: &mut ServerConn, status: u16, hop: Hop, kbps: u32) -> Option<()> {
        let size = (f64::from(kbps) / 8.0 * self.world.bytes_per_kb) as usize;
        let mut head = ResponseHead::new(status, size);
        head.headers.push(cmsd::DYNAMIC_HEADER, hop.serialize());
        if status == 200 {
            let object = Static {
                name: Some("stand-in".into()),
                bitrate_kbps: Some(kbps),
                duration_ms: Some(self.world.object.as_millis() as u32),
                object_type: Some("v".into()),
                stream_type: Some("v".into()),
                ..Static::default()
            };
            head.headers.push(cmsd::STATIC_HEADER, object.serialize());
        }
        write_response(conn, head, vec![b'v'; size]).await.ok()
    }
}

/// A set-up as it was read.
struct Setup {
    front: usize,
    sid: Arc<str>,
    class: usize,
    title: String,
    kbps: u32,
    rate: f64,
    arrived: Duration,
}

/// Takes down that a set-up's exchange ended, however it does.
pub(super) struct OpenSetup {
    pub(super) log: Arc<Log>,
    pub(super) server: u64,
    pub(super) sid: Arc<str>,
    pub(super) status: Option<u16>,
}

impl Drop for OpenSetup {
    fn drop(&mut self) {
        let (server, sid, status) = (self.server, self.sid.clone(), self.status);
        self.log.put(Seen::SetupClosed { server, sid, status });
    }
}

/// That address, as soon as it can be had.
pub(super) async fn bind_at(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The port that it had; another one where that is taken meanwhile.
async fn bind_again(address: &watch::Sender<SocketAddr>) -> TcpListener {
    let old = *address.borrow();
    loop {
        for wanted in [old, SocketAddr::new(old.ip(), 0)] {
            let Ok(listener) = TcpListener::bind(wanted).await else { continue };
            let Ok(local) = listener.local_addr() else { continue };
            address.send_replace(local);
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan;
    use crate::script::Day;
    use std::path::Path;

    /// Found by a hunt: a server that died in the instant in which it took a connection went on listening, and
    /// answered what lay there when it was started again (rules 3 and 5 looked broken).
    #[tokio::test]
    async fn a_server_that_dies_before_it_looks_listens_no_more() {
        let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../days/rules.yaml"));
        let script = Day::load(path).unwrap().script;
        let world = World {
            fleet: Mutex::new(plan::fleet(&script)),
            log: Arc::new(Log::begin()),
            host: Ipv4Addr::LOCALHOST,
            site: Arc::new(script.front.clone()),
            idle: Duration::from_secs(60),
            object: Duration::from_secs(1),
            bytes_per_kb: 1.0,
            vary: 0.0,
            fronts: 0,
            asked: Mutex::default(),
            stood: Mutex::default(),
        };
        let server = ServerHandle::start(101, Arc::new(world)).await.unwrap();
        // On this one thread the server's task has not run yet: it finds the change already made.
        server.set(Mode::Down);
        while TcpStream::connect(server.address()).await.is_ok() {
            tokio::task::yield_now().await;
        }
        server.set(Mode::Up);
        while TcpStream::connect(server.address()).await.is_err() {
            tokio::task::yield_now().await;
        }
    }
}
