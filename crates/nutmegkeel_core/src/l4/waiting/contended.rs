//! Order of the queue by urgency and by callers' shares, where callers compete for room.

use std::collections::BTreeSet;

use super::floor::Floor;
use super::rank::{Capacity, Class, Rank, Timeliness};
use super::{Queue, Waiting};
use crate::clock::Time;
use crate::l4::flow::Head;
use crate::l4::policy::{Mechanism, Policy};
use crate::l4::route::Urgency;
use crate::l4::share::{Shares, Standing};

/// State from which the order and the refusals are computed.
#[derive(Debug, Default)]
pub(super) struct Contended {
    /// Whether requests are ordered by urgency; otherwise all are equally urgent.
    by_urgency: bool,
    pub(super) floor: Floor,
    /// When the queue was last checked for unservable requests.
    pub(super) checked_at: Time,
    /// When a request was last late or refused.
    pub(super) last_overload_at: Time,
}

impl Contended {
    /// Creates the state, or returns `None` if the policy uses neither urgency nor shares.
    pub(super) fn open(policy: &Policy) -> Option<Self> {
        let by_urgency = policy.uses(Mechanism::Urgency);
        let is_used = by_urgency || policy.uses(Mechanism::FairShares);
        is_used.then(|| Self { by_urgency, ..Self::default() })
    }

    fn urgency(&self, waiting: &Waiting) -> Urgency {
        if self.by_urgency { waiting.demand.urgency } else { Urgency::DEFAULT }
    }
}

/// Ranks requests at one point in time.
#[derive(Clone, Copy)]
pub(super) struct Ranker<'a> {
    pub(super) now: Time,
    pub(super) capacity: &'a Capacity,
    pub(super) shares: &'a Shares,
    /// Requests of this urgency and of less urgent ones go newest first.
    pub(super) newest_first: Option<Urgency>,
}

impl Ranker<'_> {
    pub(super) fn class(&self, contended: &Contended, waiting: &Waiting) -> Class {
        let timeliness = Timeliness::of(self.now, waiting, self.capacity);
        Class::new(contended.urgency(waiting), timeliness)
    }

    pub(super) fn rank(&self, class: Class, waiting: &Waiting) -> Rank {
        let standing = self.shares.standing(*waiting.flow.client.ip());
        let due = waiting.due().millis();
        let newest_first = self.newest_first.is_some_and(|from| class.urgency >= from);
        let order = if newest_first && class.may_reverse() { u64::MAX - due } else { due };
        Rank { class, standing, order }
    }
}

impl Queue {
    /// Returns whether requests are ordered by urgency or by callers' shares.
    #[must_use]
    pub const fn is_contended(&self) -> bool {
        self.contended.is_some()
    }

    /// Removes and returns the request that goes next where callers compete, with its caller's
    /// standing.
    ///
    /// Requests that can still be in time, or that have their last chance now, go first, the more
    /// urgent of them before the others. Then come those that may be in time, then those that are
    /// late. Among equals, callers within their share go first, then the request whose objective
    /// ends first.
    ///
    /// Under a lasting overload, in which not all requests that can be in time now will be, the
    /// request whose objective ends last goes first instead. Otherwise each request would be
    /// answered just before its objective ends, or late.
    ///
    /// One in [`super::FLOOR_EVERY`] requests is taken from a less urgent class.
    pub fn pop_ranked(
        &mut self,
        now: Time,
        capacity: &Capacity,
        shares: &Shares,
    ) -> Option<(Waiting, Head, Standing)> {
        let ranker = self.ranker(now, capacity, shares);
        let contended = self.contended.as_ref()?;
        let (best, rank) = self.highest_ranked(&ranker, contended, None)?;
        let first = rank.class.urgency;
        let others = self.requests().map(|(_, waiting)| contended.urgency(waiting));
        let less_urgent = others.filter(|urgency| *urgency > first);
        let less_urgent = less_urgent.min_by_key(|urgency| contended.floor.last_served(*urgency));
        let from_floor = less_urgent.filter(|_| contended.floor.is_due());
        let from_floor =
            from_floor.and_then(|urgency| self.highest_ranked(&ranker, contended, Some(urgency)));
        let (index, rank) = from_floor.unwrap_or((best, rank));
        if let Some(contended) = self.contended.as_mut() {
            match from_floor {
                Some(_) => contended.floor.record_floor(rank.class.urgency),
                None => contended.floor.record(rank.class.urgency, less_urgent.is_some()),
            }
        }
        let waiting = self.flows.remove(index)?;
        let request = waiting.request?;
        Some((waiting, request, rank.standing))
    }

