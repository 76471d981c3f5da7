//! Properties of the model of a release.

use super::{ReleaseModel, State};
use cloverhollow_out::Stage;
use stateright::Property;

pub const SAFETY: &str =
    "no order with an older fencing token is followed, no front restarts after a halt, all invariants hold";
pub const AT_MOST_ONCE: &str = "no front restarts twice for one release";

pub fn all() -> Vec<Property<ReleaseModel>> {
    vec![
        Property::always(SAFETY, |_, state: &State| !state.violated),
        Property::always(AT_MOST_ONCE, |_, state: &State| {
            let max = if state.register.release.is_some_and(|r| r.number > 1) { 2 } else { 1 };
            state.restarts.iter().all(|restarts| *restarts <= max)
        }),
        Property::sometimes("done", |_, state: &State| {
            state.register.release.is_some_and(|r| r.stage == Stage::Done) && state.builds == [2, 2]
        }),
        Property::sometimes("taken over and done", |_, state: &State| {
            state.register.release.is_some_and(|r| r.stage == Stage::Done && r.driver == 2)
        }),
        Property::sometimes("a stale fencing token is refused", |_, state: &State| state.stale_refused),
        Property::sometimes("rolled back", |_, state: &State| {
            state.register.release.is_some_and(|r| r.stage == Stage::RolledBack) && state.builds == [1, 1]
        }),
    ]
}
