//! Runs balancers and agents for flows without a routing token, on the users' platform.

pub mod agent;
pub mod balancer;
mod checkpoint;
mod collector;
pub mod configuration;
mod decision_log;
mod gauges;
mod kept;
mod link;
mod membership;
mod metered;
mod reachability;
mod reload;
mod requests;

use std::io;
use std::net::SocketAddrV4;

use configuration::Source;
use thiserror::Error;

use crate::metric;
use crate::web::{self, Answer, Call};

/// Why a role could not start.
#[derive(Debug, Error)]
pub enum Fault {
    /// An address could not be bound.
    #[error("cannot bind {address} for {what}: {error}")]
    Bind {
        /// Purpose of the address.
        what: &'static str,
        /// The address.
        address: SocketAddrV4,
        /// Cause.
        error: io::Error,
    },
    /// The settings lack what the role needs.
    #[error(transparent)]
    Settings(#[from] nutmegkeel_platform::settings::Fault),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}

/// Serves copies of the configuration at the port for messages.
///
/// # Errors
/// When the address cannot be bound.
fn spawn_configuration(address: SocketAddrV4, source: Source) -> Result<web::Handle, Fault> {
    serve("balancers' calls", address, move |call| match call.path.as_str() {
        configuration::PATH => source.answer(),
        _ => Answer::new(404, ""),
    })
}

/// Serves the metrics of this process.
///
/// # Errors
/// When the address cannot be bound.
fn spawn_metrics(address: SocketAddrV4, metrics: metric::Handle) -> Result<web::Handle, Fault> {
    serve("metrics", address, move |call| match call.path.as_str() {
        metric::PATH => Answer::new(200, metrics.render()),
        _ => Answer::new(404, ""),
    })
}

/// Serves calls at an address; `what` names its purpose in the fault.
///
/// # Errors
/// When the address cannot be bound.
fn serve(
    what: &'static str,
    address: SocketAddrV4,
    answer: impl Fn(&Call) -> Answer + Send + 'static,
) -> Result<web::Handle, Fault> {
    web::spawn(address.into(), Box::new(answer)).map_err(|error| Fault::Bind {
        what,
        address,
        error,
    })
}
