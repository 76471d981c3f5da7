//! Caller of the core without sockets, which applies transitions and tracks the state outside the core.

use super::random_policy::RandomPolicy;
use super::{Model, Transition, DRAINED};
use crate::common::*;
use cloverhollow::{ListMode, SessionPolicy, SessionReport};
use cloverhollow_knowledge::KnowledgeLevel;
use cloverhollow_recovery::*;
use cloverhollow_session::*;
use cloverhollow_settings::FrontSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of sessions held: small enough to be reached.
pub(super) const MAX_SESSIONS: usize = 5;

type In = Input<u32, &'static str>;

/// State of one pending attempt, tracked outside the core.
pub(super) struct PendingAttempt {
    pub(super) sid: SessionId,
    pub(super) paid: bool,
    /// True once the first byte of its request has been sent.
    pub(super) is_sent: bool,
    /// True once it was cancelled, while the report on that is queued.
    pub(super) is_cancelled: bool,
}

pub struct Harness {
    pub(super) settings: Arc<FrontSettings>,
    pub(super) core: Core<Box<dyn Policy>, u32, &'static str>,
    pub(super) real_policy: bool,
    pub(super) peer: TestCore,
    pub(super) now: Duration,
    pub(super) last_viewer: u64,
    pub(super) version: u64,
    /// Waiting viewers with their session and their deadline.
    pub(super) waiting: BTreeMap<u64, (SessionId, Duration)>,
    pub(super) disconnected: BTreeSet<u64>,
    pub(super) pending: BTreeMap<AttemptId, PendingAttempt>,
    /// Attempts whose end was reported.
    pub(super) ended: Vec<AttemptId>,
    /// Paid sessions that may have been executed.
    pub(super) executed: BTreeSet<SessionId>,
    /// Inputs for the next step.
    pub(super) queued: Vec<In>,
    /// Reports on cancelled attempts for the next step.
    pub(super) reports: Vec<In>,
    pub steps: usize,
    pub answers: usize,
}

/// Key of one of the fitting entries, selected by `n` modulo their number.
fn pick<K: Clone, V>(map: &BTreeMap<K, V>, n: usize, fits: impl Fn(&V) -> bool) -> Option<K> {
    let fitting: Vec<_> = map.iter().filter(|(_, v)| fits(v)).map(|(k, _)| k.clone()).collect();
    (!fitting.is_empty()).then(|| fitting[n % fitting.len()].clone())
}

/// History of an incarnation that logged a drain and set a paid session up.
fn earlier_incarnation() -> RecoveredState {
    let stamp = |ms: u64| Timestamp { boot_ms: ms, wall_ms: 1_000_000 + ms };
    let paid = LogRecord::AttemptStarted { sid: "s1".into(), server: 2, paid: true, is_retry: false };
    let mut bytes = frame::MAGIC.to_vec();
    let drained = LogRecord::ServerListed { server: DRAINED, accepts_sessions: false };
    for record in [LogRecord::IncarnationStarted { boot: BootId(1) }, paid, drained] {
        frame::encode(stamp(1), &record, &mut bytes).unwrap();
    }
    let found = FoundLog { bytes: Some(&bytes), changed_unix_ms: stamp(1).wall_ms, ran_before: true };
    recover(found, BootId(1), stamp(50), &LedgerLimits::default()).1
}

impl Harness {
    pub fn new(model: &Model) -> Harness {
        let settings = settings(&SETTINGS.replace("most: 50", &format!("most: {MAX_SESSIONS}")));
        let policy: Box<dyn Policy> = if model.real_policy {
            Box::new(SessionPolicy::new(settings.decisions(), 7))
        } else {
            Box::new(RandomPolicy::new(7))
        };
        let mut harness = Harness {
            core: Core::new(policy, settings.clone(), 1),
            settings,
            real_policy: model.real_policy,
            peer: core(),
            now: START,
            last_viewer: 0,
            version: 1,
            waiting: BTreeMap::new(),
            disconnected: BTreeSet::new(),
            pending: BTreeMap::new(),
            ended: Vec::new(),
            executed: BTreeSet::new(),
            queued: Vec::new(),
            reports: Vec::new(),
            steps: 0,
            answers: 0,
        };
        if model.ran_before {
            harness.executed.insert("s1".into());
            harness.queued.push(Input::Recovered(Box::new(earlier_incarnation())));
        }
        harness
    }

