//! Simulates the seconds after a power loss: hosts restart one after the other, all clients that
//! waited return at once, new requests keep arriving, and backend servers are cold.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use nutmegkeel_core::l4::agent::{self, Agent, Identity};
use nutmegkeel_core::l4::balancer::{self, Balancer};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::flow::{Flow, Head};
use nutmegkeel_core::l4::message::Message;
use nutmegkeel_core::l4::policy::{Mechanism, Policy};

use crate::backend::Server;
use crate::fixture::{
    BALANCER, DOMAIN, PORT, accepted, at, data, default_service, flow, heartbeat, host, identity,
    opening, table,
};

/// Number of agents, and time between their starts; the last one starts after 0.2 s.
const AGENTS: u8 = 6;
const AGENT_START_INTERVAL_MS: u64 = 40;

/// Start of the balancer, in milliseconds; two agents start before it.
const BALANCER_START_MS: u64 = 60;

/// Number of clients whose requests waited for the restart of the hosts.
const BACKLOG: u16 = 150;

/// Interval between two new requests, in milliseconds: 200 per second, of which six cold servers
/// answer 255.
const REQUEST_INTERVAL_MS: u64 = 5;

/// End of the simulation, and time of the last new request, in milliseconds; one deadline lies
/// between them.
const END_MS: u64 = 3_000;
const LAST_REQUEST_MS: u64 = 1_500;

/// Delay of a message between two hosts, in milliseconds.
const DELAY_MS: u64 = 1;

/// Time within which an answer is in time, in milliseconds.
const OBJECTIVE_MS: u64 = 250;

/// A packet or message in flight.
enum InFlight {
    FromClient(Head),
    ToBalancer(Ipv4Addr, Message, Option<Head>),
    ToAgent(usize, Message, Option<Head>),
    ToClient(Head),
}

/// A host with a backend server.
struct Host {
    agent: Option<Agent>,
    server: Server,
    kept: BTreeMap<Flow, Head>,
}

struct Simulation {
    policy: Policy,
    balancer: Option<Balancer>,
    kept: BTreeMap<Flow, Head>,
    hosts: Vec<Host>,
    in_flight: BTreeMap<(u64, u64), InFlight>,
    sent: u64,
    sent_at: BTreeMap<Flow, u64>,
    answered_at: BTreeMap<Flow, u64>,
}

impl Simulation {
    fn open(policy: Policy) -> Self {
        let host = |_| Host { agent: None, server: Server::default(), kept: BTreeMap::new() };
        Self {
            policy,
            balancer: None,
            kept: BTreeMap::new(),
            hosts: (0..AGENTS).map(host).collect(),
            in_flight: BTreeMap::new(),
            sent: 0,
            sent_at: BTreeMap::new(),
            answered_at: BTreeMap::new(),
        }
    }

    fn send(&mut self, now: u64, packet: InFlight) {
        self.sent += 1;
        self.in_flight.insert((now + DELAY_MS, self.sent), packet);
    }

    fn run(&mut self) {
        for now in 0..END_MS {
            self.start_hosts(now);
            self.send_openings(now);
            while let Some(entry) =
                self.in_flight.first_entry().filter(|entry| entry.key().0 <= now)
            {
                let packet = entry.remove();
                self.deliver(now, packet);
            }
            self.serve(now);
            self.tick(now);
        }
    }

    fn start_hosts(&mut self, now: u64) {
        if now == BALANCER_START_MS {
            let policy = self.policy.clone();
            let balancer = Balancer::open(at(now), identity(BALANCER, policy), &[]);
            self.balancer = Some(balancer);
            self.handle_at_balancer(now, balancer::Event::Ordered(Orders::default()), None);
            self.handle_at_balancer(
                now,
                balancer::Event::Configured(table(1, &[(PORT, default_service())])),
                None,
            );
        }
        for number in 0..self.hosts.len() {
            if now == AGENT_START_INTERVAL_MS * number as u64 {
                let identity = Identity {
                    address: host(u8::try_from(number).expect("few hosts")),
                    incarnation: 1,
                    domain: DOMAIN.into(),
                    heartbeat_ms: 1_200,
                    checkpoints_per_s: 80,
                    policy: self.policy.clone(),
                };
                self.hosts[number].agent = Some(Agent::open(at(now), identity, &[BALANCER]));
                self.handle_at_agent(now, number, agent::Event::Recovered(None), None);
                self.handle_at_agent(now, number, agent::Event::Heartbeat(heartbeat("a", 1)), None);
            }
        }
    }

