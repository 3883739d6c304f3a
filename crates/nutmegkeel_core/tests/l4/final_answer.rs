//! Requests that cannot be answered before their client's deadline: the client must learn of it
//! before the deadline passes.

use nutmegkeel_core::l4::agent::{Action, Agent, Event};
use nutmegkeel_core::l4::flow::{Flow, Head};
use nutmegkeel_core::l4::message::{Demand, Offer};
use nutmegkeel_core::l4::policy::{Mechanism, Policy};

use crate::contended::contention;
use crate::fixture::{
    BALANCER, accepted, agent_with, at, data, demand, flow, heartbeat, offer, open_flow, opening,
    send_data,
};

/// Number of requests that the server gets before others wait: four slots and two queued.
const SERVER_LIMIT: u16 = 6;

/// Demand of the requests, whose deadline is 2.5 s after the opening.
const DEMAND: Demand = demand(false);

const DEADLINE_MS: u64 = DEMAND.deadline_ms as u64;

/// Policies under which requests wait in different orders.
fn policies() -> [Policy; 2] {
    [Policy::default(), contention(&[Mechanism::FairShares])]
}

/// An agent whose server it has known since the server's start.
fn serving(policy: Policy) -> Agent {
    let mut agent = agent_with(policy);
    agent.handle(at(0), Event::Recovered(None));
    agent.handle(at(0), Event::Heartbeat(heartbeat("a", 1)));
    agent
}

/// Gives the server as many requests as it gets at once, on new flows from `first_port` on.
fn fill(agent: &mut Agent, now: u64, first_port: u16) {
    for port in first_port..first_port + SERVER_LIMIT {
        open_flow(agent, now, flow(port), DEMAND);
        send_data(agent, now, flow(port), 1_001);
    }
}

/// Opens a flow; its opening reached a balancer `waited_ms` ago.
fn open_after(agent: &mut Agent, now: u64, flow: Flow, waited_ms: u32) {
    let offer = Offer { waited_ms, ..offer(DEMAND) };
    agent.handle(at(now), Event::Open { from: BALANCER, head: opening(flow, 0), offer });
}

fn first_request(flow: Flow) -> Event {
    Event::Carry { from: BALANCER, head: data(flow, 1_001, 501), known: true }
}

/// Runs the ticks of a period; returns the time of the first action that `is_meant`.
fn first_time(
    agent: &mut Agent,
    from_ms: u64,
    until_ms: u64,
    is_meant: impl Fn(&Action) -> bool,
) -> Option<u64> {
    (from_ms..=until_ms)
        .step_by(10)
        .find(|now| agent.handle(at(*now), Event::Tick).iter().any(&is_meant))
}

fn resets(flow: Flow) -> impl Fn(&Action) -> bool {
    move |action| matches!(action, Action::Reset { flow: reset, .. } if *reset == flow)
}

/// Guards against a client that gets no final answer: its server accepts the opening late, and by
/// then all slots are busy, so that its first request waits.
#[test]
fn a_first_request_after_a_late_answer_to_the_opening_is_refused_before_its_deadline() {
    for policy in policies() {
        let mut agent = serving(policy);
        open_after(&mut agent, 100, flow(20), 0);
        fill(&mut agent, 300, 1);
        agent.handle(at(600), Event::Tick);
        agent.handle(at(700), Event::FromServer(accepted(flow(20), 500)));
        agent.handle(at(710), first_request(flow(20)));

        let refused_at = first_time(&mut agent, 720, 4_000, resets(flow(20)));

        assert!(refused_at.is_some_and(|now| now < 100 + DEADLINE_MS), "{refused_at:?}");
    }
}

/// Guards against a client that gets no final answer: its request arrives so late that its opening
/// has lost its place in the queue.
#[test]
fn a_request_whose_opening_lost_its_place_is_refused_before_its_deadline() {
    let mut agent = serving(contention(&[]));
    fill(&mut agent, 1_000, 1);
    open_after(&mut agent, 1_000, flow(20), 1_000);
    agent.handle(at(1_001), Event::FromServer(accepted(flow(20), 500)));
    agent.handle(at(1_400), Event::Tick);
    agent.handle(at(1_800), first_request(flow(20)));

    let refused_at = first_time(&mut agent, 1_810, 4_000, resets(flow(20)));

    assert!(refused_at.is_some_and(|now| now < DEADLINE_MS), "{refused_at:?}");
}

/// Guards against a request that is dropped long before its deadline because its client opened the
/// flow in advance.
#[test]
fn a_request_on_a_flow_that_was_opened_in_advance_counts_from_its_arrival() {
    let mut agent = serving(Policy::default());
    open_flow(&mut agent, 100, flow(20), DEMAND);
    let handshake_end = Head { len: 0, ..data(flow(20), 1_001, 501) };
    let event = Event::Carry { from: BALANCER, head: handshake_end, known: true };
    agent.handle(at(110), event);
    agent.handle(at(11_900), Event::Tick);
    fill(&mut agent, 11_900, 1);
    let kept = agent.handle(at(12_000), first_request(flow(20)));
    agent.handle(at(12_700), Event::Tick);

    let freed: Vec<Action> = (1..=SERVER_LIMIT)
        .flat_map(|port| agent.handle(at(12_710), Event::FromServer(data(flow(port), 501, 1_101))))
        .collect();

    assert!(kept.iter().any(|action| matches!(action, Action::Keep(_))), "{kept:?}");
    assert!(freed.contains(&Action::Release(flow(20))), "{freed:?}");
}
