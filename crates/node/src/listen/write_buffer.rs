//! Bytes that are being written to a viewer.

use super::WriteState;
use crate::viewer_conn::{ViewerCommand, ViewerConn};
use std::io::{Error, ErrorKind};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Size at which queued bytes are written without collecting more of them.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Bytes being written.
#[derive(Default)]
pub(super) struct WriteBuffer {
    bytes: Vec<u8>,
    /// Number of writes that `bytes` were queued by.
    writes: usize,
    /// Number of `bytes` that are written already.
    pub(super) written_len: usize,
}

impl WriteBuffer {
    /// Appends the bytes of `first` and of the commands queued behind it; returns whether and why the
    /// connection is to be closed after them.
    pub(super) fn collect(
        &mut self,
        first: Option<ViewerCommand>,
        command_rx: &mut mpsc::Receiver<ViewerCommand>,
    ) -> WriteState {
        let mut next = first;
        loop {
            match next {
                Some(ViewerCommand::Write(bytes)) => {
                    self.bytes.extend_from_slice(&bytes);
                    self.writes += 1;
                }
                Some(ViewerCommand::Close) => return WriteState::ClosingAfterError,
                None => return WriteState::HandleDropped,
            }
            if self.bytes.len() >= WRITE_BATCH_BYTES {
                return WriteState::Open;
            }
            next = match command_rx.try_recv() {
                Ok(command) => Some(command),
                Err(mpsc::error::TryRecvError::Empty) => return WriteState::Open,
                Err(mpsc::error::TryRecvError::Disconnected) => None,
            };
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Writes as much as the socket accepts now.
    pub(super) fn write(&mut self, stream: &TcpStream, conn: &ViewerConn) -> Result<(), Error> {
        while self.written_len < self.bytes.len() {
            match stream.try_write(&self.bytes[self.written_len..]) {
                Ok(n) => self.written_len += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        conn.remove_queued(self.writes, self.bytes.len());
        *self = WriteBuffer::default();
        Ok(())
    }
}
