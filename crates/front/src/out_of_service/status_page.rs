//! Operators' status page of permits.

use super::{fleet_state, OutOfService};
use cloverhollow_members::MembershipView;
use cloverhollow_out::{Availability, MemoryState};
use serde_json::{json, Value};
use std::time::Duration;

impl OutOfService {
    /// Returns the last known register, the fronts that count as out of service, and this front's own state.
    pub(crate) fn status_page(&self, now: Duration, view: &MembershipView) -> Value {
        let millis = |d: Duration| d.as_millis() as u64;
        let name = |subject| {
            let member = view.members.values().find(|s| fleet_state::front_subject(&s.id.name) == subject);
            member.map_or_else(|| fleet_state::format_subject(subject), |s| s.id.name.to_string())
        };
        let permits = self.last_register.iter().flat_map(|(_, r)| &r.permits).map(|p| {
            json!({"name": name(p.subject), "subject": fleet_state::format_subject(p.subject), "term": p.term.0,
                "lease_ms": p.lease_ms, "holder": format!("{:016x}", p.holder)})
        });
        // Readiness is queried only while this front wants to leave.
        let counts_as_out =
            |s| s != Availability::Serving && (s != Availability::OutOfService || self.leaving);
        let out_of_service = self
            .fleet_state
            .members
            .iter()
            .filter(|(s, k)| **s != self.subject && counts_as_out(k.availability));
        let witness_state = self.acceptor.as_ref().map(|c| match c.memory_state(now) {
            MemoryState::Current => "sees",
            MemoryState::WaitedOut => "waited",
            MemoryState::Recovering => "blind",
        });
        let uncertain_ms = (self.fleet_state.uncertain_for != Duration::MAX)
            .then_some(millis(self.fleet_state.uncertain_for));
        json!({
            "fleet": self.limits.fronts.fleet, "hall": self.limits.fronts.zone,
            "wanted": self.leaving, "held": self.held_permit.is_some_and(|h| h.granted.is_valid_at(now)),
            "owed": self.unreturned.len(), "reason": self.denial_reason, "witness": witness_state, "unsure_ms": uncertain_ms,
            "register": self.last_register.as_ref().map(|(at, r)| json!({
                "term": r.term.0, "heard_ms": millis(now.saturating_sub(*at)), "permits": permits.collect::<Vec<_>>(),
            })),
            "counted_out": out_of_service.map(|(s, k)| json!({
                "name": name(*s), "subject": fleet_state::format_subject(*s),
                "why": match k.availability {
                    Availability::Dead => "gone",
                    Availability::Suspect => "doubted",
                    _ => "did not say that it takes viewers",
                },
            })).collect::<Vec<_>>(),
        })
    }
}
