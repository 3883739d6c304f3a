//! Announcements to balancers, and what the agent learns about balancers.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{Action, Agent};
use crate::clock::Time;
use crate::l4::message::{Announcement, Message, Roster};
use crate::l4::note::Note;
use crate::l4::placement::Change;
use crate::l4::policy::Mechanism;
use crate::l4::roster::TELL_NEAR_MS;

/// Time within which a balancer of the own failure domain must have sent its state to count as
/// reached by this agent's announcements, in milliseconds. One message may be lost.
const NEAR_MS: u64 = 2 * TELL_NEAR_MS + 500;

impl Agent {
    /// Applies a balancer's state.
    ///
    /// A balancer that leaves still forwards packets, so the agent goes on sending announcements to
    /// it. Otherwise the balancer would consider the agent dead and reset its flows. It is removed
    /// once no balancer lists it any more.
    pub(super) fn roster(&mut self, now: Time, from: Ipv4Addr, roster: &Roster) -> Vec<Action> {
        self.fleet = u64::from(roster.agents);
        if roster.leaving {
            self.acquainted.remove(&from);
            self.words.remove(from);
        } else {
            self.acquainted.insert(from);
            self.words.hear(now, from, roster);
        }
        if roster.digest == self.balancers.digest() {
            self.balancers.heard_all(now);
        }
        let orders = roster.orders.as_ref();
        let mut actions = orders.map(|orders| self.ordered(now, orders)).unwrap_or_default();
        if orders.is_none() {
            actions.extend(self.teach_newest(from));
        }
        self.replica.note(from, roster.version);
        actions.extend(self.listed(now, &roster.balancers));
        actions.extend(self.listed(now, &[from]));
        actions
    }

    pub(super) fn listed(&mut self, now: Time, balancers: &[Ipv4Addr]) -> Vec<Action> {
        let mut actions = Vec::new();
        for balancer in balancers {
            if self.balancers.heard(now, *balancer) {
                self.balancers_changed.note(*balancer, Change::Appeared);
                actions.push(Action::Send(*balancer, self.announcement()));
            }
        }
        actions
    }

    /// Announces this agent to the balancers that have not contacted it yet.
    ///
    /// Guards against backend servers that idle after a power loss. A balancer that starts after
    /// the agent has announced itself would learn of it up to four ticks later, and in that time
    /// all flows would go to the servers whose agents started later. A balancer answers a first
    /// announcement at once.
    pub(super) fn introduce(&mut self, now: Time) -> Vec<Action> {
        let known = &self.acquainted;
        let strangers: Vec<Ipv4Addr> =
            self.balancers.iter().filter(|balancer| !known.contains(balancer)).collect();
        if strangers.is_empty() { Vec::new() } else { self.announce_to(now, strangers) }
    }

    /// Logs which balancers changed since the last tick.
    pub(super) fn note_turnover(&mut self) -> Option<Action> {
        let turnover = self.balancers_changed.take()?;
        Some(Action::Note(Note::Balancers { turnover, known: self.balancers.len() }))
    }

    /// Announces this agent to all balancers, because its state changed.
    pub(super) fn announce(&mut self, now: Time) -> Vec<Action> {
        self.announced = now;
        self.announce_to(now, self.balancers.iter().collect())
    }

    /// Sends the announcement that is due every 300 ms.
    pub(super) fn announce_again(&mut self, now: Time) -> Vec<Action> {
        self.announced = now;
        self.announce_to(now, self.audience(now))
    }

    /// Returns the balancers that need the announcement from the agent itself: those of its own
    /// failure domain, which pass it on to the others, and those that have not contacted it yet.
    /// Returns all while no balancer of the own failure domain is in contact.
    fn audience(&self, now: Time) -> Vec<Ipv4Addr> {
        let all = self.balancers.iter();
        if !self.uses(Mechanism::Summaries) || !self.is_near_a_balancer(now) {
            return all.collect();
        }
        let is_far = |balancer: &Ipv4Addr| {
            let domain = self.words.get(*balancer).map(|word| &word.domain);
            domain.is_some_and(|domain| *domain != self.identity.domain)
        };
        all.filter(|balancer| !is_far(balancer) || !self.acquainted.contains(balancer)).collect()
    }

    fn is_near_a_balancer(&self, now: Time) -> bool {
        let mut near = self.words.of_domain(now, &self.identity.domain);
        near.any(|(_, word)| now.since(word.said) <= NEAR_MS)
    }

    fn announce_to(&mut self, now: Time, balancers: Vec<Ipv4Addr>) -> Vec<Action> {
        self.number += 1;
        let word = self.announcement_at(now);
        balancers.into_iter().map(|balancer| Action::Send(balancer, word.clone())).collect()
    }

    fn announcement(&self) -> Message {
        self.announcement_at(self.announced)
    }

    fn announcement_at(&self, now: Time) -> Message {
        let server = self.beside.server();
        Message::Announce(Announcement {
            incarnation: self.identity.incarnation,
            number: self.number,
            domain: Arc::clone(&self.identity.domain),
            service: server.map(|server| server.service),
            slots: server.map_or(0, |server| server.slots),
            cold: self.is_cold(now),
            room: self.room(now),
            state: self.state(now),
            load: self.load(),
            balancers: self.balancers.digest(),
            replica: self.replica.version(),
        })
    }
}
