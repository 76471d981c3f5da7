//! Properties of the model of agreement.

use super::{RegisterModel, State};
use stateright::Property;

pub const PERMIT_LIMIT: &str = "no more permits are in force than the limit";
pub const TERM_ORDER: &str = "terms never repeat or decrease, and all invariants hold";

pub fn all() -> Vec<Property<RegisterModel>> {
    vec![
        Property::always(PERMIT_LIMIT, |m: &RegisterModel, state: &State| {
            leases_in_force(state) <= usize::from(m.max_permits)
        }),
        Property::always(TERM_ORDER, |_, state: &State| !state.violated),
        Property::sometimes("grants", |_, state: &State| leases_in_force(state) > 0),
        Property::sometimes("renews", |_, state: &State| state.lease_renewed),
        Property::sometimes("expires", |_, state: &State| state.lease_expired),
        Property::sometimes("limit reached", |m: &RegisterModel, state: &State| {
            leases_in_force(state) == usize::from(m.max_permits)
        }),
    ]
}

fn leases_in_force(state: &State) -> usize {
    state.leases.iter().flatten().filter(|g| g.is_valid_at(state.now)).count()
}