    /// Sends the openings of the backlog as soon as the balancer runs, and the others one after the
    /// other.
    fn send_openings(&mut self, now: u64) {
        if now == BALANCER_START_MS + 10 {
            for port in 1..=BACKLOG {
                self.send(now, InFlight::FromClient(opening(flow(port), 0)));
            }
        }
        if now > BALANCER_START_MS + 10
            && now <= LAST_REQUEST_MS
            && now.is_multiple_of(REQUEST_INTERVAL_MS)
        {
            let port =
                BACKLOG + 1 + u16::try_from(now / REQUEST_INTERVAL_MS).expect("a short simulation");
            self.sent_at.insert(flow(port), now);
            self.send(now, InFlight::FromClient(opening(flow(port), 0)));
        }
    }

    fn deliver(&mut self, now: u64, packet: InFlight) {
        match packet {
            InFlight::FromClient(head) => {
                self.handle_at_balancer(now, balancer::Event::Client(head), Some(head));
            }
            InFlight::ToBalancer(from, message, head) => {
                let event = match (message, head) {
                    (Message::Announce(announcement), _) => {
                        balancer::Event::Announced(from, announcement)
                    }
                    (Message::Holds { flow, load }, _) => {
                        balancer::Event::Holds { from, flow, load }
                    }
                    (Message::Declined { reason, load }, Some(head)) => {
                        balancer::Event::Declined { from, head, reason, load }
                    }
                    _ => return,
                };
                self.handle_at_balancer(now, event, head);
            }
            InFlight::ToAgent(number, message, head) => {
                let from = BALANCER;
                let event = match (message, head) {
                    (Message::Gossip(gossip), _) => agent::Event::Gossip(from, gossip),
                    (Message::Carry { known }, Some(head)) => {
                        agent::Event::Carry { from, head, known }
                    }
                    (Message::Open(offer), Some(head)) => agent::Event::Open { from, head, offer },
                    _ => return,
                };
                self.handle_at_agent(now, number, event, head);
            }
            InFlight::ToClient(head) if head.flags.syn => {
                let request = data(head.flow, 1_001, head.seq + 1);
                self.send(now, InFlight::FromClient(request));
            }
            InFlight::ToClient(head) => {
                self.answered_at.entry(head.flow).or_insert(now);
            }
        }
    }

    fn handle_at_balancer(&mut self, now: u64, event: balancer::Event, head: Option<Head>) {
        let Some(balancer) = self.balancer.as_mut() else {
            return;
        };
        for action in balancer.handle(at(now), event) {
            match action {
                balancer::Action::Forward(to, message) => {
                    self.hand_to_agent(now, to, message, head)
                }
                balancer::Action::Send(to, message) => self.hand_to_agent(now, to, message, None),
                balancer::Action::Keep(head) => {
                    self.kept.insert(head.flow, head);
                }
                balancer::Action::Recall => {
                    for (_, head) in std::mem::take(&mut self.kept) {
                        self.handle_at_balancer(now, balancer::Event::Recalled(head), Some(head));
                    }
                }
                _ => {}
            }
        }
    }

    fn hand_to_agent(&mut self, now: u64, to: Ipv4Addr, message: Message, head: Option<Head>) {
        let number = (0..AGENTS).position(|number| host(number) == to);
        if let Some(number) = number {
            self.send(now, InFlight::ToAgent(number, message, head));
        }
    }

