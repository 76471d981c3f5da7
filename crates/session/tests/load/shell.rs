//! A shell without sockets, that looks at each command by the rules.

use super::wild::Wild;
use super::{Happens, Known, DRAINED};
use crate::common::*;
use cloverhollow::{ListMode, SessionPolicy, SessionReport};
use cloverhollow_knowledge::Level;
use cloverhollow_recovery::{
    frame, recover, BootId, FoundLog, LedgerLimits, LogRecord, RecoveredState, Timestamp,
};
use cloverhollow_session::*;
use cloverhollow_settings::FrontSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Sessions that the front may hold: few, for there to be more.
pub(super) const MOST: usize = 5;

type In = Input<u32, &'static str>;

/// What is known of one attempt outside the core.
pub(super) struct Out {
    pub(super) sid: SessionId,
    pub(super) paid: bool,
    /// Its first byte has gone out.
    pub(super) went: bool,
    /// It was recalled, and the word on that is on its way.
    pub(super) recalled: bool,
}

pub struct Shell {
    pub(super) settings: Arc<FrontSettings>,
    pub(super) core: Core<Box<dyn Policy>, u32, &'static str>,
    pub(super) brain: bool,
    pub(super) peer: TestCore,
    pub(super) now: Duration,
    pub(super) next: u64,
    pub(super) version: u64,
    /// Viewers that wait: their session, and until when.
    pub(super) waiting: BTreeMap<u64, (SessionId, Duration)>,
    pub(super) left: BTreeSet<u64>,
    pub(super) out: BTreeMap<AttemptId, Out>,
    pub(super) booked: Vec<AttemptId>,
    /// Paid sessions that may have run.
    pub(super) ran: BTreeSet<SessionId>,
    pub(super) boxed: Vec<In>,
    /// Words on recalls, for the next step.
    pub(super) words: Vec<In>,
    pub steps: usize,
    pub answers: usize,
}

fn pick<K: Clone, V>(of: &BTreeMap<K, V>, n: usize, fits: impl Fn(&V) -> bool) -> Option<K> {
    let fitting: Vec<_> = of.iter().filter(|(_, v)| fits(v)).map(|(k, _)| k.clone()).collect();
    (!fitting.is_empty()).then(|| fitting[n % fitting.len()].clone())
}

/// A life that heard of a drain and set a paid session up.
fn earlier() -> RecoveredState {
    let stamp = |ms: u64| Timestamp { boot_ms: ms, wall_ms: 1_000_000 + ms };
    let paid = LogRecord::AttemptStarted { sid: "s1".into(), server: 2, paid: true, is_retry: false };
    let mut bytes = frame::MAGIC.to_vec();
    for deed in [
        LogRecord::IncarnationStarted { boot: BootId(1) },
        paid,
        LogRecord::ServerListed { server: DRAINED, accepts_sessions: false },
    ] {
        frame::encode(stamp(1), &deed, &mut bytes).unwrap();
    }
    let found = FoundLog { bytes: Some(&bytes), changed_unix_ms: stamp(1).wall_ms, ran_before: true };
    recover(found, BootId(1), stamp(50), &LedgerLimits::default()).1
}

impl Shell {
    pub fn new(known: &Known) -> Shell {
        let settings = settings(&SETTINGS.replace("most: 50", &format!("most: {MOST}")));
        let policy: Box<dyn Policy> = if known.brain {
            Box::new(SessionPolicy::new(settings.decisions(), 7))
        } else {
            Box::new(Wild::new(7))
        };
        let mut shell = Shell {
            core: Core::new(policy, settings.clone(), 1),
            settings,
            brain: known.brain,
            peer: core(),
            now: DAY,
            next: 0,
            version: 1,
            waiting: BTreeMap::new(),
            left: BTreeSet::new(),
            out: BTreeMap::new(),
            booked: Vec::new(),
            ran: BTreeSet::new(),
            boxed: Vec::new(),
            words: Vec::new(),
            steps: 0,
            answers: 0,
        };
        if known.ran_before {
            shell.ran.insert("s1".into());
            shell.boxed.push(Input::Recovered(Box::new(earlier())));
        }
        shell
    }

