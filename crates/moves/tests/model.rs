//! All interleavings of one session's moves: messages lost, doubled, late and out of order, servers that die and come
//! back, late words that they died, time-outs at any time, and a viewer that leaves.
//!
//! The network is a set that only grows: what was sent may arrive at any later time, any number of times, or never.

use cloverhollow_moves::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    incarnation: Incarnation,
    up: bool,
    holder: Holder,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    mover: Mover,
    servers: Vec<Process>,
    words: BTreeSet<Word>,
    answers: BTreeSet<(Place, Answer)>,
    dead: BTreeSet<Place>,
    moves: u8,
    kills: u8,
    moved: bool,
    lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Happens {
    Move(u64),
    Boundary,
    Arrives(Word, bool),
    Answered(Place, Answer),
    TimedOut(Epoch),
    Dies(usize),
    Starts(usize),
    Heard(Place),
    Gone,
    SayAgain,
}

/// What may happen at most so often.
struct World {
    servers: u64,
    moves: u8,
    kills: u8,
}

const HOME: Place = Place { server: Server(0), incarnation: Incarnation(1) };

impl State {
    fn place(&self, i: usize) -> Place {
        Place { server: Server(i as u64), incarnation: self.servers[i].incarnation }
    }

    fn feed(&mut self, input: Input) {
        for out in self.mover.step(input) {
            match out {
                Output::Ask(word) => {
                    self.words.insert(word);
                }
                Output::Moved { .. } => self.moved = true,
                Output::Lost => self.lost = true,
                Output::Stayed { .. } => {}
            }
        }
    }

    /// A word arrives at the process that it is for; at another one of that server it does nothing.
    fn arrives(&mut self, word: Word, takes: bool) {
        let Some(process) = self.servers.get_mut(word.to.server.0 as usize) else { return };
        if process.up && process.incarnation == word.to.incarnation {
            self.answers.insert((word.to, process.holder.answer(word.ask, takes)));
        }
    }

    fn live(&self) -> impl Iterator<Item = (Place, &Holder)> {
        let up = self.servers.iter().enumerate().filter(|(_, p)| p.up);
        up.map(|(i, p)| (self.place(i), &p.holder))
    }

