//! SWIM membership: the datagram socket at `members.listen`, and the fleet size that the placement policy may
//! use.
//!
//! One task owns the socket. Datagrams that the operating system cannot take at once are dropped, like any
//! that the network loses. The member's state is behind a lock that is held for one datagram, one tick or one
//! status page. The event loop reads the fleet size under that lock before each step, by a clock that also
//! advances while the process is suspended.

mod keys;
mod permits;
mod status_page;
mod sync;

use crate::out_of_service::{OutOfService, Signals};
use crate::StartError;
use cloverhollow_members::{
    Incarnation, Key, Member, MemberConfig, MemberEvent, MemberId, OutgoingDatagram, SwimConfig,
    MAX_DATAGRAM_BYTES,
};
use cloverhollow_net::{unix_ms, Clock};
use cloverhollow_session::{invariants_hold, INVARIANT_EXIT_CODE};
use cloverhollow_settings::FrontSettings;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

/// Path at the side address where members exchange their full member lists.
pub(crate) const PATH: &str = "/v1/members";
/// Path of the operators' status page at the side address.
pub(crate) const STATUS_PAGE_PATH: &str = "/v1/fleet";
/// Query argument that the response repeats.
pub(crate) const NONCE_ARG: &str = "nonce";

/// This front as a member of the fleet.
#[derive(Debug)]
pub(crate) struct FleetMember {
    clock: Clock,
    uses_witnesses: bool,
    member: Mutex<Member>,
    /// `None` where permits are disabled.
    permits: Option<Mutex<OutOfService>>,
    pub(crate) signals: Signals,
}

impl FleetMember {
    /// Opens the datagram socket, if `members.listen` is set. `side_address`: this front's own side address.
    ///
    /// # Errors
    /// The address cannot be listened on, or a key cannot be used.
    pub(crate) async fn open(
        settings: &FrontSettings,
        clock: Clock,
        side_address: Option<SocketAddr>,
    ) -> Result<Option<(Arc<FleetMember>, UdpSocket)>, StartError> {
        let members = &settings.members;
        let Some(listen) = members.listen else { return Ok(None) };
        let listen_error = |source| StartError::Listen { field: "members.listen", address: listen, source };
        let socket = UdpSocket::bind(listen).await.map_err(listen_error)?;
        let bound = socket.local_addr().map_err(listen_error)?;
        let mut keys = Vec::new();
        for key in &members.keys {
            let secret = keys::read_secret(&key.file)
                .map_err(|reason| StartError::InvalidKey { file: key.file.display().to_string(), reason })?;
            keys.push(Key { id: key.id.get() as u32, secret });
        }
        let own_id = MemberId {
            address: members.advertised_address.unwrap_or(bound),
            side_address,
            name: settings.instance.name.as_str().into(),
            zone: settings.instance.zone.as_str().into(),
            incarnation: Incarnation { number: unix_ms(), token: fastrand::u64(1..) },
        };
        let swim = SwimConfig {
            probe_interval: members.probe_interval_ms.get(),
            probe_timeout: members.probe_timeout_ms.get(),
            suspicion_timeout: members.suspicion_timeout_ms.get(),
            gossip_interval: members.gossip_interval_ms.get(),
            rejoin_interval: members.reconnect_interval_ms.get(),
            seeds: members.seeds.clone(),
            ..SwimConfig::default()
        };
        tracing::info!(address = %own_id.address, name = %own_id.name, life = %own_id.incarnation, "starting as a member");
        let member_settings = MemberConfig {
            local_id: own_id,
            keys,
            swim,
            lease_duration: members.lease_duration_ms.get(),
            witnesses: members.witnesses.clone(),
            seed: fastrand::u64(..),
        };
        let uses_witnesses = !members.witnesses.is_empty();
        let permits = OutOfService::open(
            settings,
            clock.now(),
            member_settings.local_id.address,
            member_settings.local_id.incarnation.token,
        )
        .map(Mutex::new);
        let member = Mutex::new(Member::new(clock.now(), member_settings));
        Ok(Some((
            Arc::new(FleetMember { clock, uses_witnesses, member, permits, signals: Signals::default() }),
            socket,
        )))
    }

