//! A balancer that starts or resumes while agents are away.

use std::net::Ipv4Addr;

use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::flow::Head;
use nutmegkeel_core::l4::message::{Announcement, Gossip, Inventory, Load, Message, Reason, State};
use nutmegkeel_core::l4::policy::Policy;

use crate::fixture::{
    BALANCER, PORT, announcement, at, data, default_service, flow, gossip, host, identity, resets,
    table,
};

/// A balancer that has run for long, and knows all agents.
const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// The agent that is being restarted, and the others.
const AWAY: u8 = 1;
const OTHERS: [u8; 2] = [2, 3];

/// A balancer that starts at zero, the packet that its client repeats, and what it requests.
struct Newcomer {
    balancer: Balancer,
    packet: Head,
    /// Whether the other agents see all flows of their servers.
    sees_all_flows: bool,
    /// Number of the first announcement of the other agents.
    first_number: u64,
    /// Whether the peer answers, and reports that it knows all agents.
    peer: Option<Peer>,
    /// Whether the agent that was away runs again and can deny flows.
    is_back: bool,
    /// When the flow was reset.
    reset_ms: Option<u64>,
    /// Agents that were sent a packet of the flow.
    asked: Vec<Ipv4Addr>,
    /// Numbers of the requests for the list of agents.
    requests: Vec<u32>,
}

/// How the peer behaves.
#[derive(Clone, Copy)]
struct Peer {
    agents: u32,
    is_informed: bool,
    /// Number of requests that are lost.
    lost: u32,
}

