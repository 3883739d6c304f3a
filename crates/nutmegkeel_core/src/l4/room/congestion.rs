//! Tracks how long a service has had no free slot, to decide when openings may be refused.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use super::MAX_REPORT_AGE_MS;
use crate::clock::Time;
use crate::l4::route::Service;

/// Duration up to which congestion causes no refusals, in milliseconds. Servers work off the
/// requests of a shorter one.
pub const CONGESTION_TOLERANCE_MS: u64 = 2_000;

/// Duration after which balancers no longer ask for free slots, in milliseconds. Each report has
/// been renewed by then.
const CONFIRMED_MS: u64 = MAX_REPORT_AGE_MS;

/// Time without a further observation after which congestion is over, in milliseconds.
const EPISODE_GAP_MS: u64 = 1_000;

/// Reason to refuse an opening: no backend server can answer it in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shortage {
    /// Number of backend servers that could have accepted it; none has a free slot.
    pub servers: usize,
    /// Minimum time until one of them could answer, in milliseconds.
    pub least_ms: u64,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Time for which no free slot has been known, in milliseconds.
    pub lasted_ms: u64,
}

/// Flows of a route at one of its services.
type Scope = (SocketAddrV4, Service);

/// Period of congestion of one route and service, in which no free slot was known.
#[derive(Clone, Copy, Debug)]
struct Episode {
    since: Time,
    last_full: Time,
}

/// Periods of congestion, by route and service.
#[derive(Clone, Debug, Default)]
pub struct Congestion {
    episodes: BTreeMap<Scope, Episode>,
}

impl Congestion {
    /// Records that no free slot is known. Returns how long this has lasted, in milliseconds.
    pub fn record_full(&mut self, now: Time, scope: Scope) -> u64 {
        let episode = self.episodes.entry(scope).or_insert(Episode { since: now, last_full: now });
        if now.since(episode.last_full) > EPISODE_GAP_MS {
            episode.since = now;
        }
        episode.last_full = now;
        now.since(episode.since)
    }

    /// Returns whether congestion has lasted so long that there is no point in asking for a free
    /// slot.
    #[must_use]
    pub fn is_confirmed(&self, now: Time, scope: Scope) -> bool {
        let is_confirmed = |episode: &Episode| {
            now.since(episode.since) > CONFIRMED_MS
                && now.since(episode.last_full) <= EPISODE_GAP_MS
        };
        self.episodes.get(&scope).is_some_and(is_confirmed)
    }

    /// Records that a free slot is known.
    pub fn record_free(&mut self, scope: Scope) {
        self.episodes.remove(&scope);
    }

    /// Forgets periods that are over.
    pub fn expire(&mut self, now: Time) {
        self.episodes.retain(|_, episode| now.since(episode.last_full) <= EPISODE_GAP_MS);
    }
}
