//! All settings, each with its unit, range and default.

mod members;
mod out;

pub use members::{MemberKey, Members};
pub use out::Out;

use crate::mapping::Mapping;
use crate::ranged::{Ms, Name, Num, Real};
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::net::SocketAddr;
use std::path::PathBuf;

const HOUR: u64 = 3_600_000;
const MINUTE: u64 = 60_000;

/// Everything that a front is told at its start. An empty file is valid: all defaults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FrontSettings {
    /// Who this front is.
    pub instance: Instance,
    /// Where viewers call.
    pub listen: Listen,
    /// Where operators ask.
    pub side: Side,
    /// Where the server list comes from.
    pub discovery: Discovery,
    /// What this front keeps over a stop.
    pub keep: Keep,
    /// What this front asks of and tells its peers.
    pub peers: Peers,
    /// Who else is there, by datagrams between fronts.
    pub members: Members,
    /// How many fronts may be out at once.
    pub out: Out,
    /// How this front talks to servers.
    pub servers: Servers,
    /// Bounds on sessions.
    pub sessions: Sessions,
    /// How a request's path tells class, tenant and title.
    pub mapping: Mapping,
    /// The classes of sessions; at least one.
    pub classes: Classes,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The ladder of rates, lowest first; at least one rung.
    pub ladder: Ladder,
    /// What is known of the servers beforehand.
    pub fleet: Fleet,
    /// How late and how often load is told.
    pub reports: Reports,
    /// What the decisions may use.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
}

/// Who this front is.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Instance {
    /// Its name in CMSD, Via and logs. Default `front-1`.
    pub name: Name,
    /// Its hall. Default `hall-1`.
    pub hall: Name,
    /// How many fronts send into the fleet, this one included; 1 to 10,000. Default 1.
    pub fronts: Num<1, 10_000>,
    /// Its number among them, from 0, another at each: by it they take turns at cold servers where not all may send at once.
    /// Left out: it has no turn then. Default none.
    pub number: Option<Num<0, 9_999>>,
    /// Seed of the decisions' random numbers; 0: a new one at each start. Default 0.
    pub seed: Num<0, 9_007_199_254_740_991>,
}

impl Default for Instance {
    fn default() -> Self {
        Instance {
            name: Name::of("front-1"),
            hall: Name::of("hall-1"),
            fronts: Num::of(1),
            number: None,
            seed: Num::of(0),
        }
    }
}

/// Where viewers call, and what one connection may cost.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// Address and port; port 0 takes any. Default `127.0.0.1:8080`.
    pub address: SocketAddr,
    /// Most connections; past them 503 at once; 1 to 1,000,000. Default 16,384.
    pub connections: Num<1, 1_000_000>,
    /// Time for a head to come whole, else 408; 10 ms to a minute. Default 5 s.
    pub head_ms: Ms<10, MINUTE>,
    /// Time that a connection may stay without a request; 100 ms to an hour. Default 60 s.
    pub idle_ms: Ms<100, HOUR>,
    /// Time for a viewer to take any part of an answer; 100 ms to a minute. Default 10 s.
    pub write_ms: Ms<100, MINUTE>,
    /// Longest head, else 431; 512 to 65,536 bytes. Default 8,192.
    pub head_bytes: Num<512, 65_536>,
    /// Most header lines, else 431; 8 to 128. Default 64.
    pub header_lines: Num<8, 128>,
    /// Longest report body, else 413; 0 to 1 MiB. Default 65,536.
    pub report_bytes: Num<0, 1_048_576>,
}

impl Default for Listen {
    fn default() -> Self {
        Listen {
            address: ([127, 0, 0, 1], 8080).into(),
            connections: Num::of(16_384),
            head_ms: Ms::of(5_000),
            idle_ms: Ms::of(60_000),
            write_ms: Ms::of(10_000),
            head_bytes: Num::of(8_192),
            header_lines: Num::of(64),
            report_bytes: Num::of(65_536),
        }
    }
}

