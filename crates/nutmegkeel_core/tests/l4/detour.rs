//! Balancers that do not reach an agent which another balancer reaches.

use std::net::Ipv4Addr;

use nutmegkeel_core::l4::agent::{self, Agent};
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::flow::Head;
use nutmegkeel_core::l4::message::{Load, Message, Reason, State};
use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::l4::route::Kind;

use crate::fixture::{
    BALANCER, DOMAIN, PORT, announce, announcement, at, data, default_service, flow, forwarded,
    gossip, heartbeat, host, identity, route, service_address, table,
};

const ALL: [u8; 4] = [1, 2, 3, 4];
const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// Two balancers of one failure domain, the messages between them, and what the network loses.
struct Pair {
    balancers: [Balancer; 2],
    /// Agents whose announcements do not reach the balancer.
    cut: [Vec<u8>; 2],
    resets: Vec<u64>,
    inquiries: usize,
}

impl Pair {
    /// Both balancers know all agents and each other, and the first knows a flow at the first agent.
    fn open(kind: Kind) -> Self {
        Self::open_in([DOMAIN; 2], kind)
    }

    /// Opens such a pair in these failure domains; the agents are in the second one.
    fn open_in(domains: [&str; 2], kind: Kind) -> Self {
        let open = |address| {
            let mut identity = identity(address, Policy::default());
            identity.domain = domains[usize::from(address == PEER)].into();
            let mut balancer = Balancer::open(at(0), identity, &[]);
            balancer.handle(at(0), Event::Ordered(Orders::default()));
            let mut configuration = table(1, &[]);
            configuration.routes.insert(service_address(PORT), route(default_service(), kind));
            balancer.handle(at(0), Event::Configured(configuration));
            announce(&mut balancer, &ALL, 0, 3_000);
            balancer
        };
        let mut balancers = [BALANCER, PEER].map(open);
        let holds = Event::Holds { from: host(1), flow: flow(1), load: Load::default() };
        balancers[0].handle(at(3_000), holds);
        Self { balancers, cut: [Vec::new(), Vec::new()], resets: Vec::new(), inquiries: 0 }
    }

    fn handle(&mut self, receiver: usize, now_ms: u64, event: Event) -> Vec<Action> {
        let actions = self.balancers[receiver].handle(at(now_ms), event);
        let (own, other) = ([BALANCER, PEER][receiver], 1 - receiver);
        for action in &actions {
            match action {
                Action::Send(_, Message::Inquire { agents }) => {
                    self.inquiries += 1;
                    self.handle(other, now_ms, Event::Inquired(own, agents.clone()));
                }
                Action::Send(_, Message::Hears { agents }) => {
                    self.handle(other, now_ms, Event::Hears(own, agents.clone()));
                }
                Action::Send(_, Message::Gossip(gossip)) => {
                    self.handle(other, now_ms, Event::Gossip(own, gossip.clone()));
                }
                Action::Send(_, Message::Summary(summary)) => {
                    self.handle(other, now_ms, Event::Summary(summary.clone()));
                }
                Action::Reset { .. } => self.resets.push(now_ms),
                _ => {}
            }
        }
        actions
    }

    /// Lets time pass; the agents that live announce themselves.
    fn run(&mut self, from_ms: u64, until_ms: u64, living: &[u8]) {
        for now_ms in (from_ms..=until_ms).step_by(50) {
            for receiver in [0, 1] {
                for agent in living.iter().filter(|_| now_ms % 300 == 0) {
                    if !self.cut[receiver].contains(agent) {
                        let state = announcement(now_ms + 100, State::Ready, Load::default());
                        self.handle(receiver, now_ms, Event::Announced(host(*agent), state));
                    }
                }
                self.handle(receiver, now_ms, Event::Tick);
            }
        }
    }

