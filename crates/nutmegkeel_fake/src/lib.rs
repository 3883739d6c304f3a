//! In-memory fakes for the interfaces of the core: a network of peers and a key-value service.

pub mod fleet;
pub mod soak;
pub mod store;
