//! Replays the seconds after a loss of power: hosts come back one after the other, all clients that
//! waited come back at once, new requests go on coming, and backend servers are cold.

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

/// Agents; the first is back at once, the last after 0.2 s.
const AGENTS: u8 = 6;
const AGENT_PAUSE_MS: u64 = 40;

/// The balancer is back after so long, in milliseconds: two agents were there before it.
const BALANCER_UP_MS: u64 = 60;

/// Clients whose requests waited for the hosts' return.
const BACKLOG: u16 = 150;

/// Pause between two new requests, in milliseconds: 200 a second, where six cold servers answer 255.
const PAUSE_MS: u64 = 5;

/// The replay ends after this, in milliseconds; the last new request comes one deadline before.
const END_MS: u64 = 3_000;
const LAST_MS: u64 = 1_500;

/// A message between two hosts takes so long, in milliseconds.
const DELAY_MS: u64 = 1;

/// An answer within this is in time, in milliseconds.
const OBJECTIVE_MS: u64 = 250;

/// What is on its way.
enum Parcel {
    FromClient(Head),
    ToBalancer(Ipv4Addr, Message, Option<Head>),
    ToAgent(usize, Message, Option<Head>),
    ToClient(Head),
}

/// A host beside a backend server.
struct Host {
    agent: Option<Agent>,
    server: Server,
    kept: BTreeMap<Flow, Head>,
}

struct Replay {
    policy: Policy,
    balancer: Option<Balancer>,
    kept: BTreeMap<Flow, Head>,
    hosts: Vec<Host>,
    parcels: BTreeMap<(u64, u64), Parcel>,
    sent: u64,
    asked: BTreeMap<Flow, u64>,
    answered: BTreeMap<Flow, u64>,
}

impl Replay {
    fn open(policy: Policy) -> Self {
        let host = |_| Host { agent: None, server: Server::default(), kept: BTreeMap::new() };
        Self {
            policy,
            balancer: None,
            kept: BTreeMap::new(),
            hosts: (0..AGENTS).map(host).collect(),
            parcels: BTreeMap::new(),
            sent: 0,
            asked: BTreeMap::new(),
            answered: BTreeMap::new(),
        }
    }

    fn send(&mut self, now: u64, parcel: Parcel) {
        self.sent += 1;
        self.parcels.insert((now + DELAY_MS, self.sent), parcel);
    }

    fn run(&mut self) {
        for now in 0..END_MS {
            self.start_hosts(now);
            self.ask(now);
            while let Some(entry) = self.parcels.first_entry().filter(|entry| entry.key().0 <= now)
            {
                let parcel = entry.remove();
                self.deliver(now, parcel);
            }
            self.serve(now);
            self.tick(now);
        }
    }

    fn start_hosts(&mut self, now: u64) {
        if now == BALANCER_UP_MS {
            let policy = self.policy.clone();
            let balancer = Balancer::open(at(now), identity(BALANCER, policy), &[]);
            self.balancer = Some(balancer);
            self.balance(now, balancer::Event::Ordered(Orders::default()), None);
            self.balance(
                now,
                balancer::Event::Configured(table(1, &[(PORT, default_service())])),
                None,
            );
        }
        for number in 0..self.hosts.len() {
            if now == AGENT_PAUSE_MS * number as u64 {
                let identity = Identity {
                    address: host(u8::try_from(number).expect("few hosts")),
                    incarnation: 1,
                    domain: DOMAIN.into(),
                    heartbeat_ms: 1_200,
                    checkpoints_per_s: 80,
                    policy: self.policy.clone(),
                };
                self.hosts[number].agent = Some(Agent::open(at(now), identity, &[BALANCER]));
                self.act(now, number, agent::Event::Recovered(None), None);
                self.act(now, number, agent::Event::Heartbeat(heartbeat("a", 1)), None);
            }
        }
    }

    /// The backlog asks as soon as the balancer is there, the others one after the other.
    fn ask(&mut self, now: u64) {
        if now == BALANCER_UP_MS + 10 {
            for port in 1..=BACKLOG {
                self.send(now, Parcel::FromClient(opening(flow(port), 0)));
            }
        }
        if now > BALANCER_UP_MS + 10 && now <= LAST_MS && now.is_multiple_of(PAUSE_MS) {
            let port = BACKLOG + 1 + u16::try_from(now / PAUSE_MS).expect("a short replay");
            self.asked.insert(flow(port), now);
            self.send(now, Parcel::FromClient(opening(flow(port), 0)));
        }
    }