    /// Lets time pass beside a running agent at the first host. What the first balancer sends to it is
    /// lost, and all else arrives.
    fn run_deaf_agent(&mut self, agent: &mut Agent, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..=until_ms).step_by(50) {
            self.run(now_ms, now_ms, &ALL[1..]);
            for action in agent.handle(at(now_ms), agent::Event::Tick) {
                let agent::Action::Send(to, message) = action else { continue };
                let receiver = usize::from(to == PEER);
                let event = match message {
                    Message::Announce(state) => Event::Announced(host(1), state),
                    Message::Unheard { silent_ms } => Event::Unheard(host(1), silent_ms),
                    _ => continue,
                };
                self.handle(receiver, now_ms, event);
            }
            if now_ms % 1_000 == 0 {
                let state = gossip(1, &[BALANCER, PEER], 4);
                agent.handle(at(now_ms), agent::Event::Gossip(PEER, state));
            }
        }
    }

    fn client_packet(&mut self, receiver: usize, now_ms: u64, head: Head) -> Vec<Action> {
        self.handle(receiver, now_ms, Event::Client(head))
    }
}

/// Returns the balancer that a packet was relayed to.
fn relayed_to(actions: &[Action]) -> Option<Ipv4Addr> {
    actions.iter().find_map(|action| match action {
        Action::Forward(to, Message::Relay) => Some(*to),
        _ => None,
    })
}

/// Guards against the reset of an open flow whose agent and server are well: only the network
/// between its balancer and its agent is cut.
#[test]
fn flows_of_an_agent_that_another_balancer_hears_are_handed_to_that_one() {
    for kind in [Kind::Once, Kind::Idempotent] {
        let mut pair = Pair::open(kind);
        pair.cut[0] = vec![1];

        pair.run(3_050, 15_000, &ALL);
        let head = data(flow(1), 1_001, 500);
        let near = pair.client_packet(0, 15_010, head);
        let far = pair.handle(1, 15_010, Event::Relayed(head));

        assert!(pair.resets.is_empty(), "{:?}", pair.resets);
        assert_eq!(relayed_to(&near), Some(PEER));
        assert!(forwarded(&far).is_some(), "{far:?}");
    }
}

/// Guards against packets that are lost for two seconds when the network is cut.
#[test]
fn packets_take_the_detour_as_soon_as_another_balancer_is_known_to_hear_the_agent() {
    let mut pair = Pair::open(Kind::Once);
    pair.cut[0] = vec![1];

    pair.run(3_050, 4_100, &ALL);
    let actions = pair.client_packet(0, 4_110, data(flow(1), 1_001, 500));

    assert_eq!(relayed_to(&actions), Some(PEER));
}

/// Guards against a client that waits for a lost host: another balancer heard its agent last.
#[test]
fn flows_of_an_agent_that_no_balancer_hears_are_reset_in_time() {
    let mut both = Pair::open(Kind::Once);
    both.run(3_050, 9_000, &ALL[1..]);
    let mut after_detour = Pair::open(Kind::Once);
    after_detour.cut[0] = vec![1];
    after_detour.run(3_050, 8_700, &ALL);
    after_detour.run(8_750, 14_000, &ALL[1..]);

    assert!(both.resets.iter().all(|at| (5_000..5_300).contains(at)), "{:?}", both.resets);
    assert!(!both.resets.is_empty());
    let resets = after_detour.resets;
    assert!(resets.first().is_some_and(|at| (10_700..11_300).contains(at)), "{resets:?}");
}

/// Guards against two balancers that pass a packet to each other: each is cut off from one agent.
#[test]
fn a_relayed_packet_is_not_relayed_again() {
    let mut pair = Pair::open(Kind::Once);
    pair.cut = [vec![1], vec![2]];
    let holds = Event::Holds { from: host(2), flow: flow(2), load: Load::default() };
    pair.handle(1, 3_000, holds);
    pair.run(3_050, 6_000, &ALL);

    let own = pair.client_packet(1, 6_010, data(flow(2), 1_001, 500));
    let relayed = pair.handle(1, 6_010, Event::Relayed(data(flow(2), 1_001, 500)));

    assert_eq!(relayed_to(&own), Some(BALANCER));
    assert_eq!(relayed_to(&relayed), None);
}

