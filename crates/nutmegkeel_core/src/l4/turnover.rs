//! Which processes changed since the last log line about them.
//!
//! The load pattern: a fleet starts, and every process gets to know every other. A line for each would be as many
//! lines as there are pairs.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use super::placement::Change;

/// Processes of one role that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turnover {
    /// New ones, or new processes at known addresses.
    pub appeared: BTreeSet<Ipv4Addr>,
    /// Those that take new flows again.
    pub opened: BTreeSet<Ipv4Addr>,
    /// Those that take no new flows any more, or stop.
    pub closed: BTreeSet<Ipv4Addr>,
}

impl Turnover {
    /// Notes a change of one process.
    pub fn note(&mut self, process: Ipv4Addr, change: Change) {
        let to = match change {
            Change::None | Change::Stale => return,
            Change::Appeared => &mut self.appeared,
            Change::Opened => &mut self.opened,
            Change::Closed => &mut self.closed,
        };
        to.insert(process);
    }

    /// Takes out what changed, if anything did.
    pub fn take(&mut self) -> Option<Self> {
        let changed = std::mem::take(self);
        (changed.count() > 0).then_some(changed)
    }

    /// Number of changes.
    #[must_use]
    pub fn count(&self) -> usize {
        self.appeared.len() + self.opened.len() + self.closed.len()
    }

    /// All that changed.
    pub fn all(&self) -> impl Iterator<Item = &Ipv4Addr> {
        self.appeared.iter().chain(&self.opened).chain(&self.closed)
    }
}
