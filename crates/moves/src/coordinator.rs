//! Front's side of one session's moves.

use crate::events::{Input, Output, Stage};
use crate::pending_releases::PendingReleases;
use crate::types::{Answer, Epoch, Message, Request, ServerId, ServerProcess};

/// State machine of one session's moves, at most one of which is in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MoveCoordinator {
    stage: Stage,
    epoch: Epoch,
    paid: bool,
    pending_releases: PendingReleases<ServerProcess>,
}

impl MoveCoordinator {
    /// Creates the state of a session that was set up at `process` with `epoch`. `paid` is true if its set-up was
    /// paid for.
    pub fn new(process: ServerProcess, epoch: Epoch, paid: bool) -> MoveCoordinator {
        MoveCoordinator {
            stage: Stage::Settled { process },
            epoch,
            paid,
            pending_releases: PendingReleases::default(),
        }
    }

    /// Current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Process that the next object is requested from.
    pub fn playing_process(&self) -> Option<ServerProcess> {
        match self.stage {
            Stage::Settled { process } | Stage::Ready { source: process, .. } => Some(process),
            Stage::Preparing { source, .. } => source,
            Stage::Switching { target: p, .. } | Stage::Returning { source: p, .. } => Some(p),
            Stage::Ended => None,
        }
    }

    /// Returns whether all servers, except the one that plays the session, have confirmed its release.
    pub fn is_fully_released(&self) -> bool {
        self.pending_releases.is_empty() && matches!(self.stage, Stage::Settled { .. } | Stage::Ended)
    }

    /// Returns whether a release is pending at any process of a server. The session is not moved there meanwhile.
    pub fn has_pending_release(&self, server: ServerId) -> bool {
        self.pending_releases.iter().any(|(process, _)| process.server == server)
    }