/// Guards against the reset of a flow that this balancer does not know: only an agent that it does
/// not reach can hold it.
#[test]
fn a_packet_of_an_unknown_flow_is_relayed_when_no_agent_in_reach_holds_it() {
    let mut pair = Pair::open(Kind::Once);
    pair.cut[0] = vec![1];
    pair.run(3_050, 6_000, &ALL);

    let head = data(flow(7), 1_001, 500);
    let mut actions = pair.client_packet(0, 6_010, head);
    let mut asked = Vec::new();
    while let Some(from) = forwarded(&actions).filter(|_| relayed_to(&actions).is_none()) {
        asked.push(from);
        let (reason, load) = (Reason::NotHeld, Load::default());
        actions = pair.handle(0, 6_020, Event::Declined { from, head, reason, load });
    }

    asked.sort_unstable();
    assert_eq!(asked, [host(2), host(3), host(4)]);
    assert_eq!(relayed_to(&actions), Some(PEER));
    assert!(pair.resets.is_empty(), "{:?}", pair.resets);
}

/// Returns an agent with a backend server that has heard both balancers until now.
fn running_agent(now_ms: u64) -> Agent {
    let identity = agent::Identity {
        address: host(1),
        incarnation: 2,
        domain: DOMAIN.into(),
        heartbeat_ms: 60_000,
        checkpoints_per_s: 80,
        policy: Policy::default(),
    };
    let mut agent = Agent::open(at(0), identity, &[]);
    agent.handle(at(now_ms), agent::Event::Recovered(None));
    agent.handle(at(now_ms), agent::Event::Heartbeat(heartbeat("a", 1)));
    for balancer in [BALANCER, PEER] {
        let state = gossip(1, &[BALANCER, PEER], 4);
        agent.handle(at(now_ms), agent::Event::Gossip(balancer, state));
    }
    agent
}

/// Guards against packets that are lost for as long as the network is cut in one direction: the
/// agent's announcements arrive, and what is sent to it does not.
#[test]
fn packets_that_do_not_reach_an_agent_take_the_detour() {
    let mut pair = Pair::open(Kind::Once);
    let mut agent = running_agent(3_000);

    pair.run_deaf_agent(&mut agent, 3_050, 6_500);
    let soon = pair.client_packet(0, 6_510, data(flow(1), 1_001, 500));
    pair.run_deaf_agent(&mut agent, 6_550, 30_000);
    let later = pair.client_packet(0, 30_010, data(flow(1), 1_001, 500));
    let opening = pair.client_packet(0, 30_020, crate::fixture::opening(flow(9), 0));

    assert_eq!(relayed_to(&soon), Some(PEER));
    assert_eq!(relayed_to(&later), Some(PEER));
    assert_ne!(forwarded(&opening), Some(host(1)));
    assert!(pair.resets.is_empty(), "{:?}", pair.resets);
}

/// Guards against detours to an agent that was suspended: it has not read the messages that arrived
/// meanwhile, and takes the balancers for silent.
#[test]
fn an_agent_that_resumes_reports_no_balancer_as_unheard() {
    let mut agent = running_agent(3_000);
    let is_report =
        |action: &agent::Action| matches!(action, agent::Action::Send(_, Message::Unheard { .. }));
    (3_050..=4_000).step_by(50).for_each(|now_ms| {
        agent.handle(at(now_ms), agent::Event::Tick);
    });

    let mut resumed = agent.handle(at(8_000), agent::Event::Tick);
    for balancer in [BALANCER, PEER] {
        let state = gossip(1, &[BALANCER, PEER], 4);
        agent.handle(at(8_001), agent::Event::Gossip(balancer, state));
    }
    resumed.extend(agent.handle(at(8_400), agent::Event::Tick));

    assert!(!resumed.iter().any(is_report), "{resumed:?}");
}

