//! A viewer over a socket: calls, plays, comes again, and says when it is over.

use crate::client::Clients;
use crate::exchange::Log;
use crate::fronts::Fronts;
use crate::plan::Viewer;
use crate::score::Tally;
use crate::script::Script;
use crate::standin::World;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time for a connection to a front.
pub(crate) const CONNECT: Duration = Duration::from_secs(1);

/// What all viewers share.
pub struct Audience {
    /// The day.
    pub script: Script,
    /// The fronts.
    pub fronts: Arc<Fronts>,
    /// What passes.
    pub log: Arc<Log>,
    /// Worth and latencies.
    pub tally: Tally,
    /// Where the fronts are the platform's: the servers' side, which knows what was asked for, and the clients' connections.
    pub platform: Option<(Arc<World>, Arc<Clients>)>,
    /// So much later than it is the fronts hear that a viewer has left.
    pub deaf: Duration,
    pub(crate) next_call: AtomicU64,
}

/// How one try at a session ended.
pub(crate) enum Try {
    /// Watched to its end, or given up for good.
    Done,
    /// Comes again, not before this.
    Again(Duration),
    /// The front broke off before its answer, or is not there.
    Lost,
}

/// Time between resends of one request, and how many there are at most.
const RESEND: Duration = Duration::from_millis(150);
const RESENDS: u32 = 20;

impl Audience {
    /// For a day that begins at `start` on the log's clock.
    pub fn new(script: Script, fronts: Arc<Fronts>, log: Arc<Log>, start: Duration) -> Self {
        let tally = Tally::new(&script, start);
        Audience {
            script,
            fronts,
            log,
            tally,
            platform: None,
            deaf: Duration::ZERO,
            next_call: AtomicU64::new(1),
        }
    }

    fn front(&self, v: &Viewer, rng: &mut ChaCha8Rng, tries: u32) -> usize {
        let n = self.fronts.count();
        let halls = self.script.fleet.halls.len().max(1);
        let own: Vec<usize> = (0..n).filter(|f| f % halls == v.hall).collect();
        // One that broke off is not asked again at once.
        let near = tries == 0 && !own.is_empty() && rng.random::<f64>() < self.script.viewers.own_hall.get();
        if near {
            own[rng.random_range(0..own.len())]
        } else {
            rng.random_range(0..n)
        }
    }

    /// One viewer, from its first call to its end.
    pub async fn live(self: Arc<Self>, v: Viewer) {
        let mut rng = ChaCha8Rng::seed_from_u64(v.seed);
        self.tally.asked(&v);
        let end = v.at + v.length;
        let (mut tries, mut resent) = (0, 0);
        let mut last = None;
        while self.log.now() < end {
            let front = last.unwrap_or_else(|| self.front(&v, &mut rng, tries));
            let sid: Arc<str> = format!("s{}-{tries}", v.id).into();
            let tried = match &self.platform {
                None => self.clone().session(&v, &sid, front).await,
                Some((world, clients)) => self.session_by_rtsp(&v, tries, front, world, clients).await,
            };
            let after = match tried {
                Try::Done => return,
                Try::Again(after) => after,
                Try::Lost if v.resends && resent < RESENDS => {
                    resent += 1;
                    last = Some(front);
                    sleep(RESEND).await;
                    continue;
                }
                Try::Lost => Duration::ZERO,
            };
            last = None;
            if rng.random::<f64>() >= self.script.viewers.returns.get() {
                return;
            }
            let (lo, hi) = (self.script.viewers.rejoin_ms.0.get(), self.script.viewers.rejoin_ms.1.get());
            let own = lo + (hi - lo).mul_f64(rng.random::<f64>());
            sleep(own.max(after)).await;
            tries += 1;
        }
    }
}

/// A viewer's own time ends a little after its patience, so that a late answer is seen as one.
pub(crate) const LATE: Duration = Duration::from_millis(500);
