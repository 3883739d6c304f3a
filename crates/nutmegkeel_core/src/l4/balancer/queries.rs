//! What a balancer tells of itself.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::Balancer;
use crate::clock::Time;
use crate::l4::evacuation::Orders;
use crate::l4::placement::Level;
use crate::l4::status::Status;

impl Balancer {
    /// Whether the fabric should send packets here.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        !self.leaving && self.table.version > 0 && !self.pool.is_cut_off(now)
    }

    /// Version of the configuration in force; zero while there is none.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.table.version
    }

    /// Balancers known besides this one.
    #[must_use]
    pub fn peers(&self) -> Vec<Ipv4Addr> {
        self.peers.iter().collect()
    }

    /// The other balancers of the own failure domain that were heard of lately and stay.
    #[must_use]
    pub fn domain_peers(&self, now: Time) -> Vec<Ipv4Addr> {
        let near = self.words.of_domain(now, &self.identity.domain);
        near.filter(|(_, word)| !word.leaving).map(|(peer, _)| peer).collect()
    }

    /// Whether other balancers speak to this one.
    #[must_use]
    pub fn hears_others(&self, now: Time) -> bool {
        self.words.recent(now).next().is_some()
    }

    /// Number of agents known.
    #[must_use]
    pub fn agents(&self) -> usize {
        self.pool.len()
    }

    /// The newest orders of evacuation; none while it has heard of none.
    #[must_use]
    pub const fn orders(&self) -> Option<&Orders> {
        self.ledger.orders()
    }

    /// Number of failure domains that are evacuated.
    #[must_use]
    pub fn evacuated(&self) -> usize {
        self.ledger.orders().map_or(0, |orders| orders.domains.len())
    }

    /// How full the failure domains are, by service; nothing if that is not reckoned.
    pub fn levels(&self) -> impl Iterator<Item = &Level> {
        self.pool.levels()
    }

    /// Openings that lately went to other failure domains, in thousandths of all.
    #[must_use]
    pub fn sent_abroad(&self) -> Option<u64> {
        self.pool.sent_remote()
    }

    /// What operators are told.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        Status {
            address: self.identity.address,
            domain: Arc::clone(&self.identity.domain),
            ready: self.is_ready(now),
            version: self.table.version,
            orders: self.ledger.orders().cloned(),
            delegate: self.watches(now),
            reaches_store: self.reaches_store,
            balancers: self.peers.len(),
            agents: self.pool.domains(now),
            rooms: self.rooms(now),
            slow: self.pool.slow(),
        }
    }

    /// Number of flows in the cache.
    #[must_use]
    pub fn cached(&self) -> usize {
        self.cache.len()
    }
}
