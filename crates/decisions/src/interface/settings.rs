//! What a front is told once, at its start.

use std::time::Duration;

/// What a front is told once, at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many fronts send into the fleet, this one included.
    pub fronts: usize,
    /// This front's number among them, from 0; `None`: it has none that all agree on.
    pub number: Option<usize>,
    /// The classes of sessions, in the order their indices refer to.
    pub classes: Vec<Class>,
    /// The ladder of rates, lowest first.
    pub ladder: Vec<Rung>,
    /// The tenants, in the order their indices refer to.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic past a tenant's share, as a part of the usual worth.
    pub over_share_worth: f64,
    /// Most streams of a server, by kind.
    pub streams_by_kind: Vec<f64>,
    /// Link of a server for each unit of its weight.
    pub link_unit: f64,
    /// Whether an entry's weight tells the server's size; else the kind's streams do.
    pub weights_tell_size: bool,
    /// Mean uplink of a rack.
    pub rack_uplink: f64,
    /// Number of cells; a title lies on a run of them. 0: every server holds every title.
    pub cells: u64,
    /// Number of racks; a server's rack is its cell modulo this. 0: no racks.
    pub racks: u64,
    /// What a further viewer of a live title adds, as a part of its rate; 1: nothing is shared.
    pub join: f64,
    /// How late notes on playing sessions are.
    pub told_late: Duration,
    /// Time between link notes; zero: there are none.
    pub told_every: Duration,
    /// What the caller permits.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// Whether list changes come unasked.
    pub list_pushed: bool,
}

/// A class of sessions.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// A set-up is wanted playing within this time.
    pub aim: Duration,
    /// Whether a set-up may take effect once only.
    pub at_most_once: bool,
    /// Worth of one second at a rung of worth 1.
    pub worth: f64,
    /// The class's rates over those of the ladder.
    pub scale: f64,
    /// The lowest rung it may play at.
    pub floor: usize,
    /// The highest rung it may play at.
    pub top: usize,
    /// Whether its titles are live.
    pub live: bool,
    /// Sessions of one title that a front may hold; 0: no cap.
    pub seats: usize,
}

/// One rung of the ladder.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rung {
    /// Its rate, kB a second.
    pub rate: f64,
    /// What it earns, the top being 1.
    pub worth: f64,
}

/// A tenant and its share.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tenant {
    /// Requests a second within its share, over all fronts; 0: not told.
    pub quota: f64,
}

/// What the caller permits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limits {
    /// Most attempts for one request.
    pub attempts: u32,
    /// The longest hold-off that clients follow; zero: they take none.
    pub hold_off: Duration,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rules {
    /// A server is warm at the latest so long after its start.
    pub cold: Duration,
    /// The part of its capacity at which it starts.
    pub cold_from: f64,
    /// A cold server falls over at this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...kept up over this span...
    pub fall_span: Duration,
    /// ...with so many set-ups more in it than that multiple gives (N)...
    pub fall_free: f64,
    /// ...and so many times the root of N more.
    pub fall_root: f64,
    /// The ration of further attempts, where there is one.
    pub ration: Option<Ration>,
    /// Without a subscription, how often the list must be asked for (when it is not pushed).
    pub ask_within: Duration,
}

/// A ration of further attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ration {
    /// Attempts always allowed.
    pub free: f64,
    /// Attempts allowed for each request taken.
    pub share: f64,
    /// The span both are counted over.
    pub span: Duration,
}
