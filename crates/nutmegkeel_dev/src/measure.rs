//! Measurements: each prints a table and a final JSON line.
//!
//! All except `path`, `opening`, `forward`, `silence` and `suspension` drive the core in-process over fakes. Their
//! figures are the same on every run with the same seed, except for processor times.

pub mod capacity;
pub mod configuration;
pub mod finding;
pub mod forward;
pub mod leaving;
pub mod limits;
pub mod membership;
pub mod opening;
pub mod path;
pub mod retries;
pub mod routing;
pub mod silence;
pub mod suspension;

use std::io;

use serde_json::{Map, Value};

/// A measurement.
#[derive(Clone, Debug)]
pub enum Measurement {
    /// Latency that the system adds to a call, over this number of flows.
    Path(u64),
    /// Time to open a flow while replies to its caller are lost for this time, in milliseconds.
    Opening(u64),
    /// Processor time of a balancer per packet.
    Forward,
    /// Time until callers of a killed agent detect it.
    Silence,
    /// See [`suspension`].
    Suspension,
    /// Placement of new flows against baselines.
    Routing,
    /// Goodput under overload, with admission control and without a limit.
    Limits,
    /// Duplicate runs of keyed requests, and the cost of claims.
    Retries,
    /// Time to detect a dead process, and control traffic.
    Membership,
    /// Time until a change is in force on all balancers.
    Configuration,
    /// Time of the last new flow at a leaving agent.
    Leaving,
    /// Processor time to place a flow and to search for one without a routing token.
    Finding,
    /// Cost per member, agent and class, for docs/CAPACITY.md.
    Capacity,
    /// One data point of the capacity measurement.
    CapacityPoint(capacity::Point),
}

/// Runs a measurement; returns true when its aim was met.
///
/// # Errors
/// When a process cannot be started or does not come up.
pub fn run(measurement: &Measurement) -> io::Result<bool> {
    Ok(match measurement {
        Measurement::Path(flows) => path::run(*flows)?,
        Measurement::Opening(mute_ms) => opening::run(*mute_ms)?,
        Measurement::Forward => forward::run()?,
        Measurement::Silence => silence::run()?,
        Measurement::Suspension => suspension::run()?,
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

/// Prints the final JSON line of a measurement.
fn print_line(line: Map<String, Value>) {
    println!("{}", Value::Object(line));
}
