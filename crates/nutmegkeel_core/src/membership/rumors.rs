//! Queue of rumors to spread, ordered by the number of times that each was sent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::member::Rumor;

#[derive(Clone, Debug)]
struct Queued {
    rumor: Rumor,
    sends: u32,
}

/// Queue with at most one rumor per process: a newer one replaces an older one.
#[derive(Clone, Debug, Default)]
pub(super) struct Rumors {
    queued: BTreeMap<SocketAddr, Queued>,
    order: BTreeSet<(u32, SocketAddr)>,
}

impl Rumors {
    /// Number of times that a rumor is sent, per binary digit of the number of processes.
    const SENDS_PER_BIT: u32 = 3;

    pub(super) fn add(&mut self, rumor: Rumor) {
        self.put(Queued { rumor, sends: 0 });
    }

    /// Returns up to `count` rumors for one message in a fleet of `known` processes.
    pub(super) fn take(&mut self, count: usize, known: usize) -> Vec<Rumor> {
        let digits = usize::BITS - known.leading_zeros();
        let max = Self::SENDS_PER_BIT * digits.max(1);
        let chosen: Vec<SocketAddr> =
            self.order.iter().take(count).map(|(_, address)| *address).collect();
        chosen.into_iter().filter_map(|address| self.send(address, max)).collect()
    }

    fn send(&mut self, address: SocketAddr, max: u32) -> Option<Rumor> {
        let mut queued = self.queued.remove(&address)?;
        self.order.remove(&(queued.sends, address));
        queued.sends += 1;
        let rumor = queued.rumor.clone();
        if queued.sends < max {
            self.put(queued);
        }
        Some(rumor)
    }

    fn put(&mut self, queued: Queued) {
        let address = queued.rumor.record.address;
        self.order.insert((queued.sends, address));
        if let Some(replaced) = self.queued.insert(address, queued) {
            let current = self.queued.get(&address).map(|queued| queued.sends);
            if current != Some(replaced.sends) {
                self.order.remove(&(replaced.sends, address));
            }
        }
    }
}
