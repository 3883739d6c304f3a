//! Requests that cannot be answered before their client's deadline: the client must learn of it
//! before the deadline passes.

use nutmegkeel_core::l4::agent::{Action, Agent, Event};
use nutmegkeel_core::l4::flow::{Flow, Head};
use nutmegkeel_core::l4::message::{Demand, Message, Offer, Reason};
use nutmegkeel_core::l4::policy::{Mechanism, Policy};

use crate::contended::contention;
use crate::fixture::{
    BALANCER, accepted, agent_with, at, data, demand, flow, heartbeat, incarnation, offer,
    open_flow, opening, send_data,
};

/// Number of requests that the server gets before others wait: four slots and two queued.
const SERVER_LIMIT: u16 = 6;

/// Demand of the requests, whose deadline is 2.5 s after the opening.
const DEMAND: Demand = demand(false);

const DEADLINE_MS: u64 = DEMAND.deadline_ms as u64;

/// Time without an event after which the agent has stalled, in milliseconds. It then takes its
/// server for neither slow nor fast, so that only the deadline decides.
const STALL_MS: u64 = 450;

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

/// Opens flow 20 and lets the server answer its first request.
fn open_idle_flow(agent: &mut Agent) {
    open_flow(agent, 100, flow(20), DEMAND);
    send_data(agent, 110, flow(20), 1_001);
    agent.handle(at(160), Event::FromServer(data(flow(20), 501, 1_101)));
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
        agent.handle(at(300 + STALL_MS), Event::Tick);
        agent.handle(at(1_250), Event::FromServer(accepted(flow(20), 500)));
        let kept = agent.handle(at(1_260), first_request(flow(20)));

        let early = agent.handle(at(2_000), Event::Tick);
        let late = agent.handle(at(100 + DEADLINE_MS - 10), Event::Tick);

        assert!(!kept.iter().chain(&early).any(resets(flow(20))), "{kept:?} {early:?}");
        assert!(late.iter().any(resets(flow(20))), "{late:?}");
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
    agent.handle(at(1_001 + STALL_MS), Event::Tick);
    let kept = agent.handle(at(1_950), first_request(flow(20)));

    let early = agent.handle(at(1_950 + STALL_MS), Event::Tick);
    let late = agent.handle(at(DEADLINE_MS - 10), Event::Tick);

    assert!(!kept.iter().chain(&early).any(resets(flow(20))), "{kept:?} {early:?}");
    assert!(late.iter().any(resets(flow(20))), "{late:?}");
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

/// Runs the ticks of a period while the server answers its requests in order, one slot after
/// another, each after `service_ms`. The client of each answer sends its next request at once.
fn run_slow(agent: &mut Agent, from_ms: u64, until_ms: u64, service_ms: u64) {
    let interval_ms = service_ms / 4;
    let mut port = 0;
    for now in (from_ms..until_ms).step_by(100) {
        agent.handle(at(now), Event::Tick);
        if (now - from_ms) % interval_ms < 100 {
            let held = flow(1 + port % SERVER_LIMIT);
            let sent = 1_001 + 100 * u32::from(port / SERVER_LIMIT);
            agent.handle(at(now), Event::FromServer(data(held, 501 + sent, sent + 100)));
            send_data(agent, now, held, sent + 100);
            port += 1;
        }
    }
}

/// An agent whose server has become too slow to answer anything before its deadline: all slots are
/// busy, and each answer takes 3 s. Flow 20 is open and idle.
fn agent_of_slow_server(policy: Policy) -> Agent {
    let mut agent = serving(policy);
    open_idle_flow(&mut agent);
    fill(&mut agent, 200, 1);
    run_slow(&mut agent, 300, 9_000, 3_000);
    agent
}

fn next_request(flow: Flow) -> Event {
    Event::Carry { from: BALANCER, head: data(flow, 1_101, 1_101), known: true }
}

fn is_released(actions: &[Action], expected: Flow) -> bool {
    actions.contains(&Action::Release(expected))
}

/// Guards against a client that waits in silence for as long as its deadline, because the request
/// on its open flow is dropped as soon as it arrives. Only the server can reject it there.
#[test]
fn a_request_on_an_open_flow_goes_to_a_server_that_is_too_slow_for_it() {
    for policy in policies() {
        let mut agent = agent_of_slow_server(policy);

        let mut actions = agent.handle(at(9_001), next_request(flow(20)));
        actions.extend(agent.handle(at(9_100), Event::Tick));

        assert!(is_released(&actions, flow(20)), "{actions:?}");
        assert!(!actions.iter().any(resets(flow(20))), "{actions:?}");
    }
}

/// Guards against clients that wait for most of their deadline before they are refused: their server
/// has become very slow, which shows in its last answers only after seconds.
#[test]
fn requests_at_a_server_that_stops_answering_learn_of_it_soon() {
    let mut agent = serving(Policy::default());
    open_idle_flow(&mut agent);
    fill(&mut agent, 200, 1);
    agent.handle(at(210), next_request(flow(20)));
    open_flow(&mut agent, 210, flow(21), DEMAND);
    agent.handle(at(211), first_request(flow(21)));

    let concerns =
        |action: &Action| *action == Action::Release(flow(20)) || resets(flow(21))(action);
    let first_at = first_time(&mut agent, 300, 4_000, concerns);
    let again = agent.handle(at(4_001), Event::Tick);

    assert!(first_at.is_some_and(|now| now < 210 + DEADLINE_MS / 2), "{first_at:?}");
    assert!(!again.iter().any(concerns), "{again:?}");
}

/// Guards against new clients that are sent to a server which cannot answer them before their
/// deadline. Others may be able to.
#[test]
fn a_server_that_is_too_slow_gets_no_opening_until_it_has_a_free_slot() {
    for policy in policies() {
        let mut agent = agent_of_slow_server(policy);
        let open = |port| Event::Open {
            from: BALANCER,
            head: opening(flow(port), 0),
            offer: offer(DEMAND),
        };

        let declined = agent.handle(at(9_001), open(30));
        for port in 1..=SERVER_LIMIT {
            let mut end = data(flow(port), 50_001, 50_001);
            end.flags.rst = true;
            agent.handle(at(9_002), Event::Carry { from: BALANCER, head: end, known: true });
        }
        let accepted = agent.handle(at(9_003), open(31));

        let is_declined = |action: &Action| {
            matches!(action, Action::Return(_, Message::Declined { reason: Reason::Late, .. }))
        };
        assert!(declined.iter().any(is_declined), "{declined:?}");
        assert!(!accepted.iter().any(is_declined), "{accepted:?}");
    }
}

/// Guards against a client that waits until its deadline for a server that has reported its end and
/// has no successor. The flow stays as long as the server still sends.
#[test]
fn a_request_to_a_server_that_has_ended_is_reset_at_once() {
    let mut agent = serving(Policy::default());
    open_idle_flow(&mut agent);
    agent.handle(at(1_000), Event::Deregistered(incarnation("a")));

    let ending = agent.handle(at(1_100), next_request(flow(20)));
    agent.handle(at(1_400), Event::FromServer(data(flow(21), 501, 1_101)));
    let later = agent.handle(at(1_800), next_request(flow(20)));
    let ended = agent.handle(at(2_000), next_request(flow(20)));

    assert!(!ending.iter().chain(&later).any(resets(flow(20))), "{ending:?} {later:?}");
    assert!(ended.iter().any(resets(flow(20))), "{ended:?}");
}
