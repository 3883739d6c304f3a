//! Decisions of a balancer for flows without a routing token.

mod collector;
mod detour;
mod discovery;
mod evacuation;
mod event;
pub mod introductions;
mod inventory;
mod kept;
mod missing_route;
mod opening;
mod packet;
mod peers;
mod queries;
mod review;
mod search;
mod selection;
mod shortage;
mod snapshot;
mod speed;
mod stopped;
pub mod summary;
mod wide_search;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use collector::Collector;
use discovery::Discovery;
use introductions::Introductions;
use inventory::Absences;
use kept::View;
use missing_route::{Budget, Dropped, Newest};
use snapshot::Snapshot;

use super::cache::Cache;
use super::changes::Changes;
use super::decision::{Cause, Decision};
use super::evacuation::Latest;
use super::fetch::Holder;
use super::flow::{Flow, Head};
use super::message::Announcement;
use super::peer_state::States;
use super::placement::Pool;
use super::policy::{Mechanism, Policy};
use super::roster::{Roster, Sent};
use super::route::Table;
use crate::clock::Time;

pub use event::{Action, Event};

/// Pause between two ticks, in milliseconds. Gossip is sent with each.
pub const TICK_MS: u64 = 500;

/// Longest usual gap between two events, in milliseconds. A longer one means that the process was
/// stalled, because announcements alone arrive more often.
const STALL_MS: u64 = 1_000;

/// Stall after which the configuration may be out of date, in milliseconds. Other processes apply a
/// change within this time.
const OUTDATED_MS: u64 = 3_000;

/// Time after such a stall in which the configuration may still be out of date, in milliseconds.
/// Messages that have waited are read meanwhile, and a newer configuration is fetched.
const CATCH_UP_MS: u64 = 300;

/// Pause between two checks for silent agents and for clients that wait for a decision, in
/// milliseconds. A check iterates over all agents, so it is not done with every packet.
const REVIEW_MS: u64 = 50;

/// Sequence number of a reset that refuses an opening. A client accepts any number while its flow
/// is not open. A client whose flow was opened elsewhere by a copy of the opening ignores the
/// reset: the chance that this number lies in the window of its flow is one in 28,000.
const REFUSAL_SEQ: u32 = 0x8000_0000;

/// Properties of a balancer that are fixed at start.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its address.
    pub address: Ipv4Addr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Region of each failure domain.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// The mechanisms that are in use.
    pub policy: Policy,
}

/// Decides where the packets of flows without a routing token go.
#[derive(Debug)]
pub struct Balancer {
    identity: Identity,
    table: Table,
    /// Routes that earlier configurations had.
    dropped: Dropped,
    query_budget: Budget,
    /// Newest configuration that another process has reported.
    newest: Newest,
    latest_orders: Latest,
    pool: Pool,
    cache: Cache,
    peers: Roster,
    /// State that the other balancers last reported.
    peer_states: States,
    /// Whether the store answered the last call.
    reaches_store: bool,
    discovery: Discovery,
    absences: Absences,
    last_event: Time,
    /// When this process started, or last resumed after a stall.
    running_since: Time,
    /// When a stall ended after which the configuration may be out of date.
    resumed_at: Option<Time>,
    reviewed_at: Time,
    gossip_turn: usize,
    /// Information about the balancers that was last sent to each other balancer.
    sent: BTreeMap<Ipv4Addr, Sent>,
    introductions: Introductions,
    /// Balancers and agents that changed since the last tick.
    balancers_changed: Changes,
    agents_changed: Changes,
    /// Known balancers and agents, as last computed.
    snapshot: Option<Snapshot>,
    collector: Collector,
    /// Number of the last time slot for summaries that was handled.
    summary_slot: u64,
    leaving: bool,
    /// Whether packets are kept until the next change.
    has_kept: bool,
    /// State of the agents at the last review.
    view: View,
    /// Whether an agent has appeared, or accepts flows again, since the last review.
    agent_appeared: bool,
    /// Time that an agent takes to answer whether it holds a flow, in microseconds; zero while
    /// unknown.
    answer_time_us: u64,
    /// Whether the current event is a packet that was kept before. Keeping a packet is logged only
    /// once.
    is_recalled: bool,
    /// Whether the current event is a packet that another balancer relayed. It is not relayed again.
    is_relayed: bool,
    /// Counts the inquiries about silent agents; other balancers are asked in turn.
    inquiry_turn: usize,
    /// Known shortage of room, beyond what the agents report.
    shortage: shortage::Tracker,
}

