//! Packets for which the configuration in force has no route.
//!
//! A missing route does not show that the route was dropped: this process may have an old
//! configuration, because it is about to stop, has just started or resumed, or is cut off. Openings
//! are refused at once, since their clients lose nothing, unless a newer configuration is being
//! fetched. A packet of an open flow goes to the agent that holds the flow, which knows under which
//! configuration the flow was opened.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use super::opening::MAX_OPENING_AGE_MS;
use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision};
use crate::l4::fetch::Holder;
use crate::l4::flow::{Flow, Head};
use crate::l4::message::{Message, MissingRoute};
use crate::l4::route::Table;

/// Time for which a dropped route is remembered, in milliseconds. Flows do not live longer.
const DROPPED_MS: u64 = 60_000;

/// Maximum number of dropped routes that are remembered. A flow of another one goes on until its
/// client closes it, if the flow's agent has restarted.
const MAX_DROPPED: usize = 10_000;

/// Number of queries per second that searches for flows without a route may cost on average. A scan
/// of unknown addresses would otherwise cost a query to every agent for each of its packets.
const QUERIES_PER_S: i64 = 500;

/// Number of queries that may be sent at once. When the fabric changes its choice, packets of all
/// open flows on new routes may arrive within a round trip.
const MAX_QUERIES: i64 = 2_000;

/// Routes that the configuration had and no longer has.
#[derive(Debug, Default)]
pub(super) struct Dropped {
    routes: BTreeMap<SocketAddrV4, Time>,
}

impl Dropped {
    /// Records which routes a new configuration drops or adds again.
    pub(super) fn record(&mut self, now: Time, before: &Table, after: &Table) {
        let dropped = before.routes.keys().filter(|address| !after.routes.contains_key(address));
        let room = MAX_DROPPED.saturating_sub(self.routes.len());
        self.routes.extend(dropped.take(room).map(|address| (*address, now)));
        self.routes.retain(|address, _| !after.routes.contains_key(address));
    }

    /// Forgets routes whose flows have ended.
    pub(super) fn expire(&mut self, now: Time) {
        self.routes.retain(|_, dropped_at| now.since(*dropped_at) < DROPPED_MS);
    }
}

/// The newest version that another process has reported.
#[derive(Debug, Default)]
pub(super) struct Newest {
    version: u64,
    /// Since when the own version has been lower.
    awaited_since: Option<Time>,
}

impl Newest {
    /// Records the version in force.
    pub(super) fn configured(&mut self, now: Time, version: u64) {
        self.awaited_since = (version < self.version).then_some(now);
    }

    fn reported(&mut self, now: Time, version: u64) {
        self.version = self.version.max(version);
        self.awaited_since.get_or_insert(now);
    }

    /// Returns whether a newer version is being fetched, and openings may wait for it.
    fn is_awaited(&self, now: Time) -> bool {
        self.awaited_since.is_some_and(|since| now.since(since) <= MAX_OPENING_AGE_MS)
    }
}

/// Limits how many queries are sent in searches for flows without a route.
#[derive(Debug)]
pub(super) struct Budget {
    /// Queries that may be sent now, in thousandths; negative after a search that exceeded it.
    balance: i64,
    refilled_at: Time,
}

impl Budget {
    /// Creates a full budget.
    pub(super) const fn open(now: Time) -> Self {
        Self { balance: MAX_QUERIES * 1_000, refilled_at: now }
    }

    /// Begins a search if the budget allows it. The search goes on although the budget may be
    /// exhausted meanwhile, which is then refilled for longer.
    fn begin_search(&mut self, now: Time) -> bool {
        let elapsed_ms = i64::try_from(now.since(self.refilled_at)).unwrap_or(i64::MAX);
        let refill = elapsed_ms.saturating_mul(QUERIES_PER_S);
        self.balance = self.balance.saturating_add(refill).min(MAX_QUERIES * 1_000);
        self.refilled_at = now;
        let has_room = self.balance > 0;
        if has_room {
            self.spend(1);
        }
        has_room
    }

    fn spend(&mut self, queries: usize) {
        let queries = i64::try_from(queries).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_sub(queries.saturating_mul(1_000));
    }
}

impl Balancer {
    /// Returns whether a configuration is in force that has no route for a flow.
    pub(super) fn has_no_route(&self, flow: &Flow) -> bool {
        self.table.version > 0 && !self.table.routes.contains_key(&flow.service)
    }

    /// Handles a packet for which the configuration in force has no route.
    pub(super) fn without_route(&mut self, now: Time, head: &Head) -> Vec<Action> {
        if head.opens() && self.newest.is_awaited(now) {
            return self.keep(head, Cause::RouteUnknown);
        }
        if head.opens() {
            self.cache.remove(&head.flow);
            return self.reset(head, Cause::NoRoute, 0);
        }
        if !self.may_search(now, &head.flow) {
            // The client sends the packet again.
            let (flow, cause) = (head.flow, Cause::RouteUnknown);
            return vec![Action::Log(Decision::Dropped { flow, cause })];
        }
        self.carry(now, head)
    }

    /// Fetches the configuration of a process that has a newer one.
    pub(super) fn fetch_newer(&mut self, now: Time, holder: Holder) -> Option<Action> {
        if holder.version <= self.table.version {
            return None;
        }
        self.newest.reported(now, holder.version);
        Some(Action::Fetch(holder))
    }

    /// Returns whether the search for a flow may go on, or begin if it has not begun or is repeated.
    /// False only for a flow without a route.
    pub(super) fn may_search(&mut self, now: Time, flow: &Flow) -> bool {
        let begins = self.cache.get(flow).is_none_or(|entry| entry.is_stale(now));
        !begins || !self.has_no_route(flow) || self.query_budget.begin_search(now)
    }

    /// Returns the message with which a packet is forwarded to the agent that holds its flow, or may
    /// hold it.
    pub(super) fn carry_message(&self, flow: &Flow, known: bool) -> Message {
        if !self.has_no_route(flow) {
            return Message::Carry { known };
        }
        let version = self.table.version;
        let was_dropped = self.dropped.routes.contains_key(&flow.service);
        Message::CarryWithoutRoute(MissingRoute { version, was_dropped, known })
    }

    /// Records that this number of agents is asked for a flow.
    pub(super) fn record_queries(&mut self, flow: &Flow, queries: usize) {
        if self.has_no_route(flow) {
            self.query_budget.spend(queries);
        }
    }

    /// Returns why a packet waits for the answers of agents.
    pub(super) fn cause_of_wait(&self, flow: &Flow) -> Cause {
        if self.has_no_route(flow) { Cause::RouteUnknown } else { Cause::Undecided }
    }
}
