//! What of a file that is found at a start can be believed.

use crate::deed::{Boot, Stamp};
use crate::frame;
use crate::ledger::{Bounds, Held, Ledger};
use crate::paid::Paid;
use std::collections::BTreeSet;
use std::time::Duration;

/// A file whose time of change is further from its last stamp than this is another one than was written last.
const STRAYED: u64 = 2_000;

/// What is found at a start.
#[derive(Clone, Copy, Debug)]
pub struct Found<'a> {
    /// The file's bytes; `None`: there is no file.
    pub bytes: Option<&'a [u8]>,
    /// When the file last changed (its `ctime`, which no copy or restoring can carry over), by the wall clock.
    pub changed_ms: u64,
    /// Something else says that this front ran before.
    pub ran_before: bool,
}

/// Why a file is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Why {
    /// There is none, and there should be.
    #[error("the file of deeds is gone")]
    Gone,
    /// It is not what was written.
    #[error("{0}")]
    Frames(#[from] frame::FrameError),
    /// It holds no life.
    #[error("it tells of no life")]
    Empty,
    /// It changed after the last deed: an older copy was put in its place.
    #[error("it changed {by_ms} ms off its last deed: it is not the file that was written last")]
    Strayed {
        /// How far off.
        by_ms: u64,
    },
    /// The boot's clock is behind it.
    #[error("its last deed lies ahead of the machine's clock")]
    Ahead,
}

/// How far the earlier lives are proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// There was none.
    First,
    /// All their deeds are known.
    Proven,
    /// The machine was started anew since: what was not yet on the disk is lost with it.
    Rebooted,
    /// Nothing is: what should tell of them does not.
    Unproven(Why),
    /// Nothing is ever kept: each life may be the first or not.
    Unkept,
}

impl Trust {
    /// Whether deeds of the last life may be missing though they should be known.
    pub fn misses(&self) -> bool {
        matches!(self, Trust::Rebooted | Trust::Unproven(_))
    }

    /// In words, for operators.
    pub fn words(&self) -> String {
        match self {
            Trust::First => "first life".into(),
            Trust::Proven => "earlier lives are proven".into(),
            Trust::Rebooted => "the machine was started anew".into(),
            Trust::Unproven(why) => why.to_string(),
            Trust::Unkept => "nothing is kept (keep.file)".into(),
        }
    }
}

/// What a start knows of the lives before it.
#[derive(Debug)]
pub struct Recovered {
    /// How far that is proven.
    pub trust: Trust,
    /// Paid sessions that may have run, the oldest first.
    pub paid: Paid,
    /// Ages of further attempts.
    pub further: Vec<Duration>,
    /// For so long back those are all.
    pub known: Duration,
    /// Servers that take no new work.
    pub stopped: BTreeSet<u64>,
    /// Servers that failed, and did not work since.
    pub failed: BTreeSet<u64>,
    /// Paid sessions that servers may hold for the last life.
    pub held: Vec<Held>,
}

impl Recovered {
    /// Of a front that keeps nothing.
    pub fn unkept() -> Self {
        Recovered {
            trust: Trust::Unkept,
            paid: Paid::default(),
            further: Vec::new(),
            known: Duration::ZERO,
            stopped: BTreeSet::new(),
            failed: BTreeSet::new(),
            held: Vec::new(),
        }
    }
}

/// Reads what is found. Gives the ledger to go on with, before this life's own [`Deed::Began`].
pub fn recover(found: Found<'_>, boot: Boot, now: Stamp, bounds: &Bounds) -> (Ledger, Recovered) {
    let (ledger, trust) = match believe(found, boot, now, bounds) {
        Ok(believed) => believed,
        Err(why) => (Ledger::unknown_before(now), Trust::Unproven(why)),
    };
    let age = |at: Stamp| at.age(now);
    let same_boot = trust == Trust::Proven;
    let recovered = Recovered {
        trust,
        paid: ledger.paid().clone(),
        further: ledger.further().filter(|_| same_boot).map(age).collect(),
        known: match trust {
            Trust::First => Duration::MAX,
            Trust::Proven => ledger.known_from().map_or(Duration::MAX, age),
            Trust::Rebooted | Trust::Unproven(_) | Trust::Unkept => Duration::ZERO,
        },
        stopped: ledger.stopped().clone(),
        failed: ledger.failed().clone(),
        held: ledger.held().cloned().collect(),
    };
    (ledger, recovered)
}

fn believe(found: Found<'_>, boot: Boot, now: Stamp, bounds: &Bounds) -> Result<(Ledger, Trust), Why> {
    let Some(bytes) = found.bytes else {
        return if found.ran_before { Err(Why::Gone) } else { Ok((Ledger::default(), Trust::First)) };
    };
    let read = frame::read(bytes)?;
    let mut ledger = Ledger::default();
    for (at, deed) in &read.deeds {
        ledger.apply(*at, deed, bounds);
    }
    let in_boot = ledger.starts().next_back().map(|s| s.boot);
    let (Some(in_boot), Some(last)) = (in_boot, ledger.last()) else { return Err(Why::Empty) };
    let by_ms = found.changed_ms.abs_diff(last.wall_ms);
    if by_ms > STRAYED {
        return Err(Why::Strayed { by_ms });
    }
    if in_boot != boot {
        return Ok((ledger, Trust::Rebooted));
    }
    if last.boot_ms > now.boot_ms {
        return Err(Why::Ahead);
    }
    Ok((ledger, Trust::Proven))
}
