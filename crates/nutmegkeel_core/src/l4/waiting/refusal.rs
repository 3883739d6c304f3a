//! What is refused where callers compete for room: what cannot be served, as soon as that is known.

use super::contended::{Contended, Moment};
use super::floor::Ahead;
use super::rank::{Capacity, Class, Rank};
use super::{Queue, Waiting};
use crate::clock::Time;
use crate::l4::flow::Flow;
use crate::l4::share::Shares;

/// A crowd that lasts no longer than this is expected to end, and its backlog to be worked off, in
/// milliseconds: people who come at once have come by then.
const CROWD_MS: u64 = 2_000;

/// Pause between two looks for requests that cannot be served, in milliseconds: each look sorts all.
const LOOK_MS: u64 = 20;

impl Queue {
    /// Notes that a request comes, also one that is refused.
    pub fn note_arrival(&mut self, now: Time) {
        if let Some(contended) = self.contended.as_mut() {
            contended.arrivals.note(now);
        }
    }

    /// Takes out the requests that may be refused and for which it is known that they cannot be served.
    ///
    /// A request that cannot be in time behind those that go before it is served from what these leave.
    /// It is given up if its deadline would pass even if all slots went on with those before it; and
    /// under a lasting overload, if its deadline would pass when that goes on for as long as it has
    /// lasted. Guards against clients that wait seconds for nothing, and by the growing time against
    /// turning away, at a crowd, what the slots could serve after it.
    pub fn take_unservable(
        &mut self,
        now: Time,
        capacity: &Capacity,
        shares: &Shares,
        may_refuse: impl Fn(&Flow) -> bool,
    ) -> Vec<Waiting> {
        let is_due = |contended: &Contended| now.since(contended.looked) >= LOOK_MS;
        if !self.turns_away || !self.contended.as_ref().is_some_and(is_due) {
            return Vec::new();
        }
        let moment = Moment { now, capacity, shares, newest_first: false };
        let unservable = self.unservable(&moment, may_refuse);
        if let Some(contended) = self.contended.as_mut() {
            contended.looked = now;
            if !unservable.is_empty() {
                contended.last_trouble = now;
            }
        }
        unservable.iter().filter_map(|flow| self.take(flow)).collect()
    }

    fn unservable(&self, moment: &Moment, may_refuse: impl Fn(&Flow) -> bool) -> Vec<Flow> {
        let Some(contended) = self.contended.as_ref() else {
            return Vec::new();
        };
        let mut unservable = Vec::new();
        let mut ahead = Ahead::default();
        for (class, waiting) in self.in_order(moment) {
            let before = ahead.of(class.urgency, &contended.floor);
            if may_refuse(&waiting.flow) && !self.is_servable(moment, waiting, before) {
                unservable.push(waiting.flow);
            } else {
                ahead.add(class.urgency);
            }
        }
        unservable
    }

    /// Whether a request that has not been taken in yet could be served, by the same rule. Where it could
    /// not, its client is told before it has a connection to the server.
    pub fn bears(
        &mut self,
        now: Time,
        capacity: &Capacity,
        shares: &Shares,
        waiting: &Waiting,
    ) -> bool {
        let is_borne = self.has_room(now, capacity, shares, waiting);
        if let Some(contended) = self.contended.as_mut().filter(|_| !is_borne) {
            contended.last_trouble = now;
        }
        is_borne
    }

    fn has_room(&self, now: Time, capacity: &Capacity, shares: &Shares, waiting: &Waiting) -> bool {
        let Some(contended) = self.contended.as_ref().filter(|_| self.turns_away) else {
            return true;
        };
        let moment = Moment { now, capacity, shares, newest_first: false };
        let rank = |waiting: &Waiting| moment.rank(moment.class(contended, waiting), waiting);
        let own = rank(waiting);
        let mut ahead = Ahead::default();
        let others = self.flows.iter().map(rank).filter(|other| *other <= own);
        others.for_each(|other| ahead.add(other.class.urgency));
        let ahead = ahead.of(own.class.urgency, &contended.floor);
        self.is_servable(&moment, waiting, ahead)
    }

    fn is_servable(&self, moment: &Moment, waiting: &Waiting, ahead: usize) -> bool {
        let Moment { now, capacity, .. } = *moment;
        let may_start_after = |start_ms| waiting.left_ms(now) >= start_ms + capacity.answer_ms();
        // Guards against a client that is refused twice in a row: one that comes back is let in for as long as
        // it could be answered if it went next.
        if waiting.returns {
            return may_start_after(capacity.start_ms(0));
        }
        let start_ms = capacity.start_ms(ahead);
        let is_in_time = waiting.is_in_time(now, start_ms + capacity.most_ms());
        is_in_time || may_start_after(self.late_start_ms(moment, start_ms))
    }

    /// Time until the server begins with what is late, if it could begin after `start_ms` with nothing new
    /// coming, in milliseconds.
    ///
    /// During a crowd that is the time: what comes now may be the last. Under a lasting overload new
    /// requests go first, so what is late gets the room that they leave; or it waits until the overload is
    /// over, which is expected to last as long as it has lasted.
    fn late_start_ms(&self, moment: &Moment, start_ms: u64) -> u64 {
        let lasted_ms = self.lasted_ms(moment.now);
        let Some(contended) = self.contended.as_ref().filter(|_| lasted_ms > CROWD_MS) else {
            return start_ms;
        };
        let left_percent =
            100_u64.saturating_sub(contended.arrivals.percent(moment.now, moment.capacity));
        let in_room_left = (start_ms * 100).checked_div(left_percent).unwrap_or(u64::MAX);
        in_room_left.min(start_ms + lasted_ms)
    }

    /// For how long more has come than can be served, in milliseconds.
    fn lasted_ms(&self, now: Time) -> u64 {
        self.pressed.map_or(0, |since| now.since(since))
    }

    fn in_order(&self, moment: &Moment) -> Vec<(Class, &Waiting)> {
        let Some(contended) = self.contended.as_ref() else {
            return Vec::new();
        };
        let rank = |waiting: &Waiting| moment.rank(moment.class(contended, waiting), waiting);
        let mut ranked: Vec<(Rank, &Waiting)> =
            self.requests().map(|(_, waiting)| (rank(waiting), waiting)).collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(rank, waiting)| (rank.class, waiting)).collect()
    }

    fn take(&mut self, flow: &Flow) -> Option<Waiting> {
        let index = self.flows.iter().position(|waiting| waiting.flow == *flow)?;
        self.flows.remove(index)
    }
}
