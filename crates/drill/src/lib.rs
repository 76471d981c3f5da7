//! Adapter between the bench's wire protocol and the interface of the decision module.

pub mod wire;
