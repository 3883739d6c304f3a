//! Cache of flows in a balancer: their agents, or the progress of the search for them. Losing an
//! entry costs one search.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use super::flow::{Flow, Head};
use super::message::Reason;
use crate::clock::Time;

/// Maximum number of entries. A balancer has up to 23,000 open flows; this leaves room for flows of
/// other balancers after the fabric changes its choice, in about 15 MB.
pub const MAX_ENTRIES: usize = 100_000;

/// Time after which an unused entry is removed, in milliseconds. No flow lives longer.
const IDLE_TIMEOUT_MS: u64 = 60_000;

/// Time after which a waiting client has given up, in milliseconds. No request has a later
/// deadline.
const UNDECIDED_TIMEOUT_MS: u64 = 10_000;

/// Time after which a search without a result is repeated, in milliseconds. Agents may have
/// appeared.
const SEARCH_INTERVAL_MS: u64 = 1_000;

/// Time after which an agent that has not answered a search is skipped, in milliseconds. A round
/// trip between failure domains takes 3 ms, and a small busy host may add some tens of
/// milliseconds.
pub const ANSWER_TIMEOUT_MS: u64 = 60;

/// Pause before an agent that did not answer is asked again, in milliseconds. The agent may have
/// just started next to a backend server that it does not know yet; it knows the server two ticks
/// later.
const RETRY_MS: u64 = 200;

/// Time for which an agent's denial is remembered beyond the search in which it was asked, in
/// milliseconds. A flow does not move to another server. The time is bounded because a client may
/// open a new flow from the same port by way of another balancer.
const DENIED_MS: u64 = 10_000;

/// Location of a flow, as known to this balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// An opening was sent to this agent.
    Placed(Ipv4Addr),
    /// This agent reported that it holds the flow.
    Held(Ipv4Addr),
    /// This agent was asked and has not answered.
    Asked(Ipv4Addr),
}

impl Place {
    /// Returns the agent that packets of the flow are sent to.
    #[must_use]
    pub const fn agent(&self) -> Ipv4Addr {
        match self {
            Self::Placed(agent) | Self::Held(agent) | Self::Asked(agent) => *agent,
        }
    }
}

/// First packet of a client's request.
#[derive(Clone, Copy, Debug)]
struct Request {
    seq: u32,
    /// When it was first received.
    at: Time,
    /// Whether it was received again, which shows that the client has no answer.
    is_repeated: bool,
}

/// Cached state of one flow.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Where it is.
    pub place: Option<Place>,
    /// Agents that declined it, and why.
    pub declined: Vec<(Ipv4Addr, Reason)>,
    /// Acknowledgement number of the client's last packet, which a reset must carry.
    pub client_ack: u32,
    /// The client's last packet with data, until it acknowledges an answer.
    request: Option<Request>,
    /// Whether its client was refused before and now retries; `None` until this was looked up.
    pub is_retry: Option<bool>,
    /// Agents that were skipped without an answer, with the time of that. One of them may hold the
    /// flow.
    pub unanswered: BTreeMap<Ipv4Addr, Time>,
    /// Agents that denied the flow, in this search or an earlier one, with the time of that.
    denied: BTreeMap<Ipv4Addr, Time>,
    /// Agents that were asked without the packet and have not answered yet.
    pub queried: BTreeSet<Ipv4Addr>,
    /// Agents that need the packet to determine whether they hold the flow.
    pub unsure: BTreeSet<Ipv4Addr>,
    /// When the current search or placement began.
    pub started_at: Time,
    /// When the agent of `place`, or those of `queried`, were asked.
    pub asked_at: Time,
    /// When the entry was last used.
    pub used_at: Time,
}

impl Entry {
    const fn new(now: Time) -> Self {
        Self {
            place: None,
            declined: Vec::new(),
            client_ack: 0,
            request: None,
            is_retry: None,
            unanswered: BTreeMap::new(),
            denied: BTreeMap::new(),
            queried: BTreeSet::new(),
            unsure: BTreeSet::new(),
            started_at: now,
            asked_at: now,
            used_at: now,
        }
    }

    /// Restarts the search. What agents said of the flow is kept.
    pub fn restart(&mut self, now: Time) {
        let (client_ack, request) = (self.client_ack, self.request);
        let mut denied = std::mem::take(&mut self.denied);
        denied.retain(|_, at| now.since(*at) <= DENIED_MS);
        *self = Self { client_ack, request, denied, ..Self::new(now) };
    }

    /// Records that an agent does not hold the flow.
    pub fn record_denied(&mut self, now: Time, agent: Ipv4Addr) {
        self.denied.insert(agent, now);
    }

    /// Returns whether an agent has denied the flow recently.
    #[must_use]
    pub fn was_denied_by(&self, now: Time, agent: Ipv4Addr) -> bool {
        self.denied.get(&agent).is_some_and(|at| now.since(*at) <= DENIED_MS)
    }

    /// Records that an agent holds the flow.
    pub fn record_held(&mut self, agent: Ipv4Addr) {
        self.place = Some(Place::Held(agent));
        self.declined.clear();
        self.unanswered.clear();
        self.denied.clear();
        self.queried.clear();
        self.unsure.clear();
    }

    /// Records that an agent which was skipped can be asked again.
    pub fn ask_again(&mut self, agent: Ipv4Addr) {
        self.unanswered.remove(&agent);
        self.declined.retain(|(declined, _)| *declined != agent);
    }

