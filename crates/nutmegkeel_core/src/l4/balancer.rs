//! Decisions of a balancer for flows without a routing token.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::cache::{Cache, Entry, Place};
use super::flow::{Flow, Head};
use super::health::{ANNOUNCE_MS, Health};
use super::message::{Announcement, Demand, Insistence, Load, Message, Reason, Roster};
use super::note::{Cause, Note};
use super::placement::{Change, Pool};
use super::roster::{Book, KEPT_MS};
use super::route::{Kind, Route, Service, Table};
use crate::clock::Time;
use crate::placement::mix;

/// Pause between two ticks, in milliseconds. Gossip goes out with each.
pub const TICK_MS: u64 = 500;

/// Peers told in one tick. With 21 balancers each hears of all within three ticks.
const PEERS_PER_TICK: usize = 8;

/// A balancer that has heard of no new agent for so long has heard of all: two announcements of each
/// and some delay, so that one may be lost.
const SETTLE_MS: u64 = 2 * ANNOUNCE_MS + 100;

/// The same when all agents have just started: no flow has lived long enough to be lost by a mistake,
/// and clients of lost flows wait to be told.
const SETTLE_YOUNG_MS: u64 = ANNOUNCE_MS + 100;

/// A gap between two events longer than this means that the process stood still: announcements
/// alone come more often.
const STANDSTILL_MS: u64 = 1_000;

/// Pause between two looks at agents that fell silent and at clients that wait for a decision, in
/// milliseconds. A look walks all agents, so it is not done with every packet.
const REVIEW_MS: u64 = 50;

/// An opening that has found no agent within this is refused, in milliseconds: its client gives it up
/// after 1.4 s.
const LONGEST_MS: u64 = 1_100;

/// Pause between two looks at packets that are kept while agents appear, in milliseconds: about a request
/// at each slot is done by then, so that servers do not run out of work.
const RECALL_MS: u64 = 100;

/// Agents asked for a free slot before one is asked to let the flow wait. Each costs a round trip of
/// 2 ms; at 80% load of two slots a second question finds a free slot three times in ten.
const IDLE_TRIES: usize = 2;

/// Agents asked for one opening at most.
const OPEN_TRIES: usize = 8;

/// Number of a reset that refuses an opening. A client takes any number while its flow is not open.
/// One that opened the flow elsewhere meanwhile, by a copy that took another way, ignores this one:
/// it is not near the numbers of its flow but in one of 28,000 cases.
const REFUSAL_SEQ: u32 = 0x8000_0000;

/// An agent is told who the balancers are at least so often, in milliseconds: three times within the
/// span after which it drops a balancer that nobody speaks of.
const TELL_MS: u64 = KEPT_MS / 3;

/// What another balancer said of itself counts for so long: three of its rosters.
const COUNTED_MS: u64 = 3 * TICK_MS;

/// Balancers that others still speak of within this time are passed on.
const SPOKEN_OF_MS: u64 = 5_000;

/// What happens to a balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client's packet came from the fabric.
    Client(Head),
    /// A packet that was kept comes again.
    Again(Head),
    /// Another balancer that has no configuration handed a client's packet over.
    Relayed(Head),
    /// An agent handed a client's packet back.
    Declined {
        /// The agent.
        from: Ipv4Addr,
        /// The packet.
        head: Head,
        /// Why.
        reason: Reason,
        /// Load of the agent.
        load: Load,
    },
    /// An agent said that it holds a flow.
    Holds {
        /// The agent.
        from: Ipv4Addr,
        /// The flow.
        flow: Flow,
        /// Load of the agent.
        load: Load,
    },
    /// An agent said that it does not hold a flow.
    Absent {
        /// The agent.
        from: Ipv4Addr,
        /// The flow.
        flow: Flow,
        /// Load of the agent.
        load: Load,
    },
    /// An agent spoke about itself.
    Announced(Ipv4Addr, Announcement),
    /// Another balancer spoke.
    Roster(Ipv4Addr, Roster),
    /// The store's list of balancers was read.
    Listed(Vec<Ipv4Addr>),
    /// A configuration was read.
    Configured(Table),
    /// The process was told to stop.
    Leave,
    /// Time passed.
    Tick,
}

