//! The front's side of one session.

use crate::pending_releases::PendingReleases;
use crate::types::{Answer, Ask, Epoch, Place, Server, Word};

/// Where a session stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// It plays at one server.
    Settled {
        /// Where.
        at: Place,
    },
    /// It plays at one; another was asked to take it over.
    Preparing {
        /// Where it plays; `None`: that one died meanwhile, and the session waits for the target.
        from: Option<Place>,
        /// Who was asked.
        to: Place,
        /// The step.
        epoch: Epoch,
    },
    /// The target holds it; the next object boundary hands it over.
    Ready {
        /// Where it plays.
        from: Place,
        /// Where it will.
        to: Place,
        /// The step.
        epoch: Epoch,
    },
    /// The next object was asked of the target.
    Switching {
        /// Where it played; `None`: that one is gone.
        from: Option<Place>,
        /// Where it plays now, if the target answers.
        to: Place,
        /// The step.
        epoch: Epoch,
    },
    /// The target did not play: the object was asked of the old place again.
    Returning {
        /// Where.
        to: Place,
        /// The step.
        epoch: Epoch,
    },
    /// It is over, or no server holds it any more.
    Over,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Input {
    /// The session is to be moved there.
    Move {
        /// Where.
        to: Place,
    },
    /// An object ended: the next one may come from elsewhere.
    Boundary,
    /// A server's answer.
    Answered {
        /// Whose.
        from: Place,
        /// What.
        answer: Answer,
    },
    /// What was asked last was not answered in time.
    TimedOut {
        /// The step that it was asked for.
        epoch: Epoch,
    },
    /// That process of a server is gone.
    Died {
        /// Which.
        place: Place,
    },
    /// The viewer has gone, or the session has ended.
    Gone,
    /// Time to say again what is owed.
    SayAgain,
}

/// What to do, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Output {
    /// Ask a server; lost answers are the shell's to time out.
    Ask(Word),
    /// The session was moved.
    Moved {
        /// Where it plays now.
        to: Place,
    },
    /// The move came to nothing; the session plays where it did.
    Stayed {
        /// Who did not take it.
        target: Place,
    },
    /// No server holds the session any more.
    Lost,
}

/// One session's moves. At most one at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Mover {
    stage: Stage,
    epoch: Epoch,
    paid: bool,
    /// Releases that were not confirmed: by process, the highest step. Bounded by the processes that were asked
    /// and have not answered; one that is gone is owed nothing.
    owed: PendingReleases<Place>,
}

