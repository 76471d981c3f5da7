//! Placement of media sessions on servers with shared links: the decisions of one front, without I/O.
//!
//! A [`SessionPolicy`] is one front. Create it with the settings and a seed, then call
//! [`SessionPolicy::step`] once for each instant with *all* events of that instant, in order of arrival, and
//! carry out the returned actions in order at that same instant. The caller owns the clock (which must be
//! monotonic), the connections and the timers: each [`Action::Send`] is answered by exactly one
//! [`Event::AttemptEnded`], each [`Action::SetTimer`] by one [`Event::Timer`]. The same events and seed give
//! the same actions.
//!
//! ```
//! use cloverhollow::*;
//! use std::time::Duration;
//!
//! let settings = Settings {
//!     front_count: 1,
//!     classes: vec![Class {
//!         target_setup_time: Duration::from_secs(1),
//!         worth: 1.0,
//!         rate_scale: 1.0,
//!         max_rung: 1,
//!         ..Class::default()
//!     }],
//!     ladder: vec![Rung { rate_kb_per_s: 250.0, worth: 0.3 }, Rung { rate_kb_per_s: 1000.0, worth: 1.0 }],
//!     max_streams_by_kind: vec![20.0],
//!     link_unit_kb_per_s: 5000.0,
//!     join_cost_fraction: 1.0,
//!     limits: Limits { max_attempts: 2, ..Limits::default() },
//!     list_pushed: true,
//!     ..Settings::default()
//! };
//! let mut policy = SessionPolicy::new(settings, 7);
//! let now = Duration::from_secs(100);
//! let server = ListEntry {
//!     server: 1, weight: 1.0, state: ServerState::Serving, ..ListEntry::default()
//! };
//! let request = SessionRequest {
//!     id: 42, max_rung: 1, deadline: now + Duration::from_secs(3), ..SessionRequest::default()
//! };
//! let events = [Event::ListUpdate(ListMode::Stale, vec![server]), Event::Request(request)];
//! let actions = policy.step(now, &events);
//! assert_eq!(actions[0], Action::SetRung(42, 1)); // the highest rung fits
//! assert!(matches!(actions[1], Action::Send(42, 1, _)));
//! ```

pub mod interface;
mod policy;

pub use interface::*;
pub use policy::SessionPolicy;