impl Newcomer {
    fn open(peer: Option<Peer>) -> Self {
        let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
        balancer.handle(at(0), Event::Ordered(Orders::default()));
        balancer.handle(at(0), Event::Configured(table(1, &[(PORT, default_service())])));
        Self {
            balancer,
            packet: data(flow(1), 1_001, 500),
            sees_all_flows: true,
            first_number: 1_000,
            peer,
            is_back: false,
            reset_ms: None,
            asked: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// Runs in steps of 50 ms. The other agents announce themselves and deny the flow, whose client
    /// repeats its packet every 200 ms.
    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(50) {
            if now_ms % 300 == 0 {
                OTHERS.into_iter().for_each(|agent| self.announce(now_ms, agent));
                if self.is_back {
                    self.announce_return(now_ms);
                }
            }
            if let Some(peer) = self.peer.filter(|_| now_ms % 500 == 0) {
                let knows_all_agents = peer.is_informed;
                let state = Gossip { knows_all_agents, ..gossip(1, &[], peer.agents) };
                self.handle(now_ms, Event::Gossip(PEER, state));
            }
            if now_ms % 200 == 0 {
                self.handle(now_ms, Event::Client(self.packet));
            }
            self.handle(now_ms, Event::Tick);
        }
    }

    fn announce(&mut self, now_ms: u64, agent: u8) {
        let number = self.first_number + now_ms / 300;
        let announced = Announcement {
            sees_all_flows: self.sees_all_flows,
            ..announcement(number, State::Ready, Load::default())
        };
        self.handle(now_ms, Event::Announced(host(agent), announced));
    }

    /// Delivers an announcement of the new process of the agent that was away.
    fn announce_return(&mut self, now_ms: u64) {
        let number = now_ms / 300;
        let announced = announcement(number, State::Ready, Load::default());
        let announced = Announcement { incarnation: 2, ..announced };
        self.handle(now_ms, Event::Announced(host(AWAY), announced));
    }

    fn handle(&mut self, now_ms: u64, event: Event) {
        let actions = self.balancer.handle(at(now_ms), event);
        if resets(&actions) {
            self.reset_ms = self.reset_ms.or(Some(now_ms));
        }
        for action in actions {
            match action {
                Action::Forward(agent, Message::Carry { .. }) => self.ask(now_ms, agent),
                Action::Send(PEER, Message::ListAgents { request }) => {
                    self.answer(now_ms, request);
                }
                Action::Send(from, Message::Locate { flow }) if self.denies(from) => {
                    let load = Load::default();
                    self.handle(now_ms, Event::Absent { from, flow, load });
                }
                Action::Recall | Action::RecallFlow(_) => {
                    self.handle(now_ms, Event::Recalled(self.packet));
                }
                _ => {}
            }
        }
    }

    fn ask(&mut self, now_ms: u64, agent: Ipv4Addr) {
        self.asked.push(agent);
        if self.denies(agent) {
            let (head, reason, load) = (self.packet, Reason::NotHeld, Load::default());
            self.handle(now_ms, Event::Declined { from: agent, head, reason, load });
        }
    }

    fn denies(&self, agent: Ipv4Addr) -> bool {
        self.is_back || agent != host(AWAY)
    }

    /// Lets the peer answer a request, unless it is lost.
    fn answer(&mut self, now_ms: u64, request: u32) {
        self.requests.push(request);
        let Some(peer) = &mut self.peer else { return };
        if peer.lost > 0 {
            peer.lost -= 1;
            return;
        }
        for part in inventory(now_ms, request) {
            self.handle(now_ms, Event::Agents(PEER, part));
        }
    }
}

/// Returns the answer of a peer that runs since long and that the away agent told of its restart.
fn inventory(now_ms: u64, request: u32) -> Vec<Inventory> {
    let mut peer = informed_peer(now_ms);
    let actions = peer.handle(at(20_000), Event::ListAgents(BALANCER, request));
    let part = |action| match action {
        Action::Send(BALANCER, Message::Agents(part)) => Some(part),
        _ => None,
    };
    actions.into_iter().filter_map(part).collect()
}

/// Returns a balancer that knows all agents. The away agent announced its restart at zero.
fn informed_peer(now_ms: u64) -> Balancer {
    let started = 20_000 - now_ms;
    let mut peer = Balancer::open(at(0), identity(PEER, Policy::default()), &[]);
    for time in (0..=20_000).step_by(100) {
        for agent in OTHERS {
            let announced = announcement(900, State::Ready, Load::default());
            peer.handle(at(time), Event::Announced(host(agent), announced));
        }
        if time < started {
            let announced = announcement(900, State::Ready, Load::default());
            peer.handle(at(time), Event::Announced(host(AWAY), announced));
        }
        if time == started / 100 * 100 {
            let restarting = announcement(901, State::Restarting, Load::default());
            peer.handle(at(time), Event::Announced(host(AWAY), restarting));
        }
    }
    peer
}

const INFORMED: Peer = Peer { agents: 3, is_informed: true, lost: 0 };

/// Guards against the reset of flows of an agent that is being restarted, by a balancer that starts
/// meanwhile and has never heard of that agent.
#[test]
fn a_balancer_that_starts_does_not_reset_flows_of_an_agent_that_restarts() {
    // The peer's list of agents is lost. It counts as many as the newcomer hears.
    let peer = Peer { agents: 2, is_informed: true, lost: u32::MAX };
    let mut newcomer = Newcomer::open(Some(peer));

    newcomer.run(0, 2_500);

    assert_eq!(newcomer.reset_ms, None);
}

/// Guards against packets that are passed to servers without the flow although its agent is back.
#[test]
fn an_agent_that_returns_gets_the_packets_of_its_flows() {
    let mut newcomer = Newcomer::open(Some(INFORMED));
    newcomer.run(0, 2_000);

    newcomer.asked.clear();
    newcomer.announce_return(2_000);
    newcomer.run(2_050, 2_300);

    assert_eq!(newcomer.reset_ms, None);
    assert!(newcomer.asked.contains(&host(AWAY)), "{:?}", newcomer.asked);
}

/// Guards against clients of lost flows that wait for a balancer to run for seconds, although
/// another one can list all agents.
#[test]
fn a_lost_flow_is_reset_as_soon_as_the_agents_were_listed() {
    let mut newcomer = Newcomer::open(Some(Peer { lost: 2, ..INFORMED }));
    newcomer.run(0, 600);
    newcomer.is_back = true;

    newcomer.run(600, 1_600);

    assert!(newcomer.reset_ms.is_some_and(|at_ms| at_ms <= 1_500), "{:?}", newcomer.reset_ms);
}

/// Guards against clients of lost flows that wait until their deadline where no balancer can list
/// the agents.
#[test]
fn a_lost_flow_is_reset_in_seconds_where_no_balancer_knows_all_agents() {
    let uninformed = Peer { agents: 2, is_informed: false, lost: 0 };
    for peer in [None, Some(uninformed)] {
        let mut newcomer = Newcomer::open(peer);

        newcomer.run(0, 4_000);

        let reset_ms = newcomer.reset_ms.expect("the client is told");
        assert!((3_000..=3_400).contains(&reset_ms), "{reset_ms}");
    }
}

/// Guards against clients that wait for seconds after a power failure, in which all servers have
/// lost their flows.
#[test]
fn a_lost_flow_is_reset_at_once_where_all_servers_have_restarted() {
    let mut newcomer = Newcomer::open(None);
    newcomer.first_number = 1;

    newcomer.run(0, 1_000);

    assert!(newcomer.reset_ms.is_some_and(|at_ms| at_ms <= 600), "{:?}", newcomer.reset_ms);
}

/// Guards against the reset of flows whose agent is still away after all processes were replaced at
/// once: their servers kept running.
#[test]
fn flows_of_an_agent_that_is_back_late_are_kept_where_all_processes_restart() {
    let mut newcomer = Newcomer::open(None);
    newcomer.first_number = 1;
    newcomer.sees_all_flows = false;

    newcomer.run(0, 2_500);

    assert_eq!(newcomer.reset_ms, None);
}

/// Guards against the reset of flows of an agent that announced its restart while this balancer
/// was suspended.
#[test]
fn a_balancer_that_resumes_does_not_reset_flows_of_an_agent_that_restarts() {
    let mut newcomer = Newcomer::open(Some(Peer { agents: 2, ..INFORMED }));
    newcomer.packet.flow = flow(2);
    newcomer.run(0, 9_000);
    newcomer.reset_ms = None;

    newcomer.peer = Some(Peer { agents: 2, is_informed: true, lost: u32::MAX });
    newcomer.packet.flow = flow(1);
    newcomer.run(12_000, 14_500);

    assert_eq!(newcomer.reset_ms, None);
}

/// Guards against a balancer that answers from a list which lacks agents that are away.
#[test]
fn a_balancer_that_does_not_know_all_agents_lists_none() {
    let mut newcomer = Newcomer::open(None);
    newcomer.run(0, 1_000);

    let actions = newcomer.balancer.handle(at(1_000), Event::ListAgents(PEER, 1));

    assert_eq!(actions, []);
}

/// Guards against agents that are taken for known although a part of their list was lost.
#[test]
fn agents_are_known_only_with_all_parts_of_one_list() {
    let mut newcomer = Newcomer::open(Some(Peer { lost: u32::MAX, ..INFORMED }));
    newcomer.run(0, 1_000);
    let request = *newcomer.requests.last().expect("the list is requested");
    let whole = inventory(1_000, request).remove(0);
    let part = |request, part| Inventory { request, part, parts: 2, ..whole.clone() };

    newcomer.handle(1_010, Event::Agents(PEER, part(request - 1, 1)));
    newcomer.handle(1_010, Event::Agents(PEER, part(request, 0)));
    newcomer.handle(1_010, Event::Agents(PEER, part(request, 0)));
    let after_one = newcomer.balancer.handle(at(1_020), Event::ListAgents(PEER, 1));
    newcomer.handle(1_030, Event::Agents(PEER, part(request, 1)));
    let after_both = newcomer.balancer.handle(at(1_040), Event::ListAgents(PEER, 1));

    assert_eq!(after_one, []);
    assert_ne!(after_both, []);
}
