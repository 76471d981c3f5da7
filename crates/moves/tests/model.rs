//! Model check of all interleavings of one session's moves: messages lost, duplicated, delayed and reordered, server
//! processes that die and restart, late notices of their deaths, timeouts at any time, and a viewer that disconnects.
//!
//! The network is a set that only grows: a message may be delivered at any later time, any number of times, or never.

#[path = "model/state.rs"]
mod state;

use cloverhollow_moves::*;
use state::{Event, MoveModel, Process, State, INITIAL_PROCESS};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

impl Model for MoveModel {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        let process = |i: u64| Process {
            incarnation: Incarnation(1),
            up: true,
            participant: if i == 0 {
                MoveParticipant::with_session(Epoch(0))
            } else {
                MoveParticipant::default()
            },
        };
        vec![State {
            coordinator: MoveCoordinator::new(INITIAL_PROCESS, Epoch(0), true),
            servers: (0..self.servers).map(process).collect(),
            requests: BTreeSet::new(),
            answers: BTreeSet::new(),
            dead_processes: BTreeSet::new(),
            move_count: 0,
            death_count: 0,
            moved: false,
            lost: false,
        }]
    }

    fn actions(&self, state: &State, events: &mut Vec<Event>) {
        if state.move_count < self.max_moves {
            events.extend((0..self.servers).map(Event::Move));
        }
        events.extend([Event::ObjectBoundary, Event::SessionEnds, Event::ReleasesRetried]);
        for message in &state.requests {
            events.push(Event::RequestDelivered(*message, true));
            if matches!(message.request, Request::Prepare { .. }) {
                events.push(Event::RequestDelivered(*message, false));
            }
        }
        events.extend(state.answers.iter().map(|(from, answer)| Event::AnswerDelivered(*from, *answer)));
        events.extend(state.pending_epoch().map(Event::AnswerTimedOut));
        for (i, process) in state.servers.iter().enumerate() {
            if process.up && state.death_count < self.max_deaths {
                events.push(Event::ProcessDies(i));
            }
            if !process.up {
                events.push(Event::ProcessStarts(i));
            }
        }
        events.extend(state.dead_processes.iter().map(|p| Event::DeathReported(*p)));
    }

    fn next_state(&self, before: &State, event: Event) -> Option<State> {
        let mut state = before.clone();
        match event {
            Event::Move(server) => {
                state.move_count += 1;
                let target = state.process(server as usize);
                state.input(Input::Move { target });
            }
            Event::ObjectBoundary => state.input(Input::ObjectBoundary),
            Event::RequestDelivered(message, can_accept) => state.deliver(message, can_accept),
            Event::AnswerDelivered(from, answer) => state.input(Input::AnswerReceived { from, answer }),
            Event::AnswerTimedOut(epoch) => state.input(Input::AnswerTimedOut { epoch }),
            Event::ProcessDies(i) => {
                state.death_count += 1;
                let process = state.process(i);
                state.dead_processes.insert(process);
                (state.servers[i].up, state.servers[i].participant) = (false, MoveParticipant::default());
            }
            Event::ProcessStarts(i) => {
                let process = &mut state.servers[i];
                (process.up, process.incarnation) = (true, Incarnation(process.incarnation.0 + 1));
            }
            Event::DeathReported(process) => state.input(Input::ProcessDied { process }),
            Event::SessionEnds => state.input(Input::SessionEnded),
            Event::ReleasesRetried => state.input(Input::RetryReleases),
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("every holder of the session is known to the front", |_, state: &State| {
                let known: Vec<ServerProcess> = match state.coordinator.stage() {
                    Stage::Settled { process } => vec![process],
                    Stage::Preparing { source, target, .. } | Stage::Switching { source, target, .. } => {
                        source.into_iter().chain([target]).collect()
                    }
                    Stage::Ready { source, target, .. } => vec![source, target],
                    Stage::Returning { source, .. } => vec![source],
                    Stage::Ended => vec![],
                };
                state.live_participants().all(|(process, participant)| {
                    !participant.holds_session()
                        || known.contains(&process)
                        || state.coordinator.has_pending_release(process.server)
                })
            }),
            Property::always(
                "a settled session is played by its process while that is alive",
                |_, state: &State| {
                    let Stage::Settled { process: settled } = state.coordinator.stage() else { return true };
                    state
                        .live_participants()
                        .all(|(process, participant)| process != settled || participant.is_playing())
                },
            ),
            Property::always("one server is requested to play at a time", |_, state: &State| {
                let play = |message: &Message| match message.request {
                    Request::Play { epoch } => Some((epoch, message.to)),
                    _ => None,
                };
                let last = state.requests.iter().filter_map(play).max();
                let unique = |(epoch, to)| {
                    state.requests.iter().filter_map(play).all(|(e, process)| e != epoch || process == to)
                };
                // After a switch, the next object is requested from the process that was last requested to play.
                let current =
                    |(_, to)| state.coordinator.playing_process().is_none_or(|process| process == to);
                last.is_none_or(|last| unique(last) && current(last))
            }),
            Property::always(
                "after all messages are delivered one server holds the session, or none if it has ended",
                |_, state: &State| {
                    let end = state.clone().settle();
                    let holders: Vec<_> = end
                        .live_participants()
                        .filter(|(_, participant)| participant.holds_session())
                        .map(|(process, _)| process)
                        .collect();
                    let correct = match end.coordinator.stage() {
                        Stage::Settled { process } => holders == [process],
                        Stage::Ended => holders.is_empty(),
                        _ => false,
                    };
                    correct && end.coordinator.is_fully_released()
                },
            ),
            Property::always(
                "the session is lost only after a death or an attempted move",
                |_, state: &State| !state.lost || state.death_count > 0 || state.move_count > 0,
            ),
            Property::sometimes("the session is moved", |_, state: &State| state.moved),
            Property::sometimes("the session returns to its source", |_, state: &State| {
                matches!(state.coordinator.stage(), Stage::Returning { .. })
            }),
            Property::sometimes(
                "the session survives the death of its source",
                |model: &MoveModel, state: &State| {
                    let elsewhere = matches!(
                        state.coordinator.stage(),
                        Stage::Settled { process } if process != INITIAL_PROCESS
                    );
                    model.max_deaths == 0 || (state.dead_processes.contains(&INITIAL_PROCESS) && elsewhere)
                },
            ),
        ]
    }
}

fn check(model: MoveModel) {
    let checker = model.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn one_move_among_three_servers_with_two_deaths() {
    check(MoveModel { servers: 3, max_moves: 1, max_deaths: 2 });
}

#[test]
fn two_moves_between_two_servers_with_one_death() {
    check(MoveModel { servers: 2, max_moves: 2, max_deaths: 1 });
}

#[test]
fn two_moves_among_three_servers_without_deaths() {
    check(MoveModel { servers: 3, max_moves: 2, max_deaths: 0 });
}
