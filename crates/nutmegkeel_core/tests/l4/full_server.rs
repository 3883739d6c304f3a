//! Servers that break requests off because they are full, as opposed to faulty ones.

use nutmegkeel_core::l4::agent::{self, Agent};
use nutmegkeel_core::l4::flow::Head;
use nutmegkeel_core::l4::message::State;
use nutmegkeel_core::l4::policy::Policy;

use crate::fixture::{agent_with, at, data, demand, flow, heartbeat, open_flow, send_data};
use crate::room::{SLOTS, contention_policy};

/// Breaks off the requests of these flows.
fn break_off(agent: &mut Agent, now: u64, flows: impl Iterator<Item = u16>) {
    let mut reset = data(flow(1), 501, 1_101);
    reset.flags.rst = true;
    reset.len = 0;
    for port in flows {
        agent.handle(at(now), agent::Event::FromServer(Head { flow: flow(port), ..reset }));
    }
}

/// An agent whose server has this many requests, each of which must run once.
fn agent_with_requests(policy: Policy, count: u16) -> Agent {
    let mut agent = agent_with(policy);
    agent.handle(at(0), agent::Event::Recovered(None));
    agent.handle(at(0), agent::Event::Heartbeat(heartbeat("a", 1)));
    for port in 1..=count {
        open_flow(&mut agent, 90, flow(port), demand(true));
        send_data(&mut agent, 100, flow(port), 1_001);
    }
    agent
}

/// Guards against an overload of the remaining servers: servers with full queues break further
/// requests off, and are spared as faulty together with most of their peers.
#[test]
fn a_full_server_that_rejects_requests_is_not_considered_faulty() {
    let mut with_room = agent_with_requests(contention_policy(), 20);
    let mut without = agent_with_requests(Policy::default(), 20);

    for agent in [&mut with_room, &mut without] {
        break_off(agent, 110, 10..=20);
    }

    assert_eq!(with_room.state(at(111)), State::Ready);
    assert_eq!(without.state(at(111)), State::Failing);
}

/// A faulty server breaks requests off as they arrive, so it never has many.
#[test]
fn a_server_that_breaks_requests_off_while_slots_are_free_is_faulty() {
    let mut agent = agent_with_requests(contention_policy(), SLOTS);

    break_off(&mut agent, 110, 1..=SLOTS);

    assert_eq!(agent.state(at(111)), State::Failing);
}