    /// Handles one input and returns the actions to take.
    pub fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Move { target } => self.start_move(target, &mut out),
            Input::ObjectBoundary => {
                if let Stage::Ready { source, target, epoch } = self.stage {
                    self.switch(Some(source), target, epoch, &mut out);
                }
            }
            Input::AnswerReceived { from, answer } => self.on_answer(from, answer, &mut out),
            Input::AnswerTimedOut { epoch } => self.on_timeout(epoch, &mut out),
            Input::ProcessDied { process } => self.on_process_died(process, &mut out),
            Input::SessionEnded => self.on_session_ended(&mut out),
            Input::RetryReleases => {
                let pending = self.pending_releases.iter();
                out.extend(
                    pending
                        .map(|(to, epoch)| Output::Send(Message { to, request: Request::Release { epoch } })),
                );
            }
        }
        out
    }

    fn start_move(&mut self, target: ServerProcess, out: &mut Vec<Output>) {
        let Stage::Settled { process } = self.stage else { return };
        if process.server == target.server || self.has_pending_release(target.server) {
            return;
        }
        self.epoch = self.epoch.next();
        let (epoch, paid) = (self.epoch, self.paid);
        self.stage = Stage::Preparing { source: Some(process), target, epoch };
        out.push(Output::Send(Message { to: target, request: Request::Prepare { epoch, paid } }));
    }

    fn switch(
        &mut self,
        source: Option<ServerProcess>,
        target: ServerProcess,
        epoch: Epoch,
        out: &mut Vec<Output>,
    ) {
        self.stage = Stage::Switching { source, target, epoch };
        out.push(Output::Send(Message { to: target, request: Request::Play { epoch } }));
    }

    /// Sends a release, which stays pending until the process confirms it.
    fn release(&mut self, to: ServerProcess, epoch: Epoch, out: &mut Vec<Output>) {
        self.pending_releases.add(to, epoch);
        out.push(Output::Send(Message { to, request: Request::Release { epoch } }));
    }

    fn on_answer(&mut self, from: ServerProcess, answer: Answer, out: &mut Vec<Output>) {
        match (answer, self.stage) {
            (Answer::Released { epoch }, stage) => {
                self.pending_releases.confirm(from, epoch);
                // A delayed copy of a release reached the target before the prepare: the same as a refusal.
                if matches!(stage, Stage::Preparing { target, epoch: e, .. } if target == from && e <= epoch)
                {
                    self.abort_prepare(from, out);
                }
            }
            (Answer::Prepared { epoch: e }, Stage::Preparing { source, target, epoch })
                if target == from && e == epoch =>
            {
                match source {
                    Some(source) => self.stage = Stage::Ready { source, target, epoch },
                    // The source is dead: there is no object boundary to wait for.
                    None => self.switch(None, target, epoch, out),
                }
            }
            (Answer::Refused { epoch: e }, Stage::Preparing { target, epoch, .. })
                if target == from && e == epoch =>
            {
                self.abort_prepare(target, out);
            }
            (Answer::Playing { epoch: e }, Stage::Switching { source, target, epoch })
                if target == from && e == epoch =>
            {
                self.stage = Stage::Settled { process: target };
                out.push(Output::Moved { target });
                if let Some(source) = source {
                    self.release(source, epoch, out);
                }
            }
            (Answer::Playing { epoch: e }, Stage::Returning { source, epoch })
                if source == from && e == epoch =>
            {
                self.stage = Stage::Settled { process: source };
            }
            (Answer::Unknown { epoch: e }, Stage::Switching { target, epoch, .. })
                if target == from && e == epoch =>
            {
                self.return_to_source(out);
            }
            (Answer::Unknown { epoch: e }, Stage::Returning { source, epoch })
                if source == from && e == epoch =>
            {
                self.end_lost(out);
            }
            _ => {}
        }
    }

    /// Gives up the target. It may hold the session all the same, because its answer may have been lost.
    fn abort_prepare(&mut self, target: ServerProcess, out: &mut Vec<Output>) {
        let Stage::Preparing { source, epoch, .. } = self.stage else { return };
        self.release(target, epoch, out);
        match source {
            Some(process) => {
                self.stage = Stage::Settled { process };
                out.push(Output::MoveFailed { target });
            }
            None => self.end_lost(out),
        }
    }

    /// Returns to the source because the target does not play. Uses a later epoch, so that late answers of the target
    /// have no effect.
    fn return_to_source(&mut self, out: &mut Vec<Output>) {
        let Stage::Switching { source, target, epoch } = self.stage else { return };
        self.release(target, epoch, out);
        match source {
            Some(source) => {
                self.epoch = self.epoch.next();
                let epoch = self.epoch;
                self.stage = Stage::Returning { source, epoch };
                out.push(Output::MoveFailed { target });
                out.push(Output::Send(Message { to: source, request: Request::Play { epoch } }));
            }
            None => self.end_lost(out),
        }
    }

    fn end_lost(&mut self, out: &mut Vec<Output>) {
        self.stage = Stage::Ended;
        out.push(Output::SessionLost);
    }

    fn on_timeout(&mut self, timed_out: Epoch, out: &mut Vec<Output>) {
        match self.stage {
            Stage::Preparing { target, epoch, .. } if epoch == timed_out => self.abort_prepare(target, out),
            Stage::Switching { epoch, .. } if epoch == timed_out => self.return_to_source(out),
            // The source does not answer either: whatever it holds is released.
            Stage::Returning { source, epoch } if epoch == timed_out => {
                self.release(source, epoch, out);
                self.end_lost(out);
            }
            _ => {}
        }
    }

    /// Handles the death of a process, and of that process alone. A late notice may arrive when the server has
    /// restarted and prepared a newer move; the session held by the new process must not be taken for lost.
    fn on_process_died(&mut self, dead: ServerProcess, out: &mut Vec<Output>) {
        self.pending_releases.remove(dead);
        match self.stage {
            Stage::Settled { process } if process == dead => self.end_lost(out),
            Stage::Preparing { source, target, epoch } => {
                if target == dead {
                    self.abort_prepare(target, out);
                    self.pending_releases.remove(dead);
                } else if source == Some(dead) {
                    self.stage = Stage::Preparing { source: None, target, epoch };
                }
            }
            Stage::Ready { source, target, epoch } => {
                if target == dead {
                    self.stage = Stage::Settled { process: source };
                    out.push(Output::MoveFailed { target });
                } else if source == dead {
                    self.switch(None, target, epoch, out);
                }
            }
            Stage::Switching { source, target, epoch } => {
                if target == dead {
                    self.return_to_source(out);
                    self.pending_releases.remove(dead);
                } else if source == Some(dead) {
                    self.stage = Stage::Switching { source: None, target, epoch };
                }
            }
            Stage::Returning { source, .. } if source == dead => self.end_lost(out),
            _ => {}
        }
    }

    fn on_session_ended(&mut self, out: &mut Vec<Output>) {
        let epoch = self.epoch;
        let holders = match self.stage {
            Stage::Settled { process } => [Some(process), None],
            Stage::Preparing { source, target, .. } | Stage::Switching { source, target, .. } => {
                [source, Some(target)]
            }
            Stage::Ready { source, target, .. } => [Some(source), Some(target)],
            Stage::Returning { source, .. } => [Some(source), None],
            Stage::Ended => return,
        };
        self.stage = Stage::Ended;
        holders.into_iter().flatten().for_each(|process| self.release(process, epoch, out));
    }
}
