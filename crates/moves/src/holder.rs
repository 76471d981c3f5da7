//! A server's side of one session, in one process.

use crate::types::{Answer, Ask, Epoch};

/// What one process of a server holds of one session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Holder {
    held: Option<Held>,
    /// Steps up to this were let go of: a late one must not take the session again.
    fence: Option<Epoch>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    epoch: Epoch,
    plays: bool,
}

impl Holder {
    /// A process that has set the session up itself.
    pub fn set_up(epoch: Epoch) -> Holder {
        Holder { held: Some(Held { epoch, plays: true }), fence: None }
    }

    /// Whether it holds anything for the session.
    pub fn holds(&self) -> bool {
        self.held.is_some()
    }

    /// Whether it plays.
    pub fn plays(&self) -> bool {
        self.held.is_some_and(|h| h.plays)
    }

    /// Answers a question. `takes`: whether it has room, and, for a paid session, can take a set-up over.
    ///
    /// Idempotent: a question asked twice is answered alike and changes nothing the second time.
    pub fn answer(&mut self, ask: Ask, takes: bool) -> Answer {
        match ask {
            Ask::Prepare { epoch, .. } => {
                // Guards against a late copy of a step that was let go of: it would hold for nobody.
                if self.fence.is_some_and(|f| epoch <= f) {
                    return Answer::Released { epoch };
                }
                match self.held {
                    Some(held) if held.epoch >= epoch => Answer::Prepared { epoch },
                    Some(held) => {
                        self.held = Some(Held { epoch, ..held });
                        Answer::Prepared { epoch }
                    }
                    None if takes => {
                        self.held = Some(Held { epoch, plays: false });
                        Answer::Prepared { epoch }
                    }
                    None => Answer::Refused { epoch },
                }
            }
            Ask::Play { epoch } => match self.held {
                Some(held) if held.epoch <= epoch => {
                    self.held = Some(Held { epoch, plays: true });
                    Answer::Plays { epoch }
                }
                _ => Answer::Unknown { epoch },
            },
            Ask::Release { epoch } => {
                self.fence = self.fence.max(Some(epoch));
                if self.held.is_some_and(|h| h.epoch <= epoch) {
                    self.held = None;
                }
                Answer::Released { epoch }
            }
        }
    }
}
