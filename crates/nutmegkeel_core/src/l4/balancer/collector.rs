//! Collects agents' lists of open flows and saves several of them with one store call.
//!
//! Matters where many agents have short flows: each agent saves a list whenever a quarter of its
//! flows are new, which is every few seconds with two slots per server. Store calls are billed and
//! share one rate limit; with 136 agents, lists saved one by one are half of all calls under normal
//! load. One transaction takes many lists.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::checkpoint::Checkpoint;
use crate::l4::handover::GATHER_MS;
use crate::l4::message::Message;

/// Maximum number of lists per write: as many as one transaction takes.
const MAX_LISTS: usize = 16;

/// Time after which a write that has not ended is ignored, in milliseconds. Its agents have used
/// another way to save their lists by then.
const WRITE_TIMEOUT_MS: u64 = 5_000;

/// Lists that wait to be written.
#[derive(Debug, Default)]
pub(super) struct Collector {
    lists: BTreeMap<Ipv4Addr, Checkpoint>,
    /// When the first of these lists arrived.
    first_at: Option<Time>,
    /// When the current write began.
    write_started_at: Option<Time>,
}

impl Collector {
    /// Adds a list. It replaces an older list of the same agent, but never a newer one.
    pub(super) fn add(&mut self, now: Time, from: Ipv4Addr, list: Checkpoint) {
        if self.lists.get(&from).is_some_and(|waiting| waiting.number >= list.number) {
            return;
        }
        self.first_at.get_or_insert(now);
        self.lists.insert(from, list);
    }

    /// Returns the lists to write now, if a write is due. Only one write runs at a time; the next
    /// one takes all lists that arrived during it.
    pub(super) fn due(&mut self, now: Time) -> Option<Vec<(Ipv4Addr, Checkpoint)>> {
        let is_due = now.since(self.first_at?) >= GATHER_MS || self.lists.len() >= MAX_LISTS;
        let is_writing =
            self.write_started_at.is_some_and(|began| now.since(began) <= WRITE_TIMEOUT_MS);
        if !is_due || is_writing {
            return None;
        }
        self.first_at = None;
        self.write_started_at = Some(now);
        Some(std::mem::take(&mut self.lists).into_iter().collect())
    }

    fn write_ended(&mut self) {
        self.write_started_at = None;
    }
}

impl Balancer {
    /// Notifies the agents whose lists are in the store. Other agents get no answer and save their
    /// lists another way.
    pub(super) fn committed(&mut self, written: Vec<(Ipv4Addr, u64)>) -> Vec<Action> {
        self.collector.write_ended();
        let saved = written.into_iter();
        saved.map(|(agent, number)| Action::Send(agent, Message::FlowsSaved { number })).collect()
    }
}
