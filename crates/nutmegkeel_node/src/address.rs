//! Errors of binding addresses from the settings.

use std::io;
use std::net::SocketAddr;

/// An address could not be bound.
#[derive(Debug, thiserror::Error)]
#[error("field `{field}`: cannot bind {address}: {error}; choose another address or port")]
pub struct Fault {
    /// Field of the settings.
    pub field: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub error: io::Error,
}

impl Fault {
    /// Returns a function that turns the operating system's error into the fault of a field.
    pub(crate) const fn of(
        field: &'static str,
        address: SocketAddr,
    ) -> impl FnOnce(io::Error) -> Self {
        move |error| Self { field, address, error }
    }
}
