//! Simulation, in virtual time, of callers that compete for one backend server.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::message::Demand;
use nutmegkeel_core::l4::policy::{Condition, Mechanism, Policy};
use nutmegkeel_core::l4::route::Urgency;
use nutmegkeel_core::l4::share::Shares;
use nutmegkeel_core::l4::waiting::{Capacity, Queue, Waiting};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixture::{at, data, service_address};

pub(crate) const OBJECTIVE_MS: u32 = 300;
pub(crate) const DEADLINE_MS: u32 = 4_000;

/// Number of requests that the server works on at once, and number of those queued at the server.
const SLOTS: usize = 3;
const QUEUED_AT_SERVER: usize = 2;

/// Shortest and longest time for which a request occupies a slot, in milliseconds.
const SHORTEST_MS: u64 = 35;
const LONGEST_MS: u64 = 65;

/// Number of requests that the slots can serve per second.
pub(crate) const CAPACITY_PER_S: f64 = 60.0;

/// Returns the policy of a deployment whose callers compete for room, without some mechanisms.
pub(crate) fn contention(without: &[Mechanism]) -> Policy {
    Policy::without(without.iter().copied()).under([Condition::Contention])
}

pub(crate) fn urgency(number: u8) -> Urgency {
    Urgency::new(number).expect("an urgency")
}

/// Source of requests: callers of one failure domain, at a steady rate during a time range.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    pub(crate) urgency: u8,
    pub(crate) domain: &'static str,
    pub(crate) callers: u32,
    pub(crate) per_s: f64,
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    InTime,
    Late,
    /// Refused before its deadline.
    Refused,
    /// Removed because an answer would have missed the deadline.
    Expired,
}

/// Request that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    pub(crate) source: usize,
    pub(crate) arrived_ms: u64,
    pub(crate) end: End,
}

/// Simulated agent queue and backend server.
pub(crate) struct Replay {
    pub(crate) queue: Queue,
    pub(crate) shares: Shares,
    sources: Vec<Source>,
    rng: SmallRng,
    at_server: VecDeque<Waiting>,
    busy: Vec<(u64, Waiting)>,
    pub(crate) ended: Vec<Ended>,
    uses_shares: bool,
    count: u32,
}

impl Replay {
    pub(crate) fn open(policy: &Policy, sources: &[Source]) -> Self {
        Self::seeded(policy, sources, 7)
    }

    pub(crate) fn seeded(policy: &Policy, sources: &[Source], seed: u64) -> Self {
        Self {
            queue: Queue::open(policy),
            shares: Shares::default(),
            sources: sources.to_vec(),
            rng: SmallRng::seed_from_u64(seed),
            at_server: VecDeque::new(),
            busy: Vec::new(),
            ended: Vec::new(),
            uses_shares: policy.uses(Mechanism::FairShares),
            count: 0,
        }
    }

    pub(crate) fn run(&mut self, until_ms: u64) {
        self.run_with(until_ms, |_, _| {});
    }

