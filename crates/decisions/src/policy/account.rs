//! Account of one link or uplink: capacity reserved by this front, last reading, estimate of other fronts.

use super::*;

/// A value, with the time it was set, that fades linearly to zero over `FADE_TIME`.
#[derive(Clone, Copy, Default)]
pub(super) struct FadingValue(pub(super) f64, pub(super) Duration);

impl FadingValue {
    pub(super) fn value_at(self, now: Duration) -> f64 {
        self.0 * (1.0 - secs(now.saturating_sub(self.1)) / secs(FADE_TIME)).max(0.0)
    }
}

/// Account of one link or uplink. Demands are fractions of its capacity.
#[derive(Default)]
pub(super) struct LinkAccount {
    /// Demand of this front's sessions, playing or being set up.
    pub(super) reserved: f64,
    /// Demand of this front's playing sessions and its recent past, as reports are delayed.
    pub(super) playing_history: VecDeque<(Duration, f64)>,
    /// Demand of the other fronts at the last reading: the reading less `own_at_reading`.
    pub(super) others_at_reading: f64,
    /// Demand of this front's playing sessions at the time that the last reading refers to.
    pub(super) own_at_reading: f64,
    /// Number of this front's sessions at all servers at that time.
    pub(super) sessions_at_reading: f64,
    /// Time of the last reading: when it arrived, or for a peer's reading when it was taken. `None` before
    /// the first.
    pub(super) read_at: Option<Duration>,
    /// Minimum demand of the other fronts, inferred from short delivery. A reading within one report
    /// interval and delay does not clear it, because an intermittent link may read low in between.
    pub(super) short_delivery: FadingValue,
    /// Time at which this front last stepped sessions down on the link or uplink.
    pub(super) last_step_down_at: Duration,
    /// Demand of the other fronts by the last estimate.
    pub(super) others: f64,
}

impl LinkAccount {
    /// Estimates the demand that other fronts have added since the reading, assuming that they act as this
    /// front does. The larger of two estimates counts: in a rush all fronts add sessions over the whole fleet
    /// (one session of this front may be chance); or the fronts that received the same reading, which are
    /// those with a session here, add sessions here.
    pub(super) fn growth_of_others(&self, peers: &PeerEstimate) -> f64 {
        let growth_here = (self.reserved - self.own_at_reading).max(0.0)
            * (self.others_at_reading * peers.sessions_per_link).clamp(0.0, peers.peer_count);
        growth_here.max(
            (peers.own_sessions - self.sessions_at_reading - 1.0).max(0.0)
                * peers.session_rate
                * peers.peer_count
                / peers.total_capacity,
        )
    }

    /// Estimates the demand of other fronts: that of the last reading and its growth since, fading to the
    /// demand that is typical in the fleet.
    pub(super) fn estimate_others(&self, now: Duration, typical: f64, peers: &PeerEstimate) -> f64 {
        let Some(t) = self.read_at else {
            return typical
                .max(self.reserved * (typical * peers.sessions_per_link).clamp(0.0, peers.peer_count));
        };
        let weight = FadingValue(1.0, t).value_at(now);
        (self.others_at_reading + self.growth_of_others(peers)) * weight + typical * (1.0 - weight)
    }

    pub(super) fn utilization(&self, now: Duration) -> f64 {
        self.reserved + self.others.max(self.short_delivery.value_at(now))
    }

    /// Records this front's demand; `retention` is how far back reports may refer.
    pub(super) fn record(&mut self, now: Duration, reserved: f64, playing: f64, retention: Duration) {
        self.reserved = reserved;
        while self.playing_history.len() > 1 && self.playing_history[1].0 + retention < now {
            self.playing_history.pop_front();
        }
        self.playing_history.push_back((now, playing));
    }

    pub(super) fn own_demand_at(&self, then: Duration) -> f64 {
        let past =
            self.playing_history.iter().rev().find(|(t, _)| *t <= then).or(self.playing_history.front());
        past.map_or(0.0, |p| p.1)
    }

