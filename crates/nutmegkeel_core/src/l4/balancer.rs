//! Decisions of a balancer for flows without a routing token.

mod certainty;
mod collector;
mod evacuation;
mod event;
pub mod introductions;
mod kept;
mod opening;
mod outlook;
mod peers;
mod queries;
mod review;
mod search;
mod selection;
mod shortage;
mod speed;
pub mod summary;
mod wide_search;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use certainty::Growth;
use collector::Collector;
use introductions::Introductions;
use kept::View;
use outlook::Outlook;
use search::{carry_to, note_declined};

use super::cache::{Cache, Place};
use super::decision::{Cause, Decision};
use super::evacuation::Latest;
use super::fetch::Holder;
use super::flow::{Flow, Head};
use super::message::{Announcement, Load, Reason};
use super::placement::Pool;
use super::policy::{Mechanism, Policy};
use super::roster::{Book, Told};
use super::route::{Service, Table};
use super::turnover::Turnover;
use super::word::Words;
use crate::clock::Time;

pub use event::{Action, Event};

/// Pause between two ticks, in milliseconds. Gossip goes out with each.
pub const TICK_MS: u64 = 500;

/// A gap between two events longer than this means that the process stood still: announcements
/// alone come more often.
const STANDSTILL_MS: u64 = 1_000;

/// Pause between two looks at agents that fell silent and at clients that wait for a decision, in
/// milliseconds. A look walks all agents, so it is not done with every packet.
const REVIEW_MS: u64 = 50;

/// Number of a reset that refuses an opening. A client takes any number while its flow is not open.
/// One that opened the flow elsewhere meanwhile, by a copy that took another way, ignores this one:
/// it is not near the numbers of its flow but in one of 28,000 cases.
const REFUSAL_SEQ: u32 = 0x8000_0000;

/// What a balancer knows of itself, fixed at start.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its address.
    pub address: Ipv4Addr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Region of each failure domain there is.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// The mechanisms that it uses.
    pub policy: Policy,
}

/// The balancer.
#[derive(Debug)]
pub struct Balancer {
    identity: Identity,
    table: Table,
    ledger: Latest,
    pool: Pool,
    cache: Cache,
    peers: Book,
    /// What the other balancers last said of themselves.
    words: Words,
    /// Whether the store answered the last call.
    reaches_store: bool,
    growth: Growth,
    last: Time,
    reviewed: Time,
    turn: usize,
    /// What each other balancer was last told of the balancers.
    told: BTreeMap<Ipv4Addr, Told>,
    introductions: Introductions,
    /// Balancers and agents that changed since the last tick.
    balancers_changed: Turnover,
    agents_changed: Turnover,
    /// What this balancer last said of all that it hears of.
    outlook: Option<Outlook>,
    collector: Collector,
    /// The last turn for a summary that was looked at.
    slot: u64,
    leaving: bool,
    /// Whether packets are kept until the next change.
    keeps: bool,
    /// What the last review saw of the agents.
    view: View,
    /// Whether an agent appeared since, or takes flows again.
    agent_came: bool,
    /// How long an agent takes to say whether it holds a flow, in microseconds; zero while that is not known.
    answer_us: u64,
    /// Whether the event at hand is a packet that was kept before: only its first time is noted.
    is_again: bool,
    /// What is known of want of room besides the agents' reports.
    memory: shortage::Memory,
}

impl Balancer {
    /// A balancer that knows nothing yet but its seeds.
    #[must_use]
    pub fn open(now: Time, identity: Identity, seeds: &[Ipv4Addr]) -> Self {
        let mut peers = Book::default();
        for seed in seeds.iter().filter(|seed| **seed != identity.address) {
            peers.heard(now, *seed);
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
            ledger: Latest::default(),
            pool,
            cache: Cache::default(),
            peers,
            words: Words::default(),
            reaches_store: true,
            growth: Growth::open(now),
            last: now,
            reviewed: now,
            turn: 0,
            told: BTreeMap::new(),
            introductions: Introductions::open(now),
            balancers_changed: Turnover::default(),
            agents_changed: Turnover::default(),
            outlook: None,
            collector: Collector::default(),
            slot: 0,
            leaving: false,
            keeps: false,
            view: View::default(),
            agent_came: false,
            answer_us: 0,
            is_again: false,
            memory: shortage::Memory::default(),
        }
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.notice_standstill(now);
        let mut actions = self.take_in(now, event);
        if now.since(self.reviewed) >= REVIEW_MS {
            self.reviewed = now;
            actions.extend(self.review(now));
        }
        actions
    }