    /// Runs the simulation, and calls `on_tick` at each millisecond.
    pub(crate) fn run_with(&mut self, until_ms: u64, mut on_tick: impl FnMut(&mut Self, u64)) {
        for now in 0..until_ms {
            on_tick(self, now);
            self.arrive(now);
            self.answer(now);
            self.give_up(now);
            self.release(now);
            while self.busy.len() < SLOTS
                && let Some(next) = self.at_server.pop_front()
            {
                let takes = self.rng.random_range(SHORTEST_MS..=LONGEST_MS);
                self.busy.push((now + takes, next));
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        for index in 0..self.sources.len() {
            let source = self.sources[index].clone();
            let is_on = (source.from_ms..source.until_ms).contains(&now);
            if !is_on || !self.rng.random_bool(source.per_s / 1_000.0) {
                continue;
            }
            self.count += 1;
            let number = self.rng.random_range(0..source.callers);
            let domain = u8::try_from(index).expect("few sources");
            let address = Ipv4Addr::from_bits((100 << 24 | u32::from(domain) << 16) + number);
            let waiting = request(address, self.count, now, demand(source.urgency));
            if self.uses_shares {
                self.shares.record_request(
                    at(now),
                    address,
                    &Arc::from(source.domain),
                    self.mean_us(),
                );
            }
            let capacity = self.capacity();
            if self.queue.can_serve(at(now), &capacity, &self.shares, &waiting) {
                self.queue.push(waiting);
            } else {
                self.end(&waiting, End::Refused);
            }
        }
    }

    fn answer(&mut self, now: u64) {
        let (done, busy): (Vec<_>, Vec<_>) = self.busy.drain(..).partition(|(end, _)| *end <= now);
        self.busy = busy;
        for (_, waiting) in done {
            let took = now - waiting.since.millis();
            let end = if took <= u64::from(OBJECTIVE_MS) { End::InTime } else { End::Late };
            self.end(&waiting, end);
        }
    }

    fn give_up(&mut self, now: u64) {
        for waiting in self.queue.take_expired(at(now), self.mean_us() / 1_000) {
            self.end(&waiting, End::Expired);
        }
        let capacity = self.capacity();
        let refused = self.queue.take_unservable(at(now), &capacity, &self.shares, |_| true);
        for waiting in refused {
            self.end(&waiting, End::Refused);
        }
    }

    fn release(&mut self, now: u64) {
        while self.busy.len() + self.at_server.len() < SLOTS + QUEUED_AT_SERVER
            && let Some((next, _, _)) =
                self.queue.pop_ranked(at(now), &self.capacity(), &self.shares)
        {
            if self.uses_shares {
                self.shares.record_served(at(now), *next.flow.client.ip(), self.mean_us());
            }
            self.at_server.push_back(next);
        }
    }

    fn end(&mut self, waiting: &Waiting, end: End) {
        let source = usize::from(waiting.flow.client.ip().octets()[1]);
        let arrived_ms = waiting.since.millis();
        self.ended.push(Ended { source, arrived_ms, end });
    }

    fn capacity(&self) -> Capacity {
        let at_server = u64::try_from(self.busy.len() + self.at_server.len()).expect("few");
        Capacity { slots: 3, at_server, mean_us: self.mean_us(), most_us: LONGEST_MS * 1_000 }
    }

    const fn mean_us(&self) -> u64 {
        (SHORTEST_MS + LONGEST_MS) * 1_000 / 2
    }

    /// Returns how many requests of a source arrived in a time range and had this outcome.
    pub(crate) fn count(&self, source: usize, from_ms: u64, until_ms: u64, end: End) -> usize {
        let is_meant = |ended: &&Ended| {
            let arrived_ms = ended.arrived_ms;
            ended.source == source && (from_ms..until_ms).contains(&arrived_ms) && ended.end == end
        };
        self.ended.iter().filter(is_meant).count()
    }

    /// Returns the fraction of a source's requests of a time range that were answered in time.
    pub(crate) fn in_time(&self, source: usize, from_ms: u64, until_ms: u64) -> f64 {
        let ends = [End::InTime, End::Late, End::Refused, End::Expired];
        let counts = ends.map(|end| self.count(source, from_ms, until_ms, end));
        fraction(counts[0], counts.iter().sum())
    }
}

/// Returns `count` as a fraction of `all`.
pub(crate) fn fraction(count: usize, all: usize) -> f64 {
    let number = |count: usize| f64::from(u32::try_from(count).expect("a short replay"));
    number(count) / number(all.max(1))
}

pub(crate) fn demand(number: u8) -> Demand {
    let urgency = urgency(number);
    Demand { objective_ms: OBJECTIVE_MS, deadline_ms: DEADLINE_MS, once: false, urgency }
}

/// Returns a request of a caller that arrives at `now`, on a flow with this number.
pub(crate) fn request(address: Ipv4Addr, number: u32, now: u64, demand: Demand) -> Waiting {
    let port = u16::try_from(number % 60_000).expect("a port");
    let client = SocketAddrV4::new(address, 1_024 + port);
    let flow = Flow { client, service: service_address(443) };
    let (since, request) = (at(now), Some(data(flow, 1_001, 501)));
    Waiting { flow, since, opened: since, demand, is_retry: false, request }
}
