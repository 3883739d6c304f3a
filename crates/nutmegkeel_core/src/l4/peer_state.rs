//! State that balancers report about themselves to each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::message::Gossip;
use crate::clock::Time;
use crate::placement::mix;

/// Minimum time for which a balancer's reported state is valid, in milliseconds: three of its
/// ticks.
pub const VALID_MS: u64 = 1_500;

/// Number of balancers of a failure domain that act on behalf of the whole domain. With two, one
/// that dies or is cut off leaves no gap; more would only repeat their calls to the store.
pub const DELEGATES: usize = 2;

/// Rounds of gossip after which a balancer's state is no longer valid. With two, one message may be
/// lost.
const VALID_ROUNDS: u64 = 2;

/// Pause of a delegate between two watches after a change, in milliseconds. It lets a few calls
/// read a burst of changes, since each call to the store is billed.
const COALESCE_MS: u64 = 400;

/// Returns the pause of a delegate before it watches the store again after a change, in
/// milliseconds, if its last watch lasted for `lasted_ms`.
///
/// Matters when changes follow each other quickly. Two delegates that are both waiting receive the
/// first change at the same time, and with equal pauses both would miss the next one for the same
/// time. The second delegate therefore pauses for half the time, so that they alternate: a change
/// is seen within half a pause, without more calls.
#[must_use]
pub const fn pause_after_change_ms(rank: usize, lasted_ms: u64) -> u64 {
    let had_waited = lasted_ms >= COALESCE_MS / 2;
    if rank > 0 && had_waited { COALESCE_MS / 2 } else { COALESCE_MS }
}

/// A balancer that may be a delegate, ordered by preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    is_cut_off: bool,
    weight: u64,
    balancer: Ipv4Addr,
    received_at: Time,
}

impl Candidate {
    fn of(balancer: Ipv4Addr, reaches_store: bool, received_at: Time) -> Self {
        let weight = mix(u64::from(balancer.to_bits()));
        Self { is_cut_off: !reaches_store, weight, balancer, received_at }
    }
}

/// State that one balancer last reported about itself.
#[derive(Clone, Debug)]
pub struct State {
    /// When it was received.
    pub received_at: Time,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Number of agents that may hold flows, as far as it knows.
    pub agents: usize,
    /// Whether it knows every agent that may hold flows.
    pub knows_all_agents: bool,
    /// Version of its configuration; zero while it has none.
    pub version: u64,
    /// Whether the store answered its last call.
    pub reaches_store: bool,
    /// Whether it is about to stop. It still forwards packets and receives announcements.
    pub leaving: bool,
}

/// The last state of each balancer.
#[derive(Debug, Default)]
pub struct States {
    states: BTreeMap<Ipv4Addr, State>,
    /// Time in which every balancer sends its state once, in milliseconds.
    round_ms: u64,
}

impl States {
    /// Applies a state received from a balancer.
    pub fn apply(&mut self, now: Time, from: Ipv4Addr, gossip: &Gossip) {
        let state = State {
            received_at: now,
            domain: Arc::clone(&gossip.domain),
            agents: usize::try_from(gossip.agents).unwrap_or(usize::MAX),
            knows_all_agents: gossip.knows_all_agents,
            version: gossip.version,
            reaches_store: gossip.reaches_store,
            leaving: gossip.leaving,
        };
        self.states.insert(from, state);
    }

    /// Returns the last state of a balancer, however old.
    #[must_use]
    pub fn get(&self, balancer: Ipv4Addr) -> Option<&State> {
        self.states.get(&balancer)
    }

    /// Removes a balancer that reported that it stops.
    pub fn remove(&mut self, balancer: Ipv4Addr) {
        self.states.remove(&balancer);
    }

    /// Sets the time in which every balancer sends its state once. Guards against states that
    /// expire before the next one arrives: gossip goes to a few balancers at a time, so the
    /// interval between two states of one balancer grows with their number; with 59 balancers it is
    /// 4 s.
    pub fn set_round(&mut self, round_ms: u64) {
        self.round_ms = round_ms;
    }