    /// Applies a reading taken `age` ago. `report_round` is one report interval and delay. A reading below
    /// the utilization limit ends short delivery if it arrives more than `report_round` after the last
    /// report of short delivery; otherwise the link would stay empty long after a temporary loss of
    /// capacity. A link whose capacity varies more slowly than `report_round` is filled again in between.
    pub(super) fn apply_reading(
        &mut self,
        now: Duration,
        age: Duration,
        reading: f64,
        report_round: Duration,
        sessions: f64,
    ) {
        if reading < MAX_UTILIZATION && self.short_delivery.1 + report_round < now {
            self.short_delivery = FadingValue::default();
        }
        (self.read_at, self.sessions_at_reading) = (Some(now), sessions);
        self.own_at_reading = self.own_demand_at(now.saturating_sub(age));
        self.others_at_reading = reading - self.own_at_reading;
    }

    pub(super) fn last_reading(&self) -> Option<f64> {
        self.read_at.map(|_| self.others_at_reading + self.own_at_reading)
    }

    /// Makes the link count as full after short delivery; the effect fades.
    pub(super) fn mark_full(&mut self, now: Duration) {
        self.short_delivery = FadingValue(1.0 - self.reserved, now);
    }
}

#[derive(Default)]
pub(super) struct Rack {
    /// Nominal capacity of the uplink, kB a second.
    pub(super) uplink_capacity: f64,
    /// Fraction of that capacity that short delivery has shown to be missing.
    pub(super) missing_capacity: FadingValue,
    pub(super) uplink: LinkAccount,
    /// Sum of the rated capacities of the rack's links, kB a second.
    pub(super) links_capacity: f64,
    pub(super) own: OwnDemand,
}

/// Quantities from which the demand of the other fronts on a link or uplink is estimated.
pub(super) struct PeerEstimate {
    /// Number of other fronts.
    pub(super) peer_count: f64,
    /// Number of this front's sessions at all servers.
    pub(super) own_sessions: f64,
    /// Capacity of all links, or of all uplinks, kB a second.
    pub(super) total_capacity: f64,
    /// Number of sessions of the mean rate that fill this link or uplink.
    pub(super) sessions_per_link: f64,
    /// Mean rate of a session, kB a second.
    pub(super) session_rate: f64,
}

/// Demand of sessions.
#[derive(Clone, Copy, Default)]
pub(super) struct Demand {
    /// Fraction of the server's link.
    pub(super) link: f64,
    /// Rate in kB a second.
    pub(super) rate: f64,
}

/// Demand of this front's sessions at a server or rack.
#[derive(Clone, Copy, Default)]
pub(super) struct OwnDemand {
    /// Demand of all of them, including those being set up.
    pub(super) reserved: Demand,
    /// Demand of those that play.
    pub(super) playing: Demand,
}

/// Utilization of a server's link and of its rack's uplink.
pub(super) struct Utilization {
    pub(super) link: f64,
    pub(super) uplink: f64,
    /// Present capacity of the uplink, kB a second.
    pub(super) uplink_capacity: f64,
}

/// Returns mean and standard deviation of the other fronts' demand on the links of these accounts (each with
/// its capacity), weighted by capacity and by how fresh the readings are. The demand that the other fronts
/// would have if they acted as this front does counts as one reading.
pub(super) fn typical_demand(
    now: Duration,
    accounts: &[(f64, &LinkAccount)],
    peers: impl Fn(f64) -> PeerEstimate,
) -> (f64, f64) {
    let fleet = peers(0.0);
    let (mean_capacity, prior) = (
        fleet.total_capacity / accounts.len().max(1) as f64,
        (fleet.own_sessions * fleet.session_rate * fleet.peer_count / fleet.total_capacity).min(1.0),
    );
    let (mut sum, mut squares, mut weights) =
        (mean_capacity * prior, mean_capacity * prior * prior, mean_capacity);
    for (capacity, account) in accounts {
        let others =
            (account.others_at_reading + account.growth_of_others(&peers(*capacity))).clamp(0.0, 1.0);
        let weight = capacity * account.read_at.map_or(0.0, |t| FadingValue(1.0, t).value_at(now));
        (sum, squares, weights) =
            (sum + weight * others, squares + weight * others * others, weights + weight);
    }
    let mean = sum / weights.max(EPSILON);
    (mean, (squares / weights.max(EPSILON) - mean * mean).max(0.0).sqrt())
}
