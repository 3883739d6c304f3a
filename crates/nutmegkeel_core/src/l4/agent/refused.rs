//! Flows that were refused while their request waited.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::l4::flow::Flow;

/// A refused flow is remembered for so long, in milliseconds: a client that has not seen the reset sends
/// its packets again after 200, 400 and 800 ms.
const REMEMBERED_MS: u64 = 2_000;

/// Flows remembered at most: an agent refuses some hundred a second under the worst load.
const MOST: usize = 1_000;

/// Flows refused lately.
///
/// Guards against a flood: the second packet of a request whose first was refused is on its way already.
/// A balancer that hears that nobody here holds the flow asks all other agents, with the whole packet, and
/// entry hosts with narrow links lose the packets of others.
#[derive(Debug, Default)]
pub(super) struct Refused {
    flows: BTreeMap<Flow, Time>,
}

impl Refused {
    /// Remembers a flow; with too many known, the one refused first is forgotten.
    pub(super) fn insert(&mut self, now: Time, flow: Flow) {
        if self.flows.len() >= MOST {
            let oldest = self.flows.iter().min_by_key(|(_, at)| **at).map(|(flow, _)| *flow);
            oldest.and_then(|flow| self.flows.remove(&flow));
        }
        self.flows.insert(flow, now);
    }

    /// Whether a flow was refused lately.
    pub(super) fn contains(&self, now: Time, flow: &Flow) -> bool {
        self.flows.get(flow).is_some_and(|at| now.since(*at) <= REMEMBERED_MS)
    }

    /// Forgets a flow that is opened again.
    pub(super) fn remove(&mut self, flow: &Flow) {
        self.flows.remove(flow);
    }

    /// Drops what was refused long ago.
    pub(super) fn expire(&mut self, now: Time) {
        self.flows.retain(|_, at| now.since(*at) <= REMEMBERED_MS);
    }
}
