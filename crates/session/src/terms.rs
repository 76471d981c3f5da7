//! What the core needs of a front's settings, plainly: from YAML, or from a platform's configuration.

use crate::arrival;
use cloverhollow_settings::{title_id, FrontSettings};
use std::sync::Arc;
use std::time::Duration;

/// A class of sessions, as far as the core looks at it.
#[derive(Clone, Copy, Debug)]
pub struct ClassTerms {
    /// A set-up may take effect once only.
    pub paid: bool,
    /// A viewer waits no longer than this.
    pub deadline: Duration,
}

/// What a front that outlives itself, or has peers to tell, keeps beside its sessions.
#[derive(Clone, Debug)]
pub struct MemoryTerms {
    /// Name of the instance, as a number.
    pub instance: u64,
    /// Name of its fleet, as a number.
    pub fleet: u64,
    /// What is older says nothing any more.
    pub horizon: Duration,
    /// Paid sessions that are remembered.
    pub spent: usize,
    /// Further attempts are counted over a death.
    pub rationed: bool,
    /// The list may tell so late of a server's start.
    pub list_late: Duration,
}

/// What the core is told once, at its start.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The classes, in the order their indices refer to.
    pub classes: Vec<ClassTerms>,
    /// Each class's rates by rung, kbps.
    pub rates: Vec<Arc<[u32]>>,
    /// Names of the kinds of servers.
    pub kinds: Vec<String>,
    /// The hall that this front stands in.
    pub hall: String,
    /// What the core itself asks a refused viewer to wait.
    pub hold_off: Duration,
    /// An answer is given so long before the viewer's time is up.
    pub margin: Duration,
    /// Most sessions held.
    pub most: usize,
    /// Most requests of one session that wait for its set-up.
    pub waiting: usize,
    /// A session of which nothing is heard for so long is over; `None`: servers tell the ends.
    pub idle: Option<Duration>,
    /// `None`: no disk survives this front and nobody asks it, so it keeps nothing but its sessions.
    pub memory: Option<MemoryTerms>,
}

impl Terms {
    /// Index of a kind that the list names; an unknown one counts as the first.
    pub(crate) fn kind(&self, name: &str) -> usize {
        self.kinds.iter().position(|k| k == name).unwrap_or(0)
    }
}

impl From<&FrontSettings> for Terms {
    fn from(s: &FrontSettings) -> Self {
        let classes = &s.classes.0;
        Terms {
            classes: (classes.iter())
                .map(|c| ClassTerms { paid: c.paid, deadline: c.deadline_ms.get() })
                .collect(),
            rates: (0..classes.len()).map(|c| arrival::rates(s, c).into()).collect(),
            kinds: s.fleet.kinds.iter().map(|k| k.name.as_str().to_owned()).collect(),
            hall: s.instance.hall.as_str().to_owned(),
            hold_off: s.limits.hold_off_ms.get(),
            margin: s.sessions.margin_ms.get(),
            most: s.sessions.most.count(),
            waiting: s.sessions.waiting.count(),
            idle: Some(s.sessions.idle_ms.get()),
            memory: Some(MemoryTerms {
                instance: title_id(s.instance.name.as_str()),
                fleet: title_id(s.peers.fleet.as_str()),
                horizon: s.peers.horizon_ms.get(),
                spent: s.sessions.spent.count(),
                rationed: s.rules.ration.is_some(),
                list_late: s.discovery.late_ms.get(),
            }),
        }
    }
}

impl From<Arc<FrontSettings>> for Terms {
    fn from(s: Arc<FrontSettings>) -> Self {
        (&*s).into()
    }
}
