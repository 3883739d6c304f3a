//! The status that a balancer reports to operators.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::evacuation::Orders;
use super::placement::Slowness;

/// A balancer's view at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Address of the balancer.
    pub address: Ipv4Addr,
    /// Failure domain of the balancer.
    pub domain: Arc<str>,
    /// Whether the network fabric should send packets here.
    pub ready: bool,
    /// Version of the configuration in force; zero while there is none.
    pub version: u64,
    /// The evacuation orders in force; `None` if it has received none.
    pub orders: Option<Orders>,
    /// Whether it is the delegate that watches the store for its failure domain.
    pub delegate: bool,
    /// Whether the store answered the balancer's last call.
    pub reaches_store: bool,
    /// Number of other balancers known.
    pub balancers: usize,
    /// Number of agents in contact, by failure domain.
    pub agents: BTreeMap<Arc<str>, usize>,
    /// Room of each service in each failure domain, if openings are placed by room.
    #[serde(default)]
    pub rooms: Vec<Room>,
    /// Agents whose backend servers are far slower than their peers. A balancer of an earlier
    /// version does not report them.
    #[serde(default)]
    pub slow: BTreeMap<Ipv4Addr, Slowness>,
}

/// Remaining capacity of a service in one failure domain, as a balancer estimates it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Identity of the service.
    pub service: u64,
    /// The first route that names the service; `None` if no configuration does.
    pub route: Option<Arc<str>>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Number of backend servers that accept new flows.
    pub servers: u32,
    /// Number of those whose last report is too old to show room.
    pub doubtful: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Estimated number of free slots.
    pub free: u32,
    /// Expected time until a slot becomes free, in milliseconds.
    pub wait_ms: u64,
}