    fn deliver(&mut self, now: u64, parcel: Parcel) {
        match parcel {
            Parcel::FromClient(head) => {
                self.balance(now, balancer::Event::Client(head), Some(head));
            }
            Parcel::ToBalancer(from, message, head) => {
                let event = match (message, head) {
                    (Message::Announce(word), _) => balancer::Event::Announced(from, word),
                    (Message::Holds { flow, load }, _) => {
                        balancer::Event::Holds { from, flow, load }
                    }
                    (Message::Declined { reason, load }, Some(head)) => {
                        balancer::Event::Declined { from, head, reason, load }
                    }
                    _ => return,
                };
                self.balance(now, event, head);
            }
            Parcel::ToAgent(number, message, head) => {
                let from = BALANCER;
                let event = match (message, head) {
                    (Message::Roster(roster), _) => agent::Event::Roster(from, roster),
                    (Message::Carry { known }, Some(head)) => {
                        agent::Event::Carry { from, head, known }
                    }
                    (Message::Open(offer), Some(head)) => agent::Event::Open { from, head, offer },
                    _ => return,
                };
                self.act(now, number, event, head);
            }
            Parcel::ToClient(head) if head.flags.syn => {
                let request = data(head.flow, 1_001, head.seq + 1);
                self.send(now, Parcel::FromClient(request));
            }
            Parcel::ToClient(head) => {
                self.answered.entry(head.flow).or_insert(now);
            }
        }
    }

    fn balance(&mut self, now: u64, event: balancer::Event, head: Option<Head>) {
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
                        self.balance(now, balancer::Event::Again(head), Some(head));
                    }
                }
                _ => {}
            }
        }
    }

    fn hand_to_agent(&mut self, now: u64, to: Ipv4Addr, message: Message, head: Option<Head>) {
        let number = (0..AGENTS).position(|number| host(number) == to);
        if let Some(number) = number {
            self.send(now, Parcel::ToAgent(number, message, head));
        }
    }

    fn act(&mut self, now: u64, number: usize, event: agent::Event, head: Option<Head>) {
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
                    let answer = head.expect("a packet is at hand");
                    self.send(now, Parcel::ToClient(answer));
                }
                agent::Action::Return(_, message) => {
                    self.send(now, Parcel::ToBalancer(from, message, head));
                }
                agent::Action::Send(_, message) => {
                    self.send(now, Parcel::ToBalancer(from, message, None));
                }
                _ => {}
            }
        }
    }

    /// The server accepts an opening at once; a request waits for a slot.
    fn hand_to_server(&mut self, now: u64, number: usize, head: Option<Head>) {
        let head = head.expect("a packet is at hand");
        if head.opens() {
            let answer = accepted(head.flow, 500);
            self.act(now, number, agent::Event::FromServer(answer), Some(answer));
        } else {
            self.hosts[number].server.queue.push_back(head);
        }
    }

    fn serve(&mut self, now: u64) {
        for number in 0..self.hosts.len() {
            for done in self.hosts[number].server.step(now) {
                let answer = Head { seq: done.ack, ack: done.next_seq(), len: 200, ..done };
                self.act(now, number, agent::Event::FromServer(answer), Some(answer));
            }
        }
    }

    fn tick(&mut self, now: u64) {
        for number in 0..self.hosts.len() {
            let age = now.checked_sub(AGENT_PAUSE_MS * number as u64);
            if age.is_some_and(|age| age > 0 && age.is_multiple_of(agent::TICK_MS)) {
                self.act(now, number, agent::Event::Tick, None);
            }
        }
        if now > BALANCER_UP_MS && (now - BALANCER_UP_MS).is_multiple_of(balancer::TICK_MS) {
            self.balance(now, balancer::Event::Tick, None);
        }
    }

    /// Clients of the backlog that got an answer.
    fn backlog_answered(&self) -> usize {
        self.answered.keys().filter(|flow| flow.client.port() <= BACKLOG).count()
    }

    /// New requests answered in time, of those that came before `until_ms`.
    fn in_time(&self, until_ms: u64) -> usize {
        let asked = self.asked.iter().filter(|(_, asked)| **asked < until_ms);
        let took = asked.filter_map(|(flow, asked)| Some(self.answered.get(flow)? - asked));
        took.filter(|took| *took <= OBJECTIVE_MS).count()
    }
}

fn replay(without: &[Mechanism]) -> Replay {
    let mut replay = Replay::open(Policy::without(without.iter().copied()));
    replay.run();
    replay
}

/// Clients that ask after a loss of power are answered late, though servers could answer them at once:
/// two servers are back before the balancer, which hears of them only with their next announcement, and
/// all that comes meanwhile waits at the others.
#[test]
fn servers_that_are_back_before_the_balancer_are_used_at_once() {
    let (with, without) = (replay(&[]), replay(&[Mechanism::Introductions]));

    let (with, without) = (with.in_time(500), without.in_time(500));

    println!("in time of 86: {with}, without introductions {without}");
    assert!(with > without, "{with} {without}");
}

/// The backlog of 150 requests that are late anyway is answered first, and makes those late that came
/// after it: for as long as servers are cold they cannot work the backlog off. Nobody of it may be lost
/// either, as happens when the first server to be back gets all of it.
#[test]
fn new_requests_do_not_queue_behind_the_backlog() {
    let with = replay(&[]);
    let queued = replay(&[Mechanism::AgentQueue]);

    let backlog = with.backlog_answered();
    let (with, queued) = (with.in_time(LAST_MS), queued.in_time(LAST_MS));

    println!("in time of 286: {with}, in the servers' queues {queued}");
    assert!(with >= 200, "{with}");
    assert!(with > queued, "{with} {queued}");
    assert_eq!(backlog, usize::from(BACKLOG));
}