    /// Records whether there is an overload. It starts when a request is late, and ends when none
    /// has been late or refused for the length of an objective.
    pub(super) fn update_contended_overload(&mut self, now: Time, answer_ms: u64) {
        let Some(contended) = self.contended.as_mut() else {
            return;
        };
        let late = self.flows.iter().find(|waiting| !waiting.is_in_time(now, answer_ms));
        if let Some(late) = late {
            contended.last_overload_at = now;
            self.overloaded_since.get_or_insert(now);
            self.short_overload_ms = u64::from(late.demand.objective_ms);
        } else if now.since(contended.last_overload_at) > self.short_overload_ms {
            self.overloaded_since = None;
        }
    }

    fn ranker<'a>(&self, now: Time, capacity: &'a Capacity, shares: &'a Shares) -> Ranker<'a> {
        let may_reverse = self.newest_first && !self.is_short_overload(now);
        let newest_first = may_reverse.then(|| self.overloaded_from(now, capacity)).flatten();
        Ranker { now, capacity, shares, newest_first }
    }

    /// Returns the most urgent class in which not all requests that can be in time now will be.
    fn overloaded_from(&self, now: Time, capacity: &Capacity) -> Option<Urgency> {
        let contended = self.contended.as_ref()?;
        let classes: BTreeSet<Urgency> =
            self.requests().map(|(_, waiting)| contended.urgency(waiting)).collect();
        classes.into_iter().find(|class| !self.is_feasible(now, capacity, *class))
    }

    /// Returns whether all requests of this class and of more urgent ones that can be in time now
    /// will be, if they go in the order of arrival.
    fn is_feasible(&self, now: Time, capacity: &Capacity, class: Urgency) -> bool {
        let is_meant = |waiting: &Waiting| {
            self.contended.as_ref().is_some_and(|contended| contended.urgency(waiting) <= class)
        };
        let mut ahead = 0;
        for (_, waiting) in self.requests().filter(|(_, waiting)| is_meant(waiting)) {
            if !waiting.is_in_time(now, capacity.start_ms(0) + capacity.most_ms()) {
                continue;
            }
            if !waiting.is_in_time(now, capacity.start_ms(ahead) + capacity.most_ms()) {
                return false;
            }
            ahead += 1;
        }
        true
    }

    pub(super) fn requests(&self) -> impl Iterator<Item = (usize, &Waiting)> + '_ {
        let all = self.flows.iter().enumerate();
        all.filter(|(_, waiting)| waiting.request.is_some())
    }

    /// Returns the request that ranks highest, among those of one urgency if `of` is given. Shares
    /// are looked up only where classes are equal.
    fn highest_ranked(
        &self,
        ranker: &Ranker,
        contended: &Contended,
        of: Option<Urgency>,
    ) -> Option<(usize, Rank)> {
        let mut best: Option<(usize, Rank)> = None;
        for (index, waiting) in self.requests() {
            let class = ranker.class(contended, waiting);
            let is_meant = of.is_none_or(|urgency| urgency == class.urgency);
            if !is_meant || best.is_some_and(|(_, rank)| rank.class < class) {
                continue;
            }
            let rank = ranker.rank(class, waiting);
            if best.is_none_or(|(_, other)| rank < other) {
                best = Some((index, rank));
            }
        }
        best
    }
}
