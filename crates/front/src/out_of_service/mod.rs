//! Permits to be out of service: this front's proposer, and its acceptor where it is a witness, run on the
//! members' socket and timer.
//!
//! [`OutOfService`] is the state, without I/O; [`crate::members`] passes it messages and the time. The
//! protocol itself is in `cloverhollow_out`.

mod fleet_state;
mod leave;
mod messages;
mod persistence;
mod protocol;
mod state;
mod status_page;

pub use leave::LeaveOutcome;
pub(crate) use leave::{enter_service_when_ready, persist, Signals};

use cloverhollow_out::{
    Acceptor, FleetView, GrantedLease, Limits, MaxOutOfService, Message, Place, Proposer, ProposerConfig,
    Register, Subject, Term,
};
use cloverhollow_settings::FrontSettings;
use messages::PermitMessage;
use persistence::PermitFile;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Path at the side address where an operator requests that this front leave service.
pub(crate) const PATH: &str = "/v1/out";
/// Minimum delay between two proposals; up to the same again is added as jitter.
const MIN_PROPOSAL_DELAY: Duration = Duration::from_millis(250);
/// Interval at which the fleet is evaluated when its view does not change.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between readiness queries, while this front wants to leave.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of members queried at a time.
const MAX_QUERIED: usize = 64;
/// Maximum number of acceptor replies that wait for the disk; further ones are dropped, as the network may
/// drop any.
const MAX_DELAYED_REPLIES: usize = 256;

/// Change that is proposed to the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingChange {
    Grant,
    /// Returns the permit of this incarnation.
    Return(u64),
}

/// Permit as granted by the register.
#[derive(Clone, Copy, Debug)]
struct HeldPermit {
    granted: GrantedLease,
    term: Term,
    /// Version of the persisted state whose write must have been attempted before the permit is used.
    state_version: u64,
}

/// State of the permits under which this front may be out of service.
#[derive(Debug)]
pub(crate) struct OutOfService {
    name: String,
    own_address: SocketAddr,
    /// Random token of this incarnation.
    incarnation: u64,
    subject: Subject,
    place: Place,
    lease_duration: Duration,
    forget_after: Duration,
    witnesses: Vec<SocketAddr>,
    limits: Limits,
    acceptor: Option<Acceptor>,
    proposer: Proposer,
    pending_change: Option<PendingChange>,
    next_proposal: Duration,
    /// True if this front is to leave service.
    leaving: bool,
    /// True once this front accepts viewers.
    in_service: bool,
    held_permit: Option<HeldPermit>,
    /// Incarnations of this front that requested a permit and have not returned it. Those of previous ones
    /// are returned once this one is in service; its own is returned if the front does not leave.
    unreturned: Vec<u64>,
    /// True once a member's full list has arrived since the start.
    list_received: bool,
    /// Last time at which the view was certain: complete, and with a majority of the witnesses alive.
    last_certain_at: Option<Duration>,
    fleet_state: FleetView,
    /// Version of the membership view and time of the last evaluation.
    last_evaluation: Option<(u64, Duration)>,
    /// Reason why the last proposal failed.
    denial_reason: String,
    /// Latest known register, with the time it was received.
    last_register: Option<(Duration, Register)>,
    state_file: Option<PermitFile>,
    /// Incremented by each change of the persisted state.
    state_version: u64,
    /// Last version whose write was attempted, successfully or not.
    attempted_version: u64,
    /// Last version that is on the disk.
    persisted_version: u64,
    /// Acceptor replies that wait until their state version is persisted.
    delayed_replies: VecDeque<(u64, SocketAddr, Message)>,
    outgoing: Vec<(SocketAddr, PermitMessage)>,
    /// Incarnations that reported that they accept viewers, by address; current members only.
    ready_incarnations: BTreeMap<SocketAddr, u64>,
    /// Live members that have not reported that they accept viewers.
    unconfirmed: Vec<(SocketAddr, u64)>,
    next_query: Duration,
}

impl OutOfService {
    /// Creates the state, if permits are enabled. `own_address`: this front's datagram address;
    /// `incarnation`: random token drawn at the start.
    pub(crate) fn open(
        settings: &FrontSettings,
        now: Duration,
        own_address: SocketAddr,
        incarnation: u64,
    ) -> Option<OutOfService> {
        let (permit_settings, members) = (&settings.out_of_service, &settings.members);
        if !permit_settings.is_enabled() {
            return None;
        }
        let file = PermitFile::from_settings(settings);
        let persisted = file.as_ref().map(PermitFile::read).unwrap_or_default();
        let (lease, witnesses) = (permit_settings.permit_duration_ms.get(), members.witnesses.clone());
        let is_witness = witnesses.contains(&own_address);
        let front_limits = MaxOutOfService {
            fleet: permit_settings.max_in_fleet.value as u16,
            zone: permit_settings.max_in_zone.get() as u16,
            rack: u16::MAX,
        };
        let no_servers = MaxOutOfService { fleet: 0, zone: 0, rack: 0 };
        let max_uncertain_ms = members.suspicion_timeout_ms.get().as_millis() as u32;
        let proposer_settings = ProposerConfig {
            address: own_address,
            incarnation,
            witnesses: witnesses.clone(),
            max_lease: lease,
            backoff_seed: fastrand::u64(..),
        };
        Some(OutOfService {
            name: settings.instance.name.as_str().into(),
            own_address,
            incarnation,
            subject: fleet_state::front_subject(settings.instance.name.as_str()),
            place: fleet_state::front_place(settings.instance.zone.as_str()),
            lease_duration: lease,
            forget_after: permit_settings.forget_after_ms.get(),
            witnesses,
            limits: Limits {
                fronts: front_limits,
                servers: no_servers,
                cells_per_title: 0,
                ring_cells: 0,
                free_link_kbit_s: None,
                max_uncertain_ms,
            },
            acceptor: is_witness
                .then(|| Acceptor::new(now, own_address, incarnation, lease, persisted.acceptor)),
            proposer: Proposer::new(proposer_settings),
            pending_change: None,
            next_proposal: now,
            leaving: false,
            in_service: false,
            held_permit: None,
            unreturned: persisted.unreturned,
            list_received: false,
            last_certain_at: None,
            fleet_state: FleetView::default(),
            denial_reason: "not asked yet".into(),
            last_register: None,
            state_file: file,
            state_version: 0,
            attempted_version: 0,
            persisted_version: 0,
            last_evaluation: None,
            delayed_replies: VecDeque::new(),
            outgoing: Vec::new(),
            ready_incarnations: BTreeMap::new(),
            unconfirmed: Vec::new(),
            next_query: now,
        })
    }
}
