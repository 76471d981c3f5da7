//! MemberId is there of a fleet of fronts, and how many of them at the most: protocol state without I/O.
//!
//! Two means for two needs (`docs/fleet.md`): [`Swim`] gives the [`MembershipView`], who is thought to be there, soon and
//! sometimes wrongly; no rule rests on it. [`LeaseCount`] and [`Witness`] give the count that a front's part of a cold
//! server rests on: late, and never too low. [`Member`] is both behind one door, with datagrams that are sealed and
//! opened by [`Keys`].
//!
//! Times are [`std::time::Duration`]s on the caller's one forward-going clock, which goes on over a suspend.

mod identity;
mod invariants;
mod lease_count;
mod member;
mod seal;
mod swim;
mod view;
mod witness;
mod words;

pub use identity::{Incarnation, MemberId, MAX_NAME_BYTES};
pub use invariants::InvariantViolation;
pub use lease_count::{FleetSize, LeaseCount};
pub use member::{
    Member, MemberConfig, MemberEvent, MemberStats, OutgoingDatagram, MAX_QUEUED_APPLICATION_MESSAGES,
};
pub use seal::{Key, Keys, ReceiveError, Sealer, MAX_BODY_BYTES, MAX_DATAGRAM_BYTES, MAX_SENDERS};
pub use swim::{MemberRecord, Swim, SwimConfig, MAX_MEMBERS};
pub use view::{KnownMember, MemberState, MembershipView};
pub use witness::{Witness, MAX_LEASE_HOLDERS};
pub use words::{Counted, Renew, Word};
