//! Stages, inputs and outputs of a [`MoveCoordinator`](crate::MoveCoordinator).

use crate::types::{Answer, Epoch, Message, ServerProcess};

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