    fn step_of(&self) -> Option<Epoch> {
        match self.mover.stage() {
            Stage::Preparing { epoch, .. }
            | Stage::Switching { epoch, .. }
            | Stage::Returning { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// What is owed is said again, and all that was ever sent arrives once more.
    fn all_arrives(&mut self) {
        self.feed(Input::SayAgain);
        for word in self.words.clone() {
            self.arrives(word, true);
        }
        for (from, answer) in self.answers.clone() {
            self.feed(Input::Answered { from, answer });
        }
    }

    /// The network mends and nothing new happens: every death is heard, what is owed is said again and arrives,
    /// what is not answered times out.
    fn settle(mut self) -> State {
        for place in self.dead.clone() {
            self.feed(Input::Died { place });
        }
        for _ in 0..12 {
            self.all_arrives();
            self.feed(Input::Boundary);
        }
        if let Some(epoch) = self.step_of() {
            self.feed(Input::TimedOut { epoch });
        }
        for _ in 0..4 {
            self.all_arrives();
        }
        self
    }
}

impl Model for World {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        let process = |i: u64| Process {
            incarnation: Incarnation(1),
            up: true,
            holder: if i == 0 { Holder::set_up(Epoch(0)) } else { Holder::default() },
        };
        vec![State {
            mover: Mover::new(HOME, Epoch(0), true),
            servers: (0..self.servers).map(process).collect(),
            words: BTreeSet::new(),
            answers: BTreeSet::new(),
            dead: BTreeSet::new(),
            moves: 0,
            kills: 0,
            moved: false,
            lost: false,
        }]
    }

    fn actions(&self, s: &State, all: &mut Vec<Happens>) {
        if s.moves < self.moves {
            all.extend((0..self.servers).map(Happens::Move));
        }
        all.extend([Happens::Boundary, Happens::Gone, Happens::SayAgain]);
        for word in &s.words {
            all.push(Happens::Arrives(*word, true));
            if matches!(word.ask, Ask::Prepare { .. }) {
                all.push(Happens::Arrives(*word, false));
            }
        }
        all.extend(s.answers.iter().map(|(from, answer)| Happens::Answered(*from, *answer)));
        all.extend(s.step_of().map(Happens::TimedOut));
        for (i, p) in s.servers.iter().enumerate() {
            if p.up && s.kills < self.kills {
                all.push(Happens::Dies(i));
            }
            if !p.up {
                all.push(Happens::Starts(i));
            }
        }
        all.extend(s.dead.iter().map(|p| Happens::Heard(*p)));
    }

    fn next_state(&self, before: &State, action: Happens) -> Option<State> {
        let mut s = before.clone();
        match action {
            Happens::Move(server) => {
                s.moves += 1;
                let to = s.place(server as usize);
                s.feed(Input::Move { to });
            }
            Happens::Boundary => s.feed(Input::Boundary),
            Happens::Arrives(word, takes) => s.arrives(word, takes),
            Happens::Answered(from, answer) => s.feed(Input::Answered { from, answer }),
            Happens::TimedOut(epoch) => s.feed(Input::TimedOut { epoch }),
            Happens::Dies(i) => {
                s.kills += 1;
                let place = s.place(i);
                s.dead.insert(place);
                (s.servers[i].up, s.servers[i].holder) = (false, Holder::default());
            }
            Happens::Starts(i) => {
                let p = &mut s.servers[i];
                (p.up, p.incarnation) = (true, Incarnation(p.incarnation.0 + 1));
            }
            Happens::Heard(place) => s.feed(Input::Died { place }),
            Happens::Gone => s.feed(Input::Gone),
            Happens::SayAgain => s.feed(Input::SayAgain),
        }
        (s != *before).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("whoever holds it is known to the front", |_, s: &State| {
                let known: Vec<Place> = match s.mover.stage() {
                    Stage::Settled { at } => vec![at],
                    Stage::Preparing { from, to, .. } | Stage::Switching { from, to, .. } => {
                        from.into_iter().chain([to]).collect()
                    }
                    Stage::Ready { from, to, .. } => vec![from, to],
                    Stage::Returning { to, .. } => vec![to],
                    Stage::Over => vec![],
                };
                s.live().all(|(p, holder)| !holder.holds() || known.contains(&p) || s.mover.owes(p.server))
            }),
            Property::always(
                "where it is settled it is held, unless that process is gone",
                |_, s: &State| {
                    let Stage::Settled { at } = s.mover.stage() else { return true };
                    s.live().all(|(p, holder)| p != at || holder.plays())
                },
            ),
            Property::always("one server is asked to play at a time", |_, s: &State| {
                let play = |w: &Word| match w.ask {
                    Ask::Play { epoch } => Some((epoch, w.to)),
                    _ => None,
                };
                let last = s.words.iter().filter_map(play).max();
                let one = |(epoch, to)| s.words.iter().filter_map(play).all(|(e, p)| e != epoch || p == to);
                // Once it was handed over, the last that was asked to play is where the next object is asked.
                let now = |(_, to)| s.mover.playing().is_none_or(|at| at == to);
                last.is_none_or(|l| one(l) && now(l))
            }),
            Property::always(
                "once all is heard one server holds it, or none when it is over",
                |_, s: &State| {
                    let end = s.clone().settle();
                    let holders: Vec<_> = end.live().filter(|(_, h)| h.holds()).map(|(p, _)| p).collect();
                    let right = match end.mover.stage() {
                        Stage::Settled { at } => holders == [at],
                        Stage::Over => holders.is_empty(),
                        _ => false,
                    };
                    right && end.mover.is_clear()
                },
            ),
            Property::always("it is lost only where a process died or a move was tried", |_, s: &State| {
                !s.lost || s.kills > 0 || s.moves > 0
            }),
            Property::sometimes("it is moved", |_, s: &State| s.moved),
            Property::sometimes("it returns", |_, s: &State| {
                matches!(s.mover.stage(), Stage::Returning { .. })
            }),
            Property::sometimes("it outlives its source, where one dies", |world: &World, s: &State| {
                let elsewhere = matches!(s.mover.stage(), Stage::Settled { at } if at != HOME);
                world.kills == 0 || (s.dead.contains(&HOME) && elsewhere)
            }),
        ]
    }
}

fn check(world: World) {
    let checker = world.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn one_move_among_three_servers_and_two_deaths() {
    check(World { servers: 3, moves: 1, kills: 2 });
}

#[test]
fn two_moves_between_two_servers_and_a_death() {
    check(World { servers: 2, moves: 2, kills: 1 });
}

#[test]
fn two_moves_among_three_servers_without_a_death() {
    check(World { servers: 3, moves: 2, kills: 0 });
}
