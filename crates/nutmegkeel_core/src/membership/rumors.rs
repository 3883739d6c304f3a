//! Queue of rumors to spread, ordered by the number of times that each was sent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::member::Rumor;

#[derive(Clone, Debug)]
struct Told {
    rumor: Rumor,
    times: u32,
}

/// Queue with at most one rumor per process: a newer one replaces an older one.
#[derive(Clone, Debug, Default)]
pub(super) struct Rumors {
    told: BTreeMap<SocketAddr, Told>,
    order: BTreeSet<(u32, SocketAddr)>,
}

impl Rumors {
    /// Number of times that a rumor is sent, per binary digit of the number of processes.
    const TIMES_PER_DIGIT: u32 = 3;

    pub(super) fn add(&mut self, rumor: Rumor) {
        self.put(Told { rumor, times: 0 });
    }

    /// Returns up to `count` rumors for one message in a fleet of `known` processes.
    pub(super) fn take(&mut self, count: usize, known: usize) -> Vec<Rumor> {
        let digits = usize::BITS - known.leading_zeros();
        let most = Self::TIMES_PER_DIGIT * digits.max(1);
        let chosen: Vec<SocketAddr> =
            self.order.iter().take(count).map(|(_, address)| *address).collect();
        chosen.into_iter().filter_map(|address| self.tell(address, most)).collect()
    }

    fn tell(&mut self, address: SocketAddr, most: u32) -> Option<Rumor> {
        let mut told = self.told.remove(&address)?;
        self.order.remove(&(told.times, address));
        told.times += 1;
        let rumor = told.rumor.clone();
        if told.times < most {
            self.put(told);
        }
        Some(rumor)
    }

    fn put(&mut self, told: Told) {
        let address = told.rumor.record.address;
        self.order.insert((told.times, address));
        if let Some(replaced) = self.told.insert(address, told) {
            let kept = self.told.get(&address).map(|told| told.times);
            if kept != Some(replaced.times) {
                self.order.remove(&(replaced.times, address));
            }
        }
    }
}
