//! The baseline.

use cloverhollow::{
    Action, Event, ListEntry, ListMode, RequestId, ServerId, ServerState, SessionRequest, Settings,
};
use cloverhollow_session::Policy;
use std::collections::BTreeMap;
use std::time::Duration;

/// One request as [`Random`] knows it.
struct Tried {
    call: SessionRequest,
    attempts: u32,
    ran: bool,
    out: Option<ServerId>,
}

/// Baseline: a random holder that serves, at the class's lowest rung; tried again on proof only, refused when
/// attempts are used up. It looks at no load, no health and no warmth; seats, floors and drains it keeps.
pub struct Random {
    set: Settings,
    rng: fastrand::Rng,
    servers: BTreeMap<ServerId, ListEntry>,
    requests: BTreeMap<RequestId, Tried>,
}

impl Random {
    pub(super) fn new(set: Settings, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        Random { set, rng, servers: BTreeMap::new(), requests: BTreeMap::new() }
    }

    fn holders(&self, call: &SessionRequest) -> Vec<ServerId> {
        let cells = self.set.cell_count;
        let holds = |e: &&ListEntry| {
            cells == 0 || (e.cell + cells - call.first_cell % cells.max(1)) % cells.max(1) < call.cell_count
        };
        let serving = self.servers.values().filter(|e| e.state == ServerState::Serving);
        serving.filter(holds).map(|e| e.server).collect()
    }

    fn place(&mut self, now: Duration, request: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&request) else { return };
        let class = &self.set.classes[r.call.class];
        let left = r.call.deadline.saturating_sub(now);
        let alike =
            |t: &&Tried| t.out.is_some() && (t.call.title, t.call.class) == (r.call.title, r.call.class);
        let seated = class.max_sessions_per_title == 0
            || self.requests.values().filter(alike).count() < class.max_sessions_per_title;
        let may = seated && !(r.ran && class.at_most_once) && r.attempts < self.set.limits.max_attempts;
        let holders = self.holders(&r.call);
        if !may || left.is_zero() || holders.is_empty() {
            let failed = r.ran && class.at_most_once;
            self.requests.remove(&request);
            let hold_off = self.set.limits.max_retry_after;
            out.push(if failed { Action::Fail(request) } else { Action::Refuse(request, hold_off) });
            return;
        }
        let (server, floor) = (holders[self.rng.usize(..holders.len())], class.min_rung);
        if let Some(r) = self.requests.get_mut(&request) {
            r.attempts += 1;
            r.out = Some(server);
        }
        out.push(Action::SetRung(request, floor));
        out.push(Action::Send(request, server, left));
    }
}

impl Policy for Random {
    fn step(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        let mut waiting = Vec::new();
        for event in events {
            match event {
                Event::ListUpdate(ListMode::Failed, _) => {}
                Event::ListUpdate(mode, entries) => {
                    if *mode != ListMode::Patch {
                        self.servers.clear();
                    }
                    self.servers.extend(entries.iter().map(|e| (e.server, *e)));
                }
                Event::Request(call) => {
                    let tried = Tried { call: call.clone(), attempts: 0, ran: false, out: None };
                    self.requests.insert(call.id, tried);
                    waiting.push(call.id);
                }
                Event::AttemptEnded(request, _, _, _, true, _) | Event::ViewerLeft(request) => {
                    self.requests.remove(request);
                }
                Event::AttemptEnded(request, _, _, outcome, false, _) => {
                    if let Some(r) = self.requests.get_mut(request) {
                        r.ran |= !outcome.never_executed();
                        r.out = None;
                        waiting.push(*request);
                    }
                }
                _ => {}
            }
        }
        for request in waiting {
            self.place(now, request, &mut out);
        }
        out
    }
}
