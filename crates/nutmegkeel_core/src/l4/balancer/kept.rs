//! Packets that cannot be handled yet: keeps them, relays them to another balancer or recalls them.

use std::net::Ipv4Addr;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::Head;
use crate::l4::message::Message;
use crate::l4::policy::Mechanism;
use crate::placement::mix;

/// Values whose change causes kept packets to be handled again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct View {
    discovering: bool,
    complete: bool,
    behind: bool,
}

impl Balancer {
    /// Recalls the kept packets once agents have stopped appearing, all are known, or this process
    /// has caught up after a stall.
    pub(super) fn recall_if_changed(&mut self, now: Time, complete: bool) -> Vec<Action> {
        let (discovering, behind) = (self.is_discovering(now), self.is_behind(now));
        let view = View { discovering, complete, behind };
        let changed = view != self.view;
        self.view = view;
        let changed = changed || std::mem::take(&mut self.agent_appeared);
        if changed { self.recall(now) } else { Vec::new() }
    }

    /// Recalls the kept packets, if there are any and they may be handled now.
    pub(super) fn recall(&mut self, now: Time) -> Vec<Action> {
        let has_routes = self.table.version > 0 || self.configured_peers(now).next().is_some();
        let has_routes = has_routes || self.identity.policy.uses(Mechanism::Unrouted);
        if !has_routes || self.is_behind(now) {
            return Vec::new();
        }
        if std::mem::take(&mut self.has_kept) { vec![Action::Recall] } else { Vec::new() }
    }

    /// Keeps the current packet until something changes. Logged only the first time.
    pub(super) fn keep(&mut self, head: &Head, cause: Cause) -> Vec<Action> {
        if !self.identity.policy.uses(Mechanism::KeptPackets) {
            return Vec::new();
        }
        self.has_kept = true;
        let mut actions = vec![Action::Keep(*head)];
        if !self.is_recalled {
            actions.push(Action::Log(Decision::Kept { flow: head.flow, cause }));
        }
        actions
    }

    /// Returns the other balancers that have a configuration.
    fn configured_peers(&self, now: Time) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.peer_states.fresh(now).filter(|(_, state)| state.version > 0).map(|(peer, _)| peer)
    }

    /// Forwards a packet to a balancer that has a configuration, if one is known.
    ///
    /// Guards against idle servers after a mass restart: a large configuration takes 300 ms over a
    /// link of 10 Mbit/s, and hosts with such links get most packets.
    pub(super) fn relay(&mut self, now: Time, head: &Head) -> Vec<Action> {
        let key = head.flow.key().number();
        let rank = |peer: &Ipv4Addr| mix(key ^ mix(u64::from(peer.to_bits())));
        let to = self.configured_peers(now).max_by_key(rank);
        let Some(to) = to.filter(|_| self.identity.policy.uses(Mechanism::Relay)) else {
            return self.unrouted(now, head);
        };
        let decision = Decision::Relayed { flow: head.flow, to };
        vec![Action::Forward(to, Message::Relay), Action::Log(decision)]
    }
}
