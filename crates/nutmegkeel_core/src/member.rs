//! The record of a process and its health, as exchanged between peers.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::class;
use crate::lifecycle::Phase;

/// Instance number of a process at an address. A process that starts later at the same address has
/// a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instance(u32);

impl Instance {
    /// Resolution of the instance number, in milliseconds.
    pub const TICK_MS: u64 = 256;
    /// 2025-01-01T00:00:00Z in milliseconds since the Unix epoch. Numbers count ticks since then
    /// and overflow after 34 years.
    const EPOCH_MS: u64 = 1_735_689_600_000;

    /// Creates the instance with this number.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the instance number of a process that starts at `unix_ms`.
    ///
    /// A process must wait for the end of this tick before it uses the number. Otherwise a
    /// successor started within the same tick would get the same number.
    #[must_use]
    pub fn at(unix_ms: u64) -> Self {
        let ticks = unix_ms.saturating_sub(Self::EPOCH_MS) / Self::TICK_MS;
        Self(u32::try_from(ticks).unwrap_or(u32::MAX))
    }

    /// Returns the instance as a number.
    #[must_use]
    pub const fn number(self) -> u32 {
        self.0
    }
}

/// Role of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Receives packets of callers from the fabric.
    Balancer,
    /// Runs on the host of a backend server and passes requests to it.
    Agent(Capacity),
}

/// Capacity of an agent's backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Class of work that it serves.
    pub class: class::Name,
    /// Maximum number of requests in progress.
    pub slots: u32,
    /// Maximum number of open flows.
    pub connections: u32,
}

/// State of a process as published by itself. Only the process itself raises `version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Address for frames between processes.
    pub address: SocketAddr,
    /// Instance of the process.
    pub instance: Instance,
    /// Version of the record, raised with each change.
    pub version: u32,
    /// Role of the process.
    pub role: Role,
    /// Failure domain of the process.
    pub domain: Arc<str>,
    /// Phase of its life cycle.
    pub phase: Phase,
}

impl Record {
    /// Returns the capacity of its backend server if the process is an agent.
    #[must_use]
    pub const fn capacity(&self) -> Option<&Capacity> {
        match &self.role {
            Role::Agent(capacity) => Some(capacity),
            Role::Balancer => None,
        }
    }
}

/// Health of a process as seen by its peers. Within one version of a record a greater value
/// supersedes a smaller one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// The process answers probes.
    Alive,
    /// The process left a probe unanswered and may still be alive.
    Suspect,
    /// The process was declared dead.
    Dead,
}

/// A record and the health of its process, as gossiped between peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The record that the process published.
    pub record: Record,
    /// The health as seen by the sender.
    pub health: Health,
}

impl Rumor {
    /// Returns whether the process is neither declared dead nor gone.
    #[must_use]
    pub fn is_living(&self) -> bool {
        self.health != Health::Dead && self.record.phase != Phase::Gone
    }

    /// Returns whether this rumor supersedes `known`, a rumor about the same address.
    ///
    /// A later instance supersedes an earlier one, a later version of the record supersedes any
    /// health of an earlier version, and within one version the worse health supersedes the better.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        self.rank() > known.rank()
    }

    fn rank(&self) -> (Instance, u32, Health) {
        (self.record.instance, self.record.version, self.health)
    }
}
