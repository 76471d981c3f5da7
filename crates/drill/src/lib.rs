//! The bench's adapter: translation between the drill's wire and the decision module's interface.

pub mod wire;
