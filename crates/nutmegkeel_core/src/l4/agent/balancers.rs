//! Announcements to balancers, and what the agent learns about balancers.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{Action, Agent};
use crate::clock::Time;
use crate::l4::decision::Decision;
use crate::l4::health::ANNOUNCE_MS;
use crate::l4::message::{Announcement, Gossip, Message};
use crate::l4::placement::Change;
use crate::l4::policy::Mechanism;
use crate::l4::roster::LOCAL_SEND_INTERVAL_MS;

/// Time within which a balancer of the own failure domain must have sent its state to count as
/// reached by this agent's announcements, in milliseconds. One message may be lost.
const LOCAL_CONTACT_MS: u64 = 2 * LOCAL_SEND_INTERVAL_MS + 500;

/// Longest usual gap between two announcements, in milliseconds. A longer one means that this
/// process was stalled.
const STALL_MS: u64 = 2 * ANNOUNCE_MS;

impl Agent {
    /// Applies a balancer's state.
    ///
    /// A balancer that leaves still forwards packets, so it keeps getting announcements. Without
    /// them it would consider the agent dead and reset its flows. It is removed once no balancer
    /// lists it any more.
    pub(super) fn apply_gossip(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        gossip: &Gossip,
    ) -> Vec<Action> {
        self.agent_count = u64::from(gossip.agents);
        if gossip.leaving {
            self.introduced.remove(&from);
            self.balancer_states.remove(from);
        } else {
            self.introduced.insert(from, now);
            self.balancer_states.apply(now, from, gossip);
        }
        if gossip.digest == self.balancers.digest() {
            self.balancers.refresh_all(now);
        }
        let orders = gossip.orders.as_ref();
        let mut actions = orders.map(|orders| self.apply_orders(now, orders)).unwrap_or_default();
        if orders.is_none() {
            actions.extend(self.send_newest_orders(from));
        }
        self.replica.record_version(from, gossip.version);
        actions.extend(self.add_balancers(now, &gossip.balancers));
        actions.extend(self.add_balancers(now, &[from]));
        actions
    }

    pub(super) fn add_balancers(&mut self, now: Time, balancers: &[Ipv4Addr]) -> Vec<Action> {
        let mut actions = Vec::new();
        for balancer in balancers {
            if self.balancers.refresh(now, *balancer) {
                self.balancers_changed.record(*balancer, Change::Appeared);
                actions.push(Action::Send(*balancer, self.announcement()));
            }
        }
        actions
    }

    /// Announces this agent to the balancers that have not contacted it yet.
    ///
    /// Guards against backend servers that idle after a power loss. A balancer that starts after
    /// the agent has announced itself would learn of it up to four ticks later, and until then all
    /// flows would go to servers whose agents started after the balancer. A balancer answers a
    /// first announcement at once.
    pub(super) fn introduce(&mut self, now: Time) -> Vec<Action> {
        let known = &self.introduced;
        let not_introduced: Vec<Ipv4Addr> =
            self.balancers.iter().filter(|balancer| !known.contains_key(balancer)).collect();
        if not_introduced.is_empty() { Vec::new() } else { self.announce_to(now, not_introduced) }
    }

    /// Logs which balancers changed since the last tick.
    pub(super) fn log_balancer_changes(&mut self) -> Option<Action> {
        let changes = self.balancers_changed.take()?;
        Some(Action::Log(Decision::Balancers { changes, known: self.balancers.len() }))
    }

    /// Announces this agent to all balancers, because its state changed.
    pub(super) fn announce(&mut self, now: Time) -> Vec<Action> {
        self.announced_at = now;
        self.announce_to(now, self.balancers.iter().collect())
    }

    /// Sends the announcement that is due every 300 ms.
    pub(super) fn announce_periodically(&mut self, now: Time) -> Vec<Action> {
        // After a stall, messages that have arrived meanwhile are not read yet.
        let has_stalled = now.since(self.announced_at) > STALL_MS;
        self.announced_at = now;
        let targets = self.announcement_targets(now);
        let unheard = if has_stalled { Vec::new() } else { self.report_unheard(now, &targets) };
        let mut actions = self.announce_to(now, targets);
        actions.extend(unheard);
        actions
    }

    /// Reports to those of these balancers that have become silent that nothing arrives from them.
    ///
    /// Guards against packets that are lost in a network that is cut in one direction: the balancer
    /// receives the announcements and keeps sending packets.
    fn report_unheard(&self, now: Time, targets: &[Ipv4Addr]) -> Vec<Action> {
        let report = |balancer: &Ipv4Addr| {
            let silent_ms = now.since(*self.introduced.get(balancer)?);
            let silent_ms = u32::try_from(silent_ms).unwrap_or(u32::MAX);
            let is_silent = u64::from(silent_ms) > LOCAL_CONTACT_MS;
            is_silent.then_some(Action::Send(*balancer, Message::Unheard { silent_ms }))
        };
        targets.iter().filter_map(report).collect()
    }

    /// Returns the balancers that need the announcement from the agent itself: those of its own
    /// failure domain, which pass it on to the others, and those that have not contacted it yet.
    /// Returns all while no balancer of the own failure domain is in contact.
    fn announcement_targets(&self, now: Time) -> Vec<Ipv4Addr> {
        let all = self.balancers.iter();
        if !self.uses(Mechanism::Summaries) || !self.has_local_balancer(now) {
            return all.collect();
        }
        let is_remote = |balancer: &Ipv4Addr| {
            let domain = self.balancer_states.get(*balancer).map(|state| &state.domain);
            domain.is_some_and(|domain| *domain != self.identity.domain)
        };
        all.filter(|balancer| !is_remote(balancer) || !self.introduced.contains_key(balancer))
            .collect()
    }

    fn has_local_balancer(&self, now: Time) -> bool {
        let mut local = self.balancer_states.of_domain(now, &self.identity.domain);
        local.any(|(_, state)| now.since(state.received_at) <= LOCAL_CONTACT_MS)
    }

    fn announce_to(&mut self, now: Time, balancers: Vec<Ipv4Addr>) -> Vec<Action> {
        self.announcement_number += 1;
        let announcement = self.announcement_at(now);
        balancers.into_iter().map(|balancer| Action::Send(balancer, announcement.clone())).collect()
    }

    fn announcement(&self) -> Message {
        self.announcement_at(self.announced_at)
    }

    fn announcement_at(&self, now: Time) -> Message {
        let server = self.history.server();
        Message::Announce(Announcement {
            incarnation: self.identity.incarnation,
            number: self.announcement_number,
            domain: Arc::clone(&self.identity.domain),
            service: server.map(|server| server.service),
            slots: server.map_or(0, |server| server.slots),
            cold: self.is_cold(now),
            room: self.room(now),
            state: self.state(now),
            sees_all_flows: self.sees_all_flows(now),
            load: self.load(),
            balancers: self.balancers.digest(),
            replica: self.replica.version(),
        })
    }
}
