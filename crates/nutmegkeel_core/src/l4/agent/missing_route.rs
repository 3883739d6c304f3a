//! Packets of open flows for which the balancer that forwarded them has no route.
//!
//! Guards against open flows that are reset because a balancer has an old configuration: it is about
//! to stop, has just started or resumed, or is cut off. To such a balancer a flow on a new route
//! looks like one whose route was dropped. Only the agent that holds the flow can distinguish them,
//! because it knows under which configuration the flow was opened.

use std::net::Ipv4Addr;

use super::{Action, Agent};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::Head;
use crate::l4::message::MissingRoute;

impl Agent {
    /// Resets the flow of a packet if its route was dropped after the flow was opened, and handles
    /// the packet like any other if not.
    pub(super) fn carry_without_route(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        head: &Head,
        missing: MissingRoute,
    ) -> Vec<Action> {
        let (flow, version) = (head.flow, missing.version);
        let held = self.table.get(&flow);
        let observed = held.map(|held| held.observed(now));
        let opened_under = held.and_then(|held| held.opened_under);
        let may_hold = match held {
            Some(held) => self.table.holds(now, head) && !held.is_over(),
            None => !self.is_certain(now, &flow) && !self.probes.denied(now, &flow),
        };
        if !may_hold || head.flags.rst {
            return self.carry(now, from, head, missing.known);
        }
        if !self.is_route_dropped(opened_under, missing) {
            let mut actions = self.carry(now, from, head, missing.known);
            let decision = Decision::RouteUnknown { flow, from, opened_under, version };
            actions.push(Action::Log(decision));
            return actions;
        }
        // The client gets a final answer, so its request must not run any more.
        self.waiting.remove(&flow);
        self.table.set_waiting(flow, false);
        let cause = Cause::NoRoute;
        let decision = Decision::Reset { flow, cause, asked: 0, version, observed };
        vec![Action::Forget(flow), Action::Reset { flow, seq: head.ack }, Action::Log(decision)]
    }

    /// Returns whether the route of a flow was dropped after the flow was opened.
    ///
    /// The configuration under which the flow was opened has its route, so any later one without the
    /// route shows that it was dropped. A balancer with an earlier one knows nothing of the flow's
    /// route. For a flow that may have been opened before this process started, the balancer must
    /// have had the route itself, and this process must have heard of no later configuration, which
    /// could have the route again.
    fn is_route_dropped(&self, opened_under: Option<u64>, missing: MissingRoute) -> bool {
        match opened_under {
            Some(opened_under) => missing.version >= opened_under,
            None => missing.was_dropped && missing.version >= self.replica.newest_version(),
        }
    }
}