/// What the shell must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message with the packet at hand behind it.
    Forward(Ipv4Addr, Message),
    /// Send a message.
    Send(Ipv4Addr, Message),
    /// Send a reset to the client.
    Reset {
        /// The flow.
        flow: Flow,
        /// Sequence number for it.
        seq: u32,
    },
    /// Keep the packet at hand, as the last one of its flow, until it is called for.
    ///
    /// Guards against clients that wait for the next of their copies, which come after 200 ms and then
    /// ever more rarely, when this balancer could decide a few milliseconds later: it has just started
    /// and lacks the configuration, or the first agents, as all do after a loss of power.
    Keep(Head),
    /// Handle the packets that are kept, as [`Event::Again`].
    Recall,
    /// Handle the packet of this flow, if one is kept, as [`Event::Again`].
    RecallFlow(Flow),
    /// A peer has a newer configuration: fetch it there.
    Fetch(Ipv4Addr),
    /// Write a line.
    Note(Note),
}

/// The balancer.
#[derive(Debug)]
pub struct Balancer {
    own: Ipv4Addr,
    domain: Arc<str>,
    table: Table,
    pool: Pool,
    cache: Cache,
    peers: Book,
    /// What the other balancers last said of themselves.
    words: BTreeMap<Ipv4Addr, Word>,
    /// When an agent appeared last, or this balancer started.
    grown: Time,
    last: Time,
    reviewed: Time,
    turn: usize,
    leaving: bool,
    /// Whether packets are kept until the next change.
    keeps: bool,
    /// What the last review saw of the agents.
    view: View,
    /// When kept packets were called for last.
    recalled: Time,
    /// Whether an agent appeared since, or takes flows again.
    agent_came: bool,
    /// Whether the event at hand is a packet that was kept before: only its first time is noted.
    is_again: bool,
}

/// What another balancer said of itself.
#[derive(Clone, Copy, Debug)]
struct Word {
    said: Time,
    /// Agents that it hears of.
    agents: usize,
    /// Version of its configuration; zero while it has none.
    version: u64,
}

impl Word {
    fn is_recent(&self, now: Time) -> bool {
        now.since(self.said) <= COUNTED_MS
    }
}

/// What decides on packets that are kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct View {
    growing: bool,
    settled: bool,
}

impl Balancer {
    /// A balancer that knows nothing yet but its seeds.
    #[must_use]
    pub fn open(now: Time, own: Ipv4Addr, domain: Arc<str>, seeds: &[Ipv4Addr]) -> Self {
        let mut peers = Book::default();
        for seed in seeds.iter().filter(|seed| **seed != own) {
            peers.heard(now, *seed);
        }
        Self {
            own,
            domain,
            table: Table::default(),
            pool: Pool::default(),
            cache: Cache::default(),
            peers,
            words: BTreeMap::new(),
            grown: now,
            last: now,
            reviewed: now,
            turn: 0,
            leaving: false,
            keeps: false,
            view: View::default(),
            recalled: now,
            agent_came: false,
            is_again: false,
        }
    }

