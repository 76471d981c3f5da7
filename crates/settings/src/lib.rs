//! Settings of a front, as a YAML file that is checked completely before the front starts.
//!
//! An error names file, line, field and allowed range. [`FrontSettings::decisions`] converts the settings to
//! those of the placement policy.

mod check;
mod fields;
mod mapping;
mod ranged;

pub use fields::*;
pub use mapping::{title_id, Mapping, PathMatch, Pattern, TitleFrom};
pub use ranged::{Decimal, Int, Millis, Name};

use serde::de::DeserializeOwned;
use std::path::Path;
use std::time::Duration;

/// Error in a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// A field is invalid.
    #[error("{file}:{line}: {field}: {description}")]
    Field {
        /// Path of the file.
        file: String,
        /// Line number from 1; 0 if the fault concerns several fields or a default.
        line: u64,
        /// Path of the field, such as `listen.head_ms`.
        field: String,
        /// Description of the fault, with the allowed range.
        description: String,
    },
}

/// Parses a YAML text into a checked type. `file` is the name used in errors.
///
/// # Errors
/// The first fault of the text, with file, line, field and range.
pub fn read_yaml<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    let mut field = String::new();
    let read = serde_saphyr::with_deserializer_from_str(text, |d| {
        serde_path_to_error::deserialize(d).map_err(|e| {
            field = e.path().to_string();
            e.into_inner()
        })
    });
    read.map_err(|e| {
        let bare = e.without_snippet();
        let line = e.location().map_or(0, |l| l.line());
        // The location and snippet within the message are removed: the error has its own fields for them.
        let text = bare.to_string();
        let message = text.lines().next().unwrap_or_default();
        let message = message.strip_prefix("error: ").unwrap_or(message);
        let message = message.split_once(" at line ").map_or(message, |(text, _)| text).trim_end();
        // Removes a hint of the parser that addresses programmers, not operators.
        let message = message.split(", set DuplicateKeyPolicy").next().unwrap_or(message);
        let field =
            if field.is_empty() || field == "." || field == "?" { "file".into() } else { field.clone() };
        SettingsError::Field { file: file.into(), line, field, description: message.into() }
    })
}

/// Parses a YAML file with [`read_yaml`].
///
/// # Errors
/// The file cannot be read, or the first fault of its text.
pub fn read_file<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => read_yaml(&file, &text),
        Err(source) => Err(SettingsError::Unreadable { file, source }),
    }
}

impl FrontSettings {
    /// Parses and checks a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or the first fault of its text.
    pub fn load(path: &Path) -> Result<FrontSettings, SettingsError> {
        let settings: FrontSettings = read_file(path)?;
        settings.check(&path.display().to_string())?;
        Ok(settings)
    }

