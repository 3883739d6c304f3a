//! Packets that cannot be decided on yet: kept, handed to another balancer, called for again.

use std::net::Ipv4Addr;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::Head;
use crate::l4::message::Message;
use crate::l4::policy::Mechanism;
use crate::placement::mix;

/// What decides on packets that are kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct View {
    growing: bool,
    settled: bool,
}

impl Balancer {
    /// Calls for the packets that are kept once agents have stopped appearing, or all are known.
    pub(super) fn recall_if_changed(&mut self, now: Time, settled: bool) -> Vec<Action> {
        let view = View { growing: self.is_growing(now), settled };
        let changed = view != self.view;
        self.view = view;
        let changed = changed || std::mem::take(&mut self.agent_came);
        if changed { self.recall(now) } else { Vec::new() }
    }

    /// Calls for the packets that are kept, if there are any and something could be done with them.
    pub(super) fn recall(&mut self, now: Time) -> Vec<Action> {
        let has_routes = self.table.version > 0 || self.able(now).next().is_some();
        if !has_routes && !self.identity.policy.uses(Mechanism::Unrouted) {
            return Vec::new();
        }
        if std::mem::take(&mut self.keeps) { vec![Action::Recall] } else { Vec::new() }
    }

    /// Keeps the packet at hand until something changes. Only its first time is noted.
    pub(super) fn keep(&mut self, head: &Head, cause: Cause) -> Vec<Action> {
        if !self.identity.policy.uses(Mechanism::KeptPackets) {
            return Vec::new();
        }
        self.keeps = true;
        let mut actions = vec![Action::Keep(*head)];
        if !self.is_again {
            actions.push(Action::Log(Decision::Kept { flow: head.flow, cause }));
        }
        actions
    }

    /// Other balancers that have a configuration.
    fn able(&self, now: Time) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.words.fresh(now).filter(|(_, word)| word.version > 0).map(|(peer, _)| peer)
    }

    /// Hands a packet to a balancer that has a configuration, if one is known.
    ///
    /// Guards against servers that idle after a mass restart: a large configuration takes 300 ms over a
    /// link of 10 Mbit/s, and hosts with such links get most packets.
    pub(super) fn relay(&mut self, now: Time, head: &Head) -> Vec<Action> {
        let key = head.flow.key().number();
        let rank = |peer: &Ipv4Addr| mix(key ^ mix(u64::from(peer.to_bits())));
        let to = self.able(now).max_by_key(rank);
        let Some(to) = to.filter(|_| self.identity.policy.uses(Mechanism::Relay)) else {
            return self.unrouted(now, head);
        };
        let note = Decision::Relayed { flow: head.flow, to };
        vec![Action::Forward(to, Message::Relay), Action::Log(note)]
    }
}
