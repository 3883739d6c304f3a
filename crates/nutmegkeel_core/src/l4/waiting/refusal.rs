//! Refusal of requests as soon as it is known that they cannot be served, where callers compete for
//! room.

use super::contended::{Contended, Ranker};
use super::floor::Ahead;
use super::rank::{Capacity, Class, Rank};
use super::{Queue, Waiting};
use crate::clock::Time;
use crate::l4::flow::Flow;
use crate::l4::share::Shares;

/// Interval between two checks for unservable requests, in milliseconds. Each check sorts the whole
/// queue.
const CHECK_INTERVAL_MS: u64 = 20;

impl Queue {
    /// Removes and returns the requests that may be refused and that cannot be served.
    ///
    /// A request is unservable if its deadline would pass even if no request is added and all slots
    /// work on those before it. Guards against clients that wait for seconds without an answer.
    ///
    /// Future arrivals are not estimated. A refused client reconnects at once, counts as new, and
    /// takes a slot in which another request could have been answered in time, while the slots
    /// could still have served the waiting requests after the overload ends.
    pub fn take_unservable(
        &mut self,
        now: Time,
        capacity: &Capacity,
        shares: &Shares,
        may_refuse: impl Fn(&Flow) -> bool,
    ) -> Vec<Waiting> {
        let is_due = |contended: &Contended| now.since(contended.checked_at) >= CHECK_INTERVAL_MS;
        if !self.turns_away || !self.contended.as_ref().is_some_and(is_due) {
            return Vec::new();
        }
        let ranker = Ranker { now, capacity, shares, newest_first: None };
        let unservable = self.unservable(&ranker, may_refuse);
        if let Some(contended) = self.contended.as_mut() {
            contended.checked_at = now;
            if !unservable.is_empty() {
                contended.last_overload_at = now;
            }
        }
        unservable.iter().filter_map(|flow| self.remove_flow(flow)).collect()
    }

    fn unservable(&self, ranker: &Ranker, may_refuse: impl Fn(&Flow) -> bool) -> Vec<Flow> {
        let Some(contended) = self.contended.as_ref() else {
            return Vec::new();
        };
        let mut unservable = Vec::new();
        let mut ahead = Ahead::default();
        for (class, waiting) in self.ranked_requests(ranker) {
            let before = ahead.of(class.urgency, &contended.floor);
            if may_refuse(&waiting.flow) && !self.is_servable(ranker, waiting, before) {
                unservable.push(waiting.flow);
            } else {
                ahead.add(class.urgency);
            }
        }
        unservable
    }

    /// Returns whether a request that is not in the queue yet could be served, by the same rule. If
    /// not, its client can be refused before it has a connection to the server.
    pub fn can_serve(
        &mut self,
        now: Time,
        capacity: &Capacity,
        shares: &Shares,
        waiting: &Waiting,
    ) -> bool {
        let can_serve = self.fits(now, capacity, shares, waiting);
        if let Some(contended) = self.contended.as_mut().filter(|_| !can_serve) {
            contended.last_overload_at = now;
        }
        can_serve
    }

    fn fits(&self, now: Time, capacity: &Capacity, shares: &Shares, waiting: &Waiting) -> bool {
        let Some(contended) = self.contended.as_ref().filter(|_| self.turns_away) else {
            return true;
        };
        let ranker = Ranker { now, capacity, shares, newest_first: None };
        let rank = |waiting: &Waiting| ranker.rank(ranker.class(contended, waiting), waiting);
        let own = rank(waiting);
        let mut ahead = Ahead::default();
        let others = self.flows.iter().map(rank).filter(|other| *other <= own);
        others.for_each(|other| ahead.add(other.class.urgency));
        let ahead = ahead.of(own.class.urgency, &contended.floor);
        self.is_servable(&ranker, waiting, ahead)
    }

    fn is_servable(&self, ranker: &Ranker, waiting: &Waiting, ahead: usize) -> bool {
        let Ranker { now, capacity, .. } = *ranker;
        // Guards against refusing a client twice in a row: a client that retries is accepted as
        // long as it could be answered if it went next.
        let ahead = if waiting.is_retry { 0 } else { ahead };
        let start_ms = capacity.start_ms(ahead);
        waiting.left_ms(now) >= start_ms + capacity.answer_ms()
    }

    fn ranked_requests(&self, ranker: &Ranker) -> Vec<(Class, &Waiting)> {
        let Some(contended) = self.contended.as_ref() else {
            return Vec::new();
        };
        let rank = |waiting: &Waiting| ranker.rank(ranker.class(contended, waiting), waiting);
        let mut ranked: Vec<(Rank, &Waiting)> =
            self.requests().map(|(_, waiting)| (rank(waiting), waiting)).collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(rank, waiting)| (rank.class, waiting)).collect()
    }

    fn remove_flow(&mut self, flow: &Flow) -> Option<Waiting> {
        let index = self.flows.iter().position(|waiting| waiting.flow == *flow)?;
        self.flows.remove(index)
    }
}
