//! Small fakes at the core's interfaces: a network between peers, and a key-value service.

pub mod fleet;
pub mod soak;
pub mod store;