    /// Returns how long a state is valid, in milliseconds.
    #[must_use]
    pub fn valid_ms(&self) -> u64 {
        VALID_MS.max(VALID_ROUNDS * self.round_ms + VALID_MS / 2)
    }

    /// Returns the valid states.
    pub fn current(&self, now: Time) -> impl Iterator<Item = (Ipv4Addr, &State)> + '_ {
        let valid_ms = self.valid_ms();
        let current =
            self.states.iter().filter(move |(_, state)| now.since(state.received_at) <= valid_ms);
        current.map(|(balancer, state)| (*balancer, state))
    }

    /// Returns the valid states of the balancers of one failure domain.
    pub fn of_domain<'a>(
        &'a self,
        now: Time,
        domain: &'a str,
    ) -> impl Iterator<Item = (Ipv4Addr, &'a State)> + 'a {
        self.current(now).filter(move |(_, state)| *state.domain == *domain)
    }

    /// Returns the number of failure domains of the balancers with a valid state.
    #[must_use]
    pub fn domains(&self, now: Time) -> u64 {
        let domains: BTreeSet<&str> = self.current(now).map(|(_, state)| &*state.domain).collect();
        u64::try_from(domains.len()).unwrap_or(u64::MAX)
    }

    /// Returns the states of the last [`VALID_MS`], of balancers that are not about to stop.
    /// Volatile values, such as the number of agents that a balancer knows, are outdated sooner than
    /// the list of balancers.
    pub fn fresh(&self, now: Time) -> impl Iterator<Item = (Ipv4Addr, &State)> + '_ {
        self.not_leaving(now).filter(move |(_, state)| now.since(state.received_at) <= VALID_MS)
    }

    /// Returns the valid states of balancers that are not about to stop.
    pub fn not_leaving(&self, now: Time) -> impl Iterator<Item = (Ipv4Addr, &State)> + '_ {
        self.current(now).filter(|(_, state)| !state.leaving)
    }

    /// Returns the balancers with a valid state that are about to stop.
    pub fn leaving(&self, now: Time) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.current(now).filter(|(_, state)| state.leaving).map(|(balancer, _)| balancer)
    }

    /// Returns the balancers that act for a failure domain towards the store, by the valid states
    /// and `own`, the calling balancer itself. A hash selects the first two of those that the store
    /// answers, or of all if it answers none of them. One that has sent nothing for `timeout_ms`
    /// is skipped.
    ///
    /// Matters for the number of store calls: if every process called the store itself, the calls
    /// would grow with the number of hosts, most of all while the store is unreachable and each
    /// process retries.
    #[must_use]
    pub fn delegates(
        &self,
        now: Time,
        domain: &str,
        own: Option<(Ipv4Addr, bool)>,
        timeout_ms: u64,
    ) -> Vec<Ipv4Addr> {
        let local = self.of_domain(now, domain).filter(|(_, state)| !state.leaving);
        let local = local.map(|(balancer, state)| {
            Candidate::of(balancer, state.reaches_store, state.received_at)
        });
        let own = own.map(|(balancer, reaches)| Candidate::of(balancer, reaches, now));
        let mut ranked: Vec<_> = local.chain(own).collect();
        ranked.sort_unstable();
        let mut delegates = Vec::new();
        let mut vacated = Time::ZERO;
        for candidate in ranked {
            // A candidate acts as a delegate only once the one ranked before it was skipped, so its
            // timeout starts no earlier than that.
            let limit = candidate.received_at.max(vacated).after(timeout_ms);
            if now > limit {
                vacated = limit;
                continue;
            }
            delegates.push(candidate.balancer);
            if delegates.len() == DELEGATES {
                break;
            }
        }
        delegates
    }

    /// Removes states that are no longer valid.
    pub fn expire(&mut self, now: Time) {
        let valid_ms = self.valid_ms();
        self.states.retain(|_, state| now.since(state.received_at) <= valid_ms);
    }
}
