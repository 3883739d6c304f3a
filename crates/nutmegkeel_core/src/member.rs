//! What a process says of itself to its peers.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::class;
use crate::life::Phase;

/// Number of one run of a process at an address; a later run has a greater one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instance(u32);

impl Instance {
    /// Length of one tick of the instance number, in milliseconds.
    pub const TICK_MS: u64 = 256;
    /// 2025-01-01T00:00:00Z in milliseconds; numbers count ticks since then and last 34 years.
    const EPOCH_MS: u64 = 1_735_689_600_000;

    /// The instance with this number.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// The instance number of a process that begins at `unix_ms`.
    ///
    /// A process must wait for its tick to end before it uses the number, or a successor started
    /// within the same tick would share it.
    #[must_use]
    pub fn at(unix_ms: u64) -> Self {
        let ticks = unix_ms.saturating_sub(Self::EPOCH_MS) / Self::TICK_MS;
        Self(u32::try_from(ticks).unwrap_or(u32::MAX))
    }

    /// The plain number.
    #[must_use]
    pub const fn number(self) -> u32 {
        self.0
    }
}

/// What a process is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Takes packets from the fabric.
    Balancer,
    /// Stands beside a backend server.
    Agent(Capacity),
}

/// What an agent's backend server can take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Class of work it serves.
    pub class: class::Name,
    /// Requests in progress at most.
    pub slots: u32,
    /// Open flows at most.
    pub connections: u32,
}

/// A process's word about itself. Only its owner raises `version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Address for frames between processes.
    pub address: SocketAddr,
    /// Run of the process.
    pub instance: Instance,
    /// Raised with each change of the record.
    pub version: u32,
    /// What the process is for.
    pub role: Role,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Stage of its life.
    pub phase: Phase,
}

impl Record {
    /// What its backend server can take, if the process is an agent.
    #[must_use]
    pub const fn capacity(&self) -> Option<&Capacity> {
        match &self.role {
            Role::Agent(capacity) => Some(capacity),
            Role::Balancer => None,
        }
    }
}

/// What peers believe of a process. The order is that of strength within one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// Answers.
    Alive,
    /// Did not answer; may still.
    Suspect,
    /// Given up.
    Dead,
}

/// A record with the health that peers give it, as it travels between them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The owner's word.
    pub record: Record,
    /// The peers' belief.
    pub health: Health,
}

impl Rumor {
    /// Whether the process is neither given up nor at its end.
    #[must_use]
    pub fn is_living(&self) -> bool {
        self.health != Health::Dead && self.record.phase != Phase::Gone
    }

    /// Whether this rumor tells more than `known` of the same address.
    ///
    /// A later run beats an earlier one, a later version of the owner's word beats any belief
    /// about an earlier version, and within one version the graver belief wins.
    #[must_use]
    pub fn beats(&self, known: &Self) -> bool {
        self.rank() > known.rank()
    }

    fn rank(&self) -> (Instance, u32, Health) {
        (self.record.instance, self.record.version, self.health)
    }
}
