//! Packets of open flows whose agent is being replaced.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use nutmegkeel_core::l4::agent;
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::flow::Head;
use nutmegkeel_core::l4::message::{Announcement, Load, Message, Reason, State};

use crate::fixture::{
    agent, announce, announcement, at, balancer, data, flow, heartbeat, host, incarnation, resets,
};

/// The agent that holds the flow, and the others. All have restarted beside a running server, so
/// that each must pass a packet to its server to deny the flow.
const HOLDER: u8 = 1;
const OTHERS: [u8; 4] = [2, 3, 4, 5];

/// When the holder announces its restart, and when its successor starts.
const LEFT_MS: u64 = 3_000;
const BACK_MS: u64 = 4_700;

/// When the client first sends its packet, and the pauses before each copy.
const SENT_MS: u64 = 3_150;
const PAUSES_MS: [u64; 4] = [200, 400, 800, 1_600];

/// A balancer that searches for a flow, and the packets of it that agents got.
struct Search {
    balancer: Balancer,
    packet: Head,
    kept: Option<Head>,
    /// Number of packets that each other agent got.
    misrouted: BTreeMap<Ipv4Addr, usize>,
    /// When the holder first got one.
    delivered_ms: Option<u64>,
    was_reset: bool,
}

impl Search {
    fn open() -> Self {
        Self {
            balancer: balancer(&[HOLDER, 2, 3, 4, 5]),
            packet: data(flow(1), 1_001, 500),
            kept: None,
            misrouted: BTreeMap::new(),
            delivered_ms: None,
            was_reset: false,
        }
    }

    /// Runs until a time. The holder is away from [`LEFT_MS`] to [`BACK_MS`].
    fn run(&mut self, until_ms: u64) {
        let mut copies = vec![SENT_MS];
        for pause_ms in PAUSES_MS {
            copies.push(copies[copies.len() - 1] + pause_ms);
        }
        for now_ms in (LEFT_MS..until_ms).step_by(50) {
            if now_ms == LEFT_MS {
                self.announce(now_ms, HOLDER, State::Restarting, 1);
            }
            if now_ms % 300 == 0 {
                OTHERS.into_iter().for_each(|other| self.announce(now_ms, other, State::Ready, 1));
            }
            if now_ms >= BACK_MS && (now_ms - BACK_MS).is_multiple_of(300) {
                self.announce(now_ms, HOLDER, State::Ready, 2);
            }
            if copies.contains(&now_ms) {
                self.handle(now_ms, Event::Client(self.packet));
            }
            self.handle(now_ms, Event::Tick);
        }
    }

    fn announce(&mut self, now_ms: u64, agent: u8, state: State, incarnation: u64) {
        let announced = announcement(now_ms + 100, state, Load::default());
        let announced = Announcement { incarnation, sees_all_flows: false, ..announced };
        self.handle(now_ms, Event::Announced(host(agent), announced));
    }

    fn handle(&mut self, now_ms: u64, event: Event) {
        for action in self.balancer.handle(at(now_ms), event) {
            match action {
                Action::Forward(agent, Message::Carry { .. }) => self.deliver(now_ms, agent),
                Action::Send(from, Message::Locate { flow }) if from != host(HOLDER) => {
                    let load = Load::default();
                    self.handle(now_ms, Event::Absent { from, flow, load });
                }
                Action::Keep(head) => self.kept = Some(head),
                Action::Recall | Action::RecallFlow(_) => {
                    if let Some(head) = self.kept.take() {
                        self.handle(now_ms, Event::Recalled(head));
                    }
                }
                Action::Reset { .. } => self.was_reset = true,
                _ => {}
            }
        }
    }

    fn deliver(&mut self, now_ms: u64, agent: Ipv4Addr) {
        let (head, load, flow) = (self.packet, Load::default(), self.packet.flow);
        if agent != host(HOLDER) {
            *self.misrouted.entry(agent).or_default() += 1;
            let reason = Reason::NotHeld;
            self.handle(now_ms, Event::Declined { from: agent, head, reason, load });
        } else if now_ms >= BACK_MS {
            self.delivered_ms = self.delivered_ms.or(Some(now_ms));
            self.handle(now_ms, Event::Holds { from: agent, flow, load });
        }
    }
}