    /// Parses and checks a settings text. `file` is the name used in errors.
    ///
    /// # Errors
    /// The first fault of the text.
    pub fn parse(file: &str, text: &str) -> Result<FrontSettings, SettingsError> {
        let settings: FrontSettings = read_yaml(file, text)?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Checks the constraints between fields.
    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let fault = |line: u64, field: String, description: String| {
            Err(SettingsError::Field { file: file.into(), line, field, description })
        };
        let rungs = self.ladder.0.len();
        if rungs == 0 || rungs > 64 {
            return fault(0, "ladder".into(), format!("{rungs} rungs are not in 1..=64"));
        }
        let rates: Vec<f64> = self.ladder.0.iter().map(|r| r.kb_per_s.get()).collect();
        if let Some(i) = rates.windows(2).position(|w| w[0] >= w[1]) {
            return fault(
                0,
                format!("ladder[{}].rate_kb", i + 1),
                "rates must rise from rung to rung".into(),
            );
        }
        let classes = &self.classes.0;
        if classes.is_empty() || classes.len() > 64 {
            return fault(0, "classes".into(), format!("{} classes are not in 1..=64", classes.len()));
        }
        for (i, class) in classes.iter().enumerate() {
            if classes[..i].iter().any(|other| other.name == class.name) {
                return fault(
                    0,
                    format!("classes[{i}].name"),
                    format!("duplicate `{}`", class.name.as_str()),
                );
            }
            for (field, rung) in [("floor", &class.min_rung), ("top", &class.max_rung)] {
                if let Some(r) = rung.as_ref().filter(|r| r.value >= rungs) {
                    let description = format!("{} is not in 0..={}", r.value, rungs - 1);
                    return fault(r.referenced.line(), format!("classes[{i}].{field}"), description);
                }
            }
            if let (Some(min_rung), Some(max_rung)) = (&class.min_rung, &class.max_rung) {
                if min_rung.value > max_rung.value {
                    let description =
                        format!("{} is greater than the class's top {}", min_rung.value, max_rung.value);
                    return fault(min_rung.referenced.line(), format!("classes[{i}].floor"), description);
                }
            }
            if class.target_setup_ms.get() > class.deadline_ms.get() {
                return fault(0, format!("classes[{i}].aim_ms"), "greater than deadline_ms".into());
            }
            if self.sessions.deadline_margin_ms.get() >= class.deadline_ms.get() {
                return fault(0, "sessions.margin_ms".into(), format!("not below classes[{i}].deadline_ms"));
            }
        }
        let (cells_per_title, cells) = (&self.fleet.cells_per_title, self.fleet.cell_count.get());
        if cells > 0 && !(1..=cells).contains(&cells_per_title.value) {
            let description = format!("{} is not in 1..={cells}, the cells", cells_per_title.value);
            return fault(cells_per_title.referenced.line(), "fleet.copies".into(), description);
        }
        if self.fleet.kinds.is_empty() {
            return fault(0, "fleet.kinds".into(), "0 kinds are not in 1..=64".into());
        }
        for (field, path) in
            [("discovery.path", &self.discovery.path), ("mapping.reports", &self.mapping.report_path)]
        {
            let valid = path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic() && b != b'?');
            if !valid {
                return fault(
                    0,
                    field.into(),
                    format!("`{path}` is not a path: it must begin with `/` and contain no spaces"),
                );
            }
        }
        self.check_members(file)?;
        if self.discovery.min_retry_delay_ms.get() > self.discovery.max_retry_delay_ms.get() {
            return fault(0, "discovery.again_ms".into(), "greater than discovery.again_most_ms".into());
        }
        Ok(())
    }

    /// Settings of the placement policy.
    pub fn decisions(&self) -> cloverhollow::Settings {
        let highest = self.ladder.0.len() - 1;
        let convert_class = |c: &Class| cloverhollow::Class {
            target_setup_time: c.target_setup_ms.get(),
            at_most_once: c.at_most_once,
            worth: c.worth.get(),
            rate_scale: c.rate_scale.get(),
            min_rung: c.min_rung.as_ref().map_or(0, |f| f.value),
            max_rung: c.max_rung.as_ref().map_or(highest, |t| t.value),
            live: c.live,
            max_sessions_per_title: c.max_sessions_per_title.as_usize(),
        };
        let rules = &self.rules;
        cloverhollow::Settings {
            front_count: self.instance.front_count.as_usize(),
            front_index: self.instance.front_index.map(|n| n.as_usize()),
            classes: self.classes.0.iter().map(convert_class).collect(),
            ladder: (self.ladder.0.iter())
                .map(|r| cloverhollow::Rung { rate_kb_per_s: r.kb_per_s.get(), worth: r.worth.get() })
                .collect(),
            tenants: self
                .tenants
                .iter()
                .map(|t| cloverhollow::Tenant { quota_per_s: t.quota_per_s.get() })
                .collect(),
            over_quota_worth: self.limits.over_quota_worth.get(),
            max_streams_by_kind: self.fleet.kinds.iter().map(|k| k.max_streams.get() as f64).collect(),
            link_unit_kb_per_s: self.fleet.link_unit_kb_per_s.get(),
            sized_by_weight: self.fleet.sized_by_weight,
            rack_uplink_kb_per_s: self.fleet.rack_uplink_kb_per_s.get(),
            cell_count: self.fleet.cell_count.get(),
            rack_count: self.fleet.rack_count.get(),
            join_cost_fraction: self.fleet.join_cost_fraction.get(),
            report_delay: self.load_reports.delay_ms.get(),
            report_interval: self.load_reports.interval_ms.get(),
            limits: cloverhollow::Limits {
                max_attempts: self.limits.max_attempts.get() as u32,
                max_retry_after: self.limits.max_retry_after_ms.get(),
            },
            rules: cloverhollow::Rules {
                warm_up: rules.warm_up_ms.get(),
                cold_capacity_fraction: rules.cold_capacity_fraction.get(),
                overload_multiple: rules.overload_multiple.get(),
                overload_window: rules.overload_window_ms.get(),
                overload_margin: rules.overload_margin.get(),
                overload_margin_root: 0.0,
                retry_budget: rules.retry_budget.as_ref().map(|budget| cloverhollow::RetryBudget {
                    base: budget.base.get() as f64,
                    per_request: budget.per_session.get(),
                    window: budget.window_ms.get(),
                }),
                list_refresh_interval: Duration::ZERO,
            },
            list_pushed: true,
        }
    }

    /// Index of a kind of server by its name in the server list; 0 for an unknown name.
    pub fn kind_index(&self, name: &str) -> usize {
        self.fleet.kinds.iter().position(|k| k.name.as_str() == name).unwrap_or(0)
    }

    /// First of the cells that hold a title, equal on all fronts; 0 if there are no cells.
    pub fn home_cell(&self, title: u64) -> u64 {
        title.checked_rem(self.fleet.cell_count.get()).unwrap_or(0)
    }
}
