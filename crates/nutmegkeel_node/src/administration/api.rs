//! The calls of the administration API, version 1, and what they carry.

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
    /// Agents that take new flows, as this balancer sees it.
    pub takers: usize,
}

/// Another process as the balancer sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Its address for frames.
    pub address: SocketAddr,
    /// Its run.
    pub instance: Instance,
    /// Class that it serves; none for a balancer.
    pub class: Option<class::Name>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it answers.
    pub health: Health,
    /// Stage of its life.
    pub phase: Phase,
    /// For a balancer, the configuration revision that it told last.
    pub revision: Option<Revision>,
}

/// The view of one balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The balancer's address for frames.
    pub address: SocketAddr,
    /// The configuration revision in force there.
    pub revision: Revision,
    /// How much the balancer knows of the configuration.
    pub standing: Standing,
    /// All other processes that it knows.
    pub processes: Vec<Process>,
}

/// How a command ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether it took effect: ran, not run, or may have run.
    pub verdict: Verdict,
    /// What happened, for people.
    pub message: String,
    /// The revision of the accepted change, or the one that it lost to.
    pub revision: Option<Revision>,
}
