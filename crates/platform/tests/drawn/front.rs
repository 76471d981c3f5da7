//! A front of a drawn deployment: drawn requests, events of the list, answers and time-outs.

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

type In = Input<u32, ()>;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A session that is being set up or plays.
pub(super) struct Held {
    pub(super) title: u64,
    pub(super) class: usize,
    pub(super) top: usize,
    /// Who waits, and until when.
    pub(super) waits: Option<(ViewerId, Duration)>,
    /// An attempt is out, and whether its first byte went.
    pub(super) out: Option<(AttemptId, bool)>,
    pub(super) plays: bool,
    pub(super) ran: bool,
    /// Its rung was not chosen here.
    pub(super) adopted: bool,
}

pub struct Front {
    pub(super) site: SiteSettings,
    core: Core<SessionPolicy, u32, ()>,
    directory: ServerDirectory,
    pub(super) rng: Rng,
    now: Duration,
    next: u64,
    cursor: u64,
    pub(super) held: BTreeMap<SessionId, Held>,
    pub(super) states: BTreeMap<u64, WireState>,
    pub(super) left: BTreeSet<ViewerId>,
    pub(super) inputs: Vec<In>,
    told: Arc<Mutex<Vec<String>>>,
    pub answers: usize,
    pub streams: usize,
}

impl Front {
    pub fn new(seed: u64) -> Front {
        let written = super::settings(seed);
        let site = settings::read(written.clone()).unwrap_or_else(|e| panic!("{e} of {written}"));
        let mut core = Core::new(SessionPolicy::new(site.settings.clone(), seed), site.core_config(), seed);
        let told = Arc::new(Mutex::new(Vec::new()));
        let tap = told.clone();
        core.set_step_observer(Box::new(move |now, events, actions| {
            tap.lock().unwrap().push(format!("{now:?} {events:?} {actions:?}"));
        }));
        let (directory, held, states, left) = Default::default();
        let (rng, now) = (Rng::with_seed(seed ^ 0x5eed), ms(86_400_000));
        let (inputs, answers, streams) = (Vec::new(), 0, 0);
        let (next, cursor) = (0, 0);
        Front {
            site,
            core,
            directory,
            rng,
            now,
            next,
            cursor,
            held,
            states,
            left,
            inputs,
            told,
            answers,
            streams,
        }
    }

    /// Each step of the decision module.
    pub fn transcript(&self) -> Vec<String> {
        self.told.lock().unwrap().clone()
    }

    /// Something happens, and all that is due.
    pub fn goes_on(&mut self) {
        self.now += ms(self.rng.u64(0..40));
        self.settle();
        match self.rng.u8(0..20) {
            0..=1 => self.lists(),
            2..=8 => self.asks(),
            9 => self.adopts(),
            10 => self.hangs_up(),
            11..=16 => self.ends(),
            17 => self.over(),
            18 => self.notes(),
            _ => self.now += ms(self.rng.u64(0..1_500)),
        }
        self.settle();
        let late = self.held.iter().find(|(_, h)| h.waits.is_some_and(|(_, until)| until < self.now));
        assert!(late.is_none(), "rule 1: {:?} has no answer", late.map(|(sid, _)| sid));
    }

    /// Nothing comes any more: all are answered.
    pub fn stops(&mut self) {
        for _ in 0..8 {
            while let Some((attempt, _)) = self.held.values().find_map(|h| h.out) {
                self.ended(attempt, AttemptEnd::Reset);
                self.settle();
            }
            self.now += ms(2_000);
            self.settle();
        }
        assert!(self.held.values().all(|h| h.waits.is_none() && h.out.is_none()), "rule 1: somebody waits");
        assert_eq!(self.core.session_count(), self.held.len());
    }

    fn settle(&mut self) {
        while !self.inputs.is_empty() || self.core.next_deadline().is_some_and(|due| due <= self.now) {
            let inputs = std::mem::take(&mut self.inputs);
            let commands = self.core.step(self.now, inputs);
            self.core.check().unwrap_or_else(|broken| panic!("{broken}"));
            commands.into_iter().for_each(|c| self.carry_out(c));
        }
        self.left.clear();
    }

