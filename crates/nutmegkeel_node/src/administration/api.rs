//! Calls of the administration API, version 1, and their parameters and results.

use std::net::SocketAddr;
use std::sync::Arc;

use nutmegkeel_core::change::Request;
use nutmegkeel_core::class::{self, Target};
use nutmegkeel_core::configuration::{Revision, Standing};
use nutmegkeel_core::lifecycle::Phase;
use nutmegkeel_core::member::{Health, Instance};
use nutmegkeel_core::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// Query: all classes in force at the balancer. No parameters, answers a list of [`Class`].
pub const CLASSES: &str = "v1_classes";
/// Query: the balancer's view. No parameters, answers [`Status`].
pub const STATUS: &str = "v1_status";
/// Command: change a class. One parameter, [`Request`], answers [`Outcome`].
pub const SET_CLASS: &str = "v1_set_class";
/// Command: ask a process to leave. One parameter, its address, answers [`Outcome`].
pub const DRAIN: &str = "v1_drain";

/// The parameter of [`SET_CLASS`].
pub type SetClass = Request;

/// A class in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: class::Name,
    /// Revision of its last change.
    pub revision: Revision,
    /// Its target; none when it was removed.
    pub target: Option<Target>,
    /// Number of agents that accept new flows, as far as this balancer knows.
    pub takers: usize,
}

/// Another process, as far as the balancer knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Its address for frames.
    pub address: SocketAddr,
    /// Its instance.
    pub instance: Instance,
    /// Class that it serves; none for a balancer.
    pub class: Option<class::Name>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its health.
    pub health: Health,
    /// Its phase in the life cycle.
    pub phase: Phase,
    /// For a balancer, the configuration revision that it last reported.
    pub revision: Option<Revision>,
}

/// The view of one balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The balancer's address for frames.
    pub address: SocketAddr,
    /// The configuration revision in force there.
    pub revision: Revision,
    /// Whether the balancer's configuration is current.
    pub standing: Standing,
    /// All other processes that it knows.
    pub processes: Vec<Process>,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether it took effect: ran, not run, or may have run.
    pub verdict: Verdict,
    /// What happened, as text for operators.
    pub message: String,
    /// The revision of the accepted change, or of the change that it conflicted with.
    pub revision: Option<Revision>,
}
