//! The other balancers: who they are, what they last said, and what this one tells them.

use std::net::Ipv4Addr;

use super::{Action, Balancer, Word};
use crate::clock::Time;
use crate::l4::message::{Message, Roster};
use crate::l4::note::Note;
use crate::l4::roster;

/// Peers told in one tick. With 21 balancers each hears of all within three ticks.
const PEERS_PER_TICK: usize = 8;

/// Balancers that others still speak of within this time are passed on.
const SPOKEN_OF_MS: u64 = 5_000;

impl Balancer {
    /// Tells the next few of the other balancers what this one knows.
    pub(super) fn gossip(&mut self, now: Time) -> Vec<Action> {
        let roster = self.own_roster(now);
        let peers = self.peers();
        let told = peers.iter().cycle().skip(self.turn).take(PEERS_PER_TICK.min(peers.len()));
        let actions = told.map(|peer| Action::Send(*peer, roster.clone())).collect();
        self.turn = (self.turn + PEERS_PER_TICK).checked_rem(peers.len()).unwrap_or(0);
        actions
    }

    pub(super) fn roster(&mut self, now: Time, from: Ipv4Addr, roster: &Roster) -> Vec<Action> {
        let mut actions = Vec::new();
        if roster.leaving {
            self.peers.remove(from);
            self.words.remove(&from);
            actions.push(Action::Note(Note::Balancer { balancer: from, known: false }));
            return actions;
        }
        let agents = usize::try_from(roster.agents).unwrap_or(usize::MAX);
        let news = self.words.get(&from).is_none_or(|word| word.version == 0);
        self.words.insert(from, Word { said: now, agents, version: roster.version });
        if news && roster.version > 0 && self.table.version == 0 {
            actions.extend(self.recall(now));
        }
        for balancer in roster.balancers.iter().filter(|balancer| **balancer != self.own) {
            // Only a balancer's own word keeps it: others would repeat a dead one to each other.
            let news = *balancer == from || !self.peers.knows(*balancer);
            if news && self.peers.heard(now, *balancer) {
                actions.push(Action::Note(Note::Balancer { balancer: *balancer, known: true }));
                actions.push(Action::Send(*balancer, self.own_roster(now)));
            }
        }
        if roster.version > self.table.version {
            actions.push(Action::Fetch(from));
        }
        actions
    }

    pub(super) fn listed(&mut self, now: Time, balancers: &[Ipv4Addr]) -> Vec<Action> {
        let mut actions = Vec::new();
        for balancer in balancers.iter().filter(|balancer| **balancer != self.own) {
            if !self.peers.knows(*balancer) {
                self.peers.heard(now, *balancer);
                actions.push(Action::Note(Note::Balancer { balancer: *balancer, known: true }));
                actions.push(Action::Send(*balancer, self.own_roster(now)));
            }
        }
        actions
    }

    pub(super) fn leave(&mut self, now: Time) -> Vec<Action> {
        self.leaving = true;
        let roster = self.own_roster(now);
        self.peers.iter().map(|peer| Action::Send(peer, roster.clone())).collect()
    }

    fn known(&self, now: Time) -> Vec<Ipv4Addr> {
        let mut balancers = self.peers.heard_within(now, SPOKEN_OF_MS);
        if !self.leaving {
            balancers.push(self.own);
        }
        balancers.sort_unstable();
        balancers
    }

    pub(super) fn digest(&self, now: Time) -> u64 {
        roster::digest(self.known(now).into_iter())
    }

    pub(super) fn own_roster(&self, now: Time) -> Message {
        Message::Roster(Roster {
            version: self.table.version,
            balancers: self.known(now),
            agents: u32::try_from(self.pool.heard_of(now)).unwrap_or(u32::MAX),
            leaving: self.leaving,
        })
    }
}
