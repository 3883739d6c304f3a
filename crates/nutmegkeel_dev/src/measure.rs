//! Measurements: each prints a table and, last, one JSON line.

pub mod path;

use std::io;

/// What can be measured.
#[derive(Clone, Debug)]
pub enum Measurement {
    /// What the system adds to a call; so many flows.
    Path(u64),
}

/// Runs a measurement; true when its aim was met.
///
/// # Errors
/// When a process cannot be started or does not come up.
pub fn run(measurement: &Measurement) -> io::Result<bool> {
    match measurement {
        Measurement::Path(flows) => path::run(*flows),
    }
}
