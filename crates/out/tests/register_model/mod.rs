//! Model of agreement on the register; see `model_register.rs`.

mod properties;

pub use properties::{PERMIT_LIMIT, TERM_ORDER};

use cloverhollow_out::*;
use stateright::{Model, Property};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const TICK: Duration = Duration::from_secs(2);
const START: Duration = Duration::from_secs(1_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: Duration,
    proposers: Vec<Proposer>,
    acceptors: Vec<Acceptor>,
    /// Newest undelivered message of each proposer to each witness.
    in_flight: BTreeMap<(usize, usize), Message>,
    delayed: Vec<(usize, usize, Message)>,
    submissions: Vec<u8>,
    leases: Vec<Option<GrantedLease>>,
    /// Highest committed term when the current submission began.
    term_before: Vec<Term>,
    committed: BTreeMap<Term, Register>,
    delays: u8,
    losses: u8,
    state_losses: u8,
    lease_expired: bool,
    lease_renewed: bool,
    violated: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Tick,
    Submit(usize),
    /// A message arrives, and its response arrives or is lost.
    Deliver(usize, usize, bool),
    /// A copy of the message is delayed.
    Duplicate(usize, usize),
    DeliverLate(usize),
    LoseState(usize),
}

pub struct RegisterModel {
    pub proposers: usize,
    pub max_permits: u16,
    pub ticks: u32,
    pub submissions: u8,
    pub delays: u8,
    pub losses: u8,
    pub state_losses: u8,
    pub lease: Duration,
}

fn limits(max_permits: u16) -> Limits {
    let max = MaxOutOfService { fleet: max_permits, zone: 9, rack: 9 };
    Limits {
        fronts: max,
        servers: max,
        cells_per_title: 0,
        ring_cells: 0,
        free_link_kbit_s: None,
        max_uncertain_ms: 1_000,
    }
}

impl RegisterModel {
    fn send(&self, state: &mut State, i: usize, messages: Vec<(SocketAddr, Message)>) {
        for (to, message) in messages {
            let w = usize::from(to.port()) - 1;
            // Two of the three acceptors suffice in each phase, and which two is open: the first accept
            // message drops the remaining prepare messages. A newer message to a witness replaces the older
            // one.
            let accepts = matches!(message, Message::Accept { .. });
            state
                .in_flight
                .retain(|(j, _), old| *j != i || !accepts || matches!(old, Message::Accept { .. }));
            let old = state.in_flight.insert((i, w), message.clone());
            if let Some(old) = old.filter(|o| *o != message && state.delays < self.delays) {
                state.delays += 1;
                state.delayed.push((i, w, old));
            }
        }
    }

    fn deliver(&self, state: &mut State, i: usize, w: usize, message: &Message, response_arrives: bool) {
        let Some((_, response)) = state.acceptors[w].handle_message(state.now, message) else { return };
        state.violated |= state.acceptors[w].check_invariants().is_err();
        if !response_arrives {
            return;
        }
        let fleet = FleetView::default();
        let limits = limits(self.max_permits);
        let messages = state.proposers[i].handle_message(
            state.now,
            response,
            GrantContext { fleet: &fleet, limits: &limits },
        );
        self.send(state, i, messages);
        state.violated |= state.proposers[i].check_invariants().is_err();
        let Some(outcome) = state.proposers[i].take_outcome() else { return };
        state.in_flight.retain(|(proposer, _), _| *proposer != i);
        if let Outcome::Committed(value, lease) = outcome {
            state.violated |= value.term <= state.term_before[i];
            state.violated |=
                state.committed.insert(value.term, value.clone()).is_some_and(|old| old != value);
            state.lease_renewed |= state.leases[i].is_some_and(|g| g.is_valid_at(state.now));
            state.lease_expired |= state
                .leases
                .iter()
                .enumerate()
                .any(|(j, g)| j != i && g.is_some_and(|g| !g.is_valid_at(state.now)));
            state.leases[i] = lease.or(state.leases[i]);
        }
    }

