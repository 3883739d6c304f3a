//! Remembers callers whose openings were refused for lack of room, to recognize their retries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use crate::clock::Time;
use crate::l4::flow::Flow;

/// Maximum number of callers remembered, counted once per route. Each takes about 200 bytes.
pub const MAX_CALLERS: usize = 4_096;

/// Time after which a caller that has not retried has given up, in milliseconds.
pub const RETENTION_MS: u64 = 5_000;

/// Address of a caller and the route that refused it.
type Caller = (Ipv4Addr, SocketAddrV4);

/// Refusals of one caller at one route.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    count: u16,
    last_at: Time,
}

/// Callers that were refused recently. Each refusal counts for one retry only, so that a caller
/// with one refusal does not get precedence for all its other flows.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    callers: BTreeMap<Caller, Refusals>,
    /// The same callers by their last refusal, to drop the oldest first.
    by_age: BTreeSet<(Time, Caller)>,
}

impl Retries {
    /// Records that a flow was refused. If there are too many callers, the one with the oldest
    /// refusal is forgotten.
    pub fn refused(&mut self, now: Time, flow: &Flow) {
        let caller = caller(flow);
        let known = self.callers.get(&caller).copied();
        if let Some(known) = known {
            self.by_age.remove(&(known.last_at, caller));
        } else if self.callers.len() >= MAX_CALLERS
            && let Some((_, oldest)) = self.by_age.pop_first()
        {
            self.callers.remove(&oldest);
        }
        let count = known.map_or(0, |known| known.count).saturating_add(1);
        self.callers.insert(caller, Refusals { count, last_at: now });
        self.by_age.insert((now, caller));
    }

    /// Returns whether a new flow is the retry of a refused one, and uses up that refusal.
    pub fn claim(&mut self, now: Time, flow: &Flow) -> bool {
        self.expire(now);
        let caller = caller(flow);
        let Some(known) = self.callers.get_mut(&caller) else {
            return false;
        };
        known.count -= 1;
        if known.count == 0 {
            let last_at = known.last_at;
            self.callers.remove(&caller);
            self.by_age.remove(&(last_at, caller));
        }
        true
    }

    /// Forgets callers that have not retried in time.
    pub fn expire(&mut self, now: Time) {
        while let Some((last_at, caller)) = self.by_age.first().copied()
            && now.since(last_at) > RETENTION_MS
        {
            self.by_age.pop_first();
            self.callers.remove(&caller);
        }
    }

    /// Returns the number of callers remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Returns whether no caller is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }
}

const fn caller(flow: &Flow) -> Caller {
    (*flow.client.ip(), flow.service)
}
