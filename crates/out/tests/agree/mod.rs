//! The model of agreement: see `model_register.rs`.

use cloverhollow_out::*;
use stateright::{Model, Property};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const TICK: Duration = Duration::from_secs(2);
const BEGIN: Duration = Duration::from_secs(1_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: Duration,
    askers: Vec<Proposer>,
    clerks: Vec<Acceptor>,
    /// What each asker says to each witness now.
    words: BTreeMap<(usize, usize), Message>,
    late: Vec<(usize, usize, Message)>,
    asks: Vec<u8>,
    granted: Vec<Option<GrantedLease>>,
    /// What was done before the ask that is under way began.
    before: Vec<Term>,
    done: BTreeMap<Term, Register>,
    lates: u8,
    losses: u8,
    forgets: u8,
    lapsed: bool,
    renewed: bool,
    broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Happens {
    Tick,
    Asks(usize),
    /// A word arrives; its answer does too, or not.
    Arrives(usize, usize, bool),
    /// A copy of it stays on its way.
    Doubled(usize, usize),
    ComesLate(usize),
    Forgets(usize),
}

pub struct World {
    pub askers: usize,
    pub limit: u16,
    pub ticks: u32,
    pub asks: u8,
    pub lates: u8,
    pub losses: u8,
    pub forgets: u8,
    pub lease: Duration,
}

fn limits(limit: u16) -> Limits {
    let most = MaxOutOfService { fleet: limit, zone: 9, rack: 9 };
    Limits {
        fronts: most,
        servers: most,
        cells_per_title: 0,
        ring_cells: 0,
        free_link_kbit_s: None,
        max_uncertain_ms: 1_000,
    }
}

impl World {
    fn say(&self, s: &mut State, i: usize, words: Vec<(SocketAddr, Message)>) {
        for (to, word) in words {
            let w = usize::from(to.port()) - 1;
            // Two of the three are asked in each try, which ones is open; what is said anew replaces what was
            // said.
            let accepts = matches!(word, Message::Accept { .. });
            s.words.retain(|(j, _), old| *j != i || !accepts || matches!(old, Message::Accept { .. }));
            let old = s.words.insert((i, w), word.clone());
            if let Some(old) = old.filter(|o| *o != word && s.lates < self.lates) {
                s.lates += 1;
                s.late.push((i, w, old));
            }
        }
    }

    fn deliver(&self, s: &mut State, i: usize, w: usize, word: &Message, answered: bool) {
        let Some((_, answer)) = s.clerks[w].handle_message(s.now, word) else { return };
        s.broken |= s.clerks[w].check_invariants().is_err();
        if !answered {
            return;
        }
        let world = cloverhollow_out::FleetView::default();
        let limits = limits(self.limit);
        let words =
            s.askers[i].handle_message(s.now, answer, GrantContext { fleet: &world, limits: &limits });
        self.say(s, i, words);
        s.broken |= s.askers[i].check_invariants().is_err();
        let Some(outcome) = s.askers[i].take_outcome() else { return };
        s.words.retain(|(asker, _), _| *asker != i);
        if let Outcome::Committed(value, granted) = outcome {
            s.broken |= value.term <= s.before[i];
            s.broken |= s.done.insert(value.term, value.clone()).is_some_and(|old| old != value);
            s.renewed |= s.granted[i].is_some_and(|g| g.is_valid_at(s.now));
            s.lapsed |=
                s.granted.iter().enumerate().any(|(j, g)| j != i && g.is_some_and(|g| !g.is_valid_at(s.now)));
            s.granted[i] = granted.or(s.granted[i]);
        }
    }

    fn due(&self, s: &mut State) {
        for i in 0..s.askers.len() {
            let words = s.askers[i].handle_timeout(s.now);
            if !words.is_empty() {
                self.say(s, i, words);
            }
            s.askers[i].take_outcome();
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Happens;

    /// The witnesses have been there for long, and have taken a first value.
    fn init_states(&self) -> Vec<State> {
        let witnesses: Vec<SocketAddr> = (1..=3).map(address).collect();
        let asker = |i: usize| {
            let set = ProposerConfig {
                address: address(100 + i as u16),
                incarnation: 1 + i as u64,
                witnesses: witnesses.clone(),
                max_lease: self.lease,
                backoff_seed: i as u64,
            };
            Proposer::new(set)
        };
        let kept = PersistedState { is_current: true, ..PersistedState::default() };
        let clerk = |w: &SocketAddr| Acceptor::new(Duration::ZERO, *w, 7, self.lease, Some(kept.clone()));
        vec![State {
            now: BEGIN,
            askers: (0..self.askers).map(asker).collect(),
            clerks: witnesses.iter().map(clerk).collect(),
            words: BTreeMap::new(),
            late: Vec::new(),
            asks: vec![0; self.askers],
            granted: vec![None; self.askers],
            before: vec![Term::default(); self.askers],
            done: BTreeMap::new(),
            lates: 0,
            losses: 0,
            forgets: 0,
            lapsed: false,
            renewed: false,
            broken: false,
        }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Happens>) {
        // Time goes on over words that have not arrived only so often.
        if s.now < BEGIN + TICK * self.ticks && (s.words.is_empty() || s.losses < self.losses) {
            out.push(Happens::Tick);
        }
        out.extend(
            (0..self.askers).filter(|i| s.asks[*i] < self.asks && !s.askers[*i].is_busy()).map(Happens::Asks),
        );
        for (i, w) in s.words.keys() {
            out.push(Happens::Arrives(*i, *w, true));
            if s.losses < self.losses {
                out.push(Happens::Arrives(*i, *w, false));
            }
            if s.lates < self.lates {
                out.push(Happens::Doubled(*i, *w));
            }
        }
        out.extend((0..s.late.len()).map(Happens::ComesLate));
        if s.forgets < self.forgets {
            out.extend((0..3).map(Happens::Forgets));
        }
    }

    fn next_state(&self, s: &State, action: Happens) -> Option<State> {
        let mut s = s.clone();
        match action {
            Happens::Tick => {
                s.losses += u8::from(!s.words.is_empty());
                // Twice, for one whose try is over waits and begins the next.
                for _ in 0..2 {
                    s.now += TICK / 2;
                    self.due(&mut s);
                }
            }
            Happens::Asks(i) => {
                s.asks[i] += 1;
                s.before[i] = s.done.keys().next_back().copied().unwrap_or_default();
                let (subject, place) = (Subject::Front(i as u64), Place::default());
                let lease_ms = self.lease.as_millis() as u32;
                s.askers[i].submit(s.now, Change::Grant { subject, place, lease_ms, release: None });
                let words = s.askers[i].handle_timeout(s.now);
                self.say(&mut s, i, words);
            }
            Happens::Arrives(i, w, answered) => {
                s.losses += u8::from(!answered);
                let word = s.words.remove(&(i, w))?;
                self.deliver(&mut s, i, w, &word, answered);
            }
            Happens::Doubled(i, w) => {
                s.lates += 1;
                let word = s.words.get(&(i, w))?.clone();
                s.late.push((i, w, word));
            }
            Happens::ComesLate(n) => {
                let (i, w, word) = s.late.remove(n);
                self.deliver(&mut s, i, w, &word, true);
            }
            Happens::Forgets(w) => {
                s.forgets += 1;
                s.clerks[w] = Acceptor::new(s.now, address(1 + w as u16), 70 + w as u64, self.lease, None);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(OVER, |m: &World, s: &State| in_force(s) <= usize::from(m.limit)),
            Property::always(TERMS, |_, s: &State| !s.broken),
            Property::sometimes("grants", |_, s: &State| in_force(s) > 0),
            Property::sometimes("renews", |_, s: &State| s.renewed),
            Property::sometimes("lapses", |_, s: &State| s.lapsed),
            Property::sometimes("as many as may", |m: &World, s: &State| in_force(s) == usize::from(m.limit)),
        ]
    }
}

fn in_force(s: &State) -> usize {
    s.granted.iter().flatten().filter(|g| g.is_valid_at(s.now)).count()
}

pub const OVER: &str = "no more permits in force than the limit";
pub const TERMS: &str = "terms never repeat or fall, and each machine's check holds";
