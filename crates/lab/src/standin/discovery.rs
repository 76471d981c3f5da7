//! The discovery service on a loopback socket: whole lists and patches as an event stream.

use super::channel::Channels;
use super::front_of;
use super::patches::{Listed, Patch, State};
use crate::exchange::{Log, Seen};
use crate::wires::Wires;
use bytes::Bytes;
use cloverhollow_http::{Framing, Limits, RequestFrame, ResponseFrame, ResponseHead};
use cloverhollow_net::{read_body, ServerCodec, ServerConn};
use cloverhollow_session::{ListMessage, MessageKind, ServerEntry, WireState};
use futures_util::{SinkExt, StreamExt};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, watch};
use tokio::task::JoinSet;
use tokio_util::codec::Framed;

/// Time between comments that keep a stream alive.
const BEAT: Duration = Duration::from_millis(500);
/// Most patches that a subscriber may be behind.
const MOST_BEHIND: usize = 1_024;

/// A stand-in discovery service.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Mutex<State>,
    patches: broadcast::Sender<Patch>,
    up: watch::Sender<bool>,
    /// A new subscriber's first list comes so late.
    first_after: Mutex<Duration>,
    /// The command channel of each front of the platform.
    pub(super) channels: Channels,
    /// Ways to servers, where the day leads them over wires.
    wires: OnceLock<Arc<Wires>>,
    log: Arc<Log>,
}

impl Discovery {
    /// Starts one with an empty list.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn start(log: Arc<Log>, host: Ipv4Addr) -> std::io::Result<Arc<Discovery>> {
        let listener = TcpListener::bind((host, 0)).await?;
        let d = Arc::new(Discovery {
            address: listener.local_addr()?,
            state: Mutex::new(State { version: 1, servers: BTreeMap::new(), skip: 0, told: Vec::new() }),
            patches: broadcast::channel(MOST_BEHIND).0,
            up: watch::channel(true).0,
            first_after: Mutex::new(Duration::ZERO),
            channels: Channels::default(),
            wires: OnceLock::new(),
            log,
        });
        tokio::spawn(d.clone().run(listener));
        Ok(d)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a change in and tells it to all subscribers. `started`: when its process started, on the day's
    /// clock; `None`: long ago.
    pub fn publish(&self, entry: ServerEntry, started: Option<Duration>) {
        self.publish_all(vec![(entry, started)]);
    }

    /// Takes changes in and tells them to all subscribers as one.
    pub fn publish_all(&self, changes: Vec<(ServerEntry, Option<Duration>)>) {
        let mut state = self.state();
        let after = state.version;
        state.version += 1;
        let version = state.version;
        let skipped = state.skip > 0;
        state.skip = state.skip.saturating_sub(1);
        let servers: Vec<_> = changes.into_iter().map(|(entry, started)| Listed { entry, started }).collect();
        for listed in &servers {
            state.servers.insert(listed.entry.id, listed.clone());
        }
        let patch = Patch { after, version, servers, skipped };
        state.told.push(patch.clone());
        self.put(Seen::ListChanged { version });
        let _ = self.patches.send(patch); // nobody listens: the next whole list has it
    }

    /// The whole list as one.
    pub(super) fn whole(&self) -> Patch {
        let state = self.state();
        let servers = state.servers.values().cloned().collect();
        Patch { after: 0, version: state.version, servers, skipped: false }
    }

    /// All patches after a version, those among them that were left out.
    pub(super) fn since(&self, version: u64) -> Vec<Patch> {
        self.state().told.iter().filter(|p| p.version > version).cloned().collect()
    }

    pub(super) fn subscribe(&self) -> broadcast::Receiver<Patch> {
        self.patches.subscribe()
    }

    pub(super) fn now(&self) -> Duration {
        self.log.now()
    }

    pub(super) fn put(&self, seen: Seen) {
        self.log.put(seen);
    }

    /// What the list says of a server.
    pub fn entry(&self, server: u64) -> Option<ServerEntry> {
        self.state().servers.get(&server).map(|l| l.entry.clone())
    }

    /// From now on a new subscriber's first list comes so late.
    pub fn set_first_after(&self, late: Duration) {
        *self.first_after.lock().unwrap_or_else(PoisonError::into_inner) = late;
    }

