//! A simulated front of a random deployment: random requests, list events, responses and time-outs.

use super::session_state::SessionState;
use cloverhollow::SessionPolicy;
use cloverhollow::SessionReport::{DeliveredShare, LinkLoad, UplinkLoad};
use cloverhollow_hints::{Contradictions, Faults};
use cloverhollow_platform::channel::ServerDirectory;
use cloverhollow_platform::settings::{self, SiteSettings};
use cloverhollow_session::*;
use fastrand::Rng;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

type CoreInput = Input<u32, ()>;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub struct Front {
    pub(super) site: SiteSettings,
    core: Core<SessionPolicy, u32, ()>,
    directory: ServerDirectory,
    pub(super) rng: Rng,
    now: Duration,
    last_id: u64,
    cursor: u64,
    pub(super) sessions: BTreeMap<SessionId, SessionState>,
    pub(super) states: BTreeMap<u64, WireState>,
    pub(super) disconnected: BTreeSet<ViewerId>,
    pub(super) inputs: Vec<CoreInput>,
    transcript: Arc<Mutex<Vec<String>>>,
    pub answers: usize,
    pub streams: usize,
}

impl Front {
    pub fn new(seed: u64) -> Front {
        let json = super::settings(seed);
        let site = settings::read(json.clone()).unwrap_or_else(|e| panic!("{e} in {json}"));
        let mut core = Core::new(SessionPolicy::new(site.settings.clone(), seed), site.core_config(), seed);
        let transcript = Arc::new(Mutex::new(Vec::new()));
        let recorder = transcript.clone();
        core.set_step_observer(Box::new(move |now, events, actions| {
            recorder.lock().unwrap().push(format!("{now:?} {events:?} {actions:?}"));
        }));
        let (directory, sessions, states, disconnected) = Default::default();
        let (rng, now) = (Rng::with_seed(seed ^ 0x5eed), ms(86_400_000));
        let (inputs, answers, streams) = (Vec::new(), 0, 0);
        let (last_id, cursor) = (0, 0);
        Front {
            site,
            core,
            directory,
            rng,
            now,
            last_id,
            cursor,
            sessions,
            states,
            disconnected,
            inputs,
            transcript,
            answers,
            streams,
        }
    }

    /// Input and output of the decision module at each step.
    pub fn transcript(&self) -> Vec<String> {
        self.transcript.lock().unwrap().clone()
    }

    /// Simulates one random event and everything that is due by then.
    pub fn step(&mut self) {
        self.now += ms(self.rng.u64(0..40));
        self.settle();
        match self.rng.u8(0..20) {
            0..=1 => self.list_event(),
            2..=8 => self.viewer_requests(),
            9 => self.hand_over(),
            10 => self.disconnect(),
            11..=16 => self.attempt_event(),
            17 => self.session_end(),
            18 => self.session_report(),
            _ => self.now += ms(self.rng.u64(0..1_500)),
        }
        self.settle();
        let overdue =
            self.sessions.iter().find(|(_, s)| s.waiting.is_some_and(|(_, until)| until < self.now));
        assert!(overdue.is_none(), "{:?} got no response in time", overdue.map(|(sid, _)| sid));
    }

    /// Ends all attempts and lets time pass, so that every viewer gets its response.
    pub fn finish(&mut self) {
        for _ in 0..8 {
            while let Some((attempt, _)) = self.sessions.values().find_map(|s| s.attempt) {
                self.end_attempt(attempt, AttemptEnd::Reset);
                self.settle();
            }
            self.now += ms(2_000);
            self.settle();
        }
        assert!(
            self.sessions.values().all(|s| s.waiting.is_none() && s.attempt.is_none()),
            "a viewer or an attempt is left"
        );
        assert_eq!(self.core.session_count(), self.sessions.len());
    }

    fn settle(&mut self) {
        while !self.inputs.is_empty() || self.core.next_deadline().is_some_and(|due| due <= self.now) {
            let inputs = std::mem::take(&mut self.inputs);
            let commands = self.core.step(self.now, inputs);
            self.core.check().unwrap_or_else(|violation| panic!("{violation}"));
            commands.into_iter().for_each(|c| self.execute(c));
        }
        self.disconnected.clear();
    }

    fn list_event(&mut self) {
        self.cursor += 1;
        let snapshot = self.cursor == 1 || self.rng.u8(0..8) == 0;
        let names: BTreeSet<u64> = (0..self.rng.usize(1..8)).map(|_| self.rng.u64(0..12)).collect();
        let kinds = self.site.names.kinds.clone();
        let entry = |n: &u64| {
            let status = *self
                .rng
                .choice(&["in_service", "in_service", "in_service", "terminating", "terminated"])
                .unwrap();
            json!({"name": format!("s{n}"), "address": format!("10.1.0.{}:5070", n / 2 + 1), "zone": self.site.names.zone,
                "type": self.rng.choice(&kinds), "group": n, "status": status, "weight": 0.1 + self.rng.f64() * 9.0,
                "since_ms": self.rng.choice(&[0u64, 0, 999_000]).unwrap()})
        };
        let entries: Vec<Value> = names.iter().map(entry).collect();
        let event = json!({"cursor": self.cursor, "nodes": {"snapshot": snapshot, "endpoints": entries}});
        let update = ServerDirectory::parse_update(&event.to_string()).unwrap();
        let list = self.directory.apply(update, 1_000_000).unwrap().expect("the event is new");
        if snapshot {
            self.states.clear();
        }
        self.states.extend(list.entries.iter().map(|e| (e.id, e.state)));
        self.inputs.push(Input::ListUpdate(list));
    }

