//! Probes: packets passed to the backend server to find out whether it holds their flow.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::flow::Flow;
use crate::clock::Time;

/// Time after which a probe ends, in milliseconds. The server answers within a millisecond.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Time for which the server's answer that it does not hold a flow is remembered, in milliseconds.
/// Guards against passing it the packets of a flow again and again while the flow's own agent is
/// briefly unreachable.
const DENIED_MS: u64 = 10_000;

/// Packets on their way to the server, by the probe number written into them.
#[derive(Debug, Default)]
pub struct Probes {
    sent: BTreeMap<u32, Probe>,
    queries: BTreeMap<Flow, Query>,
    last: u32,
    denied: BTreeMap<Flow, Time>,
}

/// A balancer's query whether the server holds a flow.
#[derive(Clone, Copy, Debug)]
struct Query {
    /// The balancer that sent the query.
    from: Ipv4Addr,
    /// Whether a packet with data was passed to the server.
    has_request: bool,
    /// When the last packet was passed to it.
    at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    flow: Flow,
    from: Ipv4Addr,
    at: Time,
}

impl Probes {
    /// Records a packet of a balancer. Returns the probe number to write into it, which is never
    /// zero.
    pub fn insert(&mut self, now: Time, flow: Flow, from: Ipv4Addr) -> u32 {
        self.last = self.last.wrapping_add(1).max(1);
        self.sent.insert(self.last, Probe { flow, from, at: now });
        self.last
    }

    /// Like [`Self::insert`], for a balancer that queries whether the server holds the flow.
    pub fn insert_query(&mut self, now: Time, flow: Flow, from: Ipv4Addr, is_request: bool) -> u32 {
        let had_request = self.queries.get(&flow).is_some_and(|query| query.has_request);
        let has_request = had_request || is_request;
        self.queries.insert(flow, Query { from, has_request, at: now });
        self.insert(now, flow, from)
    }

    /// Returns the number of flows that the server may hold and on which it has not answered a
    /// request yet.
    #[must_use]
    pub fn unanswered_requests(&self) -> usize {
        self.queries.values().filter(|query| query.has_request).count()
    }

    /// Returns the balancer that sent the packet with this probe number.
    pub fn take(&mut self, number: u32) -> Option<Ipv4Addr> {
        let probe = self.sent.remove(&number)?;
        self.queries.remove(&probe.flow);
        Some(probe.from)
    }

    /// Returns the balancer that queried a flow which the server has shown to hold.
    pub fn take_answered(&mut self, flow: &Flow) -> Option<Ipv4Addr> {
        self.queries.remove(flow).map(|query| query.from)
    }

    /// Records that the server does not hold a flow.
    pub fn deny(&mut self, now: Time, flow: Flow) {
        self.denied.insert(flow, now);
    }

    /// Returns whether the server recently showed that it does not hold the flow.
    #[must_use]
    pub fn denied(&self, now: Time, flow: &Flow) -> bool {
        self.denied.get(flow).is_some_and(|at| now.since(*at) <= DENIED_MS)
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Time) {
        self.sent.retain(|_, probe| now.since(probe.at) <= PROBE_TIMEOUT_MS);
        self.queries.retain(|_, query| now.since(query.at) <= PROBE_TIMEOUT_MS);
        self.denied.retain(|_, at| now.since(*at) <= DENIED_MS);
    }
}