    /// From now on each front is told the ends of its own wires to the servers.
    pub fn set_wires(&self, wires: Arc<Wires>) {
        let _ = self.wires.set(wires); // there is one set of them a day
    }

    /// Leaves out the next patches.
    pub fn skip(&self, patches: u32) {
        self.state().skip = patches;
    }

    /// Out of reach or back. Away, its streams are closed and connections are dropped at once.
    pub fn set_up(&self, up: bool) {
        self.note(up);
        self.up.send_replace(up);
    }

    pub(super) fn ups(&self) -> watch::Receiver<bool> {
        self.up.subscribe()
    }

    async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut up = self.up.subscribe();
        loop {
            let mut conns = JoinSet::new();
            while *up.borrow_and_update() {
                tokio::select! {
                    accepted = listener.accept() => {
                        if let Ok((stream, _)) = accepted {
                            conns.spawn(self.clone().serve(stream));
                        }
                    }
                    _ = up.changed() => {}
                    Some(_) = conns.join_next() => {}
                }
            }
            drop(conns);
            while !*up.borrow_and_update() {
                tokio::select! {
                    accepted = listener.accept() => drop(accepted),
                    changed = up.changed() => if changed.is_err() { return },
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut conn: ServerConn = Framed::new(stream, ServerCodec::new(Limits::default()));
        let Some(Ok(RequestFrame::Head(head))) = conn.next().await else { return };
        let Ok(Some(_)) = read_body(&mut conn, 0).await else { return };
        let front = front_of(&head.headers);
        let mut out = ResponseHead::new(200, 0);
        out.framing = Framing::Chunked;
        out.headers.push("content-type", "text/event-stream");
        if conn.feed(ResponseFrame::Head(out)).await.is_err() {
            return;
        }
        let late = *self.first_after.lock().unwrap_or_else(PoisonError::into_inner);
        if !late.is_zero() {
            let begun = conn.send(ResponseFrame::Data(Bytes::from_static(b": wait\n\n"))).await;
            if begun.is_err() {
                return;
            }
            tokio::time::sleep(late).await;
        }
        // Subscribed before the whole list is taken: nothing falls between.
        let mut patches = self.patches.subscribe();
        let (mut version, whole) = {
            let state = self.state();
            (state.version, state.servers.values().cloned().collect::<Vec<_>>())
        };
        if self.tell(&mut conn, front, MessageKind::Whole, 0, version, &whole).await.is_none() {
            return;
        }
        loop {
            tokio::select! {
                patch = patches.recv() => {
                    let Ok(p) = patch else { return };
                    if p.version <= version || p.skipped {
                        continue; // in the whole list already, or left out on purpose
                    }
                    version = p.version;
                    if self.tell(&mut conn, front, MessageKind::Patch, p.after, version, &p.servers).await.is_none() {
                        return;
                    }
                }
                () = tokio::time::sleep(BEAT) => {
                    if conn.send(ResponseFrame::Data(Bytes::from_static(b": beat\n\n"))).await.is_err() {
                        return;
                    }
                }
                // The subscriber says nothing more: anything else is its end.
                _ = conn.next() => return,
            }
        }
    }

    async fn tell(
        &self,
        conn: &mut ServerConn,
        front: usize,
        kind: MessageKind,
        after: u64,
        version: u64,
        servers: &[Listed],
    ) -> Option<()> {
        let now = self.log.now();
        let at = |l: &Listed| self.wires.get().and_then(|w| w.server(front, l.entry.id));
        let aged = |l: &Listed| ServerEntry {
            address: at(l).unwrap_or(l.entry.address),
            started_ms_ago: l.started.map(|t| now.saturating_sub(t).as_millis() as u64),
            ..l.entry.clone()
        };
        let servers: Vec<_> = servers.iter().map(aged).collect();
        let of = |serving: bool| servers.iter().filter(move |s| (s.state == WireState::Serving) == serving);
        let stopped = of(false).map(|s| s.id).collect();
        let serving = of(true).map(|s| (s.id, s.incarnation)).collect();
        let message = ListMessage { kind, version, after, servers };
        let data = format!("data: {}\n\n", serde_json::to_string(&message).ok()?);
        conn.send(ResponseFrame::Data(data.into())).await.ok()?;
        self.log.put(Seen::ListTold { front, stopped, serving });
        Some(())
    }
}