    fn arrival(&mut self, sid: &SessionId, max_wait: Duration) -> Arrival<u32> {
        self.last_id += 1;
        Arrival {
            viewer: ViewerId(self.last_id),
            sid: sid.clone(),
            title: self.rng.u64(0..5),
            class: self.rng.usize(0..self.site.settings.classes.len()),
            tenant: (!self.site.settings.tenants.is_empty()).then_some(0),
            max_rung: *self.rng.choice(&[0, 1, 3, usize::MAX]).unwrap(),
            first_cell: self.rng.u64(0..50),
            cell_count: self.rng.u64(0..50),
            repeated: self.rng.bool(),
            max_wait,
            already_playing: false,
            hint_faults: Faults::default(),
            hint_contradictions: Contradictions::default(),
            payload: 0,
        }
    }

    fn insert(&mut self, arrival: &Arrival<u32>, waiting: Option<(ViewerId, Duration)>) {
        let (adopted, playing) = (waiting.is_none(), waiting.is_none());
        let session = SessionState {
            title: arrival.title,
            class: arrival.class,
            max_rung: arrival.max_rung,
            waiting,
            attempt: None,
            playing,
            possibly_executed: playing,
            adopted,
        };
        self.sessions.insert(arrival.sid.clone(), session);
    }

    fn viewer_requests(&mut self) {
        for _ in 0..self.rng.usize(1..5) {
            let sid: SessionId = format!("{:016x}", self.last_id).into();
            let max_wait = ms(self.rng.u64(0..4_000));
            let arrival = self.arrival(&sid, max_wait);
            self.insert(&arrival, Some((arrival.viewer, self.now + max_wait)));
            self.inputs.push(Input::Arrived(arrival));
        }
    }

    fn hand_over(&mut self) {
        let Some(server) = self.directory.server_id(&format!("s{}", self.rng.u64(0..12))) else { return };
        let sid: SessionId = format!("{:016x}", self.last_id).into();
        let arrival = self.arrival(&sid, ms(4_000_000));
        self.insert(&arrival, None);
        self.inputs.push(Input::Adopted { arrival, server });
    }

    fn random_session(&mut self, matches: impl Fn(&SessionState) -> bool) -> Option<SessionId> {
        let candidates: Vec<_> =
            self.sessions.iter().filter(|(_, s)| matches(s)).map(|(sid, _)| sid.clone()).collect();
        self.rng.choice(candidates)
    }

    fn disconnect(&mut self) {
        let Some(sid) = self.random_session(|s| s.waiting.is_some()) else { return };
        let session = self.sessions.get_mut(&sid).unwrap();
        let (viewer, _) = session.waiting.take().unwrap();
        self.disconnected.insert(viewer);
        self.inputs.push(Input::Disconnected { viewer, sid: sid.clone() });
        if session.attempt.is_none() {
            self.sessions.remove(&sid);
        }
    }

    fn attempt_event(&mut self) {
        let Some(sid) = self.random_session(|s| s.attempt.is_some()) else { return };
        let (attempt, sent) = self.sessions[&sid].attempt.unwrap();
        match self.rng.u8(0..8) {
            0 => self.end_attempt(attempt, AttemptEnd::NotConnected),
            1 => self.sessions.get_mut(&sid).unwrap().attempt = Some((attempt, true)),
            2 if sent => self.end_attempt(attempt, AttemptEnd::Reset),
            3 if sent => self.end_attempt(attempt, AttemptEnd::Error { status: 47 }),
            4 if sent => self.end_attempt(attempt, AttemptEnd::Full),
            _ => {
                let session = self.sessions.get_mut(&sid).unwrap();
                (session.attempt, session.playing, session.possibly_executed) = (None, true, true);
                self.inputs.push(Input::Playing { attempt, load: Load::default(), response: () });
            }
        }
    }

    fn session_end(&mut self) {
        if let Some(sid) = self.random_session(|s| s.playing) {
            self.inputs.push(Input::SessionEnded { sid, reason: EndReason::Ended, load: Load::default() });
        }
    }

    fn session_report(&mut self) {
        let x = self.rng.f64() * 1.4;
        let report = *self.rng.choice(&[DeliveredShare(x.min(1.0)), LinkLoad(x), UplinkLoad(x)]).unwrap();
        if let Some(sid) = self.random_session(|s| s.playing) {
            self.inputs.push(Input::SessionReport { sid, report });
        }
    }
}
