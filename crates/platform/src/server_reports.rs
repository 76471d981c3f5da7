//! What a video server's line tells of its load and of a session, in the core's words and units: shares, 1 being all.

use crate::lines::Line;
use cloverhollow::SessionReport;
use cloverhollow_session::Load;

/// The report that a line carries.
pub fn load_report(line: &Line) -> Load {
    let mut out = Load::default();
    for part in line.field("load").unwrap_or_default().split(';') {
        let Some((name, value)) = part.split_once(':') else { continue };
        let value = value.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0);
        match name {
            "x0" | "load_share" => out.link = value,
            "x1" => out.rack = value,
            _ => {}
        }
    }
    out
}

/// What a note says.
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
