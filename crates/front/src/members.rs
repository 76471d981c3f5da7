//! The other fronts: datagrams at `members.listen`, and the part that the decisions have of what the fleet may do.
//!
//! One task owns the socket. Datagrams that the system can't take at once are lost, as any may be: nothing waits. The
//! member's state is behind a lock that is held for one datagram, one tick or one page; the desk looks at the part
//! under it before each step, by a clock that goes on while the process stands still.

mod keys;
mod page;
mod permits;

use crate::out::{Gate, Out};
use crate::StartError;
use bytes::Bytes;
use cloverhollow_http::{RequestHead, Target};
use cloverhollow_members::{
    Incarnation, Key, Member, MemberConfig, MemberEvent, MemberId, MemberState, OutgoingDatagram, SwimConfig,
    MAX_BODY_BYTES, MAX_DATAGRAM_BYTES,
};
use cloverhollow_net::{connect, unix_ms, Clock};
use cloverhollow_session::{invariants_hold, INVARIANT_EXIT_CODE};
use cloverhollow_settings::FrontSettings;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, timeout};
use tokio_util::sync::CancellationToken;

/// Path at the side address by which members tell each other all that they hold.
pub(crate) const PATH: &str = "/v1/members";
/// Path of the operators' page there.
pub(crate) const PAGE: &str = "/v1/fleet";
/// The argument that an answer carries back.
pub(crate) const NONCE: &str = "nonce";
/// Time for one such question.
const WITHIN: Duration = Duration::from_secs(2);

/// This front as a member.
#[derive(Debug)]
pub(crate) struct Fleet {
    clock: Clock,
    counts: bool,
    member: Mutex<Member>,
    /// Where permits are on.
    out: Option<Mutex<Out>>,
    pub(crate) gate: Gate,
}

impl Fleet {
    /// Opens the socket, where `members.listen` is set. `side`: this front's side address.
    ///
    /// # Errors
    /// The address can't be listened on, or a key can't be used.
    pub(crate) async fn open(
        settings: &FrontSettings,
        clock: Clock,
        side: Option<SocketAddr>,
    ) -> Result<Option<(Arc<Fleet>, UdpSocket)>, StartError> {
        let m = &settings.members;
        let Some(listen) = m.listen else { return Ok(None) };
        let listening = |source| StartError::Listen { field: "members.listen", address: listen, source };
        let socket = UdpSocket::bind(listen).await.map_err(listening)?;
        let bound = socket.local_addr().map_err(listening)?;
        let mut keys = Vec::new();
        for k in &m.keys {
            let secret = keys::secret(&k.file)
                .map_err(|reason| StartError::InvalidKey { file: k.file.display().to_string(), reason })?;
            keys.push(Key { id: k.id.get() as u32, secret });
        }
        let me = MemberId {
            address: m.advertised_address.unwrap_or(bound),
            side_address: side,
            name: settings.instance.name.as_str().into(),
            zone: settings.instance.zone.as_str().into(),
            incarnation: Incarnation { number: unix_ms(), token: fastrand::u64(1..) },
        };
        let swim = SwimConfig {
            probe_interval: m.probe_interval_ms.get(),
            probe_timeout: m.probe_timeout_ms.get(),
            suspicion_timeout: m.suspicion_timeout_ms.get(),
            gossip_interval: m.gossip_interval_ms.get(),
            rejoin_interval: m.reconnect_interval_ms.get(),
            seeds: m.seeds.clone(),
            ..SwimConfig::default()
        };
        tracing::info!(address = %me.address, name = %me.name, life = %me.incarnation, "member starts");
        let set = MemberConfig {
            local_id: me,
            keys,
            swim,
            lease_duration: m.lease_duration_ms.get(),
            witnesses: m.witnesses.clone(),
            seed: fastrand::u64(..),
        };
        let counts = !m.witnesses.is_empty();
        let out = Out::open(settings, clock.now(), set.local_id.address, set.local_id.incarnation.token)
            .map(Mutex::new);
        let member = Mutex::new(Member::new(clock.now(), set));
        Ok(Some((Arc::new(Fleet { clock, counts, member, out, gate: Gate::default() }), socket)))
    }

    fn member(&self) -> MutexGuard<'_, Member> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One step of the member.
    fn step<T>(&self, step: impl FnOnce(&mut Member) -> T) -> T {
        let mut member = self.member();
        let out = step(&mut member);
        if !invariants_hold("member", || member.check()) {
            std::process::exit(INVARIANT_EXIT_CODE);
        }
        out
    }

    /// How many fronts the decisions may reckon with now: `None` while there is no count in force. Outer `None`:
    /// without witnesses the settings' number holds.
    pub(crate) fn counted(&self) -> Option<Option<usize>> {
        self.counts.then(|| self.member().fleet_size().and_then(|p| p.valid_at(self.clock.now())))
    }

