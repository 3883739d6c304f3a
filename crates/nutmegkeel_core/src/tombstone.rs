//! Instances of agents that have ended, so that their flows are reset instead of left unanswered.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::member::Instance;

/// The latest instance known to have ended at each address. All earlier ones have ended too.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    latest: BTreeMap<SocketAddr, Instance>,
}

impl Tombstones {
    /// Marks an instance as ended.
    pub fn mark_ended(&mut self, address: SocketAddr, instance: Instance) {
        let latest = self.latest.entry(address).or_insert(instance);
        *latest = instance.max(*latest);
    }

    /// Marks an instance as alive, even if it was marked as ended before.
    ///
    /// Guards against flows that are reset forever: a process that was wrongly declared dead and
    /// refuted that keeps its instance number and its flows.
    pub fn mark_alive(&mut self, address: SocketAddr, instance: Instance) {
        if self.is_ended(address, instance) {
            self.latest.insert(address, Instance::new(instance.number().saturating_sub(1)));
        }
    }

    /// Returns whether an instance is known to have ended.
    #[must_use]
    pub fn is_ended(&self, address: SocketAddr, instance: Instance) -> bool {
        self.latest.get(&address).is_some_and(|latest| instance <= *latest)
    }
}