    pub fn happens(&mut self, happens: Happens) {
        match happens {
            Happens::Passes(span) => {
                self.settle();
                self.now += ms(span);
                self.settle();
                let late = self.waiting.iter().find(|(_, (_, until))| *until < self.now);
                assert!(late.is_none(), "rule 1: {late:?} has no answer at {:?}", self.now);
            }
            Happens::Step => self.step(self.now),
            Happens::Behind(span) => self.step(self.now.saturating_sub(ms(span))),
            Happens::Asks { sid, paid, patience, underway } => self.asks(sid, paid, patience, underway),
            Happens::HangsUp(n) => {
                let Some(viewer) = pick(&self.waiting, n, |_| true) else { return };
                let (sid, _) = self.waiting.remove(&viewer).unwrap();
                self.left.insert(viewer);
                self.boxed.push(Input::Disconnected { viewer: ViewerId(viewer), sid });
            }
            Happens::Goes(n) => {
                let Some(id) = pick(&self.out, n, |o| !o.went && !o.recalled) else { return };
                let out = self.out.get_mut(&id).unwrap();
                out.went = true;
                let again = out.paid && !self.ran.insert(out.sid.clone());
                assert!(!again, "rule 2: {} may have run twice", out.sid);
            }
            Happens::Plays(n) => {
                let Some(id) = pick(&self.out, n, |o| o.went) else { return };
                self.booked(id);
                self.boxed.push(playing(id));
            }
            Happens::Ends(n, end) => {
                let unsent = matches!(end, AttemptEnd::NotConnected | AttemptEnd::NotPersisted);
                let Some(id) = pick(&self.out, n, |o| o.went != unsent && !o.recalled) else { return };
                let out = self.booked(id);
                if end == AttemptEnd::Full && out.paid {
                    self.ran.remove(&out.sid); // the server's word that it did not run
                }
                self.boxed.push(ended(id, end));
            }
            Happens::Late(n, plays) => {
                if self.booked.is_empty() {
                    return;
                }
                let id = self.booked[n % self.booked.len()];
                self.boxed.push(if plays { playing(id) } else { ended(id, AttemptEnd::Unanswered) });
            }
            Happens::Over(n, why) => {
                let over = |r: Arc<Route>| Input::SessionEnded {
                    sid: r.sid.clone(),
                    reason: why,
                    load: Load::default(),
                };
                let input = self.route(n).map(over);
                self.boxed.extend(input);
            }
            Happens::Lost(n) => {
                let input = self.route(n).map(|r| Input::SessionLost { request: r.request });
                self.boxed.extend(input);
            }
            Happens::Reads(n, x) => {
                let load = Load { link: Some(x), rack: None, share: Some(1.0 / x.max(1.0)) };
                let read = |r: Arc<Route>| Input::LoadReport { request: r.request, server: r.server, load };
                let input = self.route(n).map(read);
                self.boxed.extend(input);
            }
            Happens::Notes(n, rung) => {
                let note = |r: Arc<Route>| Input::SessionReport {
                    sid: r.sid.clone(),
                    report: SessionReport::Rung(rung),
                };
                let input = self.route(n).map(note);
                self.boxed.extend(input);
            }
            Happens::Touched(n) => {
                if let Some(route) = self.route(n) {
                    route.record_activity(self.now);
                }
            }
            Happens::Adopted(sid, paid, server) => {
                let arrival = self.arrival(sid, paid, None, false);
                self.boxed.push(Input::Adopted { arrival, server });
            }
            Happens::Listed(mode, entries) => {
                let servers = entries.iter().map(|(id, state, life)| {
                    let started_ms_ago = (*life > 1).then_some(200);
                    ServerEntry { incarnation: *life, started_ms_ago, ..server(*id, *state) }
                });
                self.version += 1;
                let (version, entries) = (self.version, servers.collect());
                self.boxed.push(Input::ListUpdate(ListUpdate { mode, version, entries }));
            }
            Happens::Told(id, state) => {
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
                    Level::Warm,
                    Vec::new(),
                );
                let peer = ([127, 0, 0, 1], 1).into();
                let told =
                    Input::PeerMessage { peer, requested_at: self.now, nonce: 9, message: Box::new(message) };
                self.boxed.push(told);
            }
            Happens::Counted(fronts) => self.boxed.push(Input::FleetSize { fronts }),
        }
    }

    fn route(&self, n: usize) -> Option<Arc<Route>> {
        let routed: Vec<_> = (0..90).filter_map(|i| self.core.routes().get(&format!("s{i}"))).collect();
        (!routed.is_empty()).then(|| routed[n % routed.len()].clone())
    }

    fn arrival(&mut self, sid: u32, paid: bool, patience: Option<u64>, underway: bool) -> Arrival<u32> {
        self.next += 1;
        let class = if paid { "paid" } else { "clip" };
        let patience = patience.map_or(String::new(), |ms| format!(",dl={}", ms / 100 * 100));
        let state = if underway { "bl=4000,sta=p" } else { "su" };
        let path = format!("/club/{class}/t{}/0", sid % 3);
        arrival(&self.settings, self.next, &path, &format!("sid=\"s{sid}\",{state}{patience}"))
    }

    fn asks(&mut self, sid: u32, paid: bool, patience: Option<u64>, underway: bool) {
        let arrival = self.arrival(sid, paid, patience, underway);
        self.waiting.insert(self.next, (arrival.sid.clone(), self.now + arrival.max_wait));
        self.boxed.push(Input::Arrived(arrival));
    }

    fn booked(&mut self, id: AttemptId) -> Out {
        self.booked.push(id);
        self.out.remove(&id).unwrap()
    }
}