    /// Records a packet of the client.
    pub const fn record_client(&mut self, now: Time, head: &Head) {
        if head.ack != self.client_ack {
            self.request = None;
        }
        self.client_ack = head.ack;
        if head.len == 0 {
            return;
        }
        match &mut self.request {
            Some(request) if request.seq == head.seq => request.is_repeated = true,
            Some(request) if request.is_repeated => {}
            _ => self.request = Some(Request { seq: head.seq, at: now, is_repeated: false }),
        }
    }

    /// Returns since when the client has waited for an answer; `None` if it has not sent a request
    /// twice. A request that was sent once may have been answered: answers take another way.
    #[must_use]
    pub fn waits_since(&self) -> Option<Time> {
        self.request.filter(|request| request.is_repeated).map(|request| request.at)
    }

    /// Records that an agent is asked for the flow.
    pub fn ask(&mut self, now: Time, agent: Ipv4Addr) {
        self.place = Some(Place::Asked(agent));
        self.asked_at = now;
    }

    /// Returns whether the search ended without a result long enough ago to be repeated.
    #[must_use]
    pub fn is_stale(&self, now: Time) -> bool {
        self.place.is_none()
            && self.queried.is_empty()
            && now.since(self.started_at) > SEARCH_INTERVAL_MS
    }

    /// Returns whether an agent was asked in the current search, with or without the packet.
    #[must_use]
    pub fn was_asked(&self, agent: Ipv4Addr) -> bool {
        self.declined.contains(&(agent, Reason::NotHeld))
            || self.queried.contains(&agent)
            || self.unsure.contains(&agent)
    }

    /// Returns whether agents that did not answer may be asked again.
    #[must_use]
    pub fn may_retry(&self, now: Time) -> bool {
        self.place.is_none() && now.since(self.asked_at) > RETRY_MS
    }

    /// Returns whether the answer of the last asked agent is overdue.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        matches!(self.place, Some(Place::Asked(_))) && self.is_timed_out(now)
    }

    /// Returns whether agents that were asked at once may still answer.
    #[must_use]
    pub fn awaits_answers(&self, now: Time) -> bool {
        !self.queried.is_empty() && !self.is_timed_out(now)
    }

    const fn is_timed_out(&self, now: Time) -> bool {
        now.since(self.asked_at) > ANSWER_TIMEOUT_MS
    }
}

/// Cache entries by flow.
#[derive(Debug, Default)]
pub struct Cache {
    entries: BTreeMap<Flow, Entry>,
    /// Flows whose clients wait for a decision, with the time since which they wait.
    undecided: BTreeMap<Flow, Time>,
}

impl Cache {
    /// Returns the entry of a flow, created if there is none.
    pub fn entry(&mut self, now: Time, flow: Flow) -> &mut Entry {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&flow) {
            self.entries.pop_first();
        }
        let entry = self.entries.entry(flow).or_insert_with(|| Entry::new(now));
        entry.used_at = now;
        entry
    }

    /// Returns the entry of a flow, if there is one.
    #[must_use]
    pub fn get(&self, flow: &Flow) -> Option<&Entry> {
        self.entries.get(flow)
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: &Flow) {
        self.entries.remove(flow);
        self.undecided.remove(flow);
    }

    /// Removes entries that have been unused for too long.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| now.since(entry.used_at) < IDLE_TIMEOUT_MS);
    }

    /// Records that a client waits, because its packet could not be handled before all agents
    /// answer.
    pub fn mark_undecided(&mut self, now: Time, flow: Flow) {
        self.undecided.entry(flow).or_insert(now);
    }

    /// Records that the client no longer waits.
    pub fn mark_decided(&mut self, flow: &Flow) {
        self.undecided.remove(flow);
    }

    /// Returns flows whose clients wait for a decision. Removes those that have waited too long.
    pub fn undecided(&mut self, now: Time) -> Vec<Flow> {
        self.undecided.retain(|_, since| now.since(*since) <= UNDECIDED_TIMEOUT_MS);
        self.undecided.keys().copied().collect()
    }

    /// Returns the flows that an agent reported to hold, with the clients' last acknowledgement
    /// numbers.
    #[must_use]
    pub fn held_by(&self, agent: Ipv4Addr) -> Vec<(Flow, u32)> {
        let is_held = |entry: &Entry| entry.place == Some(Place::Held(agent));
        let entries = self.entries.iter().filter(|(_, entry)| is_held(entry));
        entries.map(|(flow, entry)| (*flow, entry.client_ack)).collect()
    }

    /// Returns the flows that one of these agents reported to hold and whose clients have repeated a
    /// request, each with the time of the request and the client's last acknowledgement number.
    #[must_use]
    pub fn waiting_at(&self, agents: &BTreeSet<Ipv4Addr>) -> Vec<(Flow, Time, u32)> {
        if agents.is_empty() {
            return Vec::new();
        }
        let waiting = |(flow, entry): (&Flow, &Entry)| match entry.place {
            Some(Place::Held(agent)) if agents.contains(&agent) => {
                Some((*flow, entry.waits_since()?, entry.client_ack))
            }
            _ => None,
        };
        self.entries.iter().filter_map(waiting).collect()
    }

    /// Returns since when the client of a flow waits, with a request that it has repeated or for a
    /// decision.
    #[must_use]
    pub fn waits_since(&self, flow: &Flow) -> Option<Time> {
        let repeated = self.entries.get(flow).and_then(Entry::waits_since);
        repeated.or_else(|| self.undecided.get(flow).copied())
    }

    /// Returns the number of cached flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the cache is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