/// Where operators ask.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Side {
    /// Address of `/health` and `/metrics`; absent: none. Default none.
    pub address: Option<SocketAddr>,
}

#[allow(clippy::derivable_impls)] // kept beside the others, where defaults are looked for
impl Default for Side {
    fn default() -> Self {
        Side { address: None }
    }
}

/// Where the server list comes from.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Address of the discovery service. Default `127.0.0.1:9000`.
    pub address: SocketAddr,
    /// Path of its event stream. Default `/v1/servers`.
    pub path: String,
    /// A stream without a line for so long is broken; 100 ms to an hour. Default 15 s.
    pub silent_ms: Ms<100, HOUR>,
    /// First wait before the stream is asked for again, doubled up to the next; 10 ms to a minute. Default 200 ms.
    pub again_ms: Ms<10, MINUTE>,
    /// Longest such wait; 10 ms to an hour. Default 5 s.
    pub again_most_ms: Ms<10, HOUR>,
    /// How late the list may tell of a server's start: for so long a front that came back takes any server for
    /// one that may be cold; 0 to a minute. Default 5 s.
    pub late_ms: Ms<0, MINUTE>,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            address: ([127, 0, 0, 1], 9000).into(),
            path: "/v1/servers".into(),
            silent_ms: Ms::of(15_000),
            again_ms: Ms::of(200),
            again_most_ms: Ms::of(5_000),
            late_ms: Ms::of(5_000),
        }
    }
}

/// What a deed must have reached before it is done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outlives {
    /// The system's cache: it outlives this process, killed at whatever instant.
    #[default]
    Process,
    /// The disk: it outlives a crash of the machine too, and each set-up that is taken down waits for it.
    Machine,
}

/// What this front keeps over a stop or a death: its last list, its knowledge, and its deeds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Keep {
    /// The file, an embedded store of this front alone; absent: nothing is kept, and each start takes what the
    /// rules count over a span for spent. Deeds go beside it, into `.deeds`. Default none.
    pub file: Option<PathBuf>,
    /// What deeds must outlive: `process` or `machine`. Default `process`.
    pub outlives: Outlives,
    /// What follows from deaths one after the other.
    pub restarts: Restarts,
    /// A new list is kept at once; knowledge that changed, so often; 100 ms to an hour. Default 5 s.
    pub knowledge_ms: Ms<100, HOUR>,
}

impl Default for Keep {
    fn default() -> Self {
        Keep {
            file: None,
            outlives: Outlives::Process,
            restarts: Restarts::default(),
            knowledge_ms: Ms::of(5_000),
        }
    }
}

/// A front that dies again and again takes no viewers for a while: each of its lives breaks their sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Restarts {
    /// Deaths are counted over this; 0: never; 0 to an hour. Default a minute.
    pub window_ms: Ms<0, HOUR>,
    /// So many of them cost nothing; 0 to 60. Default 3.
    pub free: Num<0, 60>,
    /// The wait after the next one, doubled for each further; 0 to a minute. Default 500 ms.
    pub first_ms: Ms<0, MINUTE>,
    /// The longest wait; 0 to an hour. Default 10 s.
    pub most_ms: Ms<0, HOUR>,
}

impl Default for Restarts {
    fn default() -> Self {
        Restarts {
            window_ms: Ms::of(60_000),
            free: Num::of(3),
            first_ms: Ms::of(500),
            most_ms: Ms::of(10_000),
        }
    }
}

