//! Simulation of a small fleet in virtual time, with lost, repeated and reordered messages, and
//! with crashes or a paused balancer. Once an evacuation is known, no new flow reaches a server
//! there.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use nutmegkeel_core::l4::agent::{self, Agent};
use nutmegkeel_core::l4::balancer::{self, Balancer};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::flow::{Flow, Head};
use nutmegkeel_core::l4::message::Message;
use nutmegkeel_core::l4::policy::Policy;
use quickcheck::quickcheck;

use crate::fixture::{
    PORT, accepted, at, default_service, flow, heartbeat, host, opening, revision, table,
};

/// The failure domain that is evacuated, and the other one.
const DOMAINS: [&str; 2] = ["osu", "tema"];

/// Number of balancers, and of agents, in each failure domain.
const PER_DOMAIN: u8 = 2;

/// Interval between two ticks of the agents, in milliseconds.
const STEP_MS: u64 = 100;

fn balancer_address(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

fn domain(number: u8) -> &'static str {
    DOMAINS[usize::from(number / PER_DOMAIN)]
}

/// A message in flight, with the packet that it carries.
#[derive(Clone)]
struct Envelope {
    from: Ipv4Addr,
    to: Ipv4Addr,
    message: Message,
    head: Option<Head>,
}

struct Fleet {
    now: u64,
    balancers: Vec<Balancer>,
    agents: Vec<Agent>,
    /// Packets that each balancer keeps.
    kept: Vec<BTreeMap<Flow, Head>>,
    in_flight: Vec<Envelope>,
    last_port: u16,
    /// Number of new flows at servers in the evacuated failure domain, and in the other one.
    opened: [usize; 2],
}

impl Fleet {
    fn open() -> Self {
        let count = 2 * PER_DOMAIN;
        let mut fleet = Self {
            now: 0,
            balancers: (0..count).map(|number| new_balancer(0, number)).collect(),
            agents: (0..count).map(|number| new_agent(0, number)).collect(),
            kept: vec![BTreeMap::new(); usize::from(count)],
            in_flight: Vec::new(),
            last_port: 0,
            opened: [0, 0],
        };
        for number in 0..count {
            fleet.heartbeat_agent(number);
            fleet.handle_at_balancer(number, balancer::Event::Ordered(orders(4, &[])), None);
            fleet.handle_at_balancer(number, configured(), None);
        }
        fleet
    }

    /// Advances the time and delivers all messages in order, except those to a paused process.
    fn settle(&mut self, millis: u64, paused: Option<Ipv4Addr>) {
        for _ in 0..millis / STEP_MS {
            self.advance();
            while !self.in_flight.is_empty() {
                let envelope = self.in_flight.remove(0);
                if Some(envelope.to) != paused {
                    self.deliver(envelope);
                }
            }
        }
    }

    fn advance(&mut self) {
        self.now += STEP_MS;
        for number in 0..2 * PER_DOMAIN {
            self.handle_at_agent(number, agent::Event::Tick, None);
            if self.now.is_multiple_of(balancer::TICK_MS) {
                self.handle_at_balancer(number, balancer::Event::Tick, None);
            }
            if self.now.is_multiple_of(1_200) {
                self.heartbeat_agent(number);
            }
        }
    }

    /// Runs one random step; processes restart only if `crashes` is set.
    fn step(&mut self, kind: u8, argument: u8, crashes: bool) {
        let number = argument % (2 * PER_DOMAIN);
        match kind % 9 {
            0 => self.advance(),
            1 if crashes => {
                self.balancers[usize::from(number)] = new_balancer(self.now, number);
                self.kept[usize::from(number)].clear();
            }
            2 if crashes => {
                self.agents[usize::from(number)] = new_agent(self.now, number);
                self.heartbeat_agent(number);
            }
            1..=3 => self.open_flow(number),
            4 => {
                self.take_envelope(argument);
            }
            5 => {
                let repeated = self.take_envelope(argument);
                self.in_flight.extend(repeated.clone());
                repeated.into_iter().for_each(|envelope| self.deliver(envelope));
            }
            _ => {
                let envelope = self.take_envelope(argument);
                envelope.into_iter().for_each(|envelope| self.deliver(envelope));
            }
        }
    }