    fn handle_timeouts(&self, state: &mut State) {
        for i in 0..state.proposers.len() {
            let messages = state.proposers[i].handle_timeout(state.now);
            if !messages.is_empty() {
                self.send(state, i, messages);
            }
            state.proposers[i].take_outcome();
        }
    }
}

impl Model for RegisterModel {
    type State = State;
    type Action = Step;

    /// The witnesses have been running for long and know everything that they accepted.
    fn init_states(&self) -> Vec<State> {
        let witnesses: Vec<SocketAddr> = (1..=3).map(address).collect();
        let proposer = |i: usize| {
            let config = ProposerConfig {
                address: address(100 + i as u16),
                incarnation: 1 + i as u64,
                witnesses: witnesses.clone(),
                max_lease: self.lease,
                backoff_seed: i as u64,
            };
            Proposer::new(config)
        };
        let persisted = PersistedState { is_current: true, ..PersistedState::default() };
        let acceptor =
            |w: &SocketAddr| Acceptor::new(Duration::ZERO, *w, 7, self.lease, Some(persisted.clone()));
        vec![State {
            now: START,
            proposers: (0..self.proposers).map(proposer).collect(),
            acceptors: witnesses.iter().map(acceptor).collect(),
            in_flight: BTreeMap::new(),
            delayed: Vec::new(),
            submissions: vec![0; self.proposers],
            leases: vec![None; self.proposers],
            term_before: vec![Term::default(); self.proposers],
            committed: BTreeMap::new(),
            delays: 0,
            losses: 0,
            state_losses: 0,
            lease_expired: false,
            lease_renewed: false,
            violated: false,
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Step>) {
        // Time advances past undelivered messages a limited number of times.
        if state.now < START + TICK * self.ticks && (state.in_flight.is_empty() || state.losses < self.losses)
        {
            out.push(Step::Tick);
        }
        out.extend(
            (0..self.proposers)
                .filter(|i| state.submissions[*i] < self.submissions && !state.proposers[*i].is_busy())
                .map(Step::Submit),
        );
        for (i, w) in state.in_flight.keys() {
            out.push(Step::Deliver(*i, *w, true));
            if state.losses < self.losses {
                out.push(Step::Deliver(*i, *w, false));
            }
            if state.delays < self.delays {
                out.push(Step::Duplicate(*i, *w));
            }
        }
        out.extend((0..state.delayed.len()).map(Step::DeliverLate));
        if state.state_losses < self.state_losses {
            out.extend((0..3).map(Step::LoseState));
        }
    }

    fn next_state(&self, state: &State, action: Step) -> Option<State> {
        let mut state = state.clone();
        match action {
            Step::Tick => {
                state.losses += u8::from(!state.in_flight.is_empty());
                // Twice: the first call ends an attempt, the second one starts the next after the backoff.
                for _ in 0..2 {
                    state.now += TICK / 2;
                    self.handle_timeouts(&mut state);
                }
            }
            Step::Submit(i) => {
                state.submissions[i] += 1;
                state.term_before[i] = state.committed.keys().next_back().copied().unwrap_or_default();
                let (subject, place) = (Subject::Front(i as u64), Place::default());
                let lease_ms = self.lease.as_millis() as u32;
                state.proposers[i]
                    .submit(state.now, Change::Grant { subject, place, lease_ms, release: None });
                let messages = state.proposers[i].handle_timeout(state.now);
                self.send(&mut state, i, messages);
            }
            Step::Deliver(i, w, response_arrives) => {
                state.losses += u8::from(!response_arrives);
                let message = state.in_flight.remove(&(i, w))?;
                self.deliver(&mut state, i, w, &message, response_arrives);
            }
            Step::Duplicate(i, w) => {
                state.delays += 1;
                let message = state.in_flight.get(&(i, w))?.clone();
                state.delayed.push((i, w, message));
            }
            Step::DeliverLate(n) => {
                let (i, w, message) = state.delayed.remove(n);
                self.deliver(&mut state, i, w, &message, true);
            }
            Step::LoseState(w) => {
                state.state_losses += 1;
                state.acceptors[w] =
                    Acceptor::new(state.now, address(1 + w as u16), 70 + w as u64, self.lease, None);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all()
    }
}
