//! State machine of a balancer: places new flows, monitors peers and keeps the configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::class;
use crate::clock::Time;
use crate::configuration::{Entry, Revision, Standing, Table};
use crate::lifecycle::Phase;
use crate::load::Report;
use crate::member::{Health, Record, Role, Rumor};
use crate::membership::Timing;
use crate::peer::{self, Message, Peer};
use crate::placement::{Candidate, Choice, Hop, Key, Pool, Rule};
use crate::port::Finding;
use crate::silent::{Silent, Step};

/// An agent that was sent a new flow and has not answered for this time is probed, in
/// milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 400;
/// Number of balancers per failure domain that read the platform.
const READERS: usize = 2;
/// Interval between two reads of the platform by one balancer, in milliseconds.
const READ_INTERVAL_MS: u64 = 500;
/// Time of the first read: a balancer that has just started reads at its first tick.
const FIRST_READ: Time = Time::ZERO;

/// Input of a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The first packet of a flow, which carries no routing token, arrived.
    Opening(class::Name, Key),
    /// An agent answered a flow and reported its load.
    Reported(Hop, Report),
    /// A peer sent a message.
    Message(SocketAddr, Message),
    /// The configuration was read from the platform.
    Read(Vec<Entry>),
    /// The platform accepted a write that this balancer sent.
    Accepted(Entry),
    /// A check of an agent's port has ended.
    PortChecked(SocketAddr, Finding),
    /// The clock advanced; sent about every 50 ms.
    Tick,
    /// An operator drains this instance of another process.
    Drain(Hop),
    /// This balancer is to stop in a planned way.
    Leave,
}

/// Output of a balancer, carried out by its driver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send the opening packet to the first choice, with the second choice in its header.
    Forward(Choice),
    /// No agent of the class accepts new flows.
    Unplaced,
    /// Read the configuration from the platform.
    Read,
    /// Check whether the agent at this address has its port open, and report the result with the
    /// time of this request.
    CheckPort {
        /// The agent.
        agent: SocketAddr,
        /// When the check was requested.
        asked_at: Time,
    },
    /// See [`peer::Action`].
    Peer(peer::Action),
}

/// State of a balancer.
#[derive(Debug)]
pub struct Balancer {
    peer: Peer,
    rule: Rule,
    pools: BTreeMap<class::Name, Pool>,
    classes: BTreeMap<SocketAddr, class::Name>,
    unanswered: BTreeMap<SocketAddr, Time>,
    silent: Silent,
    next_read: Time,
    has_read: bool,
}

impl Balancer {
    /// Creates a balancer that knows only itself.
    #[must_use]
    pub fn open(me: Record, timing: Timing, rule: Rule, seed: u64) -> Self {
        Self {
            peer: Peer::open(me, timing, seed),
            rule,
            pools: BTreeMap::new(),
            classes: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            silent: Silent::default(),
            next_read: FIRST_READ,
            has_read: false,
        }
    }

    /// Returns the view of the peers and the configuration.
    #[must_use]
    pub const fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Returns the configuration in force at this balancer.
    #[must_use]
    pub const fn configuration(&self) -> &Table {
        self.peer.configuration()
    }

    /// Returns whether this balancer has the whole configuration.
    ///
    /// Guards against an operator being told that a class does not exist by a balancer that has
    /// not received it yet: one that started while the platform was unavailable, or one that a
    /// change has not reached. Every message carries the configuration revision of its sender, so
    /// a balancer knows that it lacks a change before it receives it.
    #[must_use]
    pub fn standing(&self) -> Standing {
        let held = self.configuration().revision();
        let reported = self.peer.newest_reported();
        if reported > held {
            Standing::Behind(reported)
        } else if held == Revision::default() && !self.has_read {
            Standing::Unknown
        } else {
            Standing::Current
        }
    }

