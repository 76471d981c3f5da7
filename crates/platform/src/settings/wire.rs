//! The settings as written, and the check that their fields agree. Fields that the platform may leave out are optional;
//! fields that are present have to be valid. Struct fields are named as the keys of the settings.

use super::numbers::{Fraction, Millis, NonNegative, Positive, Whole};
use serde::Deserialize;
use std::collections::BTreeSet;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct WireSettings {
    #[serde(default)]
    pub(super) balancers: Whole,
    #[serde(default)]
    pub(super) discovery: String,
    #[serde(default)]
    pub(super) domain: WireDomain,
    #[serde(default)]
    pub(super) grades: Vec<WireGrade>,
    pub(super) index: Option<Whole>,
    #[serde(default)]
    pub(super) invariants: WireRules,
    #[serde(default)]
    pub(super) kinds: Vec<String>,
    #[serde(default)]
    pub(super) limits: WireLimits,
    #[serde(default)]
    pub(super) over_share_worth: NonNegative,
    #[serde(default)]
    pub(super) tenants: Vec<WireTenant>,
    #[serde(default)]
    pub(super) weights: String,
    #[serde(default)]
    pub(super) zone: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct WireDomain {
    pub(super) class_live: Vec<bool>,
    pub(super) class_top: Vec<Whole>,
    pub(super) floor_by_class: Vec<Whole>,
    pub(super) join: Option<Fraction>,
    pub(super) ladder_worth: Vec<NonNegative>,
    pub(super) level_kb: Vec<Positive>,
    pub(super) link_unit_kb: NonNegative,
    pub(super) places: Whole,
    pub(super) places_by_kind: Vec<NonNegative>,
    pub(super) rack_link_kb: NonNegative,
    pub(super) scale_by_class: Vec<Positive>,
    pub(super) seats: Vec<Whole>,
    pub(super) shelves: Whole,
    pub(super) told_every: Millis,
    pub(super) told_late: Millis,
}

#[derive(Deserialize)]
pub(super) struct WireGrade {
    #[serde(default)]
    pub(super) aim: Millis,
    #[serde(default)]
    pub(super) deadline: Millis,
    #[serde(default)]
    pub(super) effect: String,
    #[serde(default)]
    pub(super) importance: NonNegative,
    pub(super) name: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct WireRules {
    pub(super) ask_within: Millis,
    pub(super) budget_free: Option<NonNegative>,
    pub(super) budget_span: Option<Millis>,
    pub(super) cold: Millis,
    pub(super) cold_from: Fraction,
    pub(super) extra_share: Option<NonNegative>,
    pub(super) fall: Millis,
    pub(super) fall_multiple: NonNegative,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct WireLimits {
    pub(super) connect_timeout: Millis,
    pub(super) idle_close: Millis,
    pub(super) max_retry_after: Millis,
    pub(super) most_tries: Option<Whole>,
    pub(super) retry_after: bool,
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