    fn take_in(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Client(head) => self.client(now, &head),
            Event::Again(head) => {
                self.is_again = true;
                let actions = self.again(now, &head);
                self.is_again = false;
                actions
            }
            Event::Declined { from, head, reason, load } => {
                self.declined(now, from, &head, reason, load)
            }
            Event::Relayed(head) if self.table.version == 0 => self.unrouted(now, &head),
            Event::Relayed(head) => self.client(now, &head),
            Event::Holds { from, flow, load } => self.holds(now, from, flow, load),
            Event::Absent { from, flow, load } => self.absent(now, from, flow, load),
            Event::Unsure { from, flow, load } => self.unsure(now, from, flow, load),
            Event::Announced(from, word) => self.announced(now, from, word),
            Event::Summary(summary) => self.summary(now, &summary),
            Event::Roster(from, roster) => self.roster(now, from, &roster),
            Event::Listed(balancers) => self.listed(now, &balancers),
            Event::Configured(table) => self.configured(now, table),
            Event::Ordered(orders) => self.ordered(now, &orders),
            Event::Store(answered) => self.store_answered(now, answered),
            Event::Deposited(from, list) => {
                self.collector.take(now, from, list);
                Vec::new()
            }
            Event::Committed(written) => self.committed(written),
            Event::Leave => self.leave(now),
            Event::Tick => self.tick(now),
        }
    }

    /// Guards against taking all agents for dead after this process stood still: it could not hear
    /// their announcements, and would reset their flows. The time that passed counts for nobody.
    fn notice_standstill(&mut self, now: Time) {
        let gap = now.since(self.last);
        if gap > STANDSTILL_MS {
            self.pool.forgive(gap);
            self.lose_certainty();
        }
        self.last = now;
    }

    fn client(&mut self, now: Time, head: &Head) -> Vec<Action> {
        // A first opening begins a new flow, whatever is remembered of one between the same ends.
        if head.opens() && head.ack == 0 {
            self.cache.remove(&head.flow);
        }
        self.again(now, head)
    }

    fn again(&mut self, now: Time, head: &Head) -> Vec<Action> {
        if self.table.version == 0 {
            return self.relay(now, head);
        }
        let Some(route) = self.table.routes.get(&head.flow.service).cloned() else {
            self.cache.remove(&head.flow);
            return self.reset(head, Cause::NoRoute, 0);
        };
        if head.opens() { self.opening(now, head, &route) } else { self.carry(now, head) }
    }

    /// Handles a packet while there is neither a configuration nor a balancer known that has one.
    ///
    /// Guards against open flows that hang when the whole fleet starts again while the store is away:
    /// backend servers and their agents live, and clients would wait for an answer until the store is
    /// back. A packet of an open flow needs no route, because the agent that holds the flow says so. Only
    /// an opening does.
    fn unrouted(&mut self, now: Time, head: &Head) -> Vec<Action> {
        if head.opens() || !self.identity.policy.uses(Mechanism::Unrouted) {
            return self.keep(head, Cause::NoConfiguration);
        }
        self.carry(now, head)
    }

    /// Whether a configuration is in force that has no route for a flow.
    fn has_no_route(&self, flow: &Flow) -> bool {
        self.table.version > 0 && !self.table.routes.contains_key(&flow.service)
    }

    /// Services whose agents are asked first for a flow: those of its route. Without a configuration no
    /// service comes first, and all agents are asked. None if a configuration is in force that has no
    /// route for the flow.
    fn services(&self, flow: &Flow) -> Option<Vec<Service>> {
        if self.table.version == 0 {
            return Some(Vec::new());
        }
        let route = self.table.routes.get(&flow.service)?;
        Some(route.shares.iter().map(|share| share.service).collect())
    }

    fn declined(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        head: &Head,
        reason: Reason,
        load: Load,
    ) -> Vec<Action> {
        self.pool.heard(now, from, load);
        match reason {
            Reason::Leaving => self.pool.closed(from),
            Reason::Cold => self.pool.filled(from),
            _ => {}
        }
        if self.has_no_route(&head.flow) {
            return self.reset(head, Cause::NoRoute, 0);
        }
        let route = self.table.routes.get(&head.flow.service).cloned();
        let entry = self.cache.entry(now, head.flow);
        let current = entry.place.as_ref().map(Place::agent);
        let was_asked = entry.place == Some(Place::Asked(from));
        let after_ms = now.since(entry.asked);
        if reason == Reason::NotHeld {
            entry.unanswered.retain(|agent| *agent != from);
        }
        if current.is_none_or(|agent| agent == from) {
            entry.place = None;
            note_declined(entry, from, reason);
        }
        if was_asked {
            self.learn_answer_time(after_ms);
        }
        let note = Action::Log(Decision::Declined { flow: head.flow, agent: from, reason, load });
        let mut actions = match (current, route.filter(|_| head.opens())) {
            (Some(agent), Some(_)) if agent != from => Vec::new(),
            (Some(agent), None) if agent != from => vec![carry_to(agent, false)],
            (_, Some(route)) => self.opening(now, head, &route),
            // An opening that was sent by an earlier process of this host, which had a configuration.
            (_, None) if head.opens() => self.keep(head, Cause::NoConfiguration),
            (_, None) => self.search(now, head),
        };
        actions.push(note);
        actions
    }

    fn announced(&mut self, now: Time, from: Ipv4Addr, word: Announcement) -> Vec<Action> {
        let is_near = word.domain == self.identity.domain;
        let replica = word.replica;
        let change = self.pool.announced(now, from, word);
        self.changed(now, from, change);
        let mut actions = Vec::new();
        if replica > self.table.version && self.identity.policy.uses(Mechanism::Replicas) {
            actions.push(Action::Fetch(Holder { address: from, version: replica }));
        }
        actions.extend(self.tell_agent(now, from, is_near));
        actions
    }

    /// Guards against a configuration that comes late over a slow way: one that is older than what
    /// is in force would bring dropped routes back.
    fn configured(&mut self, now: Time, table: Table) -> Vec<Action> {
        if table.version <= self.table.version {
            return Vec::new();
        }
        let note = Decision::InForce { version: table.version, routes: table.routes.len() };
        let is_first = self.table.version == 0;
        self.memory.configured(&table);
        self.table = table;
        let mut actions = vec![Action::Log(note)];
        if is_first {
            // Others that still lack it hand their packets over from now on.
            let sign = self.sign(now);
            actions.extend(self.peers.iter().map(|peer| Action::Send(peer, sign.clone())));
        } else {
            actions.extend(self.tell_domain(now));
        }
        actions.extend(self.recall(now));
        actions
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        self.cache.expire(now);
        self.memory.expire(now);
        self.pool.forget(now);
        self.peers.expire(now);
        self.words.expire(now);
        self.told.retain(|peer, _| self.peers.knows(*peer));
        // Who has waited too long is answered now, though nothing has changed.
        let mut actions = self.recall(now);
        actions.extend(self.gossip(now));
        actions.extend(self.note_turnover());
        actions
    }

    /// A reset, unless the packet is one itself. Its number is the client's own acknowledgement
    /// number, or the client would not take the reset for one of this flow.
    fn reset(&self, head: &Head, cause: Cause, asked: usize) -> Vec<Action> {
        if head.flags.rst {
            return Vec::new();
        }
        let seq = if head.opens() { REFUSAL_SEQ } else { head.ack };
        self.reset_flow(head.flow, seq, cause, asked)
    }

    fn reset_flow(&self, flow: Flow, seq: u32, cause: Cause, asked: usize) -> Vec<Action> {
        let note = Decision::Reset { flow, cause, asked, version: self.table.version };
        vec![Action::Reset { flow, seq }, Action::Log(note)]
    }
}
