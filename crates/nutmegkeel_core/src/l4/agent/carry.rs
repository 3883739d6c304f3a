//! Packets of open flows, and the question whether the backend server holds a flow.

use std::net::Ipv4Addr;

use super::{Action, Agent, reset, reset_unknown};
use crate::clock::Time;
use crate::l4::decision::Cause;
use crate::l4::flow::{Flow, Head};
use crate::l4::message::{Message, Reason};

impl Agent {
    pub(super) fn carry(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        head: &Head,
        known: bool,
    ) -> Vec<Action> {
        let flow = head.flow;
        if let Some(cause) = self.refused.cause(now, head) {
            return reset_unknown(flow, head.ack, cause).into();
        }
        if self.table.holds(now, head) {
            if let Some(held) = self.take_ended(now, &flow) {
                return reset(now, flow, &held, Cause::ServerDead).into();
            }
            let mut actions = self.accept(now, head, from);
            if !known {
                actions.push(Action::Send(from, Message::Holds { flow, load: self.load() }));
            }
            return actions;
        }
        // If another server holds the flow and this one accepted a copy of the opening, this one
        // is never probed: if the sequence numbers of the two servers are close, it would accept
        // the packet as its own.
        if self.table.is_elsewhere(head)
            || self.is_certain(now, &flow)
            || self.probes.denied(now, &flow)
        {
            return vec![self.decline(from, Reason::NotHeld)];
        }
        vec![Action::ToServer(self.probes.insert_query(now, flow, from, head.len > 0))]
    }

    /// Reports that the agent holds the flow, that it does not, or that only a packet of the flow
    /// can show it. The last is the case if the backend server has to be probed, or if the agent
    /// has seen only an opening, which another server may have accepted too. If the agent claimed
    /// such a flow, the balancer would reset the flow when the agent dies. If it denied the flow,
    /// the balancer would not send it the packet.
    pub(super) fn locate(&self, now: Time, from: Ipv4Addr, flow: Flow) -> Vec<Action> {
        let load = self.load();
        if self.table.is_open(&flow) {
            return vec![Action::Send(from, Message::Holds { flow, load })];
        }
        let is_opening = self.table.get(&flow).is_some();
        if !is_opening && (self.is_certain(now, &flow) || self.probes.denied(now, &flow)) {
            return vec![Action::Send(from, Message::Absent { flow, load })];
        }
        vec![Action::Send(from, Message::Unsure { flow, load })]
    }
}
