//! The balancers that a balancer or an agent knows from its settings, the store and other
//! balancers.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::clock::Time;
use crate::revision::Revision;

/// Time after which a balancer that no message has mentioned is removed, in milliseconds. Longer
/// than the pause between two reads of the store's list, and than any usual loss of datagrams.
pub const EXPIRY_MS: u64 = 12_000;

/// Longest interval at which an agent is sent the balancers, in milliseconds: three times within
/// the time after which it removes a balancer that is not mentioned.
pub const SEND_INTERVAL_MS: u64 = EXPIRY_MS / 3;

/// The same for an agent of the same failure domain, in milliseconds. It must notice within seconds
/// that no balancer there receives its announcements, and send them to all others then.
pub const LOCAL_SEND_INTERVAL_MS: u64 = 1_000;

/// Records which balancers were sent to another process, and when.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When they were sent.
    pub at: Time,
    /// Digest of the addresses.
    pub digest: u64,
    /// Revision of the evacuation orders that were sent.
    pub orders: Revision,
}

impl Sent {
    /// Returns whether this makes sending `next` unnecessary: same contents, less than `pause_ms`
    /// ago.
    #[must_use]
    pub fn covers(&self, next: &Self, pause_ms: u64) -> bool {
        self.digest == next.digest
            && self.orders == next.orders
            && next.at.since(self.at) < pause_ms
    }
}

/// Balancers by address, with the time at which each last sent a message or was mentioned.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    balancers: BTreeMap<Ipv4Addr, Time>,
}

impl Roster {
    /// Records a message from or about a balancer. Returns true if it was unknown.
    pub fn refresh(&mut self, now: Time, balancer: Ipv4Addr) -> bool {
        self.balancers.insert(balancer, now).is_none()
    }

    /// Records a message that confirms all known balancers.
    pub fn refresh_all(&mut self, now: Time) {
        for seen_at in self.balancers.values_mut() {
            *seen_at = now;
        }
    }

    /// Removes balancers that no message has mentioned for [`EXPIRY_MS`].
    pub fn expire(&mut self, now: Time) {
        self.balancers.retain(|_, seen_at| now.since(*seen_at) < EXPIRY_MS);
    }

    /// Removes a balancer that reported that it stops.
    pub fn remove(&mut self, balancer: Ipv4Addr) {
        self.balancers.remove(&balancer);
    }

    /// Returns whether a balancer is known.
    #[must_use]
    pub fn contains(&self, balancer: Ipv4Addr) -> bool {
        self.balancers.contains_key(&balancer)
    }

    /// Returns all known balancers.
    pub fn iter(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.balancers.keys().copied()
    }

    /// Returns balancers that sent a message or were mentioned in one within the last `within_ms`.
    #[must_use]
    pub fn seen_within(&self, now: Time, within_ms: u64) -> Vec<Ipv4Addr> {
        let recent = self.balancers.iter().filter(|(_, seen_at)| now.since(**seen_at) <= within_ms);
        recent.map(|(balancer, _)| *balancer).collect()
    }

    /// Returns the number of known balancers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.balancers.len()
    }

    /// Returns whether no balancer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.balancers.is_empty()
    }

    /// Returns the digest of the known addresses.
    #[must_use]
    pub fn digest(&self) -> u64 {
        digest(self.iter())
    }
}

/// Computes a digest of addresses in ascending order.
#[must_use]
pub fn digest(addresses: impl Iterator<Item = Ipv4Addr>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for address in addresses {
        hasher.update(&address.octets());
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(first)
}
