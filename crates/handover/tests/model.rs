//! All interleavings of one session between fronts: messages lost, doubled, late and out of order, fronts that die at any
//! time, late words that they died, suspicions, time-outs, and a viewer to whom words come in any order.
//!
//! The network is a set that only grows: what was sent may arrive at any later time, any number of times, or never.

mod one;

use cloverhollow_handover::*;
use one::{front, Happens, State, World};
use stateright::{Checker, Model, Property};

impl Model for World {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        vec![State::begin(self.fronts)]
    }

    fn actions(&self, s: &State, all: &mut Vec<Happens>) {
        s.may_happen(self, all);
    }

    fn next_state(&self, before: &State, action: Happens) -> Option<State> {
        let mut s = before.clone();
        s.happens(action);
        (s != *before).then_some(s)
    }

    /// Guards the checker's memory: a receiver that took copies would have no end of states.
    fn within_boundary(&self, s: &State) -> bool {
        s.taken.len() <= 4
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("each side is whole", |_, s: &State| {
                s.up().all(|(_, side)| side.check().is_ok())
            }),
            Property::always("one front acts at a time", |_, s: &State| {
                s.up().filter(|(_, side)| side.acts()).count() <= 1
            }),
            Property::always("steps only rise", |_, s: &State| !s.fell),
            Property::always(
                "each word is taken once and in order, and was given out once",
                |_, s: &State| {
                    let rises = s.taken.windows(2).all(|w| w[0].0 < w[1].0);
                    !s.twice && rises && s.taken.iter().all(|(nth, what)| s.given.get(nth) == Some(what))
                },
            ),
            Property::always("its load is counted where it is live", |_, s: &State| {
                s.is_over() || s.up().any(|(_, side)| counted(side).is_some())
            }),
            Property::always("whoever owned it counts it until another has it", |_, s: &State| {
                let unsure = |g: &Giver| matches!(g.stage(), Stage::Switched { .. } | Stage::GaveUp { .. });
                s.up().all(|(_, side)| !side.giver().is_some_and(unsure) || counted(side).is_some())
            }),
            Property::always(
                "once all is heard it has one owner, and unless it is over each word is taken",
                |_, s: &State| {
                    let end = s.clone().settle();
                    let live = |side: &Side| side.acts() && side.giver().is_some_and(Giver::is_live);
                    let owners = end.up().filter(|(_, side)| live(side)).count();
                    let none_holds = end.up().all(|(_, side)| side.taker().held().is_none());
                    let clear = end.up().all(|(_, side)| side.giver().is_none_or(Giver::is_clear));
                    let all_taken = end.is_over() || end.taken.len() == end.given.len();
                    (owners == 1 || (end.is_over() && owners == 0)) && none_holds && clear && all_taken
                },
            ),
            Property::always("it is over only by a death, a long silence, or its viewer", |_, s: &State| {
                !s.is_over() || s.kills > 0 || s.gave_up || s.gone
            }),
            Property::sometimes("it is handed on", |_, s: &State| s.at(1)),
            Property::sometimes("it is refused and goes to the second", |w: &World, s: &State| {
                w.refusals == 0 || (s.refused.contains(&front(1)) && s.at(2))
            }),
            Property::sometimes("it comes back to the giver", |w: &World, s: &State| {
                w.hands < 2 || (s.was_at.len() == 2 && s.at(0))
            }),
            Property::sometimes("the giver goes on after its taker let go of it", |w: &World, s: &State| {
                w.timeouts == 0 || s.resumed
            }),
            Property::sometimes(
                "the giver goes on after its taker owned it and died",
                |w: &World, s: &State| {
                    w.kills == 0 || (s.was_at.contains(&front(1)) && !s.sides[1].1 && s.at(0))
                },
            ),
            Property::sometimes(
                "the viewer is told, and it is there all the same",
                |w: &World, s: &State| w.timeouts == 0 || (s.gave_up && s.at(1)),
            ),
        ]
    }
}

fn check(world: World) {
    let checker = world.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn to_a_neighbour_words_in_any_order_a_death_and_time_outs() {
    check(World { fronts: 2, hands: 1, words: 2, kills: 1, timeouts: 1, refusals: 0, gone: false });
}

#[test]
fn there_and_back_with_a_word_a_death_and_a_time_out() {
    check(World { fronts: 2, hands: 2, words: 1, kills: 1, timeouts: 1, refusals: 0, gone: false });
}

#[test]
fn there_and_back_and_there_again() {
    check(World { fronts: 2, hands: 3, words: 1, kills: 0, timeouts: 1, refusals: 0, gone: false });
}

#[test]
fn a_second_neighbour_with_a_word_and_a_death() {
    check(World { fronts: 3, hands: 2, words: 1, kills: 1, timeouts: 0, refusals: 0, gone: false });
}

#[test]
fn a_neighbour_that_refuses_and_a_second() {
    check(World { fronts: 3, hands: 2, words: 0, kills: 1, timeouts: 0, refusals: 1, gone: false });
}

#[test]
fn two_neighbours_and_two_time_outs() {
    check(World { fronts: 3, hands: 2, words: 0, kills: 1, timeouts: 2, refusals: 0, gone: false });
}

#[test]
fn a_viewer_that_leaves() {
    check(World { fronts: 2, hands: 2, words: 1, kills: 1, timeouts: 1, refusals: 0, gone: true });
}
