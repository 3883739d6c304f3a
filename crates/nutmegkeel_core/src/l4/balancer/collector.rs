//! Collects agents' lists of open flows and has many of them written with one call.
//!
//! The load pattern: each agent writes a list whenever a quarter of its flows are new, which at two slots a
//! server is each few seconds. Calls to the store are priced and its rate is shared, so 136 agents that
//! write by themselves make half of all calls of a calm day. One transaction takes many lists.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::checkpoint::Checkpoint;
use crate::l4::handover::GATHER_MS;
use crate::l4::message::Message;

/// Lists that go at once: as many as one transaction takes.
const FULL: usize = 16;

/// A write that has not ended after this is forgotten, in milliseconds: its agents have turned elsewhere.
const WRITING_MS: u64 = 5_000;

/// Lists that wait to be written.
#[derive(Debug, Default)]
pub(super) struct Collector {
    lists: BTreeMap<Ipv4Addr, Checkpoint>,
    /// When the first of these came.
    since: Option<Time>,
    /// When the write that goes on now began.
    writing: Option<Time>,
}

impl Collector {
    /// Takes a list in. An agent's newer list replaces its older one, never the other way round.
    pub(super) fn take(&mut self, now: Time, from: Ipv4Addr, list: Checkpoint) {
        if self.lists.get(&from).is_some_and(|waiting| waiting.number >= list.number) {
            return;
        }
        self.since.get_or_insert(now);
        self.lists.insert(from, list);
    }

    /// The lists to write now, if it is time. One write at a time: the next takes all that came meanwhile.
    pub(super) fn due(&mut self, now: Time) -> Option<Vec<(Ipv4Addr, Checkpoint)>> {
        let is_ripe = now.since(self.since?) >= GATHER_MS || self.lists.len() >= FULL;
        let is_writing = self.writing.is_some_and(|began| now.since(began) <= WRITING_MS);
        if !is_ripe || is_writing {
            return None;
        }
        self.since = None;
        self.writing = Some(now);
        Some(std::mem::take(&mut self.lists).into_iter().collect())
    }

    fn ended(&mut self) {
        self.writing = None;
    }
}

impl Balancer {
    /// Tells the agents whose lists are in the store. The others hear nothing and turn elsewhere.
    pub(super) fn committed(&mut self, written: Vec<(Ipv4Addr, u64)>) -> Vec<Action> {
        self.collector.ended();
        let told = written.into_iter();
        told.map(|(agent, number)| Action::Send(agent, Message::Written { number })).collect()
    }
}
