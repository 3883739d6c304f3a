//! The other balancers: their addresses, their last reported states, and what this balancer sends
//! them.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{Action, Balancer, TICK_MS};
use crate::clock::Time;
use crate::l4::decision::Decision;
use crate::l4::fetch::Holder;
use crate::l4::message::{Gossip, Message};
use crate::l4::peer_state::VALID_MS;
use crate::l4::placement::Change;

/// Number of peers of the own failure domain that are sent a message per tick, and of all other
/// peers. Each pair of balancers costs bytes; with this limit, a balancer still receives the states
/// of its own domain within a few ticks.
pub(super) const PEERS_PER_TICK: usize = 8;

/// Minimum time for which a balancer's address is forwarded after its last message, in
/// milliseconds.
const RECENT_MS: u64 = 5_000;

impl Balancer {
    /// Sends this balancer's state to the next few of the others. A delegate sends it to its whole
    /// failure domain.
    ///
    /// Guards against a failure domain for which no balancer reads the store: with a few receivers
    /// per tick, it would take many seconds in a large domain to detect that both delegates are
    /// dead.
    pub(super) fn send_gossip(&mut self, now: Time) -> Vec<Action> {
        let (local, remote) = self.peers_by_domain(now);
        let heartbeat = self.heartbeat(now);
        let turn = self.gossip_turn;
        let few = if self.watches(now) { local.len() } else { PEERS_PER_TICK };
        let receivers = next_few(&local, turn, few).chain(next_few(&remote, turn, PEERS_PER_TICK));
        let actions = receivers.map(|peer| Action::Send(peer, heartbeat.clone())).collect();
        let ticks = local.len().max(remote.len()).div_ceil(PEERS_PER_TICK);
        self.peer_states
            .set_round(u64::try_from(ticks).unwrap_or(u64::MAX).saturating_mul(TICK_MS));
        self.gossip_turn = self.gossip_turn.wrapping_add(PEERS_PER_TICK);
        actions
    }

    /// Returns the peers of the own failure domain, and the others. Those that are about to stop are
    /// included: they still forward packets, so they need newer configurations and orders too.
    fn peers_by_domain(&self, now: Time) -> (Vec<Ipv4Addr>, Vec<Ipv4Addr>) {
        let is_local = |peer: &Ipv4Addr| {
            self.peer_states.get(*peer).is_some_and(|state| *state.domain == *self.identity.domain)
        };
        let leaving = self.peer_states.leaving(now).filter(|peer| !self.peers.contains(*peer));
        self.peers.iter().chain(leaving).partition(is_local)
    }

    /// Notifies the whole failure domain at once of a new configuration, or that the store no
    /// longer answers this balancer. Other failure domains have their own delegates.
    pub(super) fn notify_domain(&mut self, now: Time) -> Vec<Action> {
        let heartbeat = self.heartbeat(now);
        let (local, _) = self.peers_by_domain(now);
        local.into_iter().map(|peer| Action::Send(peer, heartbeat.clone())).collect()
    }

    /// Logs which balancers and agents changed since the last tick.
    pub(super) fn log_changes(&mut self) -> Vec<Action> {
        let (peers, agents) = (self.peers.len(), self.pool.len());
        let balancers = self.balancers_changed.take();
        let balancers = balancers.map(|changes| Decision::Balancers { changes, known: peers });
        let changed = self.agents_changed.take();
        let changed = changed.map(|changes| Decision::Agents { changes, known: agents });
        balancers.into_iter().chain(changed).map(Action::Log).collect()
    }

    /// Returns whether this balancer watches the store for its failure domain.
    #[must_use]
    pub fn watches(&self, now: Time) -> bool {
        self.delegate_rank(now).is_some()
    }

    /// Returns its rank among the delegates of its failure domain, if it is one.
    #[must_use]
    pub fn delegate_rank(&self, now: Time) -> Option<usize> {
        if self.leaving {
            return None;
        }
        let own = (self.identity.address, self.reaches_store);
        let delegates = self.peer_states.delegates(now, &self.identity.domain, Some(own), VALID_MS);
        delegates.iter().position(|delegate| *delegate == self.identity.address)
    }