impl Balancer {
    /// Creates a balancer that knows only its seeds.
    #[must_use]
    pub fn open(now: Time, identity: Identity, seeds: &[Ipv4Addr]) -> Self {
        let mut peers = Roster::default();
        for seed in seeds.iter().filter(|seed| **seed != identity.address) {
            peers.refresh(now, *seed);
        }
        let mut pool = if identity.policy.uses(Mechanism::Summaries) {
            Pool::open(Arc::clone(&identity.domain))
        } else {
            Pool::default()
        };
        pool.set_regions(identity.regions.clone());
        if identity.policy.uses(Mechanism::DomainBalance) {
            pool.balance_domains(Arc::clone(&identity.domain));
        }
        Self {
            identity,
            table: Table::default(),
            dropped: Dropped::default(),
            query_budget: Budget::open(now),
            newest: Newest::default(),
            latest_orders: Latest::default(),
            pool,
            cache: Cache::default(),
            peers,
            peer_states: States::default(),
            reaches_store: true,
            discovery: Discovery::open(now),
            absences: Absences::open(now),
            last_event: now,
            running_since: now,
            resumed_at: None,
            reviewed_at: now,
            gossip_turn: 0,
            sent: BTreeMap::new(),
            introductions: Introductions::open(now),
            balancers_changed: Changes::default(),
            agents_changed: Changes::default(),
            snapshot: None,
            collector: Collector::default(),
            summary_slot: 0,
            leaving: false,
            has_kept: false,
            view: View::default(),
            agent_appeared: false,
            answer_time_us: 0,
            is_recalled: false,
            is_relayed: false,
            inquiry_turn: 0,
            shortage: shortage::Tracker::default(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.detect_stall(now);
        let mut actions = self.apply(now, event);
        if now.since(self.reviewed_at) >= REVIEW_MS {
            self.reviewed_at = now;
            actions.extend(self.review(now));
        }
        actions
    }

    fn apply(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Client(head) => self.client_packet(now, &head),
            Event::Recalled(head) => {
                self.is_recalled = true;
                let actions = self.handle_packet(now, &head);
                self.is_recalled = false;
                actions
            }
            Event::Declined { from, head, reason, load } => {
                self.declined(now, from, &head, reason, load)
            }
            Event::Relayed(head) => self.relayed(now, &head),
            Event::Holds { from, flow, load } => self.holds(now, from, flow, load),
            Event::Absent { from, flow, load } => self.absent(now, from, flow, load),
            Event::Unsure { from, flow, load } => self.unsure(now, from, flow, load),
            Event::Announced(from, announcement) => self.announced(now, from, announcement),
            Event::Summary(summary) => self.summary(now, &summary),
            Event::Gossip(from, gossip) => self.apply_gossip(now, from, &gossip),
            Event::Listed(balancers) => self.listed(now, &balancers),
            Event::Configured(table) => self.configured(now, table),
            Event::Ordered(orders) => self.ordered(now, &orders),
            Event::StoreAnswered(answered) => self.store_answered(now, answered),
            Event::SaveFlows(from, list) => {
                self.collector.add(now, from, list);
                Vec::new()
            }
            Event::Committed(written) => self.committed(written),
            Event::Inquired(from, agents) => self.inquired(now, from, &agents),
            Event::Unheard(from, silent_ms) => {
                self.record_unheard(now, from, silent_ms);
                Vec::new()
            }
            Event::Hears(from, agents) => {
                self.record_heard_elsewhere(now, from, &agents);
                Vec::new()
            }
            Event::ListAgents(from, request) => self.list_agents(now, from, request),
            Event::Agents(from, inventory) => self.apply_inventory(now, from, &inventory),
            Event::PortChecked(agent, finding) => self.port_checked(now, agent, finding),
            Event::Leave => self.leave(now),
            Event::Tick => self.tick(now),
        }
    }

    /// Guards against resetting the flows of all agents after this process was stalled: it received
    /// none of their announcements and would take them for dead. The length of the stall is not
    /// counted as silence of any agent.
    fn detect_stall(&mut self, now: Time) {
        let gap = now.since(self.last_event);
        if gap > STALL_MS {
            self.pool.extend_timeouts(gap);
            self.running_since = now;
            self.reset_discovery();
            self.forget_absences(now);
        }
        if gap >= OUTDATED_MS {
            self.resumed_at = Some(now);
        }
        self.last_event = now;
    }

    /// Returns whether this process has just resumed and may not have heard of changes that came into
    /// force meanwhile.
    fn is_behind(&self, now: Time) -> bool {
        self.resumed_at.is_some_and(|resumed_at| now.since(resumed_at) < CATCH_UP_MS)
    }

    fn announced(&mut self, now: Time, from: Ipv4Addr, announcement: Announcement) -> Vec<Action> {
        let is_local = announcement.domain == self.identity.domain;
        let replica = announcement.replica;
        let change = self.pool.announced(now, from, announcement);
        self.agent_changed(now, from, change);
        let mut actions = Vec::new();
        if self.identity.policy.uses(Mechanism::Replicas) {
            actions.extend(self.fetch_newer(now, Holder { address: from, version: replica }));
        }
        actions.extend(self.notify_agent(now, from, is_local));
        actions
    }

    /// Guards against a configuration that arrives late: one older than the current one would
    /// restore routes that were removed.
    fn configured(&mut self, now: Time, table: Table) -> Vec<Action> {
        if table.version <= self.table.version {
            return Vec::new();
        }
        let decision = Decision::InForce { version: table.version, routes: table.routes.len() };
        let is_first = self.table.version == 0;
        self.resumed_at = None;
        self.shortage.configured(&table);
        self.dropped.record(now, &self.table, &table);
        self.newest.configured(now, table.version);
        self.table = table;
        let mut actions = vec![Action::Log(decision)];
        if is_first {
            // Peers that still lack a configuration forward their packets here from now on.
            let heartbeat = self.heartbeat(now);
            actions.extend(self.peers.iter().map(|peer| Action::Send(peer, heartbeat.clone())));
        } else {
            actions.extend(self.notify_domain(now));
        }
        actions.extend(self.recall(now));
        actions
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        self.cache.expire(now);
        self.shortage.expire(now);
        self.dropped.expire(now);
        self.pool.forget(now);
        self.peers.expire(now);
        self.peer_states.expire(now);
        self.sent.retain(|peer, _| self.peers.contains(*peer));
        // Packets that have been kept too long are answered now, even though nothing has changed.
        let mut actions = self.recall(now);
        actions.extend(self.send_gossip(now));
        actions.extend(self.log_changes());
        actions
    }

    /// Resets a flow, unless the packet is itself a reset. The reset carries the client's own
    /// acknowledgement number; the client would ignore any other.
    fn reset(&self, head: &Head, cause: Cause, asked: usize) -> Vec<Action> {
        if head.flags.rst {
            return Vec::new();
        }
        let seq = if head.opens() { REFUSAL_SEQ } else { head.ack };
        self.reset_flow(head.flow, seq, cause, asked)
    }

    fn reset_flow(&self, flow: Flow, seq: u32, cause: Cause, asked: usize) -> Vec<Action> {
        let version = self.table.version;
        let decision = Decision::Reset { flow, cause, asked, version, observed: None };
        vec![Action::Reset { flow, seq }, Action::Log(decision)]
    }
}