/// What this front asks of and tells its peers, at their side addresses.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// The fleet; fronts of another one are not listened to. Default `fleet`.
    pub fleet: Name,
    /// Side addresses of some peers; further ones are heard of. Default none: nothing is asked.
    pub addresses: Vec<SocketAddr>,
    /// Peers asked at once at the start; 1 to 16. Default 2.
    pub parallel: Num<1, 16>,
    /// Warm answers that are enough; 1 to 16. Default 2.
    pub enough: Num<1, 16>,
    /// Another peer is asked when none has answered for so long; 1 ms to a minute. Default 150 ms.
    pub hedge_ms: Ms<1, MINUTE>,
    /// Time for the warm start; 10 ms to a minute. Default 3 s.
    pub deadline_ms: Ms<10, MINUTE>,
    /// The first question waits for up to this, by chance; 0 to a minute. Default 200 ms.
    pub jitter_ms: Ms<0, MINUTE>,
    /// Viewers are taken on once the warm start has ended, or after this; 0 to a minute. Default 500 ms.
    pub hold_ms: Ms<0, MINUTE>,
    /// What is older says nothing any more; 1 s to 10 minutes. Default 30 s.
    pub horizon_ms: Ms<1_000, 600_000>,
    /// Later, one peer is asked for what changed so often; 0: never; 0 to an hour. Default 2 s.
    pub every_ms: Ms<0, HOUR>,
    /// Warm starts that this front feeds at a time; 1 to 1,000. Default 4.
    pub feeds: Num<1, 1_000>,
    /// What a peer past them is asked to wait; 1 ms to a minute. Default 200 ms.
    pub hold_off_ms: Ms<1, MINUTE>,
}

impl Default for Peers {
    fn default() -> Self {
        Peers {
            fleet: Name::of("fleet"),
            addresses: Vec::new(),
            parallel: Num::of(2),
            enough: Num::of(2),
            hedge_ms: Ms::of(150),
            deadline_ms: Ms::of(3_000),
            jitter_ms: Ms::of(200),
            hold_ms: Ms::of(500),
            horizon_ms: Ms::of(30_000),
            every_ms: Ms::of(2_000),
            feeds: Num::of(4),
            hold_off_ms: Ms::of(200),
        }
    }
}

/// How this front talks to servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// Most connections to one server; 1 to 65,536. Default 512.
    pub connections: Num<1, 65_536>,
    /// Time for a connection to be made; 1 ms to a minute. Default 250 ms.
    pub connect_ms: Ms<1, MINUTE>,
    /// An unused connection is closed after so long; 100 ms to an hour. Default 15 s.
    pub idle_ms: Ms<100, HOUR>,
    /// Time for the head of a later object's answer; 10 ms to a minute. Default 4 s.
    pub object_ms: Ms<10, MINUTE>,
    /// Time for each further part of a body; 100 ms to a minute. Default 10 s.
    pub body_ms: Ms<100, MINUTE>,
    /// Most ends of sessions waiting to be told to one server; 1 to 1,000,000. Default 4,096.
    pub releases: Num<1, 1_000_000>,
}

impl Default for Servers {
    fn default() -> Self {
        Servers {
            connections: Num::of(512),
            connect_ms: Ms::of(250),
            idle_ms: Ms::of(15_000),
            object_ms: Ms::of(4_000),
            body_ms: Ms::of(10_000),
            releases: Num::of(4_096),
        }
    }
}

/// Bounds on sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sessions {
    /// Most sessions held; past them 503 at once; 1 to 10,000,000. Default 100,000.
    pub most: Num<1, 10_000_000>,
    /// A session without a request or report for so long has ended; 100 ms to an hour. Default 20 s.
    pub idle_ms: Ms<100, HOUR>,
    /// Most requests of one session that wait for its set-up; 1 to 64. Default 8.
    pub waiting: Num<1, 64>,
    /// An answer is given so long before the viewer's time is up; 0 to 10 s. Default 50 ms.
    pub margin_ms: Ms<0, 10_000>,
    /// Paid sessions that may have run are remembered, so that none is set up again; 1 to 10,000,000. Default 262,144.
    pub spent: Num<1, 10_000_000>,
}

impl Default for Sessions {
    fn default() -> Self {
        Sessions {
            most: Num::of(100_000),
            idle_ms: Ms::of(20_000),
            waiting: Num::of(8),
            margin_ms: Ms::of(50),
            spent: Num::of(262_144),
        }
    }
}