impl Mover {
    /// A session that was set up at a server as its step `epoch`.
    pub fn new(at: Place, epoch: Epoch, paid: bool) -> Mover {
        Mover { stage: Stage::Settled { at }, epoch, paid, owed: PendingReleases::default() }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The one server that the next object is asked of.
    pub fn playing(&self) -> Option<Place> {
        match self.stage {
            Stage::Settled { at } | Stage::Ready { from: at, .. } => Some(at),
            Stage::Preparing { from, .. } => from,
            Stage::Switching { to, .. } | Stage::Returning { to, .. } => Some(to),
            Stage::Over => None,
        }
    }

    /// Whether all that servers may hold of it, but for where it plays, has been let go of.
    pub fn is_clear(&self) -> bool {
        self.owed.is_empty() && matches!(self.stage, Stage::Settled { .. } | Stage::Over)
    }

    /// The server of that name is not to be moved to again while it is owed a release.
    pub fn owes(&self, server: Server) -> bool {
        self.owed.iter().any(|(p, _)| p.server == server)
    }

    /// Takes one input.
    pub fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Move { to } => self.begin(to, &mut out),
            Input::Boundary => {
                if let Stage::Ready { from, to, epoch } = self.stage {
                    self.switch(Some(from), to, epoch, &mut out);
                }
            }
            Input::Answered { from, answer } => self.answered(from, answer, &mut out),
            Input::TimedOut { epoch } => self.timed_out(epoch, &mut out),
            Input::Died { place } => self.died(place, &mut out),
            Input::Gone => self.gone(&mut out),
            Input::SayAgain => {
                let owed = self.owed.iter();
                out.extend(owed.map(|(to, epoch)| Output::Ask(Word { to, ask: Ask::Release { epoch } })));
            }
        }
        out
    }

    fn begin(&mut self, to: Place, out: &mut Vec<Output>) {
        let Stage::Settled { at } = self.stage else { return };
        if at.server == to.server || self.owes(to.server) {
            return;
        }
        self.epoch = self.epoch.next();
        let (epoch, paid) = (self.epoch, self.paid);
        self.stage = Stage::Preparing { from: Some(at), to, epoch };
        out.push(Output::Ask(Word { to, ask: Ask::Prepare { epoch, paid } }));
    }

    fn switch(&mut self, from: Option<Place>, to: Place, epoch: Epoch, out: &mut Vec<Output>) {
        self.stage = Stage::Switching { from, to, epoch };
        out.push(Output::Ask(Word { to, ask: Ask::Play { epoch } }));
    }

    /// From here on that process owes us the word that it holds nothing up to this step.
    fn release(&mut self, to: Place, epoch: Epoch, out: &mut Vec<Output>) {
        self.owed.add(to, epoch);
        out.push(Output::Ask(Word { to, ask: Ask::Release { epoch } }));
    }

    fn answered(&mut self, from: Place, answer: Answer, out: &mut Vec<Output>) {
        match (answer, self.stage) {
            (Answer::Released { epoch }, stage) => {
                self.owed.confirm(from, epoch);
                // A late copy of our own release reached it before the question: as good as a refusal.
                if matches!(stage, Stage::Preparing { to, epoch: e, .. } if to == from && e <= epoch) {
                    self.not_taken(from, out);
                }
            }
            (Answer::Prepared { epoch: e }, Stage::Preparing { from: source, to, epoch })
                if to == from && e == epoch =>
            {
                match source {
                    Some(source) => self.stage = Stage::Ready { from: source, to, epoch },
                    // The source is gone: there is no boundary to wait for.
                    None => self.switch(None, to, epoch, out),
                }
            }
            (Answer::Refused { epoch: e }, Stage::Preparing { to, epoch, .. })
                if to == from && e == epoch =>
            {
                self.not_taken(to, out);
            }
            (Answer::Plays { epoch: e }, Stage::Switching { from: source, to, epoch })
                if to == from && e == epoch =>
            {
                self.stage = Stage::Settled { at: to };
                out.push(Output::Moved { to });
                if let Some(source) = source {
                    self.release(source, epoch, out);
                }
            }
            (Answer::Plays { epoch: e }, Stage::Returning { to, epoch }) if to == from && e == epoch => {
                self.stage = Stage::Settled { at: to };
            }
            (Answer::Unknown { epoch: e }, Stage::Switching { to, epoch, .. })
                if to == from && e == epoch =>
            {
                self.not_playing(out);
            }
            (Answer::Unknown { epoch: e }, Stage::Returning { to, epoch }) if to == from && e == epoch => {
                self.lost(out);
            }
            _ => {}
        }
    }

    /// The target does not take it. It may hold it all the same: its word may have been lost.
    fn not_taken(&mut self, target: Place, out: &mut Vec<Output>) {
        let Stage::Preparing { from, epoch, .. } = self.stage else { return };
        self.release(target, epoch, out);
        match from {
            Some(at) => {
                self.stage = Stage::Settled { at };
                out.push(Output::Stayed { target });
            }
            None => self.lost(out),
        }
    }

    /// The target does not play: back to where it played, as a later step, so that nothing that the target still
    /// does counts.
    fn not_playing(&mut self, out: &mut Vec<Output>) {
        let Stage::Switching { from, to, epoch } = self.stage else { return };
        self.release(to, epoch, out);
        match from {
            Some(at) => {
                self.epoch = self.epoch.next();
                let epoch = self.epoch;
                self.stage = Stage::Returning { to: at, epoch };
                out.push(Output::Stayed { target: to });
                out.push(Output::Ask(Word { to: at, ask: Ask::Play { epoch } }));
            }
            None => self.lost(out),
        }
    }

    fn lost(&mut self, out: &mut Vec<Output>) {
        self.stage = Stage::Over;
        out.push(Output::Lost);
    }

    fn timed_out(&mut self, of: Epoch, out: &mut Vec<Output>) {
        match self.stage {
            Stage::Preparing { to, epoch, .. } if epoch == of => self.not_taken(to, out),
            Stage::Switching { epoch, .. } if epoch == of => self.not_playing(out),
            // The old place does not answer either: whatever it holds is let go of.
            Stage::Returning { to, epoch } if epoch == of => {
                self.release(to, epoch, out);
                self.lost(out);
            }
            _ => {}
        }
    }

    /// A word that a process is gone speaks of that process alone. Guards against a late one, read after the server
    /// was back and had prepared for a newer move: the new holding would be taken for lost with the old.
    fn died(&mut self, place: Place, out: &mut Vec<Output>) {
        self.owed.remove(place);
        match self.stage {
            Stage::Settled { at } if at == place => self.lost(out),
            Stage::Preparing { from, to, epoch } => {
                if to == place {
                    self.not_taken(to, out);
                    self.owed.remove(place);
                } else if from == Some(place) {
                    self.stage = Stage::Preparing { from: None, to, epoch };
                }
            }
            Stage::Ready { from, to, epoch } => {
                if to == place {
                    self.stage = Stage::Settled { at: from };
                    out.push(Output::Stayed { target: to });
                } else if from == place {
                    self.switch(None, to, epoch, out);
                }
            }
            Stage::Switching { from, to, epoch } => {
                if to == place {
                    self.not_playing(out);
                    self.owed.remove(place);
                } else if from == Some(place) {
                    self.stage = Stage::Switching { from: None, to, epoch };
                }
            }
            Stage::Returning { to, .. } if to == place => self.lost(out),
            _ => {}
        }
    }

    fn gone(&mut self, out: &mut Vec<Output>) {
        let epoch = self.epoch;
        let places = match self.stage {
            Stage::Settled { at } => [Some(at), None],
            Stage::Preparing { from, to, .. } | Stage::Switching { from, to, .. } => [from, Some(to)],
            Stage::Ready { from, to, .. } => [Some(from), Some(to)],
            Stage::Returning { to, .. } => [Some(to), None],
            Stage::Over => return,
        };
        self.stage = Stage::Over;
        places.into_iter().flatten().for_each(|place| self.release(place, epoch, out));
    }
}
