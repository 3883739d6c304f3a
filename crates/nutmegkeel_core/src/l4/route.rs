//! Routes, which map the address that a client opens to a service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::flow::Flow;

/// Identity of a service across processes: a hash of its name, with a fixed length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Service(u64);

impl Service {
    /// Returns the identity of the service with this name.
    #[must_use]
    pub fn named(name: &str) -> Self {
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
        Self(u64::from_be_bytes(first))
    }

    /// Returns the identity as a number.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Urgency of the requests of a route; lower values are more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency(u8);

impl Urgency {
    /// Number of the least urgent value.
    pub const LEAST: u8 = 7;

    /// Urgency of a route that states none. It ranks behind the routes that operators usually mark
    /// as urgent.
    pub const DEFAULT: Self = Self(4);

    /// Returns the urgency with this number, zero for the most urgent; `None` if the number is
    /// greater than [`Self::LEAST`].
    #[must_use]
    pub const fn new(number: u8) -> Option<Self> {
        if number <= Self::LEAST { Some(Self(number)) } else { None }
    }

    /// Returns its number.
    #[must_use]
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Returns its number as a label for metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        const NAMES: [&str; Urgency::LEAST as usize + 1] = ["0", "1", "2", "3", "4", "5", "6", "7"];
        NAMES[self.0 as usize]
    }
}

/// Kind of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent, with a small answer.
    Idempotent,
    /// Must run at most once.
    Once,
    /// Idempotent, with a large answer.
    Download,
}

/// Share of a route's new flows that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Service,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// Route of the flows to one address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: Arc<str>,
    /// Services that take its new flows; at least one.
    pub shares: Vec<Share>,
    /// Kind of its requests.
    pub kind: Kind,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Objective for the time of an answer, in milliseconds. A later answer is worth less.
    pub objective_ms: u64,
    /// Urgency of its requests.
    pub urgency: Urgency,
    /// Regions whose backend servers may take its flows; empty if all may.
    pub regions: BTreeSet<Arc<str>>,
}

impl Route {
    /// Returns the service of a new flow. The flow's key selects among the shares, so that all
    /// copies of an opening get the same service at any balancer.
    #[must_use]
    pub fn service(&self, flow: &Flow) -> Option<Service> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = flow.key().number().checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(share.service);
            }
            point -= weight;
        }
        None
    }
}

/// All routes of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Version of the configuration; higher versions replace lower ones.
    pub version: u64,
    /// Routes by the address that clients open.
    pub routes: BTreeMap<SocketAddrV4, Route>,
    /// Maximum rate of openings that a cold backend server of a service can take, per second. A
    /// service without an entry has no limit.
    pub cold_per_s: BTreeMap<Service, u32>,
    /// Idle time after which a flow may be forgotten, in milliseconds.
    pub idle_ms: u64,
}