    fn lists(&mut self) {
        self.cursor += 1;
        let whole = self.cursor == 1 || self.rng.u8(0..8) == 0;
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
        let event = json!({"cursor": self.cursor, "nodes": {"snapshot": whole, "endpoints": entries}});
        let told = ServerDirectory::parse_update(&event.to_string()).unwrap();
        let news = self.directory.apply(told, 1_000_000).unwrap().expect("news");
        if whole {
            self.states.clear();
        }
        self.states.extend(news.entries.iter().map(|e| (e.id, e.state)));
        self.inputs.push(Input::ListUpdate(news));
    }

    fn arrival(&mut self, sid: &SessionId, patience: Duration) -> Arrival<u32> {
        self.next += 1;
        Arrival {
            viewer: ViewerId(self.next),
            sid: sid.clone(),
            title: self.rng.u64(0..5),
            class: self.rng.usize(0..self.site.settings.classes.len()),
            tenant: (!self.site.settings.tenants.is_empty()).then_some(0),
            max_rung: *self.rng.choice(&[0, 1, 3, usize::MAX]).unwrap(),
            first_cell: self.rng.u64(0..50),
            cell_count: self.rng.u64(0..50),
            repeated: self.rng.bool(),
            max_wait: patience,
            already_playing: false,
            hint_faults: Faults::default(),
            hint_contradictions: Contradictions::default(),
            payload: 0,
        }
    }

    fn holds(&mut self, a: &Arrival<u32>, waits: Option<(ViewerId, Duration)>) {
        let (top, adopted, plays) = (a.max_rung, waits.is_none(), waits.is_none());
        let held = Held { title: a.title, class: a.class, top, waits, out: None, plays, ran: plays, adopted };
        self.held.insert(a.sid.clone(), held);
    }

    fn asks(&mut self) {
        for _ in 0..self.rng.usize(1..5) {
            let sid: SessionId = format!("{:016x}", self.next).into();
            let patience = ms(self.rng.u64(0..4_000));
            let a = self.arrival(&sid, patience);
            self.holds(&a, Some((a.viewer, self.now + patience)));
            self.inputs.push(Input::Arrived(a));
        }
    }

    fn adopts(&mut self) {
        let Some(server) = self.directory.server_id(&format!("s{}", self.rng.u64(0..12))) else { return };
        let sid: SessionId = format!("{:016x}", self.next).into();
        let arrival = self.arrival(&sid, ms(4_000_000));
        self.holds(&arrival, None);
        self.inputs.push(Input::Adopted { arrival, server });
    }

    fn some(&mut self, fits: impl Fn(&Held) -> bool) -> Option<SessionId> {
        let fitting: Vec<_> = self.held.iter().filter(|(_, h)| fits(h)).map(|(sid, _)| sid.clone()).collect();
        self.rng.choice(fitting)
    }

    fn hangs_up(&mut self) {
        let Some(sid) = self.some(|h| h.waits.is_some()) else { return };
        let h = self.held.get_mut(&sid).unwrap();
        let (viewer, _) = h.waits.take().unwrap();
        self.left.insert(viewer);
        self.inputs.push(Input::Disconnected { viewer, sid: sid.clone() });
        if h.out.is_none() {
            self.held.remove(&sid);
        }
    }

    fn ends(&mut self) {
        let Some(sid) = self.some(|h| h.out.is_some()) else { return };
        let (attempt, went) = self.held[&sid].out.unwrap();
        match self.rng.u8(0..8) {
            0 => self.ended(attempt, AttemptEnd::NotConnected),
            1 => self.held.get_mut(&sid).unwrap().out = Some((attempt, true)),
            2 if went => self.ended(attempt, AttemptEnd::Reset),
            3 if went => self.ended(attempt, AttemptEnd::Error { status: 47 }),
            4 if went => self.ended(attempt, AttemptEnd::Full),
            _ => {
                let h = self.held.get_mut(&sid).unwrap();
                (h.out, h.plays, h.ran) = (None, true, true);
                self.inputs.push(Input::Playing { attempt, load: Load::default(), response: () });
            }
        }
    }

    fn over(&mut self) {
        if let Some(sid) = self.some(|h| h.plays) {
            self.inputs.push(Input::SessionEnded { sid, reason: EndReason::Ended, load: Load::default() });
        }
    }

    fn notes(&mut self) {
        let x = self.rng.f64() * 1.4;
        let note = *self.rng.choice(&[DeliveredShare(x.min(1.0)), LinkLoad(x), UplinkLoad(x)]).unwrap();
        if let Some(sid) = self.some(|h| h.plays) {
            self.inputs.push(Input::SessionReport { sid, report: note });
        }
    }
}
