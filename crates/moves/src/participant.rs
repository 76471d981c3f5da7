//! Server's side of one session's moves, in one process.

use crate::types::{Answer, Epoch, Request};

/// State that one process of a server holds for one session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct MoveParticipant {
    held: Option<HeldSession>,
    /// Highest epoch released: a delayed request up to this epoch must not take the session again.
    released_epoch: Option<Epoch>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldSession {
    epoch: Epoch,
    playing: bool,
}

impl MoveParticipant {
    /// Creates the state of a process that has set the session up itself.
    pub fn with_session(epoch: Epoch) -> MoveParticipant {
        MoveParticipant { held: Some(HeldSession { epoch, playing: true }), released_epoch: None }
    }

    /// Returns whether the process holds anything for the session.
    pub fn holds_session(&self) -> bool {
        self.held.is_some()
    }

    /// Returns whether the process plays the session.
    pub fn is_playing(&self) -> bool {
        self.held.is_some_and(|h| h.playing)
    }

    /// Handles a request. `can_accept` is true if the server has room and, for a session whose set-up was paid for,
    /// can take the set-up over.
    ///
    /// Idempotent: a repeated request gets the same answer and changes nothing.
    pub fn handle(&mut self, request: Request, can_accept: bool) -> Answer {
        match request {
            Request::Prepare { epoch, .. } => {
                // Guards against a delayed copy of a step that was released: nobody would release the session again.
                if self.released_epoch.is_some_and(|released| epoch <= released) {
                    return Answer::Released { epoch };
                }
                match self.held {
                    Some(held) if held.epoch >= epoch => Answer::Prepared { epoch },
                    Some(held) => {
                        self.held = Some(HeldSession { epoch, ..held });
                        Answer::Prepared { epoch }
                    }
                    None if can_accept => {
                        self.held = Some(HeldSession { epoch, playing: false });
                        Answer::Prepared { epoch }
                    }
                    None => Answer::Refused { epoch },
                }
            }
            Request::Play { epoch } => match self.held {
                Some(held) if held.epoch <= epoch => {
                    self.held = Some(HeldSession { epoch, playing: true });
                    Answer::Playing { epoch }
                }
                _ => Answer::Unknown { epoch },
            },
            Request::Release { epoch } => {
                self.released_epoch = self.released_epoch.max(Some(epoch));
                if self.held.is_some_and(|h| h.epoch <= epoch) {
                    self.held = None;
                }
                Answer::Released { epoch }
            }
        }
    }
}
