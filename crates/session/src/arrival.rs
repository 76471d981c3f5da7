//! A viewer's request as a call: hints and path mapped by the settings. Translation only.

use crate::types::{Arrival, OverWhy, Sid, ViewerId};
use cloverhollow_hints::cmcd::{Kbps, Millis, PlayState, Record};
use cloverhollow_hints::{Contradiction, Contradictions, Faults};
use cloverhollow_settings::{title_id, FrontSettings, TitleFrom};
use std::time::Duration;

/// Why a request is none of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum NoSession {
    #[error("the path fits no pattern of the settings")]
    Path,
    #[error("the path names no class of the settings")]
    Class,
    #[error("no session id")]
    Sid,
}

/// A request's hints after [`cloverhollow_hints::reconcile`].
#[derive(Debug)]
pub struct Hints {
    /// The one reading.
    pub record: Record,
    /// What was dropped.
    pub faults: Faults,
    /// What was contradictory.
    pub contradictions: Contradictions,
}

/// The rates of a class, kbps, by rung.
pub fn rates(settings: &FrontSettings, class: usize) -> Vec<u32> {
    let scale = settings.classes.0.get(class).map_or(1.0, |c| c.scale.get());
    settings.ladder.0.iter().map(|r| to_kbps(r.rate_kb.get() * scale)).collect()
}

/// Kilobytes a second as kilobits a second.
pub fn to_kbps(kb_s: f64) -> u32 {
    (kb_s * 8.0).round().clamp(0.0, f64::from(u32::MAX)) as u32
}

/// The highest rung whose rate is no more than what the viewer can use; the lowest where none is.
fn top_rung(rates: &[u32], record: &Record) -> usize {
    // `tb` is what the client may play, `mtp` what its way has carried: the smaller of both binds. A
    // measured throughput of nothing was not measured.
    let most = [record.tb, record.mtp.filter(|m| *m > Kbps(0))];
    let Some(Kbps(most)) = most.into_iter().flatten().min() else { return usize::MAX };
    rates.iter().rposition(|r| *r <= most).unwrap_or(0)
}

/// Reads a request. `sid` stands in where the hints name none.
///
/// # Errors
/// It belongs to no session.
pub fn read<A>(
    settings: &FrontSettings,
    viewer: ViewerId,
    path: &str,
    hints: &Hints,
    ask: A,
) -> Result<Arrival<A>, NoSession> {
    let r = &hints.record;
    let found = settings.mapping.path.find(path).ok_or(NoSession::Path)?;
    let classes = &settings.classes.0;
    let class = match found.class {
        Some(name) => classes.iter().position(|c| c.name.as_str() == name).ok_or(NoSession::Class)?,
        None => 0, // a pattern without `{class}` is one of a single class
    };
    let tenant = found.tenant.and_then(|name| settings.tenants.iter().position(|t| t.name.as_str() == name));
    let sid: Sid = r.sid.as_deref().ok_or(NoSession::Sid)?.into();
    let from_path = found.title.unwrap_or_default();
    let title = match settings.mapping.title_from {
        TitleFrom::Path => from_path,
        TitleFrom::Cid => r.cid.as_deref().unwrap_or(from_path),
    };
    let deadline = classes[class].deadline_ms.get();
    // A deadline of nothing is no deadline: a hint that cannot be met must not cost the session.
    let told = r.dl.filter(|d| d.0 > 0).map(|Millis(ms)| Duration::from_millis(ms.into()));
    // Contradictory hints prove nothing of what went before.
    let told_start = r.su || hints.contradictions.has(Contradiction::StartupWithBuffer);
    let plays = matches!(
        r.sta,
        Some(PlayState::Playing | PlayState::Rebuffering | PlayState::Paused | PlayState::Seeking)
    );
    let underway = !told_start && (plays || r.bl.is_some_and(|b| b.0 > 0));
    let (title, fleet) = (title_id(title), &settings.fleet);
    Ok(Arrival {
        viewer,
        sid,
        title,
        first_cell: settings.first_cell(title),
        cells: fleet.copies.value.min(fleet.cells.get()),
        again: false,
        class,
        tenant,
        top: top_rung(&rates(settings, class), r),
        patience: told.map_or(deadline, |t| t.min(deadline)),
        underway,
        faults: hints.faults,
        contradictions: hints.contradictions,
        ask,
    })
}

/// Whether a request's or report's state tells that its session is over.
pub fn over(record: &Record) -> Option<OverWhy> {
    match record.sta? {
        PlayState::Ended => Some(OverWhy::Ended),
        PlayState::Quit => Some(OverWhy::Quit),
        PlayState::Fatal => Some(OverWhy::Fatal),
        _ => None,
    }
}
