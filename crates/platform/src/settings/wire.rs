//! The settings as written, and the check that their fields agree. Fields that the platform may leave out are optional;
//! fields that are present have to be valid. Struct fields are named as the keys of the settings.

use super::numbers::{Fraction, Millis, NonNegative, Positive, Whole};
use serde::Deserialize;
use std::collections::BTreeSet;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct WireSettings {
    /// Number of fronts.
    #[serde(default)]
    pub(super) balancers: Whole,
    /// `on_request` if the server list has to be requested; otherwise it is pushed.
    #[serde(default)]
    pub(super) discovery: String,
    #[serde(default)]
    pub(super) domain: WireDomain,
    /// Classes of sessions.
    #[serde(default)]
    pub(super) grades: Vec<WireGrade>,
    /// Index of this front, from 0.
    pub(super) index: Option<Whole>,
    /// Parameters of the placement rules.
    #[serde(default)]
    pub(super) invariants: WireRules,
    /// Names of the kinds of servers.
    #[serde(default)]
    pub(super) kinds: Vec<String>,
    #[serde(default)]
    pub(super) limits: WireLimits,
    /// Worth of traffic beyond a tenant's quota, as a fraction of its ordinary worth.
    #[serde(default)]
    pub(super) over_share_worth: NonNegative,
    #[serde(default)]
    pub(super) tenants: Vec<WireTenant>,
    /// `none` if the weights of servers do not give the sizes of their links.
    #[serde(default)]
    pub(super) weights: String,
    /// Zone of this front.
    #[serde(default)]
    pub(super) zone: String,
}

/// Cells, links and bit rates.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct WireDomain {
    /// True for each class of live streams.
    pub(super) class_live: Vec<bool>,
    /// Maximum rung of each class.
    pub(super) class_top: Vec<Whole>,
    /// Minimum rung of each class.
    pub(super) floor_by_class: Vec<Whole>,
    /// Load of a further viewer of the same live stream, as a fraction of its rate.
    pub(super) join: Option<Fraction>,
    /// Worth of each rung.
    pub(super) ladder_worth: Vec<NonNegative>,
    /// Rate of each rung, kB a second, lowest first.
    pub(super) level_kb: Vec<Positive>,
    /// Capacity of a link for each unit of weight, kB a second.
    pub(super) link_unit_kb: NonNegative,
    /// Number of cells.
    pub(super) places: Whole,
    /// Maximum number of streams of a server of each kind.
    pub(super) places_by_kind: Vec<NonNegative>,
    /// Mean capacity of a rack's uplink, kB a second; 0 if uplinks do not limit.
    pub(super) rack_link_kb: NonNegative,
    /// Factor between the rates of each class and those of the ladder.
    pub(super) scale_by_class: Vec<Positive>,
    /// Maximum number of sessions of one title, for each class.
    pub(super) seats: Vec<Whole>,
    /// Number of racks.
    pub(super) shelves: Whole,
    /// Interval between reports of a link's load.
    pub(super) told_every: Millis,
    /// Delay of session reports.
    pub(super) told_late: Millis,
}

/// One class of sessions.
#[derive(Deserialize)]
pub(super) struct WireGrade {
    /// Target set-up time.
    #[serde(default)]
    pub(super) aim: Millis,
    /// Maximum waiting time of a viewer.
    #[serde(default)]
    pub(super) deadline: Millis,
    /// `idempotent` or `at_most_once`.
    #[serde(default)]
    pub(super) effect: String,
    /// Worth of one second at a rung of worth 1.
    #[serde(default)]
    pub(super) importance: NonNegative,
    pub(super) name: String,
}

/// Parameters of the placement rules.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct WireRules {
    /// Maximum time between two requests for the server list.
    pub(super) ask_within: Millis,
    /// Retries that are always allowed in a window.
    pub(super) budget_free: Option<NonNegative>,
    /// Window of the retry budget.
    pub(super) budget_span: Option<Millis>,
    /// Warm-up time of a server.
    pub(super) cold: Millis,
    /// Fraction of its capacity that a server has at its start.
    pub(super) cold_from: Fraction,
    /// Retries allowed for each request in a window.
    pub(super) extra_share: Option<NonNegative>,
    /// Window in which the set-ups at a cold server are counted.
    pub(super) fall: Millis,
    /// Multiple of its present capacity at which a cold server is overloaded.
    pub(super) fall_multiple: NonNegative,
}

