//! The settings as they are written, and what of them contradicts the rest. What the platform may leave out is
//! optional here; what it sends has to be usable.

use super::figures::{Figure, Millis, Part, Positive, Whole};
use serde::Deserialize;
use std::collections::BTreeSet;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct WireSetup {
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
    pub(super) over_share_worth: Figure,
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
    pub(super) join: Option<Part>,
    pub(super) ladder_worth: Vec<Figure>,
    pub(super) level_kb: Vec<Positive>,
    pub(super) link_unit_kb: Figure,
    pub(super) places: Whole,
    pub(super) places_by_kind: Vec<Figure>,
    pub(super) rack_link_kb: Figure,
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
    pub(super) importance: Figure,
    pub(super) name: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct WireRules {
    pub(super) ask_within: Millis,
    pub(super) budget_free: Option<Figure>,
    pub(super) budget_span: Option<Millis>,
    pub(super) cold: Millis,
    pub(super) cold_from: Part,
    pub(super) extra_share: Option<Figure>,
    pub(super) fall: Millis,
    pub(super) fall_multiple: Figure,
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
    pub(super) quota_per_s: Figure,
}

impl WireSetup {
    /// The first field that contradicts another, or that nothing could be done with.
    pub(super) fn check(&self) -> Result<(), String> {
        let fault = |field: &str, what: String| Err(format!("`{field}`: {what}"));
        let d = &self.domain;
        let lists = [
            ("domain.class-live", d.class_live.len(), "grades", self.grades.len()),
            ("domain.class-top", d.class_top.len(), "grades", self.grades.len()),
            ("domain.floor-by-class", d.floor_by_class.len(), "grades", self.grades.len()),
            ("domain.scale-by-class", d.scale_by_class.len(), "grades", self.grades.len()),
            ("domain.seats", d.seats.len(), "grades", self.grades.len()),
            ("domain.ladder-worth", d.ladder_worth.len(), "domain.level-kb", d.level_kb.len()),
            ("domain.places-by-kind", d.places_by_kind.len(), "kinds", self.kinds.len()),
        ];
        for (field, has, of, wants) in lists {
            if has != 0 && has != wants {
                return fault(
                    field,
                    format!("{has} entries are neither none nor one for each of {wants} in `{of}`"),
                );
            }
        }
        let names = |names: Vec<&str>| {
            let mut seen = BTreeSet::new();
            names
                .into_iter()
                .enumerate()
                .find(|(_, n)| n.is_empty() || !seen.insert(n.to_owned()))
                .map(|(i, _)| i)
        };
        let named = [
            ("grades", ".name", names(self.grades.iter().map(|g| &*g.name).collect())),
            ("kinds", "", names(self.kinds.iter().map(|k| &**k).collect())),
            ("tenants", ".name", names(self.tenants.iter().map(|t| &*t.name).collect())),
        ];
        for (list, of, found) in named {
            if let Some(i) = found {
                return fault(&format!("{list}[{i}]{of}"), "a name of its own is needed".into());
            }
        }
        if let Some(i) = d.level_kb.windows(2).position(|w| w[1].0 < w[0].0) {
            let what = format!("{} is under the one before; the lowest comes first", d.level_kb[i + 1].0);
            return fault(&format!("domain.level-kb[{}]", i + 1), what);
        }
        for (i, floor) in d.floor_by_class.iter().enumerate() {
            // A top past the ladder binds nothing; a floor past it, or past the top, lets nothing play.
            let top = d.class_top.get(i).map_or(usize::MAX, |t| t.0).min(d.level_kb.len().saturating_sub(1));
            if floor.0 > top {
                return fault(
                    &format!("domain.floor-by-class[{i}]"),
                    format!("{} is not 0 to {top}", floor.0),
                );
            }
        }
        if self.limits.most_tries.is_some_and(|t| t.0 == 0) {
            return fault("limits.most-tries", "0 is not a whole number from 1".into());
        }
        let r = &self.invariants;
        match r.budget_span {
            Some(span) if span.0.is_zero() => fault("invariants.budget-span", "0 is not over 0 ms".into()),
            None if r.budget_free.is_some() || r.extra_share.is_some() => {
                let what = "it is needed where `budget-free` or `extra-share` is given";
                fault("invariants.budget-span", what.into())
            }
            _ => Ok(()),
        }
    }
}
