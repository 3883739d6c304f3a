//! Who the balancers are, as balancers and agents learn it from settings, the store and each other.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::clock::Time;
use crate::revision::Revision;

/// A balancer that nobody has spoken of for so long is dropped. Longer than the pause between two
/// reads of the store's list and than any usual loss of datagrams.
pub const KEPT_MS: u64 = 12_000;

/// An agent is told who the balancers are at least so often, in milliseconds: three times within the
/// span after which it drops a balancer that nobody speaks of.
pub const TELL_MS: u64 = KEPT_MS / 3;

/// The same for an agent of the own failure domain, in milliseconds: it must notice within seconds that no
/// balancer there hears it, and speak to all others then.
pub const TELL_NEAR_MS: u64 = 1_000;

/// Which balancers another process was told of, and when.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// When it was told.
    pub at: Time,
    /// Digest of the addresses.
    pub digest: u64,
    /// Revision of the orders of evacuation that it was told of.
    pub orders: Revision,
}

impl Told {
    /// Whether this makes another telling needless: the same view, less than `pause_ms` ago.
    #[must_use]
    pub fn covers(&self, next: &Self, pause_ms: u64) -> bool {
        self.digest == next.digest
            && self.orders == next.orders
            && next.at.since(self.at) < pause_ms
    }
}

/// Balancers by address, with the time of the last word of each.
#[derive(Clone, Debug, Default)]
pub struct Book {
    balancers: BTreeMap<Ipv4Addr, Time>,
}

impl Book {
    /// Notes a word of a balancer; true if it was not known.
    pub fn heard(&mut self, now: Time, balancer: Ipv4Addr) -> bool {
        self.balancers.insert(balancer, now).is_none()
    }

    /// Notes that somebody spoke of all balancers known here.
    pub fn heard_all(&mut self, now: Time) {
        for heard in self.balancers.values_mut() {
            *heard = now;
        }
    }

    /// Drops balancers that nobody has spoken of for long.
    pub fn expire(&mut self, now: Time) {
        self.balancers.retain(|_, heard| now.since(*heard) < KEPT_MS);
    }

    /// Forgets a balancer that said it stops.
    pub fn remove(&mut self, balancer: Ipv4Addr) {
        self.balancers.remove(&balancer);
    }

    /// Whether a balancer is known.
    #[must_use]
    pub fn knows(&self, balancer: Ipv4Addr) -> bool {
        self.balancers.contains_key(&balancer)
    }

    /// All known balancers.
    pub fn iter(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.balancers.keys().copied()
    }

    /// Balancers that spoke themselves, or were spoken of, within the last `within_ms`.
    #[must_use]
    pub fn heard_within(&self, now: Time, within_ms: u64) -> Vec<Ipv4Addr> {
        let recent = self.balancers.iter().filter(|(_, heard)| now.since(**heard) <= within_ms);
        recent.map(|(balancer, _)| *balancer).collect()
    }

    /// Number of balancers known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.balancers.len()
    }

    /// Whether no balancer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.balancers.is_empty()
    }

    /// Digest of the known addresses.
    #[must_use]
    pub fn digest(&self) -> u64 {
        digest(self.iter())
    }
}

/// Digest of addresses in ascending order.
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
