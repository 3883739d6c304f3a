//! What the agent tells balancers of itself, and how it learns who they are.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{Action, Agent};
use crate::clock::Time;
use crate::l4::decision::Decision;
use crate::l4::message::{Announcement, Message, Roster};
use crate::l4::placement::Change;
use crate::l4::policy::Mechanism;
use crate::l4::roster::TELL_NEAR_MS;

/// A balancer of the own failure domain hears this agent if it spoke within this time, in milliseconds: one
/// of its signs may be lost.
const NEAR_MS: u64 = 2 * TELL_NEAR_MS + 500;

impl Agent {
    /// A balancer that leaves still carries packets, so it must go on hearing of this agent: it would
    /// take the agent for dead and reset its flows. It drops out when nobody speaks of it any more.
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

    /// Announces this agent to the balancers that have not spoken to it yet.
    ///
    /// Guards against backend servers that idle after a loss of power: a balancer that starts after this
    /// agent has announced itself hears of it up to four ticks later, and meanwhile all flows go to the
    /// servers that came back after it. A balancer answers a first announcement at once.
    pub(super) fn introduce(&mut self, now: Time) -> Vec<Action> {
        let known = &self.acquainted;
        let strangers: Vec<Ipv4Addr> =
            self.balancers.iter().filter(|balancer| !known.contains(balancer)).collect();
        if strangers.is_empty() { Vec::new() } else { self.announce_to(now, strangers) }
    }

    /// Notes which balancers changed since the last tick.
    pub(super) fn note_turnover(&mut self) -> Option<Action> {
        let turnover = self.balancers_changed.take()?;
        Some(Action::Log(Decision::Balancers { turnover, known: self.balancers.len() }))
    }

    /// Announces this agent to all balancers, because something changed.
    pub(super) fn announce(&mut self, now: Time) -> Vec<Action> {
        self.announced = now;
        self.announce_to(now, self.balancers.iter().collect())
    }

    /// Announces this agent as each 300 ms.
    pub(super) fn announce_again(&mut self, now: Time) -> Vec<Action> {
        self.announced = now;
        self.announce_to(now, self.audience(now))
    }

    /// The balancers that must hear of this agent from itself: those of its own failure domain, which tell
    /// the others, and those that have not spoken to it yet. All, while it hears of none of the former.
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
