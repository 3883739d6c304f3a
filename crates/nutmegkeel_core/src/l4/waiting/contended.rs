//! The queue where callers compete for room: by urgency, and by the callers' shares.

use super::floor::Floor;
use super::rank::{Capacity, Class, Rank, Timeliness};
use super::{Queue, Waiting};
use crate::clock::Time;
use crate::l4::flow::{Flow, Head};
use crate::l4::policy::{Mechanism, Policy};
use crate::l4::route::Urgency;
use crate::l4::share::{Shares, Standing};

/// A crowd that lasts no longer than this is expected to end, and its backlog to be worked off, in
/// milliseconds: people who come at once have come by then.
const CROWD_MS: u64 = 2_000;

/// Pause between two looks for requests that cannot be served, in milliseconds: each look sorts all.
const LOOK_MS: u64 = 20;

/// What the order and the refusals rest on.
#[derive(Debug, Default)]
pub(super) struct Contended {
    /// Whether urgency counts; all are equally urgent otherwise.
    by_urgency: bool,
    floor: Floor,
    looked: Time,
    /// When something was last late.
    last_late: Time,
}

impl Contended {
    /// None where nothing asks for it.
    pub(super) fn open(policy: &Policy) -> Option<Self> {
        let by_urgency = policy.uses(Mechanism::Urgency);
        let is_used = by_urgency || policy.uses(Mechanism::FairShares);
        is_used.then(|| Self { by_urgency, ..Self::default() })
    }

    fn urgency(&self, waiting: &Waiting) -> Urgency {
        if self.by_urgency { waiting.demand.urgency } else { Urgency::DEFAULT }
    }
}

/// What is needed to rank requests at one moment.
#[derive(Clone, Copy)]
struct Moment<'a> {
    now: Time,
    capacity: &'a Capacity,
    shares: &'a Shares,
    newest_first: bool,
}

impl Moment<'_> {
    fn class(&self, contended: &Contended, waiting: &Waiting) -> Class {
        let timeliness = Timeliness::of(self.now, waiting, self.capacity);
        Class::new(contended.urgency(waiting), timeliness)
    }

    fn rank(&self, class: Class, waiting: &Waiting) -> Rank {
        let standing = self.shares.standing(*waiting.flow.client.ip());
        let due = waiting.due().millis();
        let turn = if self.newest_first && class.may_reverse() { u64::MAX - due } else { due };
        Rank { class, standing, turn }
    }
}

impl Queue {
    /// Whether callers compete for room here.
    #[must_use]
    pub const fn is_contended(&self) -> bool {
        self.contended.is_some()
    }

    /// Takes out the request that goes next where callers compete, and how its caller stands.
    ///
    /// First what can still be in time, the more urgent first, and with it what has its last chance now;
    /// then what may be in time; then what is late. Among equals callers within their share come first, and
    /// then the one that is due first; the one due last if pressure lasts and not all that can be in time
    /// now will be, because the first would each be answered at the last moment, or late. One in
    /// [`super::FLOOR_EVERY`] is of a less urgent class.
    pub fn next(
        &mut self,
        now: Time,
        capacity: &Capacity,
        shares: &Shares,
    ) -> Option<(Waiting, Head, Standing)> {
        let moment = self.moment(now, capacity, shares);
        let contended = self.contended.as_ref()?;
        let (best, rank) = self.first(&moment, contended, None)?;
        let first = rank.class.urgency;
        let others = self.requests().map(|(_, waiting)| contended.urgency(waiting));
        let neglected = others.filter(|urgency| *urgency > first);
        let neglected = neglected.min_by_key(|urgency| contended.floor.last(*urgency));
        let owed = neglected.filter(|_| contended.floor.is_due());
        let owed = owed.and_then(|urgency| self.first(&moment, contended, Some(urgency)));
        let (index, rank) = owed.unwrap_or((best, rank));
        let passes_by = neglected.is_some() && owed.is_none();
        if let Some(contended) = self.contended.as_mut() {
            contended.floor.note(rank.class.urgency, passes_by);
        }
        let waiting = self.flows.remove(index)?;
        let request = waiting.request?;
        Some((waiting, request, rank.standing))
    }

