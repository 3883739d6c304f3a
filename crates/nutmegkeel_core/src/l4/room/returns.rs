//! Callers that were refused for want of room, until they come back.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use crate::clock::Time;
use crate::l4::flow::Flow;

/// Callers remembered at most, each by one route: some 200 bytes each.
pub const REMEMBERED: usize = 4_096;

/// A caller that has not come back within this has given up, in milliseconds.
pub const REMEMBERED_MS: u64 = 5_000;

/// A caller's address, and the route that it was refused at.
type Caller = (Ipv4Addr, SocketAddrV4);

/// Refusals of one caller.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    count: u16,
    last: Time,
}

/// Callers that were refused lately. Each refusal is good for one return, so that a caller with one refusal
/// does not bring all its other flows before those of others.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    callers: BTreeMap<Caller, Refusals>,
    /// The same by their last refusal, to drop the oldest.
    by_age: BTreeSet<(Time, Caller)>,
}

impl Returns {
    /// Notes that a flow was refused. In place of one caller too many the oldest is forgotten.
    pub fn refused(&mut self, now: Time, flow: &Flow) {
        let caller = caller(flow);
        let known = self.callers.get(&caller).copied();
        if let Some(known) = known {
            self.by_age.remove(&(known.last, caller));
        } else if self.callers.len() >= REMEMBERED
            && let Some((_, oldest)) = self.by_age.pop_first()
        {
            self.callers.remove(&oldest);
        }
        let count = known.map_or(0, |known| known.count).saturating_add(1);
        self.callers.insert(caller, Refusals { count, last: now });
        self.by_age.insert((now, caller));
    }

    /// Whether a new flow is the return of a refused one; that return is used up then.
    pub fn claim(&mut self, now: Time, flow: &Flow) -> bool {
        self.expire(now);
        let caller = caller(flow);
        let Some(known) = self.callers.get_mut(&caller) else {
            return false;
        };
        known.count -= 1;
        if known.count == 0 {
            let last = known.last;
            self.callers.remove(&caller);
            self.by_age.remove(&(last, caller));
        }
        true
    }

    /// Forgets callers that have not come back.
    pub fn expire(&mut self, now: Time) {
        while let Some((last, caller)) = self.by_age.first().copied()
            && now.since(last) > REMEMBERED_MS
        {
            self.by_age.pop_first();
            self.callers.remove(&caller);
        }
    }

    /// Number of callers remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Whether no caller is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }
}

const fn caller(flow: &Flow) -> Caller {
    (*flow.client.ip(), flow.service)
}
