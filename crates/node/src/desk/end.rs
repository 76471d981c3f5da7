//! The end of the process: nothing is owed any more, and what was said last is still to be written.

use super::*;
use tokio::time::{timeout_at, Instant};

/// So long the end waits for what is queued to be written and for viewers to close their connections: an end over
/// bytes that nobody has read would reset a connection and take its last answer along.
const LAST: Duration = Duration::from_millis(300);
/// How often it is looked whether all is written.
const LOOKED: Duration = Duration::from_millis(5);

impl Desk {
    /// Writes what is queued and closes all connections, in [`LAST`] at most. Set-ups are open nowhere by now; one that
    /// crosses the close is sent again by its viewer.
    pub(super) async fn end(mut self, mut mails: mpsc::Receiver<Mail>) {
        let until = Instant::now() + LAST;
        let conns: Vec<_> = self.conns.keys().copied().collect();
        conns.into_iter().for_each(|conn| self.close_conn(conn));
        while Instant::now() < until && !(self.conns.is_empty() && self.links.is_written()) {
            let next = until.min(Instant::now() + LOOKED);
            if let Ok(Some(Mail::Closed(conn))) = timeout_at(next, mails.recv()).await {
                self.conns.remove(&conn);
            }
        }
        // The tasks that took the last bytes write them when they next run.
        tokio::task::yield_now().await;
    }
}
