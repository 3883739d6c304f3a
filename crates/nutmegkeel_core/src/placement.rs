//! Placement of new flows on agents.
//!
//! Each balancer decides on its own, and balancers with the same view and the same load reports
//! decide alike. Rendezvous hashing of the flow's key yields two candidates, and the load that
//! agents report with their answers decides between the two.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::class::Target;
use crate::load::Report;
use crate::member::Instance;

/// Key of a flow: a hash of the fields that all its packets have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(u64);

impl Key {
    /// Returns the hash of these parts: the caller's address, the class and the opening token.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(part);
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_be_bytes(first))
    }

    /// Creates a key from a number that is uniformly distributed already.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the key as a uniformly distributed number.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Destination of a packet: the address of a process and the instance that must accept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Hop {
    /// Address for frames.
    pub address: SocketAddr,
    /// The instance that must accept it.
    pub instance: Instance,
}

/// Placement of one new flow.
///
/// Guards against a flow that is opened at two agents. A caller without an answer may send two
/// copies of its opening at once, and the fabric delivers them to two balancers with different load
/// reports, for instance because one has just started. If the copies reached two agents, both would
/// answer, and the caller would end the flow with a protocol error. Load therefore never changes to
/// which agent an opening is sent, only whether that agent is asked to pass it on. That agent
/// receives all copies and decides for all of them alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// The agent that gets the packet.
    pub first: Hop,
    /// The agent to which the first one may pass it on.
    pub next: Option<Hop>,
    /// Whether the first agent passes the flow on, unless it has accepted it already, because it is
    /// more loaded than the next one.
    pub prefers_next: bool,
}

impl Choice {
    /// Returns the agent that is to accept the flow.
    #[must_use]
    pub fn taker(&self) -> Hop {
        self.next.filter(|_| self.prefers_next).unwrap_or(self.first)
    }
}

/// An agent on which new flows may be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The instance that accepts new flows.
    pub instance: Instance,
    /// Maximum number of requests in progress. The share of new flows is proportional to it.
    pub slots: u32,
    /// Maximum number of open flows.
    pub connections: u32,
    /// Whether its health is suspect.
    pub suspect: bool,
    report: Report,
    placed_since_report: u32,
}

impl Candidate {
    /// Creates a candidate that has not reported its load yet.
    #[must_use]
    pub fn new(instance: Instance, slots: u32, connections: u32) -> Self {
        Self {
            instance,
            slots: slots.max(1),
            connections,
            suspect: false,
            report: Report::default(),
            placed_since_report: 0,
        }
    }

    /// Applies a load report of the agent.
    pub const fn apply_report(&mut self, report: Report) {
        self.report = report;
        self.placed_since_report = 0;
    }

    /// Records a flow that this balancer placed on the agent.
    const fn record_placement(&mut self) {
        self.placed_since_report = self.placed_since_report.saturating_add(1);
    }

    /// Returns the expected number of flows and requests per slot, including the flows placed since
    /// the last report.
    ///
    /// Guards against a thundering herd on the backend server that last reported the least load:
    /// between two reports each balancer assumes that every other balancer has placed as many flows
    /// there as itself.
    fn pressure(&self, balancers: u32) -> u64 {
        const SCALE: u64 = 1_000;
        let unseen = u64::from(self.placed_since_report) * u64::from(balancers);
        let flows = u64::from(self.report.connections) + unseen;
        let work = u64::from(self.report.busy) + u64::from(self.report.queued);
        (flows + work) * SCALE / u64::from(self.slots)
    }

    const fn full(&self) -> bool {
        self.report.connections >= self.connections
    }
}

/// Rule that selects an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rule {
    /// Rendezvous hashing, then the less loaded of the two candidates with the highest rank.
    LoadedRendezvous,
    /// Rendezvous hashing alone. Baseline for measurements.
    Rendezvous,
    /// The candidates in turn, by a counter of this balancer. Baseline for measurements.
    RoundRobin,
}

/// The agents of one class that accept new flows, by address.
#[derive(Clone, Debug)]
pub struct Pool {
    candidates: BTreeMap<SocketAddr, Candidate>,
    turn: usize,
    tolerance_percent: u64,
}

impl Default for Pool {
    fn default() -> Self {
        let mut pool = Self { candidates: BTreeMap::new(), turn: 0, tolerance_percent: 0 };
        pool.set_imbalance(Target::default().imbalance_percent);
        pool
    }
}

