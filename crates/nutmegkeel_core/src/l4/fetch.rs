//! Decides when and from which process to fetch a newer configuration.
//!
//! Matters when a delegate notifies its whole failure domain of a new configuration and all
//! processes request it at the same time. Some connections hang, and a process that waits until its
//! call times out uses the old configuration for that long.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::clock::Time;
use crate::placement::mix;

/// Time over which the processes of a failure domain spread their requests, in milliseconds. Long
/// enough for a delegate on a slow link to answer them one by one, and short compared to the time
/// within which a change must be in force.
const SPREAD_MS: u64 = 40;

/// Time after which a call without an answer is doubted, in milliseconds. A healthy process answers
/// within a few milliseconds, even behind other requests.
const DOUBT_MS: u64 = 150;

/// Maximum number of concurrent calls. With two, a doubted call at most doubles what a slow holder
/// has to send.
const MAX_CALLS: usize = 2;

/// Maximum number of known holders.
const MAX_HOLDERS: usize = 8;

/// A process that has a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Its address.
    pub address: Ipv4Addr,
    /// Version of its configuration.
    pub version: u64,
}

/// Calls of one process for a newer configuration.
#[derive(Debug)]
pub struct Plan {
    own: Ipv4Addr,
    /// Version that this process has.
    held: u64,
    /// Version of each holder that has a newer one.
    holders: BTreeMap<Ipv4Addr, u64>,
    /// Holders whose configuration could not be read, with its version.
    unreadable: BTreeMap<Ipv4Addr, u64>,
    /// Holders that are being called.
    called: Vec<Ipv4Addr>,
    due: Option<Time>,
}

impl Plan {
    /// Creates the plan of the process at `own`, which has no configuration.
    #[must_use]
    pub const fn open(own: Ipv4Addr) -> Self {
        Self {
            own,
            held: 0,
            holders: BTreeMap::new(),
            unreadable: BTreeMap::new(),
            called: Vec::new(),
            due: None,
        }
    }

    /// Adds a process that has a configuration.
    pub fn add_holder(&mut self, now: Time, holder: Holder) {
        let has_room =
            self.holders.len() < MAX_HOLDERS || self.holders.contains_key(&holder.address);
        let is_readable =
            self.unreadable.get(&holder.address).is_none_or(|version| holder.version > *version);
        if holder.version <= self.held || !has_room || !is_readable {
            return;
        }
        self.holders.insert(holder.address, holder.version);
        if self.due.is_none() && self.called.len() < MAX_CALLS {
            self.due = Some(now.after(mix(u64::from(self.own.to_bits())) % SPREAD_MS));
        }
    }

    /// Records that a holder returned a configuration that cannot be read. It is not called again for
    /// the same version, which would return the same.
    pub fn discard_version(&mut self, holder: Ipv4Addr) {
        let Some(version) = self.holders.remove(&holder) else {
            return;
        };
        if self.unreadable.len() >= MAX_HOLDERS {
            self.unreadable.pop_first();
        }
        self.unreadable.insert(holder, version);
    }

    /// Records the version that this process has, from any source.
    pub fn set_version(&mut self, version: u64) {
        self.held = self.held.max(version);
        self.holders.retain(|_, version| *version > self.held);
        if self.holders.is_empty() {
            self.due = None;
        }
    }

    /// Returns when the next call is due, if one is.
    #[must_use]
    pub const fn due(&self) -> Option<Time> {
        self.due
    }

    /// Returns the number of calls in flight. More than one means that a holder is doubted.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.called.len()
    }

    /// Returns the holder to call now, if a call is due.
    ///
    /// Guards against a configuration that is late by a whole timeout because one call hangs. The
    /// first call continues, because a slow holder may still answer it; the first answer is used.
    pub fn next(&mut self, now: Time) -> Option<Ipv4Addr> {
        if self.due.is_none_or(|due| now < due) {
            return None;
        }
        let holder = self.best_holder();
        self.called.extend(holder);
        let goes_on = holder.is_some() && self.called.len() < MAX_CALLS;
        self.due = goes_on.then(|| now.after(DOUBT_MS));
        holder
    }

    /// Records the end of a call, with the version that it returned, if any.
    pub fn finish_call(&mut self, now: Time, holder: Ipv4Addr, returned: Option<u64>) {
        if let Some(index) = self.called.iter().position(|called| *called == holder) {
            self.called.swap_remove(index);
        }
        match returned {
            Some(version) if version > self.held => self.set_version(version),
            // A holder with a newer version reports it again. Guards against continuous calls to a
            // holder that serves an older version than it reported.
            _ => {
                self.holders.remove(&holder);
            }
        }
        let goes_on = !self.holders.is_empty() && self.called.len() < MAX_CALLS;
        self.due = goes_on.then_some(now);
    }

    /// Returns the holder to call. Prefers holders without a call in flight, then the newest
    /// configuration, then a hash that spreads the processes of a failure domain over its
    /// delegates. A holder with a call in flight may be called again, because only its connection
    /// may hang.
    fn best_holder(&self) -> Option<Ipv4Addr> {
        let rank = |address: &Ipv4Addr, version: u64| {
            let place = u64::from(self.own.to_bits()) << 32 | u64::from(address.to_bits());
            (!self.called.contains(address), version, mix(place))
        };
        let best = self.holders.iter().max_by_key(|(address, version)| rank(address, **version));
        best.map(|(address, _)| *address)
    }
}
