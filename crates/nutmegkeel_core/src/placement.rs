//! Which agents a new flow may go to, and which of them it goes to.
//!
//! Each balancer decides alone. With the same view and the same reports all decide alike: the
//! candidates come from rendezvous hashing of the flow's key, and the load that the agents report
//! on their answers picks among the first two.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::class::Target;
use crate::load::Report;
use crate::member::Instance;

/// Key of a flow: a hash of what all its packets carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(u64);

impl Key {
    /// The key made of these bytes (the caller's address, the class and the opening token).
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

    /// A key from a number that is spread evenly already.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The key as a number, spread evenly.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Where a packet goes: a process and the run of it that must take it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Hop {
    /// Address for frames.
    pub address: SocketAddr,
    /// The run that must take it.
    pub instance: Instance,
}

/// The choice for one new flow.
///
/// Guards against a flow that is opened twice. A caller that has no answer yet sends two copies of its
/// opening at once, the fabric hands them to two balancers, and one of these knows other loads, as one
/// does that has just started. Were the copies sent to two agents, both would answer, and the caller
/// would take the packets of the one for the other's and end the flow with a protocol error. So load
/// never changes where an opening is sent, only what the first agent is asked to do with it: that
/// agent sees all copies and sends them one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// The agent that gets the packet.
    pub first: Hop,
    /// The agent the first may pass it on to.
    pub next: Option<Hop>,
    /// Whether the first is to be spared: it passes the flow on, unless it holds it already.
    pub spares_first: bool,
}

impl Choice {
    /// The agent that is meant to take the flow.
    #[must_use]
    pub fn taker(&self) -> Hop {
        self.next.filter(|_| self.spares_first).unwrap_or(self.first)
    }
}

/// What a balancer knows of one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The run that takes new flows.
    pub instance: Instance,
    /// Requests in progress at most; the share of new flows follows it.
    pub slots: u32,
    /// Open flows at most.
    pub connections: u32,
    /// Whether peers suspect it of having died.
    pub suspect: bool,
    report: Report,
    placed_since_report: u32,
}

impl Candidate {
    /// A candidate that has not reported yet.
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

    /// Takes in the agent's own count.
    pub const fn heard(&mut self, report: Report) {
        self.report = report;
        self.placed_since_report = 0;
    }

    /// Notes a flow that this balancer sent there.
    const fn placed(&mut self) {
        self.placed_since_report = self.placed_since_report.saturating_add(1);
    }

    /// Expected pressure: open flows per slot, what was sent since the last report included.
    ///
    /// Guards against a herd on the backend server that last reported the least: between two
    /// reports each balancer counts its own placements as if its peers had done the same.
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

/// The rule that picks an agent. The others are baselines for measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rule {
    /// Rendezvous hashing, then the lesser pressure of the first two.
    LoadedRendezvous,
    /// Rendezvous hashing alone.
    Rendezvous,
    /// The candidates in turn, by a counter of this balancer.
    RoundRobin,
}

/// The agents of one class that take new flows, by address.
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
    /// Adds a candidate or replaces what was known of it, keeping the report of the same run.
    pub fn insert(&mut self, address: SocketAddr, mut candidate: Candidate) {
        if let Some(known) = self.candidates.get(&address)
            && known.instance == candidate.instance
        {
            candidate.report = known.report;
            candidate.placed_since_report = known.placed_since_report;
        }
        self.candidates.insert(address, candidate);
    }

    /// Takes no new flow there from now on.
    pub fn remove(&mut self, address: SocketAddr) {
        self.candidates.remove(&address);
    }

    /// Sets how uneven the spread may be, from the class's target.
    ///
    /// Within half of what the target allows, a flow stays with the first of its candidates, so
    /// that balancers whose reports differ a little still decide alike.
    pub fn set_imbalance(&mut self, percent: u32) {
        self.tolerance_percent = u64::from(percent.saturating_sub(100)) / 2;
    }

    /// Number of candidates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Whether no agent takes new flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Takes in a report; one of an earlier run is ignored.
    pub fn heard(&mut self, hop: Hop, report: Report) {
        if let Some(candidate) = self.candidates.get_mut(&hop.address)
            && candidate.instance == hop.instance
        {
            candidate.heard(report);
        }
    }

    /// Places a new flow, or none when no agent takes any.
    pub fn place(&mut self, key: Key, rule: Rule, balancers: u32) -> Option<Choice> {
        let plain = |(first, next)| Choice { first, next, spares_first: false };
        let choice = match rule {
            Rule::RoundRobin => plain(self.in_turn()?),
            Rule::Rendezvous => plain(self.by_rank(key)?),
            Rule::LoadedRendezvous => self.by_pressure(key, balancers)?,
        };
        if let Some(candidate) = self.candidates.get_mut(&choice.taker().address) {
            candidate.placed();
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

    /// The two candidates that rank first for the key. Suspects rank behind all others, so that
    /// they get new flows only when everybody is suspect (then the observer is the likelier fault).
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
        let spares_first = match (candidate(&first), next.as_ref().and_then(candidate)) {
            (Some(one), Some(two)) => {
                let most = two.pressure(balancers) * (100 + self.tolerance_percent) / 100;
                (one.full(), one.pressure(balancers)) > (two.full(), most)
            }
            _ => false,
        };
        Some(Choice { first, next, spares_first })
    }
}

/// Order of a candidate for one key: the trusted before the suspect, then the higher hash.
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
        let run = u64::from(candidate.instance.number());
        Self { trusted: !candidate.suspect, weight: mix(key.0 ^ mix(seed ^ run << 48)) }
    }
}

const fn hop_of(entry: (&SocketAddr, &Candidate)) -> Hop {
    Hop { address: *entry.0, instance: entry.1.instance }
}

/// Spreads the bits of a number that is not secret (the finaliser of the `SplitMix64` generator).
pub(crate) const fn mix(mut z: u64) -> u64 {
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
