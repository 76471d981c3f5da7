//! What operators see of permits.

use super::{world, Out};
use cloverhollow_members::MembershipView;
use cloverhollow_out::{Availability, MemoryState};
use serde_json::{json, Value};
use std::time::Duration;

impl Out {
    /// The register as last heard, who counts as out, and what this front is and wants.
    pub(crate) fn page(&self, now: Duration, view: &MembershipView) -> Value {
        let ms = |d: Duration| d.as_millis() as u64;
        let name = |subject| {
            let of = view.members.values().find(|s| world::subject(&s.id.name) == subject);
            of.map_or_else(|| world::digits(subject), |s| s.id.name.to_string())
        };
        let permits = self.register.iter().flat_map(|(_, r)| &r.permits).map(|p| {
            json!({"name": name(p.subject), "subject": world::digits(p.subject), "term": p.term.0,
                "lease_ms": p.lease_ms, "holder": format!("{:016x}", p.holder)})
        });
        // Who is ready is asked only where this front wants to go.
        let counts = |s| s != Availability::Serving && (s != Availability::OutOfService || self.wanted);
        let away = self.world.members.iter().filter(|(s, k)| **s != self.subject && counts(k.availability));
        let sight = self.clerk.as_ref().map(|c| match c.memory_state(now) {
            MemoryState::Current => "sees",
            MemoryState::WaitedOut => "waited",
            MemoryState::Recovering => "blind",
        });
        let unsure = (self.world.uncertain_for != Duration::MAX).then_some(ms(self.world.uncertain_for));
        json!({
            "fleet": self.limits.fronts.fleet, "hall": self.limits.fronts.zone,
            "wanted": self.wanted, "held": self.held.is_some_and(|h| h.granted.is_valid_at(now)),
            "owed": self.owed.len(), "reason": self.reason, "witness": sight, "unsure_ms": unsure,
            "register": self.register.as_ref().map(|(at, r)| json!({
                "term": r.term.0, "heard_ms": ms(now.saturating_sub(*at)), "permits": permits.collect::<Vec<_>>(),
            })),
            "counted_out": away.map(|(s, k)| json!({
                "name": name(*s), "subject": world::digits(*s),
                "why": match k.availability {
                    Availability::Dead => "gone",
                    Availability::Suspect => "doubted",
                    _ => "did not say that it takes viewers",
                },
            })).collect::<Vec<_>>(),
        })
    }
}
