//! Placement of media sessions on servers with shared links: a front's decisions, without any I/O.
//!
//! A [`Brain`] is one front. Give it the settings and a seed, then call [`Brain::step`] once for each
//! instant with *all* events of that instant, in order of arrival, and carry out the returned actions in
//! order at that same instant. The caller owns the clock (it only goes forward), the connections and the
//! timers: each [`Action::Send`] is answered by exactly one [`Event::Ended`], each [`Action::Timer`] by
//! one [`Event::Timer`]. The same events and seed give the same actions.
//!
//! ```
//! use cloverhollow::*;
//! use std::time::Duration;
//!
//! let settings = Settings {
//!     fronts: 1,
//!     classes: vec![Class {
//!         aim: Duration::from_secs(1),
//!         worth: 1.0,
//!         scale: 1.0,
//!         top: 1,
//!         ..Class::default()
//!     }],
//!     ladder: vec![Rung { rate: 250.0, worth: 0.3 }, Rung { rate: 1000.0, worth: 1.0 }],
//!     streams_by_kind: vec![20.0],
//!     link_unit: 5000.0,
//!     join: 1.0,
//!     limits: Limits { attempts: 2, ..Limits::default() },
//!     list_pushed: true,
//!     ..Settings::default()
//! };
//! let mut brain = Brain::new(settings, 7);
//! let now = Duration::from_secs(100);
//! let server = Entry {
//!     server: 1, weight: 1.0, state: Listed::Serving, ..Entry::default()
//! };
//! let call = Call { request: 42, top: 1, deadline: now + Duration::from_secs(3), ..Call::default() };
//! let actions = brain.step(now, &[Event::List(ListMode::Stale, vec![server]), Event::Call(call)]);
//! assert_eq!(actions[0], Action::Rung(42, 1)); // the top rung fits
//! assert!(matches!(actions[1], Action::Send(42, 1, _)));
//! ```

mod brain;
pub mod interface;

pub use brain::Brain;
pub use interface::*;
