//! Fronts that are killed the instant that they are in a state.

use super::*;
use crate::script::When;

impl Stage {
    /// Kills each of the fronts the instant that the servers see it in the state, and starts it again later.
    pub(super) async fn kill_when(self: Arc<Self>, c: &Cast, end: Duration) {
        let Some(when) = c.trouble.when else { return };
        let paid: Vec<bool> = self.script.front.classes.0.iter().map(|class| class.at_most_once).collect();
        let (mut watch, mut waiting) = (Watch::new(when, paid), c.fronts.clone());
        let mut lives = JoinSet::new();
        while self.log.now() < end && !waiting.is_empty() {
            for front in watch.look(&self.log) {
                let Some(i) = waiting.iter().position(|f| *f == front) else { continue };
                waiting.swap_remove(i);
                let (me, gone) = (self.clone(), Duration::from_secs_f64(c.trouble.size.get()));
                lives.spawn(async move {
                    me.fronts.kill(front).await;
                    sleep(gone).await;
                    me.start(front).await;
                });
            }
            sleep(Duration::from_millis(1)).await;
        }
        while lives.join_next().await.is_some() {}
    }
}

/// Watches what passes for fronts that are in a state.
struct Watch {
    when: When,
    paid: Vec<bool>,
    seen: usize,
    sids: BTreeSet<Arc<str>>,
}

impl Watch {
    fn new(when: When, paid: Vec<bool>) -> Self {
        Watch { when, paid, seen: 0, sids: BTreeSet::new() }
    }

    /// Fronts that came into the state since the last look.
    fn look(&mut self, log: &Log) -> Vec<usize> {
        let new = log.after(self.seen);
        self.seen += new.len();
        let mut found = Vec::new();
        for e in new {
            let Seen::SetupRead { front, sid, class, ran, .. } = e.seen else { continue };
            let further = !self.sids.insert(sid);
            let there = match self.when {
                When::AttemptOut => true,
                When::PaidOut => ran && self.paid.get(class).copied().unwrap_or(false),
                When::Further => further,
            };
            if there {
                found.push(front);
            }
        }
        found
    }
}
