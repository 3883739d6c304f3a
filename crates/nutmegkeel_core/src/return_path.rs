//! The balancers through which an agent answers its callers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;

use crate::clock::Time;

/// Time without a packet from a caller after which its answers use another balancer, in
/// milliseconds.
pub const SWITCH_AFTER_MS: u64 = 300;
/// How long a path is kept after the last packet of its caller, in milliseconds.
const RETENTION_MS: u64 = 120_000;
/// Maximum number of paths. Beyond it, the path of the least recently seen caller is evicted.
const MAX_CALLERS: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Path {
    via: SocketAddr,
    last_seen: Time,
    switched_at: Time,
}

/// The return path to each caller, learned from its latest packet.
#[derive(Debug, Default)]
pub struct Paths {
    paths: BTreeMap<SocketAddr, Path>,
}

impl Paths {
    /// Records that a packet of `caller` arrived through the balancer `via`.
    pub fn record(&mut self, now: Time, caller: SocketAddr, via: SocketAddr) {
        self.paths.insert(caller, Path { via, last_seen: now, switched_at: now });
        if self.paths.len() > MAX_CALLERS {
            self.evict_oldest();
        }
    }

    /// Returns the balancer through which to answer a caller.
    ///
    /// Guards against flows on which only the agent sends data and that stall when their balancer
    /// dies: the caller acknowledges only what reaches it, so an agent that keeps answering through
    /// the dead balancer never gets a packet through another one. After [`SWITCH_AFTER_MS`] without
    /// a packet from the caller, answers use the next living balancer, and the next one after each
    /// further such interval.
    pub fn choose(
        &mut self,
        now: Time,
        caller: SocketAddr,
        living: &BTreeSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        let path = self.paths.get_mut(&caller)?;
        let stale = now.since(path.last_seen) > SWITCH_AFTER_MS
            && now.since(path.switched_at) > SWITCH_AFTER_MS;
        if stale && let Some(next) = next_after(living, path.via) {
            path.via = next;
            path.switched_at = now;
        }
        Some(path.via)
    }

    /// Removes the paths of callers that have sent no packet within the retention time.
    pub fn tick(&mut self, now: Time) {
        self.paths.retain(|_, path| now.since(path.last_seen) < RETENTION_MS);
    }

    /// Returns the number of callers with a path.
    #[must_use]
    pub fn len(&self) -> usize {
        self.paths.len()
    }

    /// Returns whether no caller has a path.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.paths.is_empty()
    }

    fn evict_oldest(&mut self) {
        let oldest =
            self.paths.iter().min_by_key(|(_, path)| path.last_seen).map(|(caller, _)| *caller);
        if let Some(caller) = oldest {
            self.paths.remove(&caller);
        }
    }
}

fn next_after(living: &BTreeSet<SocketAddr>, via: SocketAddr) -> Option<SocketAddr> {
    let later = (Bound::Excluded(via), Bound::Unbounded);
    living.range(later).next().or_else(|| living.first()).copied()
}
