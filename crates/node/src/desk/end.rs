//! The end of the process: nothing is owed any more, and what was said last is still to be written.

use super::*;
use tokio::time::{sleep_until, Instant};

/// So long the end waits for lines to video servers to be taken by their connections' tasks.
const LAST: Duration = Duration::from_millis(300);
/// How often it is looked whether all are.
const LOOKED: Duration = Duration::from_millis(5);

impl Desk {
    /// Waits for the last lines to video servers, [`LAST`] at most. What is queued for viewers their connections' tasks
    /// write by themselves. A set-up that crosses the close of its connection is sent again by its viewer.
    pub(super) async fn end(self) {
        let until = Instant::now() + LAST;
        while Instant::now() < until && !self.links.is_written() {
            sleep_until(until.min(Instant::now() + LOOKED)).await;
        }
        // The tasks that took the last bytes write them when they next run.
        tokio::task::yield_now().await;
    }
}
