//! Counters for operators. No decision reads them.

use crate::types::{EndReason, RejectReason};
use cloverhollow_hints::{Contradiction, Contradictions, Fault, Faults};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct Stats {
    /// Sessions requested and passed to the policy.
    pub requests: AtomicU64,
    /// Set-up attempts sent.
    pub attempts: AtomicU64,
    /// Attempts that led to a playing session.
    pub playing: AtomicU64,
    /// Viewers that disconnected while they waited for an answer.
    pub disconnected: AtomicU64,
    /// Attempts cancelled because they timed out.
    pub timed_out: AtomicU64,
    /// Attempts that ended before the first byte of their request was sent, other than by a failed connection.
    pub cancelled_unsent: AtomicU64,
    /// Responses that arrived after the end of their attempt and were dropped.
    pub late_answers: AtomicU64,
    /// Changes of a playing session's rung.
    pub rung_changes: AtomicU64,
    /// Later objects requested by viewers.
    pub objects: AtomicU64,
    /// Knowledge requests sent to peers.
    pub peer_requests: AtomicU64,
    /// Bytes of knowledge received from peers.
    pub peer_bytes: AtomicU64,
    /// Knowledge requests of peers that were answered.
    pub peer_responses: AtomicU64,
    /// Bytes of knowledge sent to peers.
    pub peer_response_bytes: AtomicU64,
    /// Time spent on building knowledge messages for peers, µs.
    pub peer_response_us: AtomicU64,
    /// Viewers refused, by reason.
    pub refused: [AtomicU64; RejectReason::ALL.len()],
    /// Viewers failed, by reason.
    pub failed: [AtomicU64; RejectReason::ALL.len()],
    /// Playing sessions that ended, by the discriminant of [`EndReason`].
    pub ended: [AtomicU64; 5],
    /// Hints that could not be used, by fault.
    pub hint_faults: [AtomicU64; Fault::ALL.len()],
    /// Hints that contradicted each other, by kind of contradiction.
    pub contradictions: [AtomicU64; Contradiction::ALL.len()],
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

impl Stats {
    /// Counts the hints of one request that could not be used or contradicted each other.
    pub fn record_hints(&self, faults: &Faults, contradictions: Contradictions) {
        if faults.total() > 0 {
            for (fault, counter) in Fault::ALL.into_iter().zip(&self.hint_faults) {
                counter.fetch_add(faults.count(fault).into(), Relaxed);
            }
        }
        contradictions.iter().for_each(|c| increment(&self.contradictions[c as usize]));
    }

    pub(crate) fn record_end(&self, reason: EndReason) {
        increment(&self.ended[reason as usize]);
    }

    /// Formats all counters in the Prometheus text format.
    pub fn to_prometheus(&self) -> String {
        let mut out = String::new();
        let mut line = |name: &str, label: &str, counter: &AtomicU64| {
            let _ = writeln!(out, "cloverhollow_{name}_total{label} {}", counter.load(Relaxed));
        };
        for (name, counter) in [
            ("calls", &self.requests),
            ("attempts", &self.attempts),
            ("playing", &self.playing),
            ("hung_up", &self.disconnected),
            ("timed_out", &self.timed_out),
            ("recalled_unsent", &self.cancelled_unsent),
            ("late_answers", &self.late_answers),
            ("rung_changes", &self.rung_changes),
            ("objects", &self.objects),
            ("peer_questions", &self.peer_requests),
            ("peer_bytes", &self.peer_bytes),
            ("peer_fed", &self.peer_responses),
            ("peer_fed_bytes", &self.peer_response_bytes),
            ("peer_fed_us", &self.peer_response_us),
        ] {
            line(name, "", counter);
        }
        for reason in RejectReason::ALL {
            let label = format!("{{reason=\"{}\"}}", reason.token());
            line("refused", &label, &self.refused[reason as usize]);
            line("failed", &label, &self.failed[reason as usize]);
        }
        for (why, counter) in ["ended", "quit", "fatal", "idle", "lost"].iter().zip(&self.ended) {
            line("over", &format!("{{why=\"{why}\"}}"), counter);
        }
        for (fault, counter) in Fault::ALL.into_iter().zip(&self.hint_faults) {
            line("hints_dropped", &format!("{{fault=\"{fault}\"}}"), counter);
        }
        for (contradiction, counter) in Contradiction::ALL.into_iter().zip(&self.contradictions) {
            line("hints_contradicted", &format!("{{pair=\"{}\"}}", contradiction.label()), counter);
        }
        out
    }
}
