//! Routes: which service the flows to an address belong to.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::flow::Flow;

/// Identity of a service between processes: a hash of its name, of one length whatever the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Service(u64);

impl Service {
    /// The identity of the service with this name.
    #[must_use]
    pub fn named(name: &str) -> Self {
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
        Self(u64::from_be_bytes(first))
    }

    /// The identity as a number.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// How urgent the requests of a route are; the most urgent compare as the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency(u8);

impl Urgency {
    /// Number of the least urgent.
    pub const LEAST: u8 = 7;

    /// For a route that states none: behind those that operators usually name urgent.
    pub const DEFAULT: Self = Self(4);

    /// The urgency with this number, zero for the most urgent; none if it is beyond [`Self::LEAST`].
    #[must_use]
    pub const fn new(number: u8) -> Option<Self> {
        if number <= Self::LEAST { Some(Self(number)) } else { None }
    }

    /// Its number.
    #[must_use]
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Its number as a word for metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        const NAMES: [&str; Urgency::LEAST as usize + 1] = ["0", "1", "2", "3", "4", "5", "6", "7"];
        NAMES[self.0 as usize]
    }
}

/// How the requests of a route may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent, small.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Idempotent, with a large answer.
    Download,
}

/// A service's share of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Service,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: Arc<str>,
    /// Services that take its new flows; one at least.
    pub shares: Vec<Share>,
    /// What its requests are.
    pub kind: Kind,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: u64,
    /// How urgent its requests are.
    pub urgency: Urgency,
    /// Regions whose backend servers may take its flows; empty where all may.
    pub regions: BTreeSet<Arc<str>>,
}

impl Route {
    /// The service of a new flow: the flow's key picks among the shares, so that the copies of an
    /// opening meet one service whichever balancer they reach.
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
    /// The version; higher ones replace lower ones.
    pub version: u64,
    /// Routes by the address that clients open.
    pub routes: BTreeMap<SocketAddrV4, Route>,
    /// Openings a second that a cold backend server of a service bears; a service without an entry has
    /// no such rate.
    pub cold_per_s: BTreeMap<Service, u32>,
    /// A flow that is idle longer may be forgotten, in milliseconds.
    pub idle_ms: u64,
}