/// A class of sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, as the path has it.
    pub name: Name,
    /// A set-up is wanted playing within this time; 1 ms to a minute.
    pub aim_ms: Ms<1, MINUTE>,
    /// The viewer gives up after this time; 1 ms to a minute.
    pub deadline_ms: Ms<1, MINUTE>,
    /// Paid at set-up: may be set up once only. Default false.
    #[serde(default)]
    pub paid: bool,
    /// Worth of one second at a rung of worth 1; 0 to 1,000. Default 1.
    #[serde(default = "one")]
    pub worth: Real<0, 1_000_000>,
    /// Its rates over those of the ladder; 0.01 to 100. Default 1.
    #[serde(default = "unit")]
    pub scale: Real<10, 100_000>,
    /// The lowest rung it may play at, from 0. Default 0.
    #[serde(default)]
    pub floor: Option<Spanned<usize>>,
    /// The highest rung it may play at. Default the highest of the ladder.
    #[serde(default)]
    pub top: Option<Spanned<usize>>,
    /// Whether its titles are live. Default false.
    #[serde(default)]
    pub live: bool,
    /// Sessions of one title that this front may hold; 0: no cap; 0 to 1,000,000. Default 0.
    #[serde(default = "none")]
    pub seats: Num<0, 1_000_000>,
}

fn one() -> Real<0, 1_000_000> {
    Real::of(1.0)
}

fn unit() -> Real<10, 100_000> {
    Real::of(1.0)
}

fn none() -> Num<0, 1_000_000> {
    Num::of(0)
}

/// The classes.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct Classes(pub Vec<Class>);

impl Default for Classes {
    fn default() -> Self {
        Classes(vec![Class {
            name: Name::of("video"),
            aim_ms: Ms::of(1_000),
            deadline_ms: Ms::of(3_000),
            paid: false,
            worth: one(),
            scale: unit(),
            floor: None,
            top: None,
            live: false,
            seats: none(),
        }])
    }
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as the path has it.
    pub name: Name,
    /// Sessions a second within its share, over all fronts; 0: not told; 0 to 1,000,000. Default 0.
    #[serde(default = "no_quota")]
    pub quota: Real<0, 1_000_000_000>,
}

fn no_quota() -> Real<0, 1_000_000_000> {
    Real::of(0.0)
}

/// One rung of the ladder.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rung {
    /// Its rate, kB a second; 0.001 to 1,000,000.
    pub rate_kb: Real<1, 1_000_000_000>,
    /// What it earns, the top being 1; 0 to 1.
    pub worth: Real<0, 1_000>,
}

/// The ladder.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct Ladder(pub Vec<Rung>);

impl Default for Ladder {
    fn default() -> Self {
        let rung = |rate, worth| Rung { rate_kb: Real::of(rate), worth: Real::of(worth) };
        Ladder(vec![rung(200.0, 0.25), rung(500.0, 0.55), rung(1000.0, 0.8), rung(2000.0, 1.0)])
    }
}

/// A kind of server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name, as the list has it.
    pub name: Name,
    /// Streams that it runs at most; 1 to 1,000,000.
    pub streams: Num<1, 1_000_000>,
}

/// What is known of the servers beforehand.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// The kinds of servers; one that the list names and this does not counts as the first. Default one, 40 streams.
    pub kinds: Vec<Kind>,
    /// Link of a server for each unit of its weight, kB a second; 0.001 to 1,000,000,000. Default 10,000.
    pub link_unit_kb: Real<1, 1_000_000_000_000>,
    /// Whether the list's weights tell the servers' sizes; else their kinds' streams do. Default true.
    pub weights_tell_size: bool,
    /// Mean uplink of a rack, kB a second; 0: not told; 0 to 1,000,000,000. Default 0.
    pub rack_uplink_kb: Real<0, 1_000_000_000_000>,
    /// Cells that servers stand in; 0: every server holds every title; 0 to 1,000,000. Default 0.
    pub cells: Num<0, 1_000_000>,
    /// Racks; a server's rack is its cell modulo this; 0: none; 0 to 1,000,000. Default 0.
    pub racks: Num<0, 1_000_000>,
    /// Cells in a row that hold one title, at most `cells`. Default 3.
    pub copies: Spanned<u64>,
    /// What a further viewer of a live title adds, as a part of its rate; 0 to 1. Default 1: nothing is shared.
    pub join: Real<0, 1_000>,
}