    /// Takes out the requests that may be refused and for which it is known that they cannot be served.
    ///
    /// A request that the slots cannot begin in time to be in time, by those that go before it, is served
    /// from what these leave. It is given up if its deadline would pass even if all slots went on with
    /// those before it; and once more has come than can be served for longer than a crowd lasts, if the
    /// overload reaches its deadline by going on for as long as it has lasted. Guards against clients
    /// that wait seconds for nothing, and by the growing time against turning away, at a crowd, what the
    /// slots could serve after it.
    pub fn take_unservable(
        &mut self,
        now: Time,
        capacity: &Capacity,
        shares: &Shares,
        may_refuse: impl Fn(&Flow) -> bool,
    ) -> Vec<Waiting> {
        let Some(contended) = self.contended.as_mut() else {
            return Vec::new();
        };
        if !self.turns_away || now.since(contended.looked) < LOOK_MS {
            return Vec::new();
        }
        contended.looked = now;
        let moment = Moment { now, capacity, shares, newest_first: false };
        let mut unservable: Vec<Flow> = Vec::new();
        let mut ahead = 0;
        for waiting in self.in_order(&moment) {
            if may_refuse(&waiting.flow) && !self.is_servable(&moment, waiting, ahead) {
                unservable.push(waiting.flow);
            } else {
                ahead += 1;
            }
        }
        unservable.iter().filter_map(|flow| self.take(flow)).collect()
    }

    /// Whether a request that has not been taken in yet could be served, by the same rule.
    #[must_use]
    pub fn bears(
        &self,
        now: Time,
        capacity: &Capacity,
        shares: &Shares,
        waiting: &Waiting,
    ) -> bool {
        let Some(contended) = self.contended.as_ref().filter(|_| self.turns_away) else {
            return true;
        };
        let moment = Moment { now, capacity, shares, newest_first: false };
        let rank = |waiting: &Waiting| moment.rank(moment.class(contended, waiting), waiting);
        let own = rank(waiting);
        let ahead = self.flows.iter().filter(|other| rank(other) <= own).count();
        self.is_servable(&moment, waiting, ahead)
    }

    fn is_servable(&self, moment: &Moment, waiting: &Waiting, ahead: usize) -> bool {
        let Moment { now, capacity, .. } = *moment;
        let lasted_ms = self.pressed.map_or(0, |since| now.since(since));
        let rest_ms = if lasted_ms > CROWD_MS { lasted_ms } else { 0 };
        let start_ms = capacity.start_ms(ahead);
        let is_in_time = waiting.is_in_time(now, start_ms + capacity.most_ms());
        is_in_time || waiting.left_ms(now) >= rest_ms + start_ms + capacity.answer_ms()
    }

    /// Notes whether more comes than can be served: something is late. It is over when nothing has been
    /// late for the time of an objective.
    pub(super) fn note_contention(&mut self, now: Time, answer_ms: u64) {
        let Some(contended) = self.contended.as_mut() else {
            return;
        };
        let late = self.flows.iter().find(|waiting| !waiting.is_in_time(now, answer_ms));
        if let Some(late) = late {
            contended.last_late = now;
            self.pressed.get_or_insert(now);
            self.crowding_ms = u64::from(late.demand.objective_ms);
        } else if now.since(contended.last_late) > self.crowding_ms {
            self.pressed = None;
        }
    }

    fn moment<'a>(&self, now: Time, capacity: &'a Capacity, shares: &'a Shares) -> Moment<'a> {
        let newest_first =
            self.newest_first && !self.is_short(now) && !self.is_feasible(now, capacity);
        Moment { now, capacity, shares, newest_first }
    }

    /// Whether all that can be in time now will be, in the order of arrival.
    fn is_feasible(&self, now: Time, capacity: &Capacity) -> bool {
        let mut ahead = 0;
        for (_, waiting) in self.requests() {
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

    fn requests(&self) -> impl Iterator<Item = (usize, &Waiting)> + '_ {
        let all = self.flows.iter().enumerate();
        all.filter(|(_, waiting)| waiting.request.is_some())
    }

    /// The first in order, of one urgency if it is given. Shares are asked for only where classes are equal.
    fn first(
        &self,
        moment: &Moment,
        contended: &Contended,
        of: Option<Urgency>,
    ) -> Option<(usize, Rank)> {
        let mut best: Option<(usize, Rank)> = None;
        for (index, waiting) in self.requests() {
            let class = moment.class(contended, waiting);
            let is_meant = of.is_none_or(|urgency| urgency == class.urgency);
            if !is_meant || best.is_some_and(|(_, rank)| rank.class < class) {
                continue;
            }
            let rank = moment.rank(class, waiting);
            if best.is_none_or(|(_, other)| rank < other) {
                best = Some((index, rank));
            }
        }
        best
    }

    fn in_order(&self, moment: &Moment) -> Vec<&Waiting> {
        let Some(contended) = self.contended.as_ref() else {
            return Vec::new();
        };
        let rank = |waiting: &Waiting| moment.rank(moment.class(contended, waiting), waiting);
        let mut ranked: Vec<(Rank, &Waiting)> =
            self.requests().map(|(_, waiting)| (rank(waiting), waiting)).collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, waiting)| waiting).collect()
    }

    fn take(&mut self, flow: &Flow) -> Option<Waiting> {
        let index = self.flows.iter().position(|waiting| waiting.flow == *flow)?;
        self.flows.remove(index)
    }
}
