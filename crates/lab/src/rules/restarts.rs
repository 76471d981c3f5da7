//! Planned restarts, as the log shows them: when a front was told to stop, and how its process ended.

use crate::exchange::{Exchange, Seen};
use std::collections::BTreeMap;
use std::time::Duration;

/// A request that comes later than this after a front was told to stop is lost if it finds no answer.
const TAKEN: Duration = Duration::from_millis(700);

struct Restart {
    told: Duration,
    ended: Duration,
    /// The process ended by itself, before it was killed.
    by_itself: bool,
}

/// All of a day's.
pub(super) struct Restarts {
    by_front: BTreeMap<usize, Vec<Restart>>,
}

impl Restarts {
    pub(super) fn of(all: &[Exchange]) -> Self {
        let mut by_front: BTreeMap<usize, Vec<Restart>> = BTreeMap::new();
        for e in all {
            match &e.seen {
                Seen::FrontTerminated { front } => {
                    let restart = Restart { told: e.at, ended: Duration::MAX, by_itself: false };
                    by_front.entry(*front).or_default().push(restart);
                }
                Seen::FrontDown { front } => {
                    // Two troubles may have told it.
                    let open = by_front.get_mut(front).into_iter().flatten();
                    open.for_each(|restart| restart.ended = restart.ended.min(e.at));
                }
                Seen::FrontExited { front } => {
                    if let Some(restart) = by_front.get_mut(front).and_then(|all| all.last_mut()) {
                        restart.by_itself = true;
                    }
                }
                _ => {}
            }
        }
        Restarts { by_front }
    }

    /// Why a request that came then is owed an answer, though its front ended before its time was up.
    pub(super) fn owed(&self, front: usize, came: Duration) -> Option<String> {
        let of = self.by_front.get(&front)?;
        let restart = of.iter().find(|r| r.told <= came && came <= r.ended)?;
        let after = came.saturating_sub(restart.told);
        if restart.by_itself {
            return Some("its front ended by itself".into());
        }
        (after > TAKEN).then(|| format!("it came {} ms after its front was told to stop", after.as_millis()))
    }
}