impl Default for Fleet {
    fn default() -> Self {
        let nowhere = serde_saphyr::Location::UNKNOWN;
        Fleet {
            kinds: vec![Kind { name: Name::of("any"), streams: Num::of(40) }],
            link_unit_kb: Real::of(10_000.0),
            weights_tell_size: true,
            rack_uplink_kb: Real::of(0.0),
            cells: Num::of(0),
            racks: Num::of(0),
            copies: Spanned::new(3, nowhere, nowhere),
            join: Real::of(1.0),
        }
    }
}

/// How late and how often load is told by answers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reports {
    /// How late servers' figures usually are; 0 to a minute. Default 500 ms.
    pub late_ms: Ms<0, MINUTE>,
    /// One reading of a server at most so often; 0 to a minute. Default 2 s.
    pub every_ms: Ms<0, MINUTE>,
    /// One note of short delivery of a server at most so often; 0 to a minute. Default 1 s.
    pub short_every_ms: Ms<0, MINUTE>,
}

impl Default for Reports {
    fn default() -> Self {
        Reports { late_ms: Ms::of(500), every_ms: Ms::of(2_000), short_every_ms: Ms::of(1_000) }
    }
}

/// What the decisions may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Most attempts for one session; 1 to 16. Default 3.
    pub attempts: Num<1, 16>,
    /// What a refused viewer is asked to wait, 0 to a minute. Default 1 s.
    pub hold_off_ms: Ms<0, MINUTE>,
    /// Worth of traffic past a tenant's share, as a part of the usual; 0 to 1. Default 1.
    pub over_share_worth: Real<0, 1_000>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { attempts: Num::of(3), hold_off_ms: Ms::of(1_000), over_share_worth: Real::of(1.0) }
    }
}

/// A budget of further attempts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ration {
    /// Attempts always allowed; 0 to 1,000,000.
    pub free: Num<0, 1_000_000>,
    /// Attempts allowed for each session taken; 0 to 10.
    pub share: Real<0, 10_000>,
    /// The span both are counted over; 100 ms to an hour.
    pub span_ms: Ms<100, HOUR>,
}

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Nothing new to a draining or gone server later than this; 0 to a minute. Default 250 ms.
    pub drain_grace_ms: Ms<0, MINUTE>,
    /// A server is warm at the latest so long after its start; 0 to an hour. Default 12 s.
    pub cold_ms: Ms<0, HOUR>,
    /// The part of its capacity at which it starts; 0.001 to 1. Default 0.4.
    pub cold_from: Real<1, 1_000>,
    /// A cold server falls over at this multiple of its present capacity; 0.1 to 100. Default 2.
    pub fall_multiple: Real<100, 100_000>,
    /// ...kept up over this span; 1 ms to a minute. Default 1 s.
    pub fall_ms: Ms<1, MINUTE>,
    /// So many set-ups more in that span than the multiple gives make it fall; 0 to 1,000. Default 1.
    pub fall_slack: Real<0, 1_000>,
    /// The budget of further attempts; absent: none. Default none.
    pub ration: Option<Ration>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: Ms::of(250),
            cold_ms: Ms::of(12_000),
            cold_from: Real::of(0.4),
            fall_multiple: Real::of(2.0),
            fall_ms: Ms::of(1_000),
            fall_slack: Real::of(1.0),
            ration: None,
        }
    }
}
