//! Front's side of one session's moves.

use crate::pending_releases::PendingReleases;
use crate::types::{Answer, Epoch, Message, Request, ServerId, ServerProcess};

/// Stage of a session's move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The session plays at one server and no move is in progress.
    Settled {
        /// Process that plays it.
        process: ServerProcess,
    },
    /// The session plays at the source; the target was sent a prepare.
    Preparing {
        /// Process that plays it; `None` if it died meanwhile and the session waits for the target.
        source: Option<ServerProcess>,
        /// Process that was sent the prepare.
        target: ServerProcess,
        /// Epoch of the step.
        epoch: Epoch,
    },
    /// The target holds the session and takes over at the next object boundary.
    Ready {
        /// Process that plays it.
        source: ServerProcess,
        /// Process that takes over.
        target: ServerProcess,
        /// Epoch of the step.
        epoch: Epoch,
    },
    /// The next object was requested from the target.
    Switching {
        /// Process that played the session before; `None` if it has died.
        source: Option<ServerProcess>,
        /// Process that plays it if it answers.
        target: ServerProcess,
        /// Epoch of the step.
        epoch: Epoch,
    },
    /// The target did not play; the object was requested from the source again.
    Returning {
        /// Process that played the session before.
        source: ServerProcess,
        /// Epoch of the step.
        epoch: Epoch,
    },
    /// The session has ended, or no server holds it.
    Ended,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Input {
    /// Request to move the session.
    Move {
        /// Process to move it to.
        target: ServerProcess,
    },
    /// An object ended: the next one may come from another server.
    ObjectBoundary,
    /// A server answered.
    AnswerReceived {
        /// Process that answered.
        from: ServerProcess,
        /// The answer.
        answer: Answer,
    },
    /// The last request got no answer in time.
    AnswerTimedOut {
        /// Epoch of the request.
        epoch: Epoch,
    },
    /// A process of a server is known to be dead.
    ProcessDied {
        /// The dead process.
        process: ServerProcess,
    },
    /// The viewer has disconnected, or the session has ended.
    SessionEnded,
    /// Pending releases are due to be sent again.
    RetryReleases,
}

/// Action for the caller, in the order returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Output {
    /// Send a request; the caller times out lost answers.
    Send(Message),
    /// The session was moved.
    Moved {
        /// Process that plays it now.
        target: ServerProcess,
    },
    /// The move failed; the session plays where it did before.
    MoveFailed {
        /// Process that did not take the session over.
        target: ServerProcess,
    },
    /// No server holds the session any more.
    SessionLost,
}

/// State machine of one session's moves, at most one of which is in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MoveCoordinator {
    stage: Stage,
    epoch: Epoch,
    paid: bool,
    pending_releases: PendingReleases<ServerProcess>,
}

impl MoveCoordinator {
    /// Creates the state of a session that was set up at `process` with `epoch`.
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
            Stage::Switching { target, .. } | Stage::Returning { source: target, .. } => Some(target),
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

    fn on_timeout(&mut self, request_epoch: Epoch, out: &mut Vec<Output>) {
        match self.stage {
            Stage::Preparing { target, epoch, .. } if epoch == request_epoch => {
                self.abort_prepare(target, out)
            }
            Stage::Switching { epoch, .. } if epoch == request_epoch => self.return_to_source(out),
            // The source does not answer either: whatever it holds is released.
            Stage::Returning { source, epoch } if epoch == request_epoch => {
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
