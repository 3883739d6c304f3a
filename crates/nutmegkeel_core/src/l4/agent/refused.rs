//! Flows that were refused while their request waited.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::l4::decision::Cause;
use crate::l4::flow::{Flow, Head};

/// Time for which a refused flow is remembered, in milliseconds. A client that has not received the
/// reset retransmits after 200, 400 and 800 ms.
const REMEMBERED_MS: u64 = 2_000;

/// Maximum number of flows to remember. Even under heavy overload an agent refuses only some
/// hundred flows per second.
const MAX_FLOWS: usize = 1_000;

/// When and why a flow was refused, and what identifies its packets.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    at: Time,
    cause: Cause,
    /// Acknowledgement number of its request. The server has sent nothing since its answer to the
    /// opening, so all packets of the flow have this number.
    ack: u32,
}

impl Refusal {
    const fn is_recent(self, now: Time) -> bool {
        now.since(self.at) <= REMEMBERED_MS
    }
}

/// Recently refused flows.
///
/// Guards against searches for refused flows. When the first packet of a request is refused, the
/// second one is already on its way. If the agent answered that it does not hold the flow, the
/// balancer would ask all other agents, each time with the whole packet, and entry hosts with
/// narrow links would lose packets of other flows.
///
/// Guards also against a request that runs although its client was refused: the server repeats its
/// answer to the opening, and the client's second packet would open the flow there while the reset
/// is on its way.
#[derive(Debug, Default)]
pub(super) struct Refused {
    flows: BTreeMap<Flow, Refusal>,
}

impl Refused {
    /// Adds the flow of a request. If the limit is reached, removes the flow that was refused
    /// first.
    pub(super) fn insert(&mut self, now: Time, request: &Head, cause: Cause) {
        if self.flows.len() >= MAX_FLOWS {
            let oldest = self.flows.iter().min_by_key(|(_, refusal)| refusal.at);
            let oldest = oldest.map(|(flow, _)| *flow);
            oldest.and_then(|flow| self.flows.remove(&flow));
        }
        self.flows.insert(request.flow, Refusal { at: now, cause, ack: request.ack });
    }

    /// Returns why the flow of a packet was refused, if that was recently.
    ///
    /// The acknowledgement number must match. Guards against breaking an open flow of another
    /// server: a refused client may open a new flow from the same port, and a balancer that does
    /// not know where it went asks this agent. The packets of that flow acknowledge the other
    /// server's numbers.
    pub(super) fn cause(&self, now: Time, head: &Head) -> Option<Cause> {
        let refusal = self.flows.get(&head.flow).filter(|refusal| refusal.is_recent(now))?;
        (refusal.ack == head.ack).then_some(refusal.cause)
    }

    /// Removes a flow, because it is opened again.
    pub(super) fn remove(&mut self, flow: &Flow) {
        self.flows.remove(flow);
    }

    /// Removes flows that were refused too long ago.
    pub(super) fn expire(&mut self, now: Time) {
        self.flows.retain(|_, refusal| refusal.is_recent(now));
    }
}