/// Limits of clients, connections and attempts.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct WireLimits {
    pub(super) connect_timeout: Millis,
    /// Time after which servers close an idle connection.
    pub(super) idle_close: Millis,
    /// Maximum retry-after delay that clients respect.
    pub(super) max_retry_after: Millis,
    /// Maximum number of attempts for one request.
    pub(super) most_tries: Option<Whole>,
    /// True if clients respect a retry-after delay.
    pub(super) retry_after: bool,
    /// True if session managers may send each other datagrams.
    pub(super) peers: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct WireTenant {
    pub(super) name: String,
    #[serde(default)]
    pub(super) quota_per_s: NonNegative,
}

impl WireSettings {
    /// Checks the fields against each other.
    ///
    /// # Errors
    /// The first field that contradicts another or has no usable value.
    pub(super) fn check(&self) -> Result<(), String> {
        let error = |field: &str, problem: String| Err(format!("`{field}`: {problem}"));
        let domain = &self.domain;
        let lists = [
            ("domain.class-live", domain.class_live.len(), "grades", self.grades.len()),
            ("domain.class-top", domain.class_top.len(), "grades", self.grades.len()),
            ("domain.floor-by-class", domain.floor_by_class.len(), "grades", self.grades.len()),
            ("domain.scale-by-class", domain.scale_by_class.len(), "grades", self.grades.len()),
            ("domain.seats", domain.seats.len(), "grades", self.grades.len()),
            ("domain.ladder-worth", domain.ladder_worth.len(), "domain.level-kb", domain.level_kb.len()),
            ("domain.places-by-kind", domain.places_by_kind.len(), "kinds", self.kinds.len()),
        ];
        for (field, len, of, expected) in lists {
            if len != 0 && len != expected {
                return error(
                    field,
                    format!("{len} entries are neither none nor one for each of {expected} in `{of}`"),
                );
            }
        }
        let invalid_name = |names: Vec<&str>| {
            let mut seen = BTreeSet::new();
            names
                .into_iter()
                .enumerate()
                .find(|(_, name)| name.is_empty() || !seen.insert(name.to_owned()))
                .map(|(i, _)| i)
        };
        let name_lists = [
            ("grades", ".name", invalid_name(self.grades.iter().map(|g| &*g.name).collect())),
            ("kinds", "", invalid_name(self.kinds.iter().map(|k| &**k).collect())),
            ("tenants", ".name", invalid_name(self.tenants.iter().map(|t| &*t.name).collect())),
        ];
        for (list, suffix, index) in name_lists {
            if let Some(i) = index {
                return error(&format!("{list}[{i}]{suffix}"), "a unique name is needed".into());
            }
        }
        if let Some(i) = domain.level_kb.windows(2).position(|w| w[1].0 < w[0].0) {
            let problem =
                format!("{} is below the one before; the lowest comes first", domain.level_kb[i + 1].0);
            return error(&format!("domain.level-kb[{}]", i + 1), problem);
        }
        for (i, min_rung) in domain.floor_by_class.iter().enumerate() {
            // A maximum above the ladder has no effect; a minimum above the ladder or above the maximum would allow
            // no rung.
            let max_rung = domain
                .class_top
                .get(i)
                .map_or(usize::MAX, |t| t.0)
                .min(domain.level_kb.len().saturating_sub(1));
            if min_rung.0 > max_rung {
                return error(
                    &format!("domain.floor-by-class[{i}]"),
                    format!("{} is not 0 to {max_rung}", min_rung.0),
                );
            }
        }
        if self.limits.most_tries.is_some_and(|t| t.0 == 0) {
            return error("limits.most-tries", "0 is not a whole number from 1".into());
        }
        let rules = &self.invariants;
        match rules.budget_span {
            Some(span) if span.0.is_zero() => error("invariants.budget-span", "0 is not above 0 ms".into()),
            None if rules.budget_free.is_some() || rules.extra_share.is_some() => {
                let problem = "needed if `budget-free` or `extra-share` is given";
                error("invariants.budget-span", problem.into())
            }
            _ => Ok(()),
        }
    }
}