/// Guards against a balancer that believes all agents to be out of reach when it has just started:
/// they have not heard its predecessor for some time.
#[test]
fn an_agent_that_did_not_hear_the_previous_process_is_in_reach() {
    let mut pair = Pair::open(Kind::Once);
    for now_ms in (3_050..4_400).step_by(50) {
        pair.run(now_ms, now_ms, &ALL);
        pair.handle(0, now_ms, Event::Unheard(host(1), 8_000));
    }

    let actions = pair.client_packet(0, 4_410, data(flow(1), 1_001, 500));

    assert_eq!(forwarded(&actions), Some(host(1)));
    assert_eq!(pair.inquiries, 0);
}

/// Guards against packets that are lost for as long as the network is cut between a balancer and an
/// agent of another failure domain, which the balancer knows by summaries.
#[test]
fn packets_that_do_not_reach_an_agent_of_another_domain_take_the_detour() {
    let mut pair = Pair::open_in(["tema", DOMAIN], Kind::Once);
    let mut agent = running_agent(3_000);

    pair.run_deaf_agent(&mut agent, 3_050, 13_000);
    let actions = pair.client_packet(0, 13_010, data(flow(1), 1_001, 500));

    assert_eq!(relayed_to(&actions), Some(PEER));
}

/// Guards against new flows at an agent that their packets do not reach.
#[test]
fn an_agent_out_of_reach_gets_no_new_flows() {
    let mut pair = Pair::open(Kind::Idempotent);
    pair.cut[0] = vec![1];
    pair.run(3_050, 6_000, &ALL);

    let placed: Vec<_> = (10..60)
        .filter_map(|port| {
            let opening = crate::fixture::opening(flow(port), 0);
            forwarded(&pair.client_packet(0, 6_010, opening))
        })
        .collect();

    assert_eq!(placed.len(), 50);
    assert!(!placed.contains(&host(1)), "{placed:?}");
}

/// Guards against a flow that stays on its detour after the network is whole again.
#[test]
fn packets_go_straight_to_an_agent_that_is_heard_again() {
    let mut pair = Pair::open(Kind::Once);
    pair.cut[0] = vec![1];
    pair.run(3_050, 6_000, &ALL);
    pair.cut[0] = Vec::new();
    pair.run(6_050, 6_600, &ALL);

    let actions = pair.client_packet(0, 6_610, data(flow(1), 1_001, 500));

    assert_eq!(forwarded(&actions), Some(host(1)));
}

/// Guards against inquiries that fill the links when a failure domain is lost: two rounds, each of
/// two datagrams for 64 agents.
#[test]
fn inquiries_about_a_lost_failure_domain_are_few() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    let agent = |number: usize| {
        let number = u16::try_from(number).expect("a small number");
        Ipv4Addr::from_bits(host(0).to_bits() + 256 + u32::from(number))
    };
    let mut inquiries = 0;
    for now_ms in (0..12_000).step_by(50) {
        let mut actions = Vec::new();
        if now_ms % 300 == 0 {
            let living = if now_ms <= 3_000 { 0..1_000 } else { 0..700 };
            for number in living {
                let state = announcement(now_ms + 100, State::Ready, Load::default());
                let event = Event::Announced(agent(number), state);
                actions.extend(balancer.handle(at(now_ms), event));
            }
            for number in 2..10 {
                let from = Ipv4Addr::new(10, 0, 0, number);
                actions
                    .extend(balancer.handle(at(now_ms), Event::Gossip(from, gossip(1, &[], 700))));
            }
        }
        actions.extend(balancer.handle(at(now_ms), Event::Tick));
        let is_inquiry =
            |action: &&Action| matches!(action, Action::Send(_, Message::Inquire { .. }));
        inquiries += actions.iter().filter(is_inquiry).count();
    }

    assert_eq!(inquiries, 2 * 2 * 300_usize.div_ceil(64));
}