    pub fn apply(&mut self, transition: Transition) {
        match transition {
            Transition::TimePasses(span_ms) => {
                self.settle();
                self.now += ms(span_ms);
                self.settle();
                let late = self.waiting.iter().find(|(_, (_, deadline))| *deadline < self.now);
                assert!(late.is_none(), "rule 1: {late:?} has no answer at {:?}", self.now);
            }
            Transition::Step => self.step(self.now),
            Transition::StepBehind(span_ms) => self.step(self.now.saturating_sub(ms(span_ms))),
            Transition::Request { sid, paid, max_wait_ms, plays } => {
                self.request(sid, paid, max_wait_ms, plays)
            }
            Transition::Disconnect(n) => {
                let Some(viewer) = pick(&self.waiting, n, |_| true) else { return };
                let (sid, _) = self.waiting.remove(&viewer).unwrap();
                self.disconnected.insert(viewer);
                self.queued.push(Input::Disconnected { viewer: ViewerId(viewer), sid });
            }
            Transition::FirstByte(n) => {
                let Some(id) = pick(&self.pending, n, |p| !p.is_sent && !p.is_cancelled) else { return };
                let pending = self.pending.get_mut(&id).unwrap();
                pending.is_sent = true;
                let is_repeated = pending.paid && !self.executed.insert(pending.sid.clone());
                assert!(!is_repeated, "rule 2: {} may have been executed twice", pending.sid);
            }
            Transition::Succeed(n) => {
                let Some(id) = pick(&self.pending, n, |p| p.is_sent) else { return };
                self.record_end(id);
                self.queued.push(playing(id));
            }
            Transition::Fail(n, end) => {
                let never_sent = matches!(end, AttemptEnd::NotConnected | AttemptEnd::NotPersisted);
                let Some(id) = pick(&self.pending, n, |p| p.is_sent != never_sent && !p.is_cancelled) else {
                    return;
                };
                let pending = self.record_end(id);
                if end == AttemptEnd::Full && pending.paid {
                    self.executed.remove(&pending.sid); // The server reports that it did not execute it.
                }
                self.queued.push(attempt_ended(id, end));
            }
            Transition::LateReport(n, success) => {
                if self.ended.is_empty() {
                    return;
                }
                let id = self.ended[n % self.ended.len()];
                self.queued.push(if success {
                    playing(id)
                } else {
                    attempt_ended(id, AttemptEnd::Unanswered)
                });
            }
            Transition::EndSession(n, reason) => {
                let session_ended =
                    |r: Arc<Route>| Input::SessionEnded { sid: r.sid.clone(), reason, load: Load::default() };
                let input = self.route(n).map(session_ended);
                self.queued.extend(input);
            }
            Transition::LoseSession(n) => {
                let input = self.route(n).map(|r| Input::SessionLost { request: r.request });
                self.queued.extend(input);
            }
            Transition::ReportLoad(n, link) => {
                let load = Load { link: Some(link), rack: None, share: Some(1.0 / link.max(1.0)) };
                let load_report =
                    |r: Arc<Route>| Input::LoadReport { request: r.request, server: r.server, load };
                let input = self.route(n).map(load_report);
                self.queued.extend(input);
            }
            Transition::ReportRung(n, rung) => {
                let rung_report = |r: Arc<Route>| Input::SessionReport {
                    sid: r.sid.clone(),
                    report: SessionReport::Rung(rung),
                };
                let input = self.route(n).map(rung_report);
                self.queued.extend(input);
            }
            Transition::Activity(n) => {
                if let Some(route) = self.route(n) {
                    route.record_activity(self.now);
                }
            }
            Transition::Adopt(sid, paid, server) => {
                let arrival = self.arrival(sid, paid, None, false);
                self.queued.push(Input::Adopted { arrival, server });
            }
            Transition::UpdateList(mode, entries) => {
                let servers = entries.iter().map(|(id, state, incarnation)| {
                    let started_ms_ago = (*incarnation > 1).then_some(200);
                    ServerEntry { incarnation: *incarnation, started_ms_ago, ..server(*id, *state) }
                });
                self.version += 1;
                let (version, entries) = (self.version, servers.collect());
                self.queued.push(Input::ListUpdate(ListUpdate { mode, version, entries }));
            }
            Transition::PeerMessage(id, state) => {
                let version = self.version + 1;
                let entries = vec![server(id, state)];
                self.peer.step(
                    self.now,
                    [Input::ListUpdate(ListUpdate { mode: ListMode::Full, version, entries })],
                );
                let message = self.peer.knowledge_snapshot().latest().message(
                    self.now,
                    9,
                    None,
                    KnowledgeLevel::Warm,
                    Vec::new(),
                );
                let peer = ([127, 0, 0, 1], 1).into();
                let input =
                    Input::PeerMessage { peer, requested_at: self.now, nonce: 9, message: Box::new(message) };
                self.queued.push(input);
            }
            Transition::FleetSize(fronts) => self.queued.push(Input::FleetSize { fronts }),
        }
    }

    fn route(&self, n: usize) -> Option<Arc<Route>> {
        let routed: Vec<_> = (0..90).filter_map(|i| self.core.routes().get(&format!("s{i}"))).collect();
        (!routed.is_empty()).then(|| routed[n % routed.len()].clone())
    }

    fn arrival(&mut self, sid: u32, paid: bool, max_wait_ms: Option<u64>, plays: bool) -> Arrival<u32> {
        self.last_viewer += 1;
        let class = if paid { "paid" } else { "clip" };
        let deadline = max_wait_ms.map_or(String::new(), |ms| format!(",dl={}", ms / 100 * 100));
        let state = if plays { "bl=4000,sta=p" } else { "su" };
        let path = format!("/club/{class}/t{}/0", sid % 3);
        arrival(&self.settings, self.last_viewer, &path, &format!("sid=\"s{sid}\",{state}{deadline}"))
    }

    fn request(&mut self, sid: u32, paid: bool, max_wait_ms: Option<u64>, plays: bool) {
        let arrival = self.arrival(sid, paid, max_wait_ms, plays);
        self.waiting.insert(self.last_viewer, (arrival.sid.clone(), self.now + arrival.max_wait));
        self.queued.push(Input::Arrived(arrival));
    }

    fn record_end(&mut self, id: AttemptId) -> PendingAttempt {
        self.ended.push(id);
        self.pending.remove(&id).unwrap()
    }
}
