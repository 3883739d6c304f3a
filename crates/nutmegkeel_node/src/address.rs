//! Addresses from the settings that cannot be bound.

use std::io;
use std::net::SocketAddr;

/// An address could not be bound.
#[derive(Debug, thiserror::Error)]
#[error("field `{field}`: cannot bind {address}: {error}; choose another address or port")]
pub struct Fault {
    /// The settings field.
    pub field: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// What the machine said.
    pub error: io::Error,
}

impl Fault {
    /// Makes the fault of one field from what the machine said.
    pub(crate) const fn of(
        field: &'static str,
        address: SocketAddr,
    ) -> impl FnOnce(io::Error) -> Self {
        move |error| Self { field, address, error }
    }
}
