//! What one balancer remembers of flows: where they are, or how far the search for them has come.
//! A cache only: an entry that is lost costs one search.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use super::flow::Flow;
use super::message::Reason;
use crate::clock::Time;

/// Entries at most. At 23,000 open flows for a balancer of the size planned for, this leaves room
/// for flows of others after a change of the fabric's choice, in about 15 MB.
pub const LARGEST: usize = 100_000;

/// An entry unused for so long is dropped: no flow lives longer.
const UNUSED_MS: u64 = 60_000;

/// A client that has waited for so long has given up: no request has more time.
const UNDECIDED_MS: u64 = 10_000;

/// A search that found nobody is begun anew after this: agents may have appeared.
const SEARCH_MS: u64 = 1_000;

/// An agent that has not answered a search for so long is passed over: a round trip between failure
/// domains is 3 ms, and a small host that is busy may take some tens more.
pub const ANSWER_MS: u64 = 60;

/// Pause until an agent that did not answer is asked again: it may have just started beside a backend
/// server that it does not know yet, and two ticks later it knows.
const AGAIN_MS: u64 = 200;

/// Where a flow is, as far as this balancer knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// An opening was sent there.
    Placed(Ipv4Addr),
    /// The agent said that it holds the flow.
    Held(Ipv4Addr),
    /// The agent was asked and has not answered.
    Asked(Ipv4Addr),
}

impl Place {
    /// The agent that packets of the flow go to.
    #[must_use]
    pub const fn agent(&self) -> Ipv4Addr {
        match self {
            Self::Placed(agent) | Self::Held(agent) | Self::Asked(agent) => *agent,
        }
    }
}

/// What is remembered of one flow.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Where it is.
    pub place: Option<Place>,
    /// Agents that declined it, and why.
    pub declined: Vec<(Ipv4Addr, Reason)>,
    /// Acknowledgement number of the client's last packet: a reset must carry it.
    pub client_ack: u32,
    /// Whether its client comes back after a refusal; none until that was looked up.
    pub returns: Option<bool>,
    /// Agents that were passed over without an answer: one of them may hold the flow.
    pub unanswered: Vec<Ipv4Addr>,
    /// Agents that were asked without the packet and have not answered yet.
    pub questions: BTreeSet<Ipv4Addr>,
    /// Agents that can say only with the packet whether they hold the flow.
    pub unsure: BTreeSet<Ipv4Addr>,
    /// When the present search or placement began.
    pub began: Time,
    /// When the agent of `place`, or those of `questions`, were asked.
    pub asked: Time,
    /// Last use.
    pub used: Time,
}

impl Entry {
    const fn new(now: Time) -> Self {
        Self {
            place: None,
            declined: Vec::new(),
            client_ack: 0,
            returns: None,
            unanswered: Vec::new(),
            questions: BTreeSet::new(),
            unsure: BTreeSet::new(),
            began: now,
            asked: now,
            used: now,
        }
    }

    /// Begins the search anew.
    pub fn restart(&mut self, now: Time) {
        *self = Self { client_ack: self.client_ack, ..Self::new(now) };
    }

    /// Notes that an agent is asked for the flow.
    pub fn ask(&mut self, now: Time, agent: Ipv4Addr) {
        self.place = Some(Place::Asked(agent));
        self.asked = now;
    }

    /// Whether the search ended without a finding so long ago that it is worth another.
    #[must_use]
    pub fn is_stale(&self, now: Time) -> bool {
        self.place.is_none() && self.questions.is_empty() && now.since(self.began) > SEARCH_MS
    }

    /// Whether an agent was asked, with the packet or without it, in the present search.
    #[must_use]
    pub fn was_asked(&self, agent: Ipv4Addr) -> bool {
        self.declined.contains(&(agent, Reason::NotHeld))
            || self.questions.contains(&agent)
            || self.unsure.contains(&agent)
    }

    /// Whether it is time to ask those again who did not answer.
    #[must_use]
    pub fn may_ask_again(&self, now: Time) -> bool {
        self.place.is_none() && now.since(self.asked) > AGAIN_MS
    }

    /// Whether the agent asked last is overdue.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        matches!(self.place, Some(Place::Asked(_))) && self.has_waited(now)
    }

    /// Whether agents that were asked at once may still answer.
    #[must_use]
    pub fn awaits_answers(&self, now: Time) -> bool {
        !self.questions.is_empty() && !self.has_waited(now)
    }

    const fn has_waited(&self, now: Time) -> bool {
        now.since(self.asked) > ANSWER_MS
    }
}

/// The entries by flow.
#[derive(Debug, Default)]
pub struct Cache {
    entries: BTreeMap<Flow, Entry>,
    /// Flows whose clients wait for a decision, since when.
    undecided: BTreeMap<Flow, Time>,
}

impl Cache {
    /// The entry of a flow, made if there is none.
    pub fn entry(&mut self, now: Time, flow: Flow) -> &mut Entry {
        if self.entries.len() >= LARGEST && !self.entries.contains_key(&flow) {
            self.entries.pop_first();
        }
        let entry = self.entries.entry(flow).or_insert_with(|| Entry::new(now));
        entry.used = now;
        entry
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &Flow) {
        self.entries.remove(flow);
        self.undecided.remove(flow);
    }

    /// Drops what has not been used for long.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| now.since(entry.used) < UNUSED_MS);
    }

    /// Notes that a packet was dropped because nobody could be ruled out yet: its client waits.
    pub fn wait(&mut self, now: Time, flow: Flow) {
        self.undecided.entry(flow).or_insert(now);
    }

    /// Notes that the client need not wait any more.
    pub fn decide(&mut self, flow: &Flow) {
        self.undecided.remove(flow);
    }

    /// Flows whose clients wait for a decision; those that have waited too long are given up.
    pub fn undecided(&mut self, now: Time) -> Vec<Flow> {
        self.undecided.retain(|_, since| now.since(*since) <= UNDECIDED_MS);
        self.undecided.keys().copied().collect()
    }

    /// Flows that an agent said it holds, with the clients' last acknowledgement numbers.
    #[must_use]
    pub fn held_by(&self, agent: Ipv4Addr) -> Vec<(Flow, u32)> {
        let there = |entry: &Entry| entry.place == Some(Place::Held(agent));
        let entries = self.entries.iter().filter(|(_, entry)| there(entry));
        entries.map(|(flow, entry)| (*flow, entry.client_ack)).collect()
    }

    /// Number of flows remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
