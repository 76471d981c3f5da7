//! Reports of video servers about their load and about playing sessions, parsed from JSON lines.
//!
//! Loads are shares of capacity, 1 being full.

use crate::lines::Line;
use cloverhollow::SessionReport;
use cloverhollow_session::Load;

/// Parses the load report in a line; values that are absent or invalid are `None`.
pub fn load_report(line: &Line) -> Load {
    let mut report = Load::default();
    for part in line.field("load").unwrap_or_default().split(';') {
        let Some((name, value)) = part.split_once(':') else { continue };
        let value = value.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0);
        match name {
            "x0" | "load_share" => report.link = value,
            "x1" => report.rack = value,
            _ => {}
        }
    }
    report
}

/// Parses a report about a playing session; `None` if it is of an unknown kind or its value is invalid.
pub fn session_report(line: &Line) -> Option<SessionReport> {
    let value: f64 = line.field("value")?.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
    Some(match line.field("note")? {
        "kept_up" => SessionReport::DeliveredShare(value),
        "tier" => SessionReport::Rung(value as usize),
        "wire" => SessionReport::LinkLoad(value),
        "trunk" => SessionReport::UplinkLoad(value),
        _ => return None,
    })
}
