//! What the event loop and the set-ups in progress hold of a viewer's connection.

use super::ViewerConn;
use bytes::Bytes;
use cloverhollow_session::SessionId;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The viewer's side of a set-up that has not been sent yet.
#[derive(Clone, Debug)]
pub(crate) struct SetupWaiter {
    pub(crate) conn: Arc<ViewerConn>,
    pub(crate) sid: SessionId,
}

impl SetupWaiter {
    /// Returns whether the viewer no longer waits for the set-up.
    pub(crate) fn has_abandoned(&self) -> bool {
        self.conn.has_abandoned(&self.sid)
    }
}

/// Command to the task of a viewer's connection.
#[derive(Debug)]
pub(crate) enum ViewerCommand {
    /// Write these bytes.
    Write(Bytes),
    /// Write everything queued before, then close.
    Close,
}

/// The event loop's handle to a viewer's connection. Dropping it closes the connection after the queued bytes
/// are written.
#[derive(Debug)]
pub(crate) struct ViewerHandle {
    pub(crate) command_tx: mpsc::Sender<ViewerCommand>,
    pub(crate) conn: Arc<ViewerConn>,
}

impl ViewerHandle {
    /// Queues bytes. Returns false if the viewer reads too slowly or the connection has ended.
    pub(crate) fn write(&self, bytes: Bytes) -> bool {
        self.conn.add_queued(bytes.len()) && self.command_tx.try_send(ViewerCommand::Write(bytes)).is_ok()
    }

    /// Closes the connection after the queued bytes. Returns false if the command could not be queued;
    /// dropping the handle then closes the connection.
    pub(crate) fn close(&self) -> bool {
        self.command_tx.try_send(ViewerCommand::Close).is_ok()
    }
}
