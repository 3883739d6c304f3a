//! What a balancer tells operators of itself.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::evacuation::Orders;
use super::placement::Slowness;

/// A balancer's view at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its address.
    pub address: Ipv4Addr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Whether the fabric should send packets here.
    pub ready: bool,
    /// Version of the configuration in force; zero while there is none.
    pub version: u64,
    /// The orders of evacuation in force; none while it has heard of none.
    pub orders: Option<Orders>,
    /// Whether it watches the store for its failure domain.
    pub delegate: bool,
    /// Whether the store answered its last call.
    pub reaches_store: bool,
    /// Balancers known besides it.
    pub balancers: usize,
    /// Agents heard of now, by failure domain.
    pub agents: BTreeMap<Arc<str>, usize>,
    /// Room of each service in each failure domain, where openings go by it.
    #[serde(default)]
    pub rooms: Vec<Room>,
    /// Agents whose backend servers count as far slower than their peers. A balancer of an earlier version tells
    /// none.
    #[serde(default)]
    pub slow: BTreeMap<Ipv4Addr, Slowness>,
}

/// How much more a service can take in one failure domain, as a balancer reckons it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Identity of the service.
    pub service: u64,
    /// The first route that names it; none while no configuration does.
    pub route: Option<Arc<str>>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Backend servers that take new flows.
    pub servers: u32,
    /// Those whose last report is too old to show room.
    pub doubtful: u32,
    /// Slots of all.
    pub slots: u32,
    /// Slots believed free.
    pub free: u32,
    /// Expected time until one comes free, in milliseconds.
    pub wait_ms: u64,
}
