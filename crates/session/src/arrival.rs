//! Translation of a viewer's request, given as hints and path, into an [`Arrival`].

use crate::types::{Arrival, EndReason, SessionId, ViewerId};
use cloverhollow_hints::cmcd::{Kbps, Millis, PlayState, Record};
use cloverhollow_hints::{Contradiction, Contradictions, Faults};
use cloverhollow_settings::{title_id, FrontSettings, TitleFrom};
use std::time::Duration;

/// Reason for which a request belongs to no session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ArrivalError {
    /// The path matches no pattern of the settings.
    #[error("path matches no pattern of the settings")]
    Path,
    /// The path names a class that is not in the settings.
    #[error("path names no class of the settings")]
    Class,
    /// The hints contain no session id (CMCD `sid`).
    #[error("no session id in the hints")]
    Sid,
}

/// Hints of a request after [`cloverhollow_hints::reconcile`].
#[derive(Debug)]
pub struct Hints {
    /// Reconciled values of the hints.
    pub record: Record,
    /// Hints that could not be used, counted by fault.
    pub faults: Faults,
    /// Hints that contradicted each other.
    pub contradictions: Contradictions,
}

/// Bit rates of a class by rung, kbps.
pub fn rates_kbps(settings: &FrontSettings, class: usize) -> Vec<u32> {
    let scale = settings.classes.0.get(class).map_or(1.0, |c| c.rate_scale.get());
    settings.ladder.0.iter().map(|r| to_kbps(r.kb_per_s.get() * scale)).collect()
}

/// Converts kilobytes per second to kilobits per second.
pub fn to_kbps(kb_per_s: f64) -> u32 {
    (kb_per_s * 8.0).round().clamp(0.0, f64::from(u32::MAX)) as u32
}

/// Highest rung whose rate the viewer can use; the lowest rung if there is none.
fn max_rung(rates_kbps: &[u32], record: &Record) -> usize {
    // `tb` is the highest rate that the client may play, `mtp` the measured throughput: the smaller one applies.
    // A measured throughput of zero means that nothing was measured.
    let limits = [record.tb, record.mtp.filter(|m| *m > Kbps(0))];
    let Some(Kbps(limit)) = limits.into_iter().flatten().min() else { return usize::MAX };
    rates_kbps.iter().rposition(|r| *r <= limit).unwrap_or(0)
}

/// Reads a viewer's request from its path and hints.
///
/// # Errors
/// The request belongs to no session.
pub fn read<A>(
    settings: &FrontSettings,
    viewer: ViewerId,
    path: &str,
    hints: &Hints,
    payload: A,
) -> Result<Arrival<A>, ArrivalError> {
    let record = &hints.record;
    let matched = settings.mapping.path.match_path(path).ok_or(ArrivalError::Path)?;
    let classes = &settings.classes.0;
    let class = match matched.class {
        Some(name) => classes.iter().position(|c| c.name.as_str() == name).ok_or(ArrivalError::Class)?,
        None => 0, // A pattern without `{class}` serves a single class.
    };
    let tenant =
        matched.tenant.and_then(|name| settings.tenants.iter().position(|t| t.name.as_str() == name));
    let sid: SessionId = record.sid.as_deref().ok_or(ArrivalError::Sid)?.into();
    let from_path = matched.title.unwrap_or_default();
    let title = match settings.mapping.title_from {
        TitleFrom::Path => from_path,
        TitleFrom::Cid => record.cid.as_deref().unwrap_or(from_path),
    };
    let deadline = classes[class].deadline_ms.get();
    // A hinted deadline of zero is ignored: a hint that cannot be met must not cost the viewer its session.
    let hinted_deadline = record.dl.filter(|d| d.0 > 0).map(|Millis(ms)| Duration::from_millis(ms.into()));
    // Contradictory hints prove nothing about the session's past.
    let hinted_startup = record.su || hints.contradictions.contains(Contradiction::StartupWithBuffer);
    let plays = matches!(
        record.sta,
        Some(PlayState::Playing | PlayState::Rebuffering | PlayState::Paused | PlayState::Seeking)
    );
    let already_playing = !hinted_startup && (plays || record.bl.is_some_and(|b| b.0 > 0));
    let (title, fleet) = (title_id(title), &settings.fleet);
    Ok(Arrival {
        viewer,
        sid,
        title,
        first_cell: settings.home_cell(title),
        cell_count: fleet.cells_per_title.value.min(fleet.cell_count.get()),
        repeated: false,
        class,
        tenant,
        max_rung: max_rung(&rates_kbps(settings, class), record),
        max_wait: hinted_deadline.map_or(deadline, |t| t.min(deadline)),
        already_playing,
        hint_faults: hints.faults,
        hint_contradictions: hints.contradictions,
        payload,
    })
}

/// Reason for the end of the session, if the play state in a request or report says that it has ended.
pub fn end_reason(record: &Record) -> Option<EndReason> {
    match record.sta? {
        PlayState::Ended => Some(EndReason::Ended),
        PlayState::Quit => Some(EndReason::Quit),
        PlayState::Fatal => Some(EndReason::Fatal),
        _ => None,
    }
}