    fn member(&self) -> MutexGuard<'_, Member> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs one operation on the member and checks its invariants.
    fn with_member<T>(&self, operation: impl FnOnce(&mut Member) -> T) -> T {
        let mut member = self.member();
        let result = operation(&mut member);
        if !invariants_hold("member", || member.check()) {
            std::process::exit(INVARIANT_EXIT_CODE);
        }
        result
    }

    /// Returns the number of fronts that the policy may assume now. Inner `None`: no lease count is in force.
    /// Outer `None`: there are no witnesses, and the number from the settings applies.
    pub(crate) fn fleet_size(&self) -> Option<Option<usize>> {
        self.uses_witnesses
            .then(|| self.member().fleet_size().and_then(|size| size.valid_at(self.clock.now())))
    }

    /// Returns the address of a newer process with this front's name, if there is one.
    pub(crate) fn superseded_by(&self) -> Option<SocketAddr> {
        self.member().replaced_by().map(|id| id.address)
    }

    /// Returns the full member list, sealed for the member that sent the request with this nonce.
    pub(crate) fn sealed_member_list(&self, nonce: u64) -> Option<Vec<u8>> {
        self.member().records(nonce)
    }

    /// Logs the member's notices and returns the datagrams to send.
    fn take_outgoing(&self) -> Vec<OutgoingDatagram> {
        let mut member = self.member();
        for notice in member.take_events() {
            let name = &member.local_id().name;
            match notice {
                MemberEvent::Stalled(d) => {
                    tracing::warn!(member = %name, ms = d.as_millis() as u64, "process was suspended: previous membership state is suspect")
                }
                MemberEvent::IncarnationRaised(id) => {
                    tracing::warn!(member = %name, life = %id.incarnation, "was declared dead by other members: continues as a new incarnation")
                }
                MemberEvent::Replaced(id) => tracing::error!(
                    member = %name, address = %id.address, life = %id.incarnation,
                    "a newer process has this front's name: this one accepts nothing new"
                ),
            }
        }
        member.take_datagrams()
    }
}

/// Runs until `stop`, then announces that this member leaves.
pub(crate) async fn run(
    fleet: Arc<FleetMember>,
    socket: UdpSocket,
    interval: Duration,
    stop: CancellationToken,
) {
    let clock = fleet.clock;
    let mut next_sync = clock.now() + fleet.sync_interval(interval).mul_f64(fastrand::f64());
    // One byte longer than the limit, so that an oversized datagram is recognised.
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    let mut active_sync = std::pin::pin!(None);
    loop {
        fleet.step_permits();
        for OutgoingDatagram { to, bytes } in fleet.take_outgoing() {
            // A full socket buffer or a refusing peer drops the datagram, as the network may.
            let _ = socket.try_send_to(&bytes, to);
        }
        let wake_at = fleet.member().next_due().min(next_sync).min(fleet.next_permit_due());
        tokio::select! {
            () = stop.cancelled() => break,
            () = fleet.signals.permit_work.notified() => {}
            received = socket.recv_from(&mut buf) => {
                if let Ok((n, from)) = received {
                    if let Err(error) = fleet.with_member(|m| m.handle_datagram(clock.now(), &buf[..n])) {
                        tracing::debug!(%from, %error, "datagram rejected");
                    }
                }
            }
            () = async { if let Some(sync) = active_sync.as_mut().as_pin_mut() { sync.await } }, if active_sync.is_some() => {
                active_sync.set(None);
            }
            () = sleep_until(clock.instant(wake_at)) => {
                let now = clock.now();
                fleet.with_member(|m| m.tick(now));
                if now >= next_sync {
                    next_sync = now + fleet.sync_interval(interval);
                    if let (true, Some(peer)) = (active_sync.is_none(), fleet.random_peer()) {
                        active_sync.set(Some(fleet.sync_with(peer)));
                    }
                }
            }
        }
    }
    fleet.member().leave(clock.now());
    for OutgoingDatagram { to, bytes } in fleet.take_outgoing() {
        let _ = socket.try_send_to(&bytes, to);
    }
}