    /// Whether the fabric should send packets here.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        !self.leaving && self.table.version > 0 && !self.pool.is_cut_off(now)
    }

    /// Version of the configuration in force; zero while there is none.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.table.version
    }

    /// Balancers known besides this one.
    #[must_use]
    pub fn peers(&self) -> Vec<Ipv4Addr> {
        self.peers.iter().collect()
    }

    /// Number of agents known.
    #[must_use]
    pub fn agents(&self) -> usize {
        self.pool.len()
    }

    /// Number of flows in the cache.
    #[must_use]
    pub fn cached(&self) -> usize {
        self.cache.len()
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
            Event::Relayed(head) if self.table.version == 0 => {
                self.keep(&head, Cause::NoConfiguration)
            }
            Event::Relayed(head) => self.client(now, &head),
            Event::Holds { from, flow, load } => self.holds(now, from, flow, load),
            Event::Absent { from, flow, load } => self.absent(now, from, flow, load),
            Event::Announced(from, word) => self.announced(now, from, word),
            Event::Roster(from, roster) => self.roster(now, from, &roster),
            Event::Listed(balancers) => self.listed(now, &balancers),
            Event::Configured(table) => self.configured(now, table),
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
        }
        self.last = now;
    }

    /// Tells clients what became certain since: their flow's agent is dead, or nobody holds the flow.
    /// Guards against a client that waits for its own timeout, or for the next of its copies that
    /// come ever more rarely, while the answer is known.
    fn review(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.recall_if_changed(now);
        if self.pool.is_cut_off(now) {
            return actions;
        }
        for agent in self.pool.newly_silent(now) {
            actions.push(Action::Note(Note::AgentSilent { agent }));
            for (flow, seq) in self.cache.held_by(agent) {
                self.cache.remove(&flow);
                actions.extend(self.reset_flow(flow, seq, Cause::AgentDead, 0));
            }
        }
        if self.is_settled(now) {
            for flow in self.cache.undecided(now) {
                actions.extend(self.decide(now, flow));
            }
        }
        actions
    }

    /// Calls for the packets that are kept once agents have stopped appearing, or all are known.
    fn recall_if_changed(&mut self, now: Time) -> Vec<Action> {
        let view = View { growing: self.is_growing(now), settled: self.is_settled(now) };
        let changed = view != self.view;
        self.view = view;
        let is_due = view.growing && now.since(self.recalled) >= RECALL_MS;
        let changed = changed || std::mem::take(&mut self.agent_came);
        if changed || is_due { self.recall(now) } else { Vec::new() }
    }

    fn recall(&mut self, now: Time) -> Vec<Action> {
        let is_able = |word: &Word| word.is_recent(now) && word.version > 0;
        if self.table.version == 0 && !self.words.values().any(is_able) {
            return Vec::new();
        }
        self.recalled = now;
        if std::mem::take(&mut self.keeps) { vec![Action::Recall] } else { Vec::new() }
    }

    fn keep(&mut self, head: &Head, cause: Cause) -> Vec<Action> {
        self.keeps = true;
        let mut actions = vec![Action::Keep(*head)];
        if !self.is_again {
            actions.push(Action::Note(Note::Kept { flow: head.flow, cause }));
        }
        actions
    }

    /// Goes on with a search for which no packet is at hand.
    fn decide(&mut self, now: Time, flow: Flow) -> Vec<Action> {
        let Some(route) = self.table.routes.get(&flow.service).cloned() else {
            self.cache.remove(&flow);
            return Vec::new();
        };
        let entry = self.cache.entry(now, flow);
        if matches!(entry.place, Some(Place::Asked(_))) && !entry.is_overdue(now) {
            return Vec::new();
        }
        if entry.is_overdue(now) {
            self.pass_over(now, flow);
        }
        if self.cache.entry(now, flow).is_stale(now) {
            self.cache.entry(now, flow).restart(now);
        }
        let next = self.next_to_ask(now, flow, &route).or_else(|| self.next_to_repeat(now, flow));
        if let Some(agent) = next {
            return vec![Action::Send(agent, Message::Locate { flow })];
        }
        if !self.is_nowhere(now, flow) {
            return Vec::new();
        }
        let entry = self.cache.entry(now, flow);
        let (seq, asked) = (entry.client_ack, entry.declined.len());
        self.cache.decide(&flow);
        self.reset_flow(flow, seq, Cause::NotHeld, asked)
    }

    /// Whether every agent that may hold the flow has said that it does not.
    fn is_nowhere(&mut self, now: Time, flow: Flow) -> bool {
        let entry = self.cache.entry(now, flow);
        let is_open = |agent: &Ipv4Addr| self.pool.may_hold(now, *agent);
        let all_answered = !entry.declined.is_empty() && !entry.unanswered.iter().any(is_open);
        all_answered && self.is_settled(now)
    }

    /// An agent that was passed over and may answer now. Guards against a client that waits for the
    /// next whole search because one agent of all was not sure when it was asked.
    fn next_to_repeat(&mut self, now: Time, flow: Flow) -> Option<Ipv4Addr> {
        let entry = self.cache.entry(now, flow);
        if !entry.may_ask_again(now) {
            return None;
        }
        let fresh = |agent: &&Ipv4Addr| self.pool.health(now, **agent) == Some(Health::Fresh);
        let agent = *entry.unanswered.iter().find(fresh)?;
        entry.place = Some(Place::Asked(agent));
        entry.asked = now;
        Some(agent)
    }

    fn absent(&mut self, now: Time, from: Ipv4Addr, flow: Flow, load: Load) -> Vec<Action> {
        self.pool.heard(now, from, load);
        let entry = self.cache.entry(now, flow);
        entry.unanswered.retain(|agent| *agent != from);
        if entry.place != Some(Place::Asked(from)) {
            return Vec::new();
        }
        entry.place = None;
        note_declined(entry, from, Reason::NotHeld);
        self.decide(now, flow)
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
        if head.opens() { self.opening(now, head, &route) } else { self.carry(now, head, &route) }
    }

    /// Hands a packet to a balancer that has a configuration, if one is known.
    ///
    /// Guards against servers that idle after a mass restart: a large configuration takes 300 ms over a
    /// link of 10 Mbit/s, and hosts with such links get most packets.
    fn relay(&mut self, now: Time, head: &Head) -> Vec<Action> {
        let able = self.words.iter().filter(|(_, word)| word.is_recent(now) && word.version > 0);
        let key = head.flow.key().number();
        let rank = |peer: &Ipv4Addr| mix(key ^ mix(u64::from(peer.to_bits())));
        let Some(to) = able.map(|(peer, _)| *peer).max_by_key(rank) else {
            return self.keep(head, Cause::NoConfiguration);
        };
        let note = Note::Relayed { flow: head.flow, to };
        vec![Action::Forward(to, Message::Relay), Action::Note(note)]
    }

    /// The copies of an opening go where the first went, or two backend servers would accept it;
    /// unless that agent fell silent, or the route has moved since.
    fn opening(&mut self, now: Time, head: &Head, route: &Route) -> Vec<Action> {
        let Some(service) = route.service(&head.flow) else {
            return self.reset(head, Cause::NoAgent, 0);
        };
        let entry = self.cache.entry(now, head.flow);
        if let Some(agent) = entry.place.as_ref().map(Place::agent)
            && self.pool.health(now, agent) == Some(Health::Fresh)
            && self.pool.service(agent) == Some(service)
        {
            let waited_ms = now.since(entry.began);
            return vec![forward_open(agent, service, route, Insistence::IfInTime, waited_ms)];
        }
        self.place(now, head, service, route)
    }

    fn place(&mut self, now: Time, head: &Head, service: Service, route: &Route) -> Vec<Action> {
        let is_assembling = self.pool.is_young() && self.is_growing(now);
        let entry = self.cache.entry(now, head.flow);
        let key = head.flow.key();
        let tries = entry.declined.len();
        let for_idle = tries < IDLE_TRIES;
        let excluded: Vec<Ipv4Addr> = entry
            .declined
            .iter()
            .filter(|(_, reason)| for_idle || *reason != Reason::Busy)
            .map(|(agent, _)| *agent)
            .collect();
        let waited_ms = now.since(entry.began);
        let choice = (tries < OPEN_TRIES && waited_ms <= LONGEST_MS)
            .then(|| self.pool.choose(now, key, service, route.kind, &self.domain, &excluded))
            .flatten();
        // Guards against one backend server that gets all flows because it was back first: the others
        // appear within a few hundred milliseconds.
        let is_patient = is_assembling && waited_ms <= LONGEST_MS;
        let turn_comes_soon = choice.map_or(tries == 0, |choice| choice.is_soon);
        if is_patient && !turn_comes_soon {
            return self.keep(head, Cause::AllBusy);
        }
        let Some(choice) = choice else {
            return self.refuse(now, head, tries);
        };
        entry.place = Some(Place::Placed(choice.agent));
        self.pool.placed(choice.agent);
        let alone = self.pool.open_agents(now, service) <= excluded.len() + 1;
        let insistence = match (for_idle && !alone, is_patient && route.kind != Kind::Once) {
            (true, _) => Insistence::IfIdle,
            (false, true) => Insistence::IfSoon,
            (false, false) => Insistence::IfInTime,
        };
        let note =
            Note::Placed { flow: head.flow, choice, attempt: tries, version: self.table.version };
        vec![forward_open(choice.agent, service, route, insistence, waited_ms), Action::Note(note)]
    }

    /// No agent takes the opening. The client learns it at once, unless this balancer may simply not
    /// have heard of an agent yet.
    fn refuse(&mut self, now: Time, head: &Head, tries: usize) -> Vec<Action> {
        let waited_ms = now.since(self.cache.entry(now, head.flow).began);
        if tries == 0 && !self.is_settled(now) && waited_ms <= LONGEST_MS {
            return self.keep(head, Cause::NoAgent);
        }
        self.cache.remove(&head.flow);
        let cause = if tries == 0 { Cause::NoAgent } else { Cause::AllDeclined };
        self.reset(head, cause, tries)
    }

    fn carry(&mut self, now: Time, head: &Head, route: &Route) -> Vec<Action> {
        self.cache.decide(&head.flow);
        let entry = self.cache.entry(now, head.flow);
        entry.client_ack = head.ack;
        if entry.is_stale(now) {
            entry.restart(now);
        }
        if entry.is_overdue(now) {
            self.pass_over(now, head.flow);
        }
        match self.cache.entry(now, head.flow).place.clone() {
            Some(Place::Asked(agent)) => vec![carry_to(agent, false)],
            Some(Place::Placed(agent)) => self.carry_placed(now, head, route, agent),
            Some(Place::Held(agent)) => self.carry_held(now, head, route, agent),
            None => self.search(now, head, route),
        }
    }

    /// The opening was sent there, but a copy of it may have opened the flow elsewhere by way of
    /// another balancer: the agent must say that it holds the flow.
    fn carry_placed(
        &mut self,
        now: Time,
        head: &Head,
        route: &Route,
        agent: Ipv4Addr,
    ) -> Vec<Action> {
        if matches!(self.pool.health(now, agent), Some(Health::Fresh | Health::Late)) {
            return vec![carry_to(agent, false)];
        }
        self.cache.entry(now, head.flow).restart(now);
        self.search(now, head, route)
    }

    fn carry_held(
        &mut self,
        now: Time,
        head: &Head,
        route: &Route,
        agent: Ipv4Addr,
    ) -> Vec<Action> {
        match self.pool.health(now, agent) {
            Some(Health::Fresh | Health::Late | Health::Restarting) => vec![carry_to(agent, true)],
            Some(Health::Silent) if !self.pool.is_cut_off(now) => {
                self.cache.remove(&head.flow);
                self.reset(head, Cause::AgentDead, 0)
            }
            Some(Health::Silent) => vec![carry_to(agent, true)],
            None => {
                self.cache.entry(now, head.flow).restart(now);
                self.search(now, head, route)
            }
        }
    }

    fn search(&mut self, now: Time, head: &Head, route: &Route) -> Vec<Action> {
        match self.next_to_ask(now, head.flow, route) {
            Some(agent) => vec![carry_to(agent, false)],
            None => self.not_found(now, head),
        }
    }

    /// The next agent to ask for a flow. One whose process is being replaced is asked last: the
    /// others can be ruled out meanwhile, and what is left must be there.
    fn next_to_ask(&mut self, now: Time, flow: Flow, route: &Route) -> Option<Ipv4Addr> {
        let services: Vec<_> = route.shares.iter().map(|share| share.service).collect();
        let order = self.pool.search(flow.key(), &services, &self.domain);
        let entry = self.cache.entry(now, flow);
        // Who refused the opening may have taken a later copy of it, so only an answer to this
        // question counts.
        let asked = |agent: &Ipv4Addr| entry.declined.contains(&(*agent, Reason::NotHeld));
        let (_, agent) = order
            .into_iter()
            .filter(|agent| !asked(agent))
            .filter_map(|agent| Some((self.pool.health(now, agent)?, agent)))
            .filter(|(_, agent)| self.pool.may_hold(now, *agent))
            .min_by_key(|(health, _)| *health == Health::Restarting)?;
        entry.place = Some(Place::Asked(agent));
        entry.asked = now;
        Some(agent)
    }

    /// Goes on without an agent that has not answered: it may be dead, and the flow elsewhere.
    fn pass_over(&mut self, now: Time, flow: Flow) {
        let entry = self.cache.entry(now, flow);
        if let Some(place) = entry.place.take() {
            let agent = place.agent();
            note_declined(entry, agent, Reason::NotHeld);
            if !entry.unanswered.contains(&agent) {
                entry.unanswered.push(agent);
            }
        }
    }

    fn not_found(&mut self, now: Time, head: &Head) -> Vec<Action> {
        if self.is_nowhere(now, head.flow) {
            let asked = self.cache.entry(now, head.flow).declined.len();
            self.reset(head, Cause::NotHeld, asked)
        } else {
            self.cache.wait(now, head.flow);
            self.keep(head, Cause::Undecided)
        }
    }

    /// Whether no other balancer hears of more agents. Guards against resetting the flows of an agent
    /// that has not yet learnt of this balancer: the others know it.
    fn has_heard_of_all(&self, now: Time) -> bool {
        let own = self.pool.heard_of(now);
        let recent = self.words.values().filter(|word| word.is_recent(now));
        recent.map(|word| word.agents).max().is_none_or(|most| own >= most)
    }

    /// Whether agents are still appearing.
    fn is_growing(&self, now: Time) -> bool {
        let span = if self.pool.is_young() { SETTLE_YOUNG_MS } else { SETTLE_MS };
        now.since(self.grown) <= span
    }

    /// Whether every agent that may hold a flow is known and can be asked.
    fn is_settled(&self, now: Time) -> bool {
        !self.is_growing(now) && self.pool.is_conclusive(now) && self.has_heard_of_all(now)
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
        if reason == Reason::Leaving {
            self.pool.closed(from);
        }
        let Some(route) = self.table.routes.get(&head.flow.service).cloned() else {
            return self.reset(head, Cause::NoRoute, 0);
        };
        let entry = self.cache.entry(now, head.flow);
        let current = entry.place.as_ref().map(Place::agent);
        if reason == Reason::NotHeld {
            entry.unanswered.retain(|agent| *agent != from);
        }
        if current.is_none_or(|agent| agent == from) {
            entry.place = None;
            note_declined(entry, from, reason);
        }
        let note = Action::Note(Note::Declined { flow: head.flow, agent: from, reason, load });
        let mut actions = match (current, head.opens()) {
            (Some(agent), true) if agent != from => Vec::new(),
            (Some(agent), false) if agent != from => vec![carry_to(agent, false)],
            (_, true) => self.opening(now, head, &route),
            (_, false) => self.search(now, head, &route),
        };
        actions.push(note);
        actions
    }

    fn holds(&mut self, now: Time, from: Ipv4Addr, flow: Flow, load: Load) -> Vec<Action> {
        self.pool.heard(now, from, load);
        let entry = self.cache.entry(now, flow);
        let news = entry.place != Some(Place::Held(from));
        let asked = entry.declined.len();
        entry.place = Some(Place::Held(from));
        entry.declined.clear();
        entry.unanswered.clear();
        self.cache.decide(&flow);
        if !news {
            return Vec::new();
        }
        vec![Action::RecallFlow(flow), Action::Note(Note::Found { flow, agent: from, asked })]
    }

    fn announced(&mut self, now: Time, from: Ipv4Addr, word: Announcement) -> Vec<Action> {
        let digest = word.balancers;
        let change = self.pool.announced(now, from, word);
        if change == Change::Appeared {
            self.grown = now;
        }
        let mut actions = Vec::new();
        let must_tell = self.pool.tell(now, from, TELL_MS);
        if must_tell || digest != self.digest(now) {
            actions.push(Action::Send(from, self.own_roster(now)));
        }
        if !matches!(change, Change::None | Change::Stale) {
            actions.push(Action::Note(Note::Agent { agent: from, change }));
        }
        self.agent_came |= matches!(change, Change::Appeared | Change::Opened);
        actions
    }

    fn roster(&mut self, now: Time, from: Ipv4Addr, roster: &Roster) -> Vec<Action> {
        let mut actions = Vec::new();
        if roster.leaving {
            self.peers.remove(from);
            self.words.remove(&from);
            actions.push(Action::Note(Note::Balancer { balancer: from, known: false }));
            return actions;
        }
        let agents = usize::try_from(roster.agents).unwrap_or(usize::MAX);
        let news = self.words.get(&from).is_none_or(|word| word.version == 0);
        self.words.insert(from, Word { said: now, agents, version: roster.version });
        if news && roster.version > 0 && self.table.version == 0 {
            actions.extend(self.recall(now));
        }
        for balancer in roster.balancers.iter().filter(|balancer| **balancer != self.own) {
            // Only a balancer's own word keeps it: others would repeat a dead one to each other.
            let news = *balancer == from || !self.peers.iter().any(|known| known == *balancer);
            if news && self.peers.heard(now, *balancer) {
                actions.push(Action::Note(Note::Balancer { balancer: *balancer, known: true }));
                actions.push(Action::Send(*balancer, self.own_roster(now)));
            }
        }
        if roster.version > self.table.version {
            actions.push(Action::Fetch(from));
        }
        actions
    }

    fn listed(&mut self, now: Time, balancers: &[Ipv4Addr]) -> Vec<Action> {
        let mut actions = Vec::new();
        for balancer in balancers.iter().filter(|balancer| **balancer != self.own) {
            if !self.peers.iter().any(|known| known == *balancer) {
                self.peers.heard(now, *balancer);
                actions.push(Action::Note(Note::Balancer { balancer: *balancer, known: true }));
                actions.push(Action::Send(*balancer, self.own_roster(now)));
            }
        }
        actions
    }

    /// Guards against a configuration that comes late over a slow way: one that is older than what
    /// is in force would bring dropped routes back.
    fn configured(&mut self, now: Time, table: Table) -> Vec<Action> {
        if table.version <= self.table.version {
            return Vec::new();
        }
        let note = Note::InForce { version: table.version, routes: table.routes.len() };
        let is_first = self.table.version == 0;
        self.table = table;
        let mut actions = vec![Action::Note(note)];
        if is_first {
            // Others that still lack it hand their packets over from now on.
            let roster = self.own_roster(now);
            let told = self.peers.iter().map(|peer| Action::Send(peer, roster.clone()));
            actions.extend(told);
        }
        actions.extend(self.recall(now));
        actions
    }

    fn leave(&mut self, now: Time) -> Vec<Action> {
        self.leaving = true;
        let roster = self.own_roster(now);
        self.peers.iter().map(|peer| Action::Send(peer, roster.clone())).collect()
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        self.cache.expire(now);
        self.pool.forget(now);
        self.peers.expire(now);
        self.words.retain(|_, word| word.is_recent(now));
        // Who has waited too long is answered now, though nothing has changed.
        let mut actions = self.recall(now);
        if self.leaving {
            return actions;
        }
        let roster = self.own_roster(now);
        let peers = self.peers();
        let told = peers.iter().cycle().skip(self.turn).take(PEERS_PER_TICK.min(peers.len()));
        actions.extend(told.map(|peer| Action::Send(*peer, roster.clone())));
        self.turn = (self.turn + PEERS_PER_TICK).checked_rem(peers.len()).unwrap_or(0);
        actions
    }

    fn known(&self, now: Time) -> Vec<Ipv4Addr> {
        let mut balancers = self.peers.heard_within(now, SPOKEN_OF_MS);
        if !self.leaving {
            balancers.push(self.own);
        }
        balancers.sort_unstable();
        balancers
    }

    fn digest(&self, now: Time) -> u64 {
        super::roster::digest(self.known(now).into_iter())
    }

    fn own_roster(&self, now: Time) -> Message {
        Message::Roster(Roster {
            version: self.table.version,
            balancers: self.known(now),
            agents: u32::try_from(self.pool.heard_of(now)).unwrap_or(u32::MAX),
            leaving: self.leaving,
        })
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
        let note = Note::Reset { flow, cause, asked, version: self.table.version };
        vec![Action::Reset { flow, seq }, Action::Note(note)]
    }
}

fn carry_to(agent: Ipv4Addr, known: bool) -> Action {
    Action::Forward(agent, Message::Carry { known })
}

fn forward_open(
    agent: Ipv4Addr,
    service: Service,
    route: &Route,
    insistence: Insistence,
    waited_ms: u64,
) -> Action {
    let demand = Demand {
        objective_ms: u32::try_from(route.objective_ms).unwrap_or(u32::MAX),
        deadline_ms: u32::try_from(route.deadline_ms).unwrap_or(u32::MAX),
        once: route.kind == Kind::Once,
    };
    let waited_ms = u32::try_from(waited_ms).unwrap_or(u32::MAX);
    Action::Forward(agent, Message::Open { service, insistence, demand, waited_ms })
}

fn note_declined(entry: &mut Entry, agent: Ipv4Addr, reason: Reason) {
    if let Some(known) = entry.declined.iter_mut().find(|(known, _)| *known == agent) {
        known.1 = reason;
    } else {
        entry.declined.push((agent, reason));
    }
}
