//! Which balancer an agent answers through.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;

use crate::clock::Time;

/// How long a caller may be silent before its answers try another balancer, in milliseconds.
pub const SILENT_MS: u64 = 300;
/// How long a caller is remembered after its last packet, in milliseconds.
const FORGET_MS: u64 = 120_000;
/// Callers remembered at most; the one silent for longest is forgotten first.
const MOST_CALLERS: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Way {
    via: SocketAddr,
    heard: Time,
    turned: Time,
}

/// The way back to each caller, learned from its newest packet.
#[derive(Debug, Default)]
pub struct Paths {
    ways: BTreeMap<SocketAddr, Way>,
}

impl Paths {
    /// A caller's packet came by the balancer `via`.
    pub fn heard(&mut self, now: Time, caller: SocketAddr, via: SocketAddr) {
        self.ways.insert(caller, Way { via, heard: now, turned: now });
        if self.ways.len() > MOST_CALLERS {
            self.forget_oldest();
        }
    }

    /// The balancer to answer through.
    ///
    /// Guards against a feed that falls silent when its balancer dies: the caller only
    /// acknowledges what reaches it, so an agent that keeps answering through a dead balancer
    /// never hears of another one. When the caller has been silent for [`SILENT_MS`], answers
    /// turn to the next living balancer, and again after each further such pause.
    pub fn way(
        &mut self,
        now: Time,
        caller: SocketAddr,
        living: &BTreeSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        let way = self.ways.get_mut(&caller)?;
        let stale = now.since(way.heard) > SILENT_MS && now.since(way.turned) > SILENT_MS;
        if stale && let Some(next) = after(living, way.via) {
            way.via = next;
            way.turned = now;
        }
        Some(way.via)
    }

    /// Forgets callers that have been silent for long.
    pub fn tick(&mut self, now: Time) {
        self.ways.retain(|_, way| now.since(way.heard) < FORGET_MS);
    }

    /// Number of callers remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ways.len()
    }

    /// Whether no caller is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ways.is_empty()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.ways.iter().min_by_key(|(_, way)| way.heard).map(|(caller, _)| *caller);
        if let Some(caller) = oldest {
            self.ways.remove(&caller);
        }
    }
}

fn after(living: &BTreeSet<SocketAddr>, via: SocketAddr) -> Option<SocketAddr> {
    let later = (Bound::Excluded(via), Bound::Unbounded);
    living.range(later).next().or_else(|| living.first()).copied()
}