    /// Returns the number of agents of a class that accept new flows.
    #[must_use]
    pub fn takers(&self, class: &str) -> usize {
        self.pools.get(class).map_or(0, Pool::len)
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Opening(class, key) => vec![self.place(now, &class, key)],
            Event::Reported(hop, report) => self.reported(now, hop, report),
            Event::Message(from, message) => {
                let actions = self.peer.receive(now, from, message);
                self.handle_peer(now, actions)
            }
            Event::Read(entries) => {
                self.has_read = true;
                let actions = self.peer.apply_entries(entries);
                self.handle_peer(now, actions)
            }
            Event::Accepted(entry) => {
                let actions = self.peer.apply_entries(vec![entry]);
                self.handle_peer(now, actions)
            }
            Event::PortChecked(agent, finding) => {
                self.silent.port_checked(agent, finding);
                Vec::new()
            }
            Event::Tick => self.tick(now),
            Event::Drain(hop) => {
                vec![Action::Peer(self.peer.drain(hop.address, hop.instance))]
            }
            Event::Leave => self.leave(now),
        }
    }

    fn place(&mut self, now: Time, class: &class::Name, key: Key) -> Action {
        let balancers = u32::try_from(self.peer.balancers().len() + 1).unwrap_or(u32::MAX);
        let placed =
            self.pools.get_mut(class).and_then(|pool| pool.place(key, self.rule, balancers));
        let Some(choice) = placed else {
            return Action::Unplaced;
        };
        self.unanswered.entry(choice.taker().address).or_insert(now);
        Action::Forward(choice)
    }

    fn reported(&mut self, now: Time, hop: Hop, report: Report) -> Vec<Action> {
        self.unanswered.remove(&hop.address);
        let class = self.classes.get(&hop.address);
        if let Some(pool) = class.and_then(|class| self.pools.get_mut(class)) {
            pool.apply_report(hop, report);
        }
        let actions = self.peer.confirm_alive(now, hop.address, hop.instance);
        self.handle_peer(now, actions)
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut from_peer = self.peer.tick(now);
        from_peer.extend(self.probe_unanswered(now));
        let mut actions = self.handle_peer(now, from_peer);
        actions.extend(self.check_silent(now));
        if now >= self.next_read && self.reads_platform() {
            self.next_read = now.after(READ_INTERVAL_MS);
            actions.push(Action::Read);
        }
        actions
    }

    /// Probes agents that left new flows unanswered for [`ANSWER_TIMEOUT_MS`].
    ///
    /// The failure of an agent shows on the data path before its turn to be probed comes.
    fn probe_unanswered(&mut self, now: Time) -> Vec<peer::Action> {
        let overdue: Vec<SocketAddr> = self
            .unanswered
            .iter()
            .filter(|(_, since)| now.since(**since) > ANSWER_TIMEOUT_MS)
            .map(|(address, _)| *address)
            .collect();
        let mut actions = Vec::new();
        for address in overdue {
            self.unanswered.remove(&address);
            actions.extend(self.peer.probe_now(now, address));
        }
        actions
    }

    /// Returns whether this balancer is one of the [`READERS`] of its failure domain that read the
    /// platform.
    ///
    /// The read rate at the platform then grows with the number of failure domains and not with
    /// the number of balancers. All other balancers receive changes from their peers.
    fn reads_platform(&self) -> bool {
        let me = self.peer.membership().me().address;
        self.peer.domain_balancers().range(..me).take(READERS).count() < READERS
    }

    fn leave(&mut self, now: Time) -> Vec<Action> {
        self.peer.membership_mut().update(Role::Balancer, Phase::Leaving);
        let actions = self.peer.push_record();
        self.handle_peer(now, actions)
    }

    /// Requests checks of silent agents' ports, and reports which agents have ended.
    fn check_silent(&mut self, now: Time) -> Vec<Action> {
        let steps = self.silent.step(now).into_iter();
        let action = |step| match step {
            Step::Check(agent) => Action::CheckPort { agent, asked_at: now },
            Step::Ended(agent, instance) => Action::Peer(peer::Action::Gone(agent, instance)),
        };
        steps.map(action).collect()
    }

    fn handle_peer(&mut self, now: Time, actions: Vec<peer::Action>) -> Vec<Action> {
        let mut handled = Vec::new();
        for action in actions {
            match &action {
                peer::Action::Changed(rumor) => {
                    self.record_health(now, rumor);
                    self.record_agent(rumor);
                }
                peer::Action::InForce(entry) => self.apply_target(entry),
                _ => {}
            }
            handled.push(Action::Peer(action));
        }
        // An agent that was declared dead on silence has ended only once its port shows it.
        handled.retain(|action| match action {
            Action::Peer(peer::Action::Gone(address, instance)) => {
                !self.silent.is_declared(*address, *instance)
            }
            _ => true,
        });
        handled
    }

    fn record_health(&mut self, now: Time, rumor: &Rumor) {
        let Record { address, instance, .. } = rumor.record;
        let is_running = rumor.record.phase != Phase::Gone;
        match rumor.health {
            Health::Suspect if is_running => self.silent.suspect(address, instance),
            Health::Dead if is_running => self.silent.declare_dead(now, address, instance),
            Health::Alive | Health::Suspect | Health::Dead => self.silent.remove(address),
        }
    }

    fn apply_target(&mut self, entry: &Entry) {
        let target = entry.target.clone().unwrap_or_default();
        self.pools.entry(entry.name.clone()).or_default().set_imbalance(target.imbalance_percent);
    }

    fn record_agent(&mut self, rumor: &Rumor) {
        let Some(capacity) = rumor.record.capacity() else {
            return;
        };
        let address = rumor.record.address;
        if let Some(earlier) = self.classes.insert(address, capacity.class.clone())
            && earlier != capacity.class
            && let Some(pool) = self.pools.get_mut(&earlier)
        {
            pool.remove(address);
        }
        let pool = self.pools.entry(capacity.class.clone()).or_default();
        if rumor.health == Health::Dead || !rumor.record.phase.takes_new() {
            self.unanswered.remove(&address);
            return pool.remove(address);
        }
        let mut candidate =
            Candidate::new(rumor.record.instance, capacity.slots, capacity.connections);
        candidate.suspect = rumor.health == Health::Suspect;
        pool.insert(address, candidate);
    }
}
