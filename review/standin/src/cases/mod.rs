//! The plays of the cases. Each returns what broke the rule.

pub mod connections;
pub mod descriptors;
pub mod discovery;
pub mod release;
pub mod replaced;
pub mod vanish;
