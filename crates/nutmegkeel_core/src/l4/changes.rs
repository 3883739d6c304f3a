//! Processes that changed since the last log line about them.
//!
//! Matters when a fleet starts and all processes discover each other: one line per change would
//! give as many lines as there are pairs.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use super::placement::Change;

/// Processes of one role that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// New processes, also at known addresses.
    pub appeared: BTreeSet<Ipv4Addr>,
    /// Processes that accept new flows again.
    pub opened: BTreeSet<Ipv4Addr>,
    /// Processes that no longer accept new flows, or stop.
    pub closed: BTreeSet<Ipv4Addr>,
}

impl Changes {
    /// Records a change of one process.
    pub fn record(&mut self, process: Ipv4Addr, change: Change) {
        let to = match change {
            Change::None | Change::Stale => return,
            Change::Appeared => &mut self.appeared,
            Change::Opened => &mut self.opened,
            Change::Closed => &mut self.closed,
        };
        to.insert(process);
    }

    /// Returns the changes and resets them; none if nothing changed.
    pub fn take(&mut self) -> Option<Self> {
        let changes = std::mem::take(self);
        (changes.count() > 0).then_some(changes)
    }

    /// Returns the number of changes.
    #[must_use]
    pub fn count(&self) -> usize {
        self.appeared.len() + self.opened.len() + self.closed.len()
    }

    /// Returns all processes that changed.
    pub fn all(&self) -> impl Iterator<Item = &Ipv4Addr> {
        self.appeared.iter().chain(&self.opened).chain(&self.closed)
    }
}
