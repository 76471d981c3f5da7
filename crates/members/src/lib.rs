//! Membership of a fleet of fronts and an upper bound on its size, as protocol state without I/O.
//!
//! - [`Swim`] maintains the [`MembershipView`]: the members believed to be alive. It is fast and may be wrong, so no
//!   safety rule depends on it.
//! - [`LeaseCount`] and [`Witness`] bound the number of fronts by leases. The bound is slower and never too low; a
//!   front's share of a cold server's set-ups depends on it.
//! - [`Member`] combines both and authenticates datagrams with a [`Signer`] and a [`Verifier`].
//!
//! Times are [`std::time::Duration`]s on the caller's monotonic clock, which must also advance during a suspend.

mod auth;
mod identity;
mod invariants;
mod lease_count;
mod member;
mod messages;
mod swim;
mod view;
mod witness;

pub use auth::{Key, ReceiveError, Signer, Verifier, MAX_BODY_BYTES, MAX_DATAGRAM_BYTES, MAX_SENDERS};
pub use identity::{Incarnation, MemberId, MAX_NAME_BYTES};
pub use invariants::InvariantViolation;
pub use lease_count::{FleetSize, LeaseCount};
pub use member::{
    Member, MemberConfig, MemberEvent, MemberStats, OutgoingDatagram, MAX_QUEUED_APPLICATION_MESSAGES,
};
pub use messages::{Message, RenewRequest, RenewResponse};
pub use swim::{MemberRecord, Swim, SwimConfig, MAX_MEMBERS};
pub use view::{KnownMember, MemberState, MembershipView};
pub use witness::{Witness, MAX_LEASE_HOLDERS};
