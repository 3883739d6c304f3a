//! The other balancers: who they are, what they last said, and what this one tells them.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::{Action, Balancer, TICK_MS};
use crate::clock::Time;
use crate::l4::decision::Decision;
use crate::l4::fetch::Holder;
use crate::l4::message::{Message, Roster};
use crate::l4::placement::Change;
use crate::l4::word::COUNTED_MS;

/// Peers of the own failure domain told in one tick, and as many of the others: a sign costs bytes for each
/// pair, and a balancer still hears all of its own domain within a few ticks.
pub(super) const PEERS_PER_TICK: usize = 8;

/// Balancers that spoke within this time at least are passed on, in milliseconds.
const SPOKEN_OF_MS: u64 = 5_000;

impl Balancer {
    /// Tells the next few of the other balancers what this one knows; a delegate tells its whole failure domain.
    ///
    /// Guards against a failure domain for which nobody reads the store: in turns of a few, a large domain would
    /// take many seconds to notice that both its delegates are dead.
    pub(super) fn gossip(&mut self, now: Time) -> Vec<Action> {
        let (near, far) = self.peers_by_domain();
        let sign = self.sign(now);
        let turn = self.turn;
        let few = if self.watches(now) { near.len() } else { PEERS_PER_TICK };
        let told = next_few(&near, turn, few).chain(next_few(&far, turn, PEERS_PER_TICK));
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
    pub(super) fn tell_domain(&mut self, now: Time) -> Vec<Action> {
        let sign = self.sign(now);
        let (near, _) = self.peers_by_domain();
        near.into_iter().map(|peer| Action::Send(peer, sign.clone())).collect()
    }

    /// Notes which balancers and agents changed since the last tick.
    pub(super) fn note_turnover(&mut self) -> Vec<Action> {
        let (peers, agents) = (self.peers.len(), self.pool.len());
        let balancers = self.balancers_changed.take();
        let balancers = balancers.map(|turnover| Decision::Balancers { turnover, known: peers });
        let changed = self.agents_changed.take();
        let changed = changed.map(|turnover| Decision::Agents { turnover, known: agents });
        balancers.into_iter().chain(changed).map(Action::Log).collect()
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
        let delegates = self.words.delegates(now, &self.identity.domain, Some(own), COUNTED_MS);
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
                self.outlook = None;
                self.balancers_changed.note(from, Change::Closed);
            }
            return actions;
        }
        let news = self.words.get(from).is_none_or(|word| word.version == 0);
        self.words.hear(now, from, roster);
        if news && roster.version > 0 && self.table.version == 0 {
            actions.extend(self.recall(now));
        }
        // Only a balancer's own word keeps it: others would repeat a dead one to each other.
        let is_new = self.peers.heard(now, from);
        if is_new {
            self.outlook = None;
            self.balancers_changed.note(from, Change::Appeared);
        }
        let list = self.list_for(now, from, roster, is_new);
        if is_new && list.is_empty() {
            actions.push(Action::Send(from, self.sign(now)));
        }
        actions.extend(list.into_iter().map(|part| Action::Send(from, part)));
        actions.extend(self.listed(now, &roster.balancers));
        if roster.version > self.table.version {
            actions.push(Action::Fetch(Holder { address: from, version: roster.version }));
        }
        actions
    }

    pub(super) fn listed(&mut self, now: Time, balancers: &[Ipv4Addr]) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut strangers = Vec::new();
        for balancer in balancers {
            let is_leaving = self.words.get(*balancer).is_some_and(|word| word.leaving);
            if *balancer != self.identity.address && !is_leaving && !self.peers.knows(*balancer) {
                self.peers.heard(now, *balancer);
                self.balancers_changed.note(*balancer, Change::Appeared);
                strangers.push(*balancer);
            }
        }
        if strangers.is_empty() {
            return actions;
        }
        self.outlook = None;
        let sign = self.sign(now);
        actions.extend(strangers.into_iter().map(|peer| Action::Send(peer, sign.clone())));
        actions
    }

    pub(super) fn leave(&mut self, now: Time) -> Vec<Action> {
        self.leaving = true;
        self.outlook = None;
        let sign = self.sign(now);
        self.peers.iter().map(|peer| Action::Send(peer, sign.clone())).collect()
    }

    /// Balancers that this one has heard of lately, itself among them.
    pub(super) fn known(&self, now: Time) -> Vec<Ipv4Addr> {
        let mut balancers = self.peers.heard_within(now, self.words.counted_ms().max(SPOKEN_OF_MS));
        if !self.leaving {
            balancers.push(self.identity.address);
        }
        balancers.sort_unstable();
        balancers
    }

    /// This balancer's word without addresses, for those who are likely to know them.
    pub(super) fn sign(&mut self, now: Time) -> Message {
        Message::Roster(self.word(now))
    }

    pub(super) fn word(&mut self, now: Time) -> Roster {
        let outlook = self.outlook(now);
        let (digest, known) = (outlook.digest, outlook.count());
        let agents = u32::try_from(outlook.agents).unwrap_or(u32::MAX);
        Roster {
            version: self.table.version,
            domain: Arc::clone(&self.identity.domain),
            digest,
            known,
            balancers: Vec::new(),
            agents,
            reaches_store: self.reaches_store,
            leaving: self.leaving,
            orders: self.ledger.orders().cloned(),
        }
    }
}

/// The next few of the peers, after so many have been told.
pub(super) fn next_few(
    peers: &[Ipv4Addr],
    turn: usize,
    few: usize,
) -> impl Iterator<Item = Ipv4Addr> + '_ {
    let first = turn.checked_rem(peers.len()).unwrap_or(0);
    peers.iter().cycle().skip(first).take(few.min(peers.len())).copied()
}
