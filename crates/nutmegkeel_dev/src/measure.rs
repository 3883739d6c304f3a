//! Measurements: each prints a table and, last, one JSON line.
//!
//! All but `path`, `forward` and `silence` drive the core in-process over small fakes; for a seed they print the same
//! figures on every run, but for processor times.

pub mod capacity;
pub mod configuration;
pub mod finding;
pub mod forward;
pub mod leaving;
pub mod limits;
pub mod membership;
pub mod path;
pub mod retries;
pub mod routing;
pub mod silence;

use std::io;

use serde_json::{Map, Value};

/// What can be measured.
#[derive(Clone, Debug)]
pub enum Measurement {
    /// What the system adds to a call; so many flows.
    Path(u64),
    /// What a balancer spends on a packet.
    Forward,
    /// How long callers of a killed agent hear nothing.
    Silence,
    /// Placement of new flows against baselines.
    Routing,
    /// Goodput under overload against no limit.
    Limits,
    /// Runs beyond one, and what claims cost.
    Retries,
    /// Detection of a death and control traffic.
    Membership,
    /// Time until a change is in force everywhere.
    Configuration,
    /// Last new flow at a leaving agent.
    Leaving,
    /// Time to place and to look for a flow without a routing token.
    Finding,
    /// Slopes for docs/CAPACITY.md.
    Capacity,
    /// One point of them.
    CapacityPoint(capacity::Point),
}

/// Runs a measurement; true when its aim was met.
///
/// # Errors
/// When a process cannot be started or does not come up.
pub fn run(measurement: &Measurement) -> io::Result<bool> {
    Ok(match measurement {
        Measurement::Path(flows) => path::run(*flows)?,
        Measurement::Forward => forward::run()?,
        Measurement::Silence => silence::run()?,
        Measurement::Routing => routing::run(),
        Measurement::Limits => limits::run(),
        Measurement::Retries => retries::run(),
        Measurement::Membership => membership::run(),
        Measurement::Configuration => configuration::run(),
        Measurement::Leaving => leaving::run(),
        Measurement::Finding => finding::run(),
        Measurement::Capacity => capacity::run()?,
        Measurement::CapacityPoint(point) => capacity::run_point(*point),
    })
}

/// Prints the last line of a measurement.
fn print_line(line: Map<String, Value>) {
    println!("{}", Value::Object(line));
}