    /// Records whether the store answered.
    pub(super) fn store_answered(&mut self, now: Time, answered: bool) -> Vec<Action> {
        if self.reaches_store == answered {
            return Vec::new();
        }
        self.reaches_store = answered;
        self.notify_domain(now)
    }

    pub(super) fn apply_gossip(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        gossip: &Gossip,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(orders) = &gossip.orders {
            actions.extend(self.apply_peer_orders(now, gossip, orders));
        }
        let holder = Holder { address: from, version: gossip.version };
        actions.extend(self.fetch_newer(now, holder));
        if gossip.leaving {
            self.peer_states.apply(now, from, gossip);
            if self.peers.contains(from) {
                self.peers.remove(from);
                self.snapshot = None;
                self.balancers_changed.record(from, Change::Closed);
            }
            return actions;
        }
        let was_unconfigured = self.peer_states.get(from).is_none_or(|state| state.version == 0);
        self.peer_states.apply(now, from, gossip);
        if was_unconfigured && gossip.version > 0 && self.table.version == 0 {
            actions.extend(self.recall(now));
        }
        // Only a balancer's own message refreshes it. Otherwise, others would keep a dead balancer
        // alive by reporting it to each other.
        let is_new = self.peers.refresh(now, from);
        if is_new {
            self.snapshot = None;
            self.balancers_changed.record(from, Change::Appeared);
        }
        let lists = self.addresses_for(now, from, gossip, is_new);
        if is_new && lists.is_empty() {
            actions.push(Action::Send(from, self.heartbeat(now)));
        }
        actions.extend(lists.into_iter().map(|part| Action::Send(from, part)));
        actions.extend(self.listed(now, &gossip.balancers));
        actions
    }

    pub(super) fn listed(&mut self, now: Time, balancers: &[Ipv4Addr]) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut unknown = Vec::new();
        for balancer in balancers {
            let is_leaving = self.peer_states.get(*balancer).is_some_and(|state| state.leaving);
            if *balancer != self.identity.address && !is_leaving && !self.peers.contains(*balancer)
            {
                self.peers.refresh(now, *balancer);
                self.balancers_changed.record(*balancer, Change::Appeared);
                unknown.push(*balancer);
            }
        }
        if unknown.is_empty() {
            return actions;
        }
        self.snapshot = None;
        let heartbeat = self.heartbeat(now);
        actions.extend(unknown.into_iter().map(|peer| Action::Send(peer, heartbeat.clone())));
        actions
    }

    pub(super) fn leave(&mut self, now: Time) -> Vec<Action> {
        self.leaving = true;
        self.snapshot = None;
        let heartbeat = self.heartbeat(now);
        self.peers.iter().map(|peer| Action::Send(peer, heartbeat.clone())).collect()
    }

    /// Returns the balancers that were seen recently, including this one.
    pub(super) fn known(&self, now: Time) -> Vec<Ipv4Addr> {
        let mut balancers = self.peers.seen_within(now, self.peer_states.valid_ms().max(RECENT_MS));
        if !self.leaving {
            balancers.push(self.identity.address);
        }
        balancers.sort_unstable();
        balancers
    }

    /// Returns this balancer's state without addresses, for receivers that probably know them.
    pub(super) fn heartbeat(&mut self, now: Time) -> Message {
        Message::Gossip(self.own_gossip(now))
    }

    pub(super) fn own_gossip(&mut self, now: Time) -> Gossip {
        let snapshot = self.snapshot(now);
        let (digest, known) = (snapshot.digest, snapshot.count());
        let agents = u32::try_from(snapshot.agents).unwrap_or(u32::MAX);
        Gossip {
            version: self.table.version,
            domain: Arc::clone(&self.identity.domain),
            digest,
            known,
            balancers: Vec::new(),
            agents,
            knows_all_agents: self.absences.are_known(),
            reaches_store: self.reaches_store,
            leaving: self.leaving,
            orders: self.latest_orders.orders().cloned(),
        }
    }
}

/// Returns the next `few` peers in turn, starting at `turn`.
pub(super) fn next_few(
    peers: &[Ipv4Addr],
    turn: usize,
    few: usize,
) -> impl Iterator<Item = Ipv4Addr> + '_ {
    let first = turn.checked_rem(peers.len()).unwrap_or(0);
    peers.iter().cycle().skip(first).take(few.min(peers.len())).copied()
}
