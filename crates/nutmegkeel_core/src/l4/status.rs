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
    /// Agents whose backend servers count as far slower than their peers. A balancer of an earlier version tells
    /// none.
    #[serde(default)]
    pub slow: BTreeMap<Ipv4Addr, Slowness>,
}
