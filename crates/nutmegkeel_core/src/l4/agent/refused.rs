//! Flows that were refused while their request waited.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::l4::flow::{Flow, Head};

/// A refused flow is remembered for so long, in milliseconds: a client that has not seen the reset sends
/// its packets again after 200, 400 and 800 ms.
const REMEMBERED_MS: u64 = 2_000;

/// Flows remembered at most: an agent refuses some hundred a second under the worst load.
const MOST: usize = 1_000;

/// When a flow was refused, and what shows that a packet belongs to it.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    at: Time,
    /// Acknowledgement number of its request. The server has sent nothing since its answer to the opening, so
    /// all packets of the flow carry this number.
    ack: u32,
}

impl Refusal {
    const fn is_recent(self, now: Time) -> bool {
        now.since(self.at) <= REMEMBERED_MS
    }
}

/// Flows refused lately.
///
/// Guards against a flood: the second packet of a request whose first was refused is on its way already.
/// A balancer that hears that nobody here holds the flow asks all other agents, with the whole packet, and
/// entry hosts with narrow links lose the packets of others.
#[derive(Debug, Default)]
pub(super) struct Refused {
    flows: BTreeMap<Flow, Refusal>,
}

impl Refused {
    /// Remembers the flow of a request; with too many known, the one refused first is forgotten.
    pub(super) fn insert(&mut self, now: Time, request: &Head) {
        if self.flows.len() >= MOST {
            let oldest = self.flows.iter().min_by_key(|(_, refusal)| refusal.at);
            let oldest = oldest.map(|(flow, _)| *flow);
            oldest.and_then(|flow| self.flows.remove(&flow));
        }
        self.flows.insert(request.flow, Refusal { at: now, ack: request.ack });
    }

    /// Whether a packet belongs to a flow that was refused lately.
    ///
    /// Guards against breaking an open flow of another server: a client that was refused may open again from the
    /// same port, and a balancer that does not know where that flow went asks here. It has another server's
    /// numbers.
    pub(super) fn contains(&self, now: Time, head: &Head) -> bool {
        let refusal = self.flows.get(&head.flow).filter(|refusal| refusal.is_recent(now));
        refusal.is_some_and(|refusal| refusal.ack == head.ack)
    }

    /// Forgets a flow that is opened again.
    pub(super) fn remove(&mut self, flow: &Flow) {
        self.flows.remove(flow);
    }

    /// Drops what was refused long ago.
    pub(super) fn expire(&mut self, now: Time) {
        self.flows.retain(|_, refusal| refusal.is_recent(now));
    }
}