    fn handle_at_agent(
        &mut self,
        now: u64,
        number: usize,
        event: agent::Event,
        head: Option<Head>,
    ) {
        let Some(agent) = self.hosts[number].agent.as_mut() else {
            return;
        };
        let from = host(u8::try_from(number).expect("few hosts"));
        for action in agent.handle(at(now), event) {
            match action {
                agent::Action::ToServer(_) => self.hand_to_server(now, number, head),
                agent::Action::Keep(head) => {
                    self.hosts[number].kept.insert(head.flow, head);
                }
                agent::Action::Release(flow) => {
                    let released = self.hosts[number].kept.remove(&flow);
                    self.hosts[number].server.queue.extend(released);
                }
                agent::Action::Forget(flow) => {
                    self.hosts[number].kept.remove(&flow);
                }
                agent::Action::ToClient => {
                    let answer = head.expect("the event comes with a packet");
                    self.send(now, InFlight::ToClient(answer));
                }
                agent::Action::Return(_, message) => {
                    self.send(now, InFlight::ToBalancer(from, message, head));
                }
                agent::Action::Send(_, message) => {
                    self.send(now, InFlight::ToBalancer(from, message, None));
                }
                _ => {}
            }
        }
    }

    /// Passes a packet to the server, which accepts an opening at once and queues a request.
    fn hand_to_server(&mut self, now: u64, number: usize, head: Option<Head>) {
        let head = head.expect("the event comes with a packet");
        if head.opens() {
            let answer = accepted(head.flow, 500);
            self.handle_at_agent(now, number, agent::Event::FromServer(answer), Some(answer));
        } else {
            self.hosts[number].server.queue.push_back(head);
        }
    }

    fn serve(&mut self, now: u64) {
        for number in 0..self.hosts.len() {
            for done in self.hosts[number].server.step(now) {
                let answer = Head { seq: done.ack, ack: done.next_seq(), len: 200, ..done };
                self.handle_at_agent(now, number, agent::Event::FromServer(answer), Some(answer));
            }
        }
    }

    fn tick(&mut self, now: u64) {
        for number in 0..self.hosts.len() {
            let age = now.checked_sub(AGENT_START_INTERVAL_MS * number as u64);
            if age.is_some_and(|age| age > 0 && age.is_multiple_of(agent::TICK_MS)) {
                self.handle_at_agent(now, number, agent::Event::Tick, None);
            }
        }
        if now > BALANCER_START_MS && (now - BALANCER_START_MS).is_multiple_of(balancer::TICK_MS) {
            self.handle_at_balancer(now, balancer::Event::Tick, None);
        }
    }

    /// Returns the number of clients of the backlog that got an answer.
    fn backlog_answered(&self) -> usize {
        self.answered_at.keys().filter(|flow| flow.client.port() <= BACKLOG).count()
    }

    /// Returns the number of new requests sent before `until_ms` that were answered in time.
    fn in_time(&self, until_ms: u64) -> usize {
        let requests = self.sent_at.iter().filter(|(_, sent_at)| **sent_at < until_ms);
        let took_ms =
            requests.filter_map(|(flow, sent_at)| Some(self.answered_at.get(flow)? - sent_at));
        took_ms.filter(|took_ms| *took_ms <= OBJECTIVE_MS).count()
    }
}

fn simulate(without: &[Mechanism]) -> Simulation {
    let mut simulation = Simulation::open(Policy::without(without.iter().copied()));
    simulation.run();
    simulation
}

/// Guards against late answers after a power loss: two servers are back before the balancer, which
/// learns of them only with their next announcement, so that all requests until then wait at the
/// others.
#[test]
fn servers_that_start_before_the_balancer_are_used_at_once() {
    let (with, without) = (simulate(&[]), simulate(&[Mechanism::Introductions]));

    let (with, without) = (with.in_time(500), without.in_time(500));

    println!("answered in time, of 86: {with} with introductions, {without} without");
    assert!(with > without, "{with} {without}");
}

/// Guards against new requests that queue behind a backlog of 150 late ones, which cold servers
/// cannot clear. The backlog must be answered too, although the first server that is back gets all
/// of it.
#[test]
fn new_requests_do_not_queue_behind_the_backlog() {
    let with = simulate(&[]);
    let queued = simulate(&[Mechanism::AgentQueue]);

    let backlog = with.backlog_answered();
    let (with, queued) = (with.in_time(LAST_REQUEST_MS), queued.in_time(LAST_REQUEST_MS));

    println!(
        "answered in time, of 286: {with} with the agents' queues, {queued} with the servers' queues"
    );
    assert!(with >= 200, "{with}");
    assert!(with > queued, "{with} {queued}");
    assert_eq!(backlog, usize::from(BACKLOG));
}
