//! State of the model: the coordinator, the server processes and the network.

use cloverhollow_moves::*;
use std::collections::BTreeSet;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Process {
    pub(crate) incarnation: Incarnation,
    pub(crate) up: bool,
    pub(crate) participant: MoveParticipant,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) coordinator: MoveCoordinator,
    pub(crate) servers: Vec<Process>,
    pub(crate) requests: BTreeSet<Message>,
    pub(crate) answers: BTreeSet<(ServerProcess, Answer)>,
    pub(crate) dead_processes: BTreeSet<ServerProcess>,
    pub(crate) move_count: u8,
    pub(crate) death_count: u8,
    pub(crate) moved: bool,
    pub(crate) lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Event {
    Move(u64),
    ObjectBoundary,
    /// Delivery of a request; true if the server accepts a prepare.
    RequestDelivered(Message, bool),
    AnswerDelivered(ServerProcess, Answer),
    AnswerTimedOut(Epoch),
    ProcessDies(usize),
    ProcessStarts(usize),
    DeathReported(ServerProcess),
    SessionEnds,
    ReleasesRetried,
}

/// Model with bounds on the number of servers, moves and deaths.
pub(crate) struct MoveModel {
    pub(crate) servers: u64,
    pub(crate) max_moves: u8,
    pub(crate) max_deaths: u8,
}

pub(crate) const INITIAL_PROCESS: ServerProcess =
    ServerProcess { server: ServerId(0), incarnation: Incarnation(1) };

impl State {
    pub(crate) fn process(&self, i: usize) -> ServerProcess {
        ServerProcess { server: ServerId(i as u64), incarnation: self.servers[i].incarnation }
    }

    pub(crate) fn input(&mut self, input: Input) {
        for out in self.coordinator.handle(input) {
            match out {
                Output::Send(message) => {
                    self.requests.insert(message);
                }
                Output::Moved { .. } => self.moved = true,
                Output::SessionLost => self.lost = true,
                Output::MoveFailed { .. } => {}
            }
        }
    }

    /// Delivers a request to its addressee; it has no effect if that process is down or has been replaced.
    pub(crate) fn deliver(&mut self, message: Message, can_accept: bool) {
        let Some(process) = self.servers.get_mut(message.to.server.0 as usize) else { return };
        if process.up && process.incarnation == message.to.incarnation {
            self.answers.insert((message.to, process.participant.handle(message.request, can_accept)));
        }
    }

    pub(crate) fn live_participants(&self) -> impl Iterator<Item = (ServerProcess, &MoveParticipant)> {
        let up = self.servers.iter().enumerate().filter(|(_, p)| p.up);
        up.map(|(i, p)| (self.process(i), &p.participant))
    }

    pub(crate) fn pending_epoch(&self) -> Option<Epoch> {
        match self.coordinator.stage() {
            Stage::Preparing { epoch, .. }
            | Stage::Switching { epoch, .. }
            | Stage::Returning { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// Sends pending releases again, and delivers every message ever sent once more.
    pub(crate) fn deliver_all(&mut self) {
        self.input(Input::RetryReleases);
        for message in self.requests.clone() {
            self.deliver(message, true);
        }
        for (from, answer) in self.answers.clone() {
            self.input(Input::AnswerReceived { from, answer });
        }
    }

    /// State after the network has recovered and nothing new happens: every death is reported, pending releases are
    /// sent again and delivered, and unanswered requests time out.
    pub(crate) fn settle(mut self) -> State {
        for process in self.dead_processes.clone() {
            self.input(Input::ProcessDied { process });
        }
        for _ in 0..12 {
            self.deliver_all();
            self.input(Input::ObjectBoundary);
        }
        if let Some(epoch) = self.pending_epoch() {
            self.input(Input::AnswerTimedOut { epoch });
        }
        for _ in 0..4 {
            self.deliver_all();
        }
        self
    }
}