    fn take_envelope(&mut self, argument: u8) -> Option<Envelope> {
        let index = usize::from(argument).checked_rem(self.in_flight.len())?;
        Some(self.in_flight.remove(index))
    }

    fn open_flow(&mut self, number: u8) {
        self.last_port += 1;
        let head = opening(flow(self.last_port), 0);
        self.handle_at_balancer(number, balancer::Event::Client(head), Some(head));
    }

    fn heartbeat_agent(&mut self, number: u8) {
        let seq = self.now / 1_200 + 2;
        self.handle_at_agent(number, agent::Event::Heartbeat(heartbeat("a", seq)), None);
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, message, head } = envelope;
        for number in 0..2 * PER_DOMAIN {
            if balancer_address(number) == to {
                if let Some(event) = to_balancer(from, message.clone(), head) {
                    self.handle_at_balancer(number, event, head);
                }
            } else if host(number) == to
                && let Some(event) = to_agent(from, message.clone(), head)
            {
                self.handle_at_agent(number, event, head);
            }
        }
    }

    fn handle_at_balancer(&mut self, number: u8, event: balancer::Event, head: Option<Head>) {
        let from = balancer_address(number);
        for action in self.balancers[usize::from(number)].handle(at(self.now), event) {
            match action {
                balancer::Action::Forward(to, message) => self.send(from, to, message, head),
                balancer::Action::Send(to, message) => self.send(from, to, message, None),
                balancer::Action::Keep(head) => {
                    self.kept[usize::from(number)].insert(head.flow, head);
                }
                balancer::Action::Recall => {
                    for head in std::mem::take(&mut self.kept[usize::from(number)]).into_values() {
                        self.handle_at_balancer(
                            number,
                            balancer::Event::Recalled(head),
                            Some(head),
                        );
                    }
                }
                // The process that announced a newer configuration delivers it.
                balancer::Action::Fetch(_) => self.handle_at_balancer(number, configured(), None),
                _ => {}
            }
        }
    }

    fn handle_at_agent(&mut self, number: u8, event: agent::Event, head: Option<Head>) {
        let from = host(number);
        let actions = self.agents[usize::from(number)].handle(at(self.now), event);
        for action in actions {
            match action {
                agent::Action::ToServer(_) => {
                    let head = head.expect("a message to the server carries a packet");
                    self.opened[usize::from(number / PER_DOMAIN)] += 1;
                    let answer = accepted(head.flow, 500);
                    self.handle_at_agent(number, agent::Event::FromServer(answer), Some(answer));
                }
                agent::Action::Return(to, message) => self.send(from, to, message, head),
                agent::Action::Send(to, message) => self.send(from, to, message, None),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: Ipv4Addr, to: Ipv4Addr, message: Message, head: Option<Head>) {
        self.in_flight.push(Envelope { from, to, message, head });
    }
}

fn orders(number: u64, domains: &[&str]) -> Orders {
    let domains = domains.iter().map(|domain| (*domain).into()).collect();
    Orders { revision: revision(number), domains }
}

fn configured() -> balancer::Event {
    balancer::Event::Configured(table(1, &[(PORT, default_service())]))
}

fn seeds() -> Vec<Ipv4Addr> {
    (0..2 * PER_DOMAIN).map(balancer_address).collect()
}

fn new_balancer(now: u64, number: u8) -> Balancer {
    let identity = balancer::Identity {
        address: balancer_address(number),
        domain: domain(number).into(),
        regions: BTreeMap::new(),
        policy: Policy::default(),
    };
    Balancer::open(at(now), identity, &seeds())
}

fn new_agent(now: u64, number: u8) -> Agent {
    let identity = agent::Identity {
        address: host(number),
        incarnation: now + 1,
        domain: domain(number).into(),
        heartbeat_ms: 1_200,
        checkpoints_per_s: 80,
        policy: Policy::default(),
    };
    Agent::open(at(now), identity, &seeds())
}

fn to_balancer(from: Ipv4Addr, message: Message, head: Option<Head>) -> Option<balancer::Event> {
    Some(match message {
        Message::Announce(announcement) => balancer::Event::Announced(from, announcement),
        Message::Gossip(roster) => balancer::Event::Gossip(from, roster),
        Message::Summary(summary) => balancer::Event::Summary(summary),
        Message::Orders(orders) => balancer::Event::Ordered(orders),
        Message::Relay => balancer::Event::Relayed(head?),
        Message::Holds { flow, load } => balancer::Event::Holds { from, flow, load },
        Message::Absent { flow, load } => balancer::Event::Absent { from, flow, load },
        Message::Unsure { flow, load } => balancer::Event::Unsure { from, flow, load },
        Message::Declined { reason, load } => {
            balancer::Event::Declined { from, head: head?, reason, load }
        }
        _ => return None,
    })
}

fn to_agent(from: Ipv4Addr, message: Message, head: Option<Head>) -> Option<agent::Event> {
    Some(match message {
        Message::Open(offer) => agent::Event::Open { from, head: head?, offer },
        Message::Gossip(roster) => agent::Event::Gossip(from, roster),
        _ => return None,
    })
}

/// Returns a fleet in which every process, except a paused one, knows that the first failure domain
/// is evacuated. Agents hold copies of the configuration.
fn evacuated_fleet(paused: Option<u8>) -> Fleet {
    let mut fleet = Fleet::open();
    fleet.settle(3_000, None);
    for number in 0..2 * PER_DOMAIN {
        fleet.handle_at_agent(number, agent::Event::Fetched(1), None);
        (0..4).for_each(|_| fleet.open_flow(number));
    }
    fleet.settle(500, None);
    assert!(fleet.opened.iter().all(|opened| *opened > 0), "{:?}", fleet.opened);
    fleet.handle_at_balancer(0, balancer::Event::Ordered(orders(5, &[DOMAINS[0]])), None);
    fleet.settle(2_000, paused.map(balancer_address));
    let knowing = fleet.balancers.iter().filter(|balancer| balancer.evacuated() == 1).count();
    assert_eq!(knowing, fleet.balancers.len() - usize::from(paused.is_some()));
    fleet.opened = [0, 0];
    fleet
}

fn open_flows(fleet: &mut Fleet) {
    for number in 0..2 * PER_DOMAIN {
        (0..4).for_each(|_| fleet.open_flow(number));
    }
    fleet.settle(500, None);
}

#[test]
fn a_domain_that_was_taken_back_serves_again() {
    let mut fleet = evacuated_fleet(None);
    open_flows(&mut fleet);
    let during = fleet.opened;

    fleet.handle_at_balancer(3, balancer::Event::Ordered(orders(6, &[])), None);
    fleet.settle(2_000, None);
    open_flows(&mut fleet);

    assert_eq!(during[0], 0, "{during:?}");
    assert!(during[1] > 0, "{during:?}");
    assert!(fleet.opened[0] > 0, "{:?}", fleet.opened);
}

/// Returns whether no server of the evacuated domain gets a new flow during these steps, and after
/// all messages in flight and all kept packets were delivered.
fn stays_evacuated(mut fleet: Fleet, steps: &[(u8, u8)], crashes: bool) -> bool {
    let stays_evacuated = steps.iter().all(|(kind, argument)| {
        fleet.step(*kind, *argument, crashes);
        fleet.opened[0] == 0
    });
    fleet.settle(1_000, None);
    stays_evacuated && fleet.opened[0] == 0
}

quickcheck! {
    /// Guards against a restarted balancer that gets the configuration from an agent before it
    /// receives the orders, and places a flow at an agent that has restarted too and knows no
    /// orders.
    fn crashes_do_not_reopen_an_evacuated_domain(steps: Vec<(u8, u8)>) -> bool {
        stays_evacuated(evacuated_fleet(None), &steps, true)
    }

    /// Guards against a paused balancer that missed the order and places flows by earlier ones:
    /// agents must decline them.
    fn a_paused_balancer_does_not_reopen_an_evacuated_domain(steps: Vec<(u8, u8)>) -> bool {
        stays_evacuated(evacuated_fleet(Some(1)), &steps, false)
    }
}
