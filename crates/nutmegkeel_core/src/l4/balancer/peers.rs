//! The other balancers: who they are, what they last said, and what this one tells them.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{Action, Balancer, TICK_MS};
use crate::clock::Time;
use crate::l4::fetch::Holder;
use crate::l4::message::{Message, Roster};
use crate::l4::note::Note;
use crate::l4::roster::{self, TELL_MS, Told};

/// Peers of the own failure domain told in one tick, and as many of the others: a sign costs bytes for each
/// pair, and a balancer still hears all of its own domain within a few ticks.
const PEERS_PER_TICK: usize = 8;

/// Balancers that spoke within this time at least are passed on, in milliseconds.
const SPOKEN_OF_MS: u64 = 5_000;

impl Balancer {
    /// Tells the next few of the other balancers what this one knows.
    pub(super) fn gossip(&mut self, now: Time) -> Vec<Action> {
        let (near, far) = self.peers_by_domain();
        let sign = self.sign(now);
        let turn = self.turn;
        let told = next_few(&near, turn).chain(next_few(&far, turn));
        let actions = told.map(|peer| Action::Send(peer, sign.clone())).collect();
        let ticks = near.len().max(far.len()).div_ceil(PEERS_PER_TICK);
        self.words.set_round(u64::try_from(ticks).unwrap_or(u64::MAX).saturating_mul(TICK_MS));
        self.turn = self.turn.wrapping_add(PEERS_PER_TICK);
        actions
    }

    /// The peers of the own failure domain, and the others.
    fn peers_by_domain(&self) -> (Vec<Ipv4Addr>, Vec<Ipv4Addr>) {
        let is_near = |peer: &Ipv4Addr| {
            self.words.get(*peer).is_some_and(|word| *word.domain == *self.identity.domain)
        };
        self.peers.iter().partition(is_near)
    }

    /// Tells the whole failure domain of something new at once: a configuration, or that the store answers
    /// this balancer no more. Far domains have delegates of their own.
    pub(super) fn tell_domain(&self, now: Time) -> Vec<Action> {
        let sign = self.sign(now);
        let (near, _) = self.peers_by_domain();
        near.into_iter().map(|peer| Action::Send(peer, sign.clone())).collect()
    }

    /// Whether this balancer watches the store for its failure domain.
    #[must_use]
    pub fn watches(&self, now: Time) -> bool {
        self.delegate_rank(now).is_some()
    }

    /// Its place among the delegates of its failure domain, if it is one.
    #[must_use]
    pub fn delegate_rank(&self, now: Time) -> Option<usize> {
        if self.leaving {
            return None;
        }
        let own = (self.identity.address, self.reaches_store);
        let delegates = self.words.delegates(now, &self.identity.domain, Some(own));
        delegates.iter().position(|delegate| *delegate == self.identity.address)
    }

    /// Takes in whether the store answered.
    pub(super) fn store_answered(&mut self, now: Time, answered: bool) -> Vec<Action> {
        if self.reaches_store == answered {
            return Vec::new();
        }
        self.reaches_store = answered;
        self.tell_domain(now)
    }

    pub(super) fn roster(&mut self, now: Time, from: Ipv4Addr, roster: &Roster) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(orders) = &roster.orders {
            actions.extend(self.hear_orders(now, roster, orders));
        }
        if roster.leaving {
            self.words.hear(now, from, roster);
            if self.peers.knows(from) {
                self.peers.remove(from);
                actions.push(Action::Note(Note::Balancer { balancer: from, known: false }));
            }
            return actions;
        }
        let news = self.words.get(from).is_none_or(|word| word.version == 0);
        self.words.hear(now, from, roster);
        if news && roster.version > 0 && self.table.version == 0 {
            actions.extend(self.recall(now));
        }
        // Only a balancer's own word keeps it: others would repeat a dead one to each other.
        if self.peers.heard(now, from) {
            actions.extend(self.introduce(now, from));
        } else if roster.balancers.is_empty() && roster.digest != self.digest(now) {
            actions.extend(self.tell_addresses(now, from));
        }
        actions.extend(self.listed(now, &roster.balancers));
        if roster.version > self.table.version {
            actions.push(Action::Fetch(Holder { address: from, version: roster.version }));
        }
        actions
    }

    pub(super) fn listed(&mut self, now: Time, balancers: &[Ipv4Addr]) -> Vec<Action> {
        let mut actions = Vec::new();
        for balancer in balancers {
            let is_leaving = self.words.get(*balancer).is_some_and(|word| word.leaving);
            if *balancer != self.identity.address && !is_leaving && !self.peers.knows(*balancer) {
                self.peers.heard(now, *balancer);
                actions.extend(self.introduce(now, *balancer));
            }
        }
        actions
    }

    fn introduce(&mut self, now: Time, balancer: Ipv4Addr) -> Vec<Action> {
        let note = Note::Balancer { balancer, known: true };
        let mut actions = vec![Action::Note(note)];
        actions.extend(self.tell_addresses(now, balancer));
        actions
    }

    /// Tells a balancer whose view differs which balancers this one knows, rarely for one view: where both
    /// go on to differ, because one of them has not yet dropped a balancer that died, a list with every
    /// sign would cost ten times what the signs do.
    fn tell_addresses(&mut self, now: Time, peer: Ipv4Addr) -> Option<Action> {
        let told = Told { at: now, digest: self.digest(now), orders: self.ledger.revision() };
        let before = self.told.insert(peer, told);
        if let Some(before) = before.filter(|before| before.covers(&told, TELL_MS)) {
            self.told.insert(peer, before);
            return None;
        }
        Some(Action::Send(peer, self.own_roster(now)))
    }

    pub(super) fn leave(&mut self, now: Time) -> Vec<Action> {
        self.leaving = true;
        let sign = self.sign(now);
        self.peers.iter().map(|peer| Action::Send(peer, sign.clone())).collect()
    }

    /// Balancers that this one has heard of lately, itself among them.
    fn known(&self, now: Time) -> Vec<Ipv4Addr> {
        let mut balancers = self.peers.heard_within(now, self.words.counted_ms().max(SPOKEN_OF_MS));
        if !self.leaving {
            balancers.push(self.identity.address);
        }
        balancers.sort_unstable();
        balancers
    }

    pub(super) fn digest(&self, now: Time) -> u64 {
        roster::digest(self.known(now).into_iter())
    }

    /// This balancer's word with the addresses of all that it knows.
    pub(super) fn own_roster(&self, now: Time) -> Message {
        self.word(now, true)
    }

    /// This balancer's word without addresses, for those who are likely to know them.
    pub(super) fn sign(&self, now: Time) -> Message {
        self.word(now, false)
    }

    fn word(&self, now: Time, with_addresses: bool) -> Message {
        let balancers = self.known(now);
        Message::Roster(Roster {
            version: self.table.version,
            domain: Arc::clone(&self.identity.domain),
            digest: roster::digest(balancers.iter().copied()),
            balancers: if with_addresses { balancers } else { Vec::new() },
            agents: u32::try_from(self.pool.heard_of(now)).unwrap_or(u32::MAX),
            reaches_store: self.reaches_store,
            leaving: self.leaving,
            orders: self.ledger.orders().cloned(),
        })
    }
}

/// The next few of the peers, after so many have been told.
fn next_few(peers: &[Ipv4Addr], turn: usize) -> impl Iterator<Item = Ipv4Addr> + '_ {
    let first = turn.checked_rem(peers.len()).unwrap_or(0);
    peers.iter().cycle().skip(first).take(PEERS_PER_TICK.min(peers.len())).copied()
}
