//! Rumors waiting to be passed on, the least often told first.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::member::Rumor;

#[derive(Clone, Debug)]
struct Told {
    rumor: Rumor,
    times: u32,
}

/// At most one rumor per process: a newer one replaces an older one.
#[derive(Clone, Debug, Default)]
pub(super) struct Rumors {
    told: BTreeMap<SocketAddr, Told>,
}

impl Rumors {
    /// A rumor is told so many times per binary digit of the number of processes.
    const TIMES_PER_DIGIT: u32 = 3;

    pub(super) fn add(&mut self, rumor: Rumor) {
        self.told.insert(rumor.record.address, Told { rumor, times: 0 });
    }

    /// Up to `count` rumors for one message, in a group of `known` processes.
    pub(super) fn take(&mut self, count: usize, known: usize) -> Vec<Rumor> {
        let digits = usize::BITS - known.leading_zeros();
        let most = Self::TIMES_PER_DIGIT * digits.max(1);
        let mut waiting: Vec<(u32, SocketAddr)> =
            self.told.iter().map(|(address, told)| (told.times, *address)).collect();
        waiting.sort_unstable();
        let chosen: Vec<SocketAddr> =
            waiting.into_iter().take(count).map(|(_, address)| address).collect();
        chosen.into_iter().filter_map(|address| self.tell(address, most)).collect()
    }

    fn tell(&mut self, address: SocketAddr, most: u32) -> Option<Rumor> {
        let told = self.told.get_mut(&address)?;
        told.times += 1;
        let rumor = told.rumor.clone();
        if told.times >= most {
            self.told.remove(&address);
        }
        Some(rumor)
    }
}
