//! When a service is short of room for so long that openings may be refused.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use super::BELIEVED_MS;
use crate::clock::Time;
use crate::l4::route::Service;

/// A crowd that lasts no longer turns nobody away, in milliseconds: servers work off what it leaves.
pub const CROWD_MS: u64 = 2_000;

/// After this no free slot is looked for any more, in milliseconds: each report has been renewed since.
const CERTAIN_MS: u64 = BELIEVED_MS;

/// A crowd of which nothing was seen for so long is over, in milliseconds.
const OVER_MS: u64 = 1_000;

/// Why an opening is refused: no backend server can answer it in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shortage {
    /// Backend servers that might have taken it; none has a free slot.
    pub servers: usize,
    /// The soonest that one of them could answer, in milliseconds.
    pub least_ms: u64,
    /// Time that its deadline leaves, in milliseconds.
    pub left_ms: u64,
    /// How long no free slot has been known, in milliseconds.
    pub lasted_ms: u64,
}

/// What is short of room: a route's flows at one of its services.
type Place = (SocketAddrV4, Service);

/// A time in which no slot was known free.
#[derive(Clone, Copy, Debug)]
struct Crowd {
    since: Time,
    seen: Time,
}

/// Since when no slot has been known free, by route and service.
#[derive(Clone, Debug, Default)]
pub struct Crowds {
    crowds: BTreeMap<Place, Crowd>,
}

impl Crowds {
    /// Notes that no slot is known free, and returns for how long that lasts, in milliseconds.
    pub fn note_full(&mut self, now: Time, place: Place) -> u64 {
        let crowd = self.crowds.entry(place).or_insert(Crowd { since: now, seen: now });
        if now.since(crowd.seen) > OVER_MS {
            crowd.since = now;
        }
        crowd.seen = now;
        now.since(crowd.since)
    }

    /// Whether no slot has been known free for so long that asking for one is in vain.
    #[must_use]
    pub fn is_certain(&self, now: Time, place: Place) -> bool {
        let is_certain =
            |crowd: &Crowd| now.since(crowd.since) > CERTAIN_MS && now.since(crowd.seen) <= OVER_MS;
        self.crowds.get(&place).is_some_and(is_certain)
    }

    /// Notes a slot that is known to be free.
    pub fn note_free(&mut self, place: Place) {
        self.crowds.remove(&place);
    }

    /// Forgets crowds of which nothing is seen any more.
    pub fn expire(&mut self, now: Time) {
        self.crowds.retain(|_, crowd| now.since(crowd.seen) <= OVER_MS);
    }
}
