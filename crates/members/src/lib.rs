//! Who is there of a fleet of fronts, and how many of them at the most: protocol state without I/O.
//!
//! Two means for two needs (`docs/fleet.md`): [`Swim`] gives the [`View`], who is thought to be there, soon and
//! sometimes wrongly; no rule rests on it. [`Heads`] and [`Witness`] give the count that a front's part of a cold
//! server rests on: late, and never too low. [`Member`] is both behind one door, with datagrams that are sealed and
//! opened by [`Keys`].
//!
//! Times are [`std::time::Duration`]s on the caller's one forward-going clock, which goes on over a suspend.

mod broken;
mod heads;
mod member;
mod seal;
mod swim;
mod view;
mod who;
mod witness;
mod words;

pub use broken::Broken;
pub use heads::{Heads, Part};
pub use member::{Member, MemberSettings, Notice, Outgoing, Status, MOST_OTHER};
pub use seal::{Key, Keys, Refused, Sealer, MOST_BODY, MOST_DATAGRAM, MOST_SOURCES};
pub use swim::{Record, Swim, SwimSettings, MOST_MEMBERS};
pub use view::{Seen, Sure, View};
pub use who::{Life, Who, MOST_TEXT};
pub use witness::{Witness, MOST_HOLDERS};
pub use words::{Counted, Renew, Word};
