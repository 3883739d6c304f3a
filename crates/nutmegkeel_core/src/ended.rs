//! Which runs of agents are over, so that their flows get a reset instead of silence.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::member::Instance;

/// The latest run known to be over at each address; all earlier ones are over too.
#[derive(Clone, Debug, Default)]
pub struct Ended {
    latest: BTreeMap<SocketAddr, Instance>,
}

impl Ended {
    /// A run is over.
    pub fn note_gone(&mut self, address: SocketAddr, instance: Instance) {
        let latest = self.latest.entry(address).or_insert(instance);
        *latest = instance.max(*latest);
    }

    /// A run lives, whatever was believed before.
    ///
    /// Guards against flows that are reset for ever: a process that was given up in error and
    /// refuted goes on under the same instance number, and its callers with it.
    pub fn note_living(&mut self, address: SocketAddr, instance: Instance) {
        if self.is_gone(address, instance) {
            self.latest.insert(address, Instance::new(instance.number().saturating_sub(1)));
        }
    }

    /// Whether this run is known to be over.
    #[must_use]
    pub fn is_gone(&self, address: SocketAddr, instance: Instance) -> bool {
        self.latest.get(&address).is_some_and(|latest| instance <= *latest)
    }
}
