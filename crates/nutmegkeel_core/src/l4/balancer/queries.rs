//! Read access to a balancer's state.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::Balancer;
use crate::clock::Time;
use crate::l4::evacuation::Orders;
use crate::l4::placement::Level;
use crate::l4::status::Status;

impl Balancer {
    /// Returns whether the fabric should send packets here.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        !self.leaving && self.table.version > 0 && !self.pool.is_cut_off(now)
    }

    /// Returns the version of the configuration in force; zero while there is none.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.table.version
    }

    /// Returns the known balancers except this one.
    #[must_use]
    pub fn peers(&self) -> Vec<Ipv4Addr> {
        self.peers.iter().collect()
    }

    /// Returns the other balancers of the own failure domain that have a valid state and are not
    /// about to stop.
    #[must_use]
    pub fn domain_peers(&self, now: Time) -> Vec<Ipv4Addr> {
        let local = self.peer_states.of_domain(now, &self.identity.domain);
        local.filter(|(_, state)| !state.leaving).map(|(peer, _)| peer).collect()
    }

    /// Returns whether messages of other balancers arrive here.
    #[must_use]
    pub fn receives_gossip(&self, now: Time) -> bool {
        self.peer_states.current(now).next().is_some()
    }

    /// Returns the number of known agents.
    #[must_use]
    pub fn agents(&self) -> usize {
        self.pool.len()
    }

    /// Returns the newest evacuation orders; none while none were received.
    #[must_use]
    pub const fn orders(&self) -> Option<&Orders> {
        self.latest_orders.orders()
    }

    /// Returns the number of evacuated failure domains.
    #[must_use]
    pub fn evacuated(&self) -> usize {
        self.latest_orders.orders().map_or(0, |orders| orders.domains.len())
    }

    /// Returns the utilization of the failure domains by service; nothing if it is not computed.
    pub fn levels(&self) -> impl Iterator<Item = &Level> {
        self.pool.levels()
    }

    /// Returns the part of recent openings that were placed in other failure domains, in
    /// thousandths.
    #[must_use]
    pub fn sent_remote(&self) -> Option<u64> {
        self.pool.sent_remote()
    }

    /// Returns the status for operators.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        Status {
            address: self.identity.address,
            domain: Arc::clone(&self.identity.domain),
            ready: self.is_ready(now),
            version: self.table.version,
            orders: self.latest_orders.orders().cloned(),
            delegate: self.watches(now),
            reaches_store: self.reaches_store,
            balancers: self.peers.len(),
            agents: self.pool.domains(now),
            rooms: self.rooms(now),
            slow: self.pool.slow(),
        }
    }

    /// Returns the number of flows in the cache.
    #[must_use]
    pub fn cached(&self) -> usize {
        self.cache.len()
    }
}