impl Pool {
    /// Adds or replaces a candidate. The load report is kept if the instance is the same.
    pub fn insert(&mut self, address: SocketAddr, mut candidate: Candidate) {
        if let Some(known) = self.candidates.get(&address)
            && known.instance == candidate.instance
        {
            candidate.report = known.report;
            candidate.placed_since_report = known.placed_since_report;
        }
        self.candidates.insert(address, candidate);
    }

    /// Removes a candidate, which gets no new flows from now on.
    pub fn remove(&mut self, address: SocketAddr) {
        self.candidates.remove(&address);
    }

    /// Sets the tolerated imbalance from the target of the class.
    ///
    /// A flow stays with its first candidate while the loads of both differ by less than half of
    /// what the target allows, so that balancers with slightly different reports decide alike.
    pub fn set_imbalance(&mut self, percent: u32) {
        self.tolerance_percent = u64::from(percent.saturating_sub(100)) / 2;
    }

    /// Returns the number of candidates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Returns whether no agent accepts new flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Applies a load report; a report of another instance is ignored.
    pub fn apply_report(&mut self, hop: Hop, report: Report) {
        if let Some(candidate) = self.candidates.get_mut(&hop.address)
            && candidate.instance == hop.instance
        {
            candidate.apply_report(report);
        }
    }

    /// Places a new flow; returns `None` if no agent accepts new flows.
    pub fn place(&mut self, key: Key, rule: Rule, balancers: u32) -> Option<Choice> {
        let plain = |(first, next)| Choice { first, next, prefers_next: false };
        let choice = match rule {
            Rule::RoundRobin => plain(self.in_turn()?),
            Rule::Rendezvous => plain(self.by_rank(key)?),
            Rule::LoadedRendezvous => self.by_pressure(key, balancers)?,
        };
        if let Some(candidate) = self.candidates.get_mut(&choice.taker().address) {
            candidate.record_placement();
        }
        Some(choice)
    }

    fn in_turn(&mut self) -> Option<(Hop, Option<Hop>)> {
        let count = self.candidates.len().max(1);
        let turn = self.turn % count;
        self.turn = self.turn.wrapping_add(1);
        let hop = |index: usize| self.candidates.iter().nth(index % count).map(hop_of);
        Some((hop(turn)?, hop(turn + 1).filter(|_| count > 1)))
    }

    /// Returns the two candidates with the highest ranks for the key.
    ///
    /// Suspects rank behind all others. They get new flows only if there are too few others: if all
    /// agents are suspect, the connection of this balancer is the more likely fault.
    fn by_rank(&self, key: Key) -> Option<(Hop, Option<Hop>)> {
        let mut best: Option<(Rank, Hop)> = None;
        let mut second: Option<(Rank, Hop)> = None;
        for entry in &self.candidates {
            let ranked = (Rank::of(key, entry), hop_of(entry));
            if best.is_none_or(|(rank, _)| ranked.0 > rank) {
                second = best.replace(ranked);
            } else if second.is_none_or(|(rank, _)| ranked.0 > rank) {
                second = Some(ranked);
            }
        }
        best.map(|(_, hop)| (hop, second.map(|(_, hop)| hop)))
    }

    fn by_pressure(&self, key: Key, balancers: u32) -> Option<Choice> {
        let (first, next) = self.by_rank(key)?;
        let candidate = |hop: &Hop| self.candidates.get(&hop.address);
        let prefers_next = match (candidate(&first), next.as_ref().and_then(candidate)) {
            (Some(one), Some(two)) => {
                let threshold = two.pressure(balancers) * (100 + self.tolerance_percent) / 100;
                (one.full(), one.pressure(balancers)) > (two.full(), threshold)
            }
            _ => false,
        };
        Some(Choice { first, next, prefers_next })
    }
}

/// Rank of a candidate for one key: candidates that are not suspect come first, then higher hashes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    trusted: bool,
    weight: u64,
}

impl Rank {
    fn of(key: Key, (address, candidate): (&SocketAddr, &Candidate)) -> Self {
        let seed = match address {
            SocketAddr::V4(v4) => u64::from(v4.ip().to_bits()) << 16 | u64::from(v4.port()),
            SocketAddr::V6(v6) => (v6.ip().to_bits() as u64) ^ u64::from(v6.port()),
        };
        let instance = u64::from(candidate.instance.number());
        Self { trusted: !candidate.suspect, weight: mix(key.0 ^ mix(seed ^ instance << 48)) }
    }
}

const fn hop_of(entry: (&SocketAddr, &Candidate)) -> Hop {
    Hop { address: *entry.0, instance: entry.1.instance }
}

/// Mixes the bits of a number with the finalizer of the `SplitMix64` generator. The result is not
/// cryptographically secure.
pub(crate) const fn mix(mut z: u64) -> u64 {
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
