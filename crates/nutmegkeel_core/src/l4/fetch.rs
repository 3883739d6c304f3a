//! From whom a process fetches a configuration that others have, and when.
//!
//! The load pattern: a delegate tells its whole failure domain of a new configuration in one moment, and all
//! ask it for the text in the same one. Some connections hang, and an asker that waits until its call is given
//! up serves by the old configuration for that long.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::clock::Time;
use crate::placement::mix;

/// Askers of a failure domain spread over this, in milliseconds: long enough for a delegate on a narrow link
/// to serve one after the other, and short beside the time in which a change is to be in force.
const SPREAD_MS: u64 = 40;

/// A call that is not answered within this is doubted, in milliseconds: a process that is well answers within
/// a few, also when others ask it before.
const DOUBT_MS: u64 = 150;

/// Calls under way at most, so that doubt no more than doubles what a slow holder has to send.
const CALLS: usize = 2;

/// Holders that are kept in mind at most.
const HOLDERS: usize = 8;

/// A process that has a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Its address.
    pub address: Ipv4Addr,
    /// Version of its configuration.
    pub version: u64,
}

/// The calls of one process for a newer configuration.
#[derive(Debug)]
pub struct Plan {
    own: Ipv4Addr,
    /// Version that this process has.
    held: u64,
    /// Version of each holder that has a newer one.
    holders: BTreeMap<Ipv4Addr, u64>,
    /// Holders that are being called.
    called: Vec<Ipv4Addr>,
    due: Option<Time>,
}

impl Plan {
    /// The plan of the process at `own`, which has no configuration.
    #[must_use]
    pub const fn open(own: Ipv4Addr) -> Self {
        Self { own, held: 0, holders: BTreeMap::new(), called: Vec::new(), due: None }
    }

    /// Takes in that another process has a configuration.
    pub fn told(&mut self, now: Time, holder: Holder) {
        let has_room = self.holders.len() < HOLDERS || self.holders.contains_key(&holder.address);
        if holder.version <= self.held || !has_room {
            return;
        }
        self.holders.insert(holder.address, holder.version);
        if self.due.is_none() && self.called.len() < CALLS {
            self.due = Some(now.after(mix(u64::from(self.own.to_bits())) % SPREAD_MS));
        }
    }

    /// Takes in that this process has a configuration, from wherever it came.
    pub fn hold(&mut self, version: u64) {
        self.held = self.held.max(version);
        self.holders.retain(|_, told| *told > self.held);
        if self.holders.is_empty() {
            self.due = None;
        }
    }

    /// When the next call is due, if one is.
    #[must_use]
    pub const fn due(&self) -> Option<Time> {
        self.due
    }

    /// Number of calls that have not ended: more than one if a holder is doubted.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.called.len()
    }

    /// The holder to call now, if a call is due.
    ///
    /// Guards against a configuration that is late by a whole timeout because one call hangs. The first call
    /// goes on: a holder that is slow rather than gone still answers it, and whichever answer comes first
    /// serves.
    pub fn next(&mut self, now: Time) -> Option<Ipv4Addr> {
        if self.due.is_none_or(|due| now < due) {
            return None;
        }
        let holder = self.best();
        self.called.extend(holder);
        let goes_on = holder.is_some() && self.called.len() < CALLS;
        self.due = goes_on.then(|| now.after(DOUBT_MS));
        holder
    }

    /// Takes in that a call ended, with the version that it brought if it brought one.
    pub fn ended(&mut self, now: Time, holder: Ipv4Addr, brought: Option<u64>) {
        if let Some(index) = self.called.iter().position(|called| *called == holder) {
            self.called.swap_remove(index);
        }
        match brought {
            Some(version) if version > self.held => self.hold(version),
            // Whoever has something newer says so again. Guards against calls without a pause to a holder that
            // serves an older text than it told of.
            _ => {
                self.holders.remove(&holder);
            }
        }
        let goes_on = !self.holders.is_empty() && self.called.len() < CALLS;
        self.due = goes_on.then_some(now);
    }

    /// The holder to call: one that is not being called, of those the one with the newest configuration, of
    /// equals the one that a hash names, so that the askers of a failure domain part between its delegates.
    /// One that is being called may be called again, since it may be the connection that hangs.
    fn best(&self) -> Option<Ipv4Addr> {
        let rank = |address: &Ipv4Addr, version: u64| {
            let place = u64::from(self.own.to_bits()) << 32 | u64::from(address.to_bits());
            (!self.called.contains(address), version, mix(place))
        };
        let best = self.holders.iter().max_by_key(|(address, version)| rank(address, **version));
        best.map(|(address, _)| *address)
    }
}
