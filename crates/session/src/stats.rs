//! Counts for operators; never read by a decision.

use crate::types::{OverWhy, Reason};
use cloverhollow_hints::{Contradiction, Contradictions, Fault, Faults};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Counts since the start.
#[derive(Debug, Default)]
#[allow(missing_docs)] // the names say it, and `text` tells each
pub struct Stats {
    pub calls: AtomicU64,
    pub attempts: AtomicU64,
    pub playing: AtomicU64,
    pub hung_up: AtomicU64,
    pub timed_out: AtomicU64,
    pub recalled_unsent: AtomicU64,
    pub late_answers: AtomicU64,
    pub rung_changes: AtomicU64,
    pub objects: AtomicU64,
    pub peer_questions: AtomicU64,
    pub peer_bytes: AtomicU64,
    pub peer_fed: AtomicU64,
    pub peer_fed_bytes: AtomicU64,
    pub peer_fed_us: AtomicU64,
    pub refused: [AtomicU64; Reason::ALL.len()],
    pub failed: [AtomicU64; Reason::ALL.len()],
    pub over: [AtomicU64; 5],
    pub hint_faults: [AtomicU64; Fault::ALL.len()],
    pub contradictions: [AtomicU64; Contradiction::ALL.len()],
}

/// Adds one.
pub(crate) fn count(n: &AtomicU64) {
    n.fetch_add(1, Relaxed);
}

impl Stats {
    /// Counts hints that could not be used.
    pub fn hints(&self, faults: &Faults, contradictions: Contradictions) {
        if faults.total() > 0 {
            for (fault, n) in Fault::ALL.into_iter().zip(&self.hint_faults) {
                n.fetch_add(faults.of(fault).into(), Relaxed);
            }
        }
        contradictions.iter().for_each(|c| count(&self.contradictions[c as usize]));
    }

    pub(crate) fn over(&self, why: OverWhy) {
        count(&self.over[why as usize]);
    }

    /// All counts, a line each, in the text format that metric collectors read.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let mut line = |name: &str, label: &str, n: &AtomicU64| {
            let _ = writeln!(out, "cloverhollow_{name}_total{label} {}", n.load(Relaxed));
        };
        for (name, n) in [
            ("calls", &self.calls),
            ("attempts", &self.attempts),
            ("playing", &self.playing),
            ("hung_up", &self.hung_up),
            ("timed_out", &self.timed_out),
            ("recalled_unsent", &self.recalled_unsent),
            ("late_answers", &self.late_answers),
            ("rung_changes", &self.rung_changes),
            ("objects", &self.objects),
            ("peer_questions", &self.peer_questions),
            ("peer_bytes", &self.peer_bytes),
            ("peer_fed", &self.peer_fed),
            ("peer_fed_bytes", &self.peer_fed_bytes),
            ("peer_fed_us", &self.peer_fed_us),
        ] {
            line(name, "", n);
        }
        for reason in Reason::ALL {
            let label = format!("{{reason=\"{}\"}}", reason.token());
            line("refused", &label, &self.refused[reason as usize]);
            line("failed", &label, &self.failed[reason as usize]);
        }
        for (why, n) in ["ended", "quit", "fatal", "idle", "lost"].iter().zip(&self.over) {
            line("over", &format!("{{why=\"{why}\"}}"), n);
        }
        for (fault, n) in Fault::ALL.into_iter().zip(&self.hint_faults) {
            line("hints_dropped", &format!("{{fault=\"{fault}\"}}"), n);
        }
        for (c, n) in Contradiction::ALL.into_iter().zip(&self.contradictions) {
            line("hints_contradicted", &format!("{{pair=\"{}\"}}", c.word()), n);
        }
        out
    }
}