    /// The younger process of this front's name, where there is one.
    pub(crate) fn stepped_back(&self) -> Option<SocketAddr> {
        self.member().replaced_by().map(|w| w.address)
    }

    /// All that it holds, sealed, for a member that asks.
    pub(crate) fn records(&self, nonce: u64) -> Option<Vec<u8>> {
        self.member().records(nonce)
    }

    /// What is to be sent, and what happened, by the log.
    fn done(&self) -> Vec<OutgoingDatagram> {
        let mut m = self.member();
        for notice in m.take_events() {
            let name = &m.local_id().name;
            match notice {
                MemberEvent::Stalled(d) => {
                    tracing::warn!(member = %name, ms = d.as_millis() as u64, "stood still: what was believed is doubted")
                }
                MemberEvent::IncarnationRaised(who) => {
                    tracing::warn!(member = %name, life = %who.incarnation, "was taken for gone: goes on as a new life")
                }
                MemberEvent::Replaced(who) => tracing::error!(
                    member = %name, address = %who.address, life = %who.incarnation,
                    "another, younger process bears this front's name: this one takes nothing new"
                ),
            }
        }
        m.take_datagrams()
    }

    /// Somebody to ask for all that they hold: drawn among those that are there and have a side address.
    fn somebody(&self) -> Option<SocketAddr> {
        let m = self.member();
        let me = m.local_id().address;
        let there = m.view().members.values().filter(|s| s.state == MemberState::Alive && s.id.address != me);
        fastrand::choice(there.filter_map(|s| s.id.side_address).collect::<Vec<_>>())
    }

    /// Asks a member for all that it holds.
    async fn ask(&self, peer: SocketAddr) {
        let nonce = fastrand::u64(..);
        let taken = match timeout(WITHIN, question(peer, nonce)).await {
            Ok(Some(body)) => {
                self.step(|m| m.sync(self.clock.now(), nonce, &body)).map_err(|e| e.to_string())
            }
            Ok(None) => Err("no answer that can be used".into()),
            Err(_) => Err("no answer in time".into()),
        };
        match taken {
            Ok(()) => self.heard_list(),
            Err(error) => tracing::info!(%peer, error, "a member's list is not taken"),
        }
    }
}

async fn question(peer: SocketAddr, nonce: u64) -> Option<Vec<u8>> {
    let mut conn = connect(peer).await.ok()?;
    let target = Target::parse(format!("{PATH}?{NONCE}={nonce}").into())?;
    let mut head = RequestHead::get(target);
    head.headers.push("host", peer.to_string());
    let (head, body) = conn.exchange(head, Bytes::new(), MAX_BODY_BYTES).await.ok()?;
    (head.status == 200).then_some(body)
}

/// Runs until `stop`, then leaves with a word.
pub(crate) async fn run(fleet: Arc<Fleet>, socket: UdpSocket, every: Duration, stop: CancellationToken) {
    let clock = fleet.clock;
    let mut next_sync = clock.now() + fleet.sync_every(every).mul_f64(fastrand::f64());
    // One byte more than any may have: a longer one is seen to be too long.
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    let mut asking = std::pin::pin!(None);
    loop {
        fleet.turn();
        for OutgoingDatagram { to, bytes } in fleet.done() {
            // A full socket buffer or a peer that refuses loses it, as the network may.
            let _ = socket.try_send_to(&bytes, to);
        }
        let due = fleet.member().next_due().min(next_sync).min(fleet.out_due());
        tokio::select! {
            () = stop.cancelled() => break,
            () = fleet.gate.turn.notified() => {}
            got = socket.recv_from(&mut buf) => {
                if let Ok((n, from)) = got {
                    if let Err(why) = fleet.step(|m| m.handle_datagram(clock.now(), &buf[..n])) {
                        tracing::debug!(%from, error = %why, "a datagram is not taken");
                    }
                }
            }
            () = async { if let Some(ask) = asking.as_mut().as_pin_mut() { ask.await } }, if asking.is_some() => {
                asking.set(None);
            }
            () = sleep_until(clock.instant(due)) => {
                let now = clock.now();
                fleet.step(|m| m.tick(now));
                if now >= next_sync {
                    next_sync = now + fleet.sync_every(every);
                    if let (true, Some(peer)) = (asking.is_none(), fleet.somebody()) {
                        asking.set(Some(fleet.ask(peer)));
                    }
                }
            }
        }
    }
    fleet.member().leave(clock.now());
    for OutgoingDatagram { to, bytes } in fleet.done() {
        let _ = socket.try_send_to(&bytes, to);
    }
}
