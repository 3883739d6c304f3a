//! Packets sent to the backend server to find out whether it holds their flow.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::flow::Flow;
use crate::clock::Time;

/// A probe is over after this: the server answers within a millisecond.
const PROBE_MS: u64 = 1_000;

/// A packet that needs an answer and has had none for so long gets none any more, in milliseconds: a server answers
/// within a millisecond, and the way to it does not leave the host.
const UNANSWERED_MS: u64 = 150;

/// Packets with data of one flow after which a server that holds it has answered: it acknowledges every second
/// one, whatever it is at work on, and one may be lost.
const ACKNOWLEDGED_AFTER: u32 = 3;

/// How long the server's word that it does not hold a flow is remembered. Guards against handing
/// it the packets of a flow whose own agent is away for a moment, again and again.
const DENIED_MS: u64 = 10_000;

/// Packets on their way to the server, by the number written into them.
#[derive(Debug, Default)]
pub struct Probes {
    sent: BTreeMap<u32, Probe>,
    asked: BTreeMap<Flow, Question>,
    last: u32,
    denied: BTreeMap<Flow, Time>,
}

/// Whether the server holds a flow.
#[derive(Clone, Copy, Debug)]
struct Question {
    /// The balancer that wants to know.
    from: Ipv4Addr,
    /// Packets with data that the server was handed.
    requests: u32,
    /// When it was handed the last packet.
    at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    flow: Flow,
    from: Ipv4Addr,
    at: Time,
}

impl Probes {
    /// Notes a packet of a balancer; returns the number to write into it, which is never zero.
    pub fn insert(&mut self, now: Time, flow: Flow, from: Ipv4Addr) -> u32 {
        self.last = self.last.wrapping_add(1).max(1);
        self.sent.insert(self.last, Probe { flow, from, at: now });
        self.last
    }

    /// Like [`Self::insert`], for a balancer that wants to know whether the server holds the flow.
    pub fn ask(&mut self, now: Time, flow: Flow, from: Ipv4Addr, is_request: bool) -> u32 {
        let before = self.asked.get(&flow).map_or(0, |question| question.requests);
        let requests = before + u32::from(is_request);
        self.asked.insert(flow, Question { from, requests, at: now });
        self.insert(now, flow, from)
    }

    /// Requests that the server has been handed on flows which it may hold and has not answered yet.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.asked.values().filter(|question| question.requests > 0).count()
    }

    /// The balancer that sent the packet with this number.
    pub fn take(&mut self, number: u32) -> Option<Ipv4Addr> {
        let probe = self.sent.remove(&number)?;
        self.asked.remove(&probe.flow);
        Some(probe.from)
    }

    /// The balancer that asked for a flow which the server has shown to hold.
    pub fn answered(&mut self, flow: &Flow) -> Option<Ipv4Addr> {
        self.asked.remove(flow).map(|question| question.from)
    }

    /// Takes out the questions that a server would have answered if there were one. One packet proves nothing: a
    /// server that holds the flow may be at work on what it asks for.
    pub fn take_unanswered(&mut self, now: Time) -> Vec<(Flow, Ipv4Addr)> {
        let is_silent = |question: &Question| {
            question.requests >= ACKNOWLEDGED_AFTER && now.since(question.at) > UNANSWERED_MS
        };
        let silent = self.asked.iter().filter(|(_, question)| is_silent(question));
        let silent: Vec<_> = silent.map(|(flow, question)| (*flow, question.from)).collect();
        for (flow, _) in &silent {
            self.asked.remove(flow);
        }
        silent
    }

    /// Notes that the server does not hold a flow.
    pub fn deny(&mut self, now: Time, flow: Flow) {
        self.denied.insert(flow, now);
    }

    /// Whether the server said lately that it does not hold the flow.
    #[must_use]
    pub fn denied(&self, now: Time, flow: &Flow) -> bool {
        self.denied.get(flow).is_some_and(|at| now.since(*at) <= DENIED_MS)
    }

    /// Drops what is over.
    pub fn expire(&mut self, now: Time) {
        self.sent.retain(|_, probe| now.since(probe.at) <= PROBE_MS);
        self.asked.retain(|_, question| now.since(question.at) <= PROBE_MS);
        self.denied.retain(|_, at| now.since(*at) <= DENIED_MS);
    }
}