/// Guards against packets of an open flow that reach other servers again and again, and its own
/// server only seconds after the flow's agent is back.
#[test]
fn packets_of_a_flow_wait_for_its_agent_that_is_being_replaced() {
    let mut search = Search::open();

    search.run(8_000);

    assert!(!search.was_reset);
    assert!(search.misrouted.values().all(|packets| *packets <= 1), "{:?}", search.misrouted);
    let delivered_ms = search.delivered_ms.expect("the packet reaches its server");
    assert!((BACK_MS..=BACK_MS + 100).contains(&delivered_ms), "{delivered_ms}");
}

/// Guards against packets that are sent to a process which has ended: the client repeats them only
/// after the agent has long been back.
#[test]
fn packets_of_a_located_flow_wait_for_its_agent_that_is_being_replaced() {
    let mut search = Search::open();
    let load = Load::default();
    search.handle(2_900, Event::Holds { from: host(HOLDER), flow: flow(1), load });

    search.run(8_000);

    assert_eq!(search.misrouted, BTreeMap::new());
    let delivered_ms = search.delivered_ms.expect("the packet reaches its server");
    assert!((BACK_MS..=BACK_MS + 100).contains(&delivered_ms), "{delivered_ms}");
}

/// Guards against a flow that is never found because an agent which denied a flow from the same
/// port earlier holds this one.
#[test]
fn an_agent_that_denied_a_flow_is_asked_last_without_the_packet() {
    let mut balancer = balancer(&[1, 2]);
    let packet = data(flow(1), 1_001, 500);
    let denied = |from| {
        let (reason, load) = (Reason::NotHeld, Load::default());
        Event::Declined { from, head: packet, reason, load }
    };
    balancer.handle(at(3_000), Event::Client(packet));
    balancer.handle(at(3_001), denied(host(1)));
    balancer.handle(at(3_002), denied(host(2)));

    let mut located = Vec::new();
    for now_ms in (4_200..5_400).step_by(50) {
        if now_ms % 300 == 0 {
            for agent in [1, 2] {
                let announced = announcement(now_ms + 100, State::Ready, Load::default());
                balancer.handle(at(now_ms), Event::Announced(host(agent), announced));
            }
        }
        let event = if now_ms == 4_500 { Event::Client(packet) } else { Event::Tick };
        for action in balancer.handle(at(now_ms), event) {
            if let Action::Send(agent, Message::Locate { .. }) = action {
                located.push(agent);
            }
        }
    }

    assert!(located.contains(&host(1)) && located.contains(&host(2)), "{located:?}");
}

/// Guards against the reset of all flows of a running server: its agent is stopped again before the
/// server's next heartbeat, and says that there is none.
#[test]
fn an_agent_that_has_not_heard_its_server_yet_leaves_as_restarting() {
    let mut agent = agent();
    agent.handle(at(100), agent::Event::Tick);

    let actions = agent.handle(at(200), agent::Event::Leave);

    let state = actions.iter().find_map(|action| match action {
        agent::Action::Send(_, Message::Announce(announced)) => Some(announced.state),
        _ => None,
    });
    assert_eq!(state, Some(State::Restarting));
}

#[test]
fn an_agent_whose_server_has_ended_leaves_as_gone() {
    let mut agent = agent();
    agent.handle(at(100), agent::Event::Heartbeat(heartbeat("one", 1)));
    agent.handle(at(200), agent::Event::Deregistered(incarnation("one")));

    let actions = agent.handle(at(300), agent::Event::Leave);

    let gone = |action: &agent::Action| match action {
        agent::Action::Send(_, Message::Announce(announced)) => announced.state == State::Gone,
        _ => false,
    };
    assert!(actions.iter().any(gone), "{actions:?}");
}

/// Guards against the reset of flows of an agent that restarts and has not said which service its
/// server belongs to.
#[test]
fn an_agent_that_restarts_before_it_knows_its_server_may_hold_flows() {
    let mut balancer = balancer(&[1, 2]);
    let restarting = announcement(1, State::Restarting, Load::default());
    let restarting = Announcement { incarnation: 2, service: None, ..restarting };
    balancer.handle(at(3_010), Event::Announced(host(1), restarting));
    let packet = data(flow(1), 1_001, 500);
    let (reason, load) = (Reason::NotHeld, Load::default());

    announce(&mut balancer, &[2], 3_300, 4_200);

    let mut actions = balancer.handle(at(4_210), Event::Client(packet));
    let denied = Event::Declined { from: host(2), head: packet, reason, load };
    actions.extend(balancer.handle(at(4_211), denied));
    actions.extend(balancer.handle(at(4_300), Event::Tick));

    assert!(!resets(&actions), "{actions:?}");
}
