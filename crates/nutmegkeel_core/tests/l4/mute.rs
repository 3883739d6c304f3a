//! Backend servers that accept requests and never answer.

use nutmegkeel_core::l4::agent::{Action, Agent, Event};
use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::message::State;

use crate::fixture::{BALANCER, agent, at, data, demand, flow, heartbeat, open_flow, send_data};

/// Response time of a healthy server, in milliseconds.
const ANSWER_MS: u64 = 60;

fn answer(agent: &mut Agent, now: u64, flow: Flow) {
    agent.handle(at(now), Event::FromServer(data(flow, 501, 1_101)));
}

/// Runs the ticks of a period; returns the agent's actions.
fn run_ticks(agent: &mut Agent, from_ms: u64, until_ms: u64) -> Vec<Action> {
    let ticks = (from_ms..=until_ms).step_by(100);
    ticks.flat_map(|now| agent.handle(at(now), Event::Tick)).collect()
}

/// An agent whose server has answered `answers` requests, the last one just before 3 s.
fn agent_after_answers(answers: u32) -> Agent {
    let mut agent = agent();
    agent.handle(at(0), Event::Recovered(None));
    agent.handle(at(0), Event::Heartbeat(heartbeat("a", 1)));
    open_flow(&mut agent, 1, flow(1), demand(false));
    for number in 0..answers {
        let now = 100 + 100 * u64::from(number);
        agent.handle(at(now), Event::Tick);
        send_data(&mut agent, now, flow(1), 1_001 + 100 * number);
        answer(&mut agent, now + ANSWER_MS, flow(1));
    }
    run_ticks(&mut agent, 100 + 100 * u64::from(answers), 3_000);
    agent
}

fn resets(actions: &[Action]) -> Vec<Flow> {
    let reset = |action: &Action| match action {
        Action::Reset { flow, .. } => Some(*flow),
        _ => None,
    };
    actions.iter().filter_map(reset).collect()
}

/// Sends two requests that may run again and two that must run once to a server that answers
/// nothing from then on.
fn go_mute(agent: &mut Agent, now: u64) {
    for (port, once) in [(2, false), (3, false), (4, true), (5, true)] {
        open_flow(agent, now, flow(port), demand(once));
        send_data(agent, now + 2, flow(port), 1_001);
    }
}

/// Guards against new flows for a server that accepts and acknowledges requests and sends
/// heartbeats, but never answers. The open flows stay, because the server may hold them.
#[test]
fn a_mute_server_gets_no_new_flows_and_keeps_its_open_ones() {
    let mut agent = agent_after_answers(16);
    go_mute(&mut agent, 3_000);

    run_ticks(&mut agent, 3_100, 3_200);
    let early = agent.state(at(3_200));
    let actions = run_ticks(&mut agent, 3_300, 4_200);

    assert_eq!(early, State::Ready);
    assert_eq!(agent.state(at(4_200)), State::Failing);
    assert_eq!(resets(&actions), Vec::new());
}

/// Guards against the reset of open flows on a guess: their server pauses for three seconds, longer
/// than any limit of its silence, and then answers every request.
#[test]
fn open_flows_of_a_paused_server_are_not_reset() {
    let mut agent = agent_after_answers(16);
    go_mute(&mut agent, 3_000);

    let mut actions = run_ticks(&mut agent, 3_100, 6_000);
    for port in 2..=5 {
        actions.extend(agent.handle(at(6_001), Event::FromServer(data(flow(port), 501, 1_101))));
    }
    actions.extend(run_ticks(&mut agent, 6_100, 7_000));

    assert_eq!(resets(&actions), Vec::new());
}

/// An agent whose server has been mute for 2.5 s, with requests that must run once in all its slots
/// and its queue. Flow 1 is open and idle.
fn agent_of_full_mute_server() -> Agent {
    agent_of_full_mute_server_with(|_| ())
}

/// Returns such an agent after `act` at 4 s, when the server has been silent for a second.
fn agent_of_full_mute_server_with(act: impl Fn(&mut Agent)) -> Agent {
    let mut agent = agent_after_answers(16);
    for port in 2..=9 {
        open_flow(&mut agent, 3_000, flow(port), demand(true));
        send_data(&mut agent, 3_002, flow(port), 1_001);
    }
    run_ticks(&mut agent, 3_100, 3_900);
    act(&mut agent);
    run_ticks(&mut agent, 4_000, 5_500);
    agent
}

/// Guards against the reset of an open flow with a request that has only just arrived: its server
/// has answered nothing for some seconds, and requests of that time still fill its slots although
/// it works again.
#[test]
fn a_request_that_arrives_at_a_mute_server_does_not_reset_its_open_flow() {
    let mut agent = agent_of_full_mute_server();
    send_data(&mut agent, 5_501, flow(1), 50_001);

    let actions = run_ticks(&mut agent, 5_600, 6_000);

    assert!(!resets(&actions).contains(&flow(1)), "{actions:?}");
}

/// Guards against clients that wait until their deadline for a request that never reached the mute
/// server: on an open flow the server itself can reject it.
#[test]
fn a_request_on_an_open_flow_does_not_wait_for_a_slot_of_a_mute_server() {
    let mut agent = agent_of_full_mute_server();
    let head = data(flow(1), 50_001, 501);

    let mut actions = agent.handle(at(5_501), Event::Carry { from: BALANCER, head, known: true });
    actions.extend(run_ticks(&mut agent, 5_600, 5_600));

    assert!(actions.contains(&Action::Release(flow(1))), "{actions:?}");
}

/// Guards against clients that wait until their deadline for a request that never reached the mute
/// server: a flow that the server has not opened is reset.
#[test]
fn a_request_on_a_new_flow_is_refused_at_a_mute_server() {
    let mut agent = agent_of_full_mute_server_with(|agent| {
        open_flow(agent, 4_000, flow(20), demand(false));
    });
    let head = data(flow(20), 1_001, 501);

    let mut actions = agent.handle(at(5_503), Event::Carry { from: BALANCER, head, known: true });
    actions.extend(run_ticks(&mut agent, 5_600, 5_600));

    assert_eq!(resets(&actions), vec![flow(20)]);
}

/// Guards against a mute server that looks well because it rejects what its full queue has no room
/// for.
#[test]
fn rejections_are_no_answers_of_a_mute_server() {
    let mut agent = agent_after_answers(16);
    for port in 2..=9 {
        open_flow(&mut agent, 3_000, flow(port), demand(true));
        send_data(&mut agent, 3_002, flow(port), 1_001);
    }

    for now in (3_100..=4_200).step_by(100) {
        let port = u16::try_from(now / 100).expect("a short test");
        open_flow(&mut agent, now, flow(port), demand(true));
        send_data(&mut agent, now + 2, flow(port), 1_001);
        answer(&mut agent, now + 3, flow(port));
        agent.handle(at(now + 4), Event::Tick);
    }

    assert_eq!(agent.state(at(4_204)), State::Failing);
}

/// Guards against a healthy server that gets no new flows: it answers most requests in 5 ms and a
/// few in 50 or 500 ms, and two of the long ones arrive together when there are no others.
#[test]
fn two_long_requests_among_short_ones_do_not_make_a_server_mute() {
    let mut agent = agent();
    agent.handle(at(0), Event::Heartbeat(heartbeat("a", 1)));
    open_flow(&mut agent, 1, flow(1), demand(false));
    for number in 0..40 {
        let now = 100 + 50 * u64::from(number);
        agent.handle(at(now), Event::Tick);
        send_data(&mut agent, now, flow(1), 1_001 + 100 * number);
        answer(&mut agent, now + 5, flow(1));
    }
    run_ticks(&mut agent, 2_100, 3_000);
    for port in [2, 3] {
        open_flow(&mut agent, 3_000, flow(port), demand(false));
        send_data(&mut agent, 3_002, flow(port), 1_001);
    }

    let actions = run_ticks(&mut agent, 3_100, 3_600);

    assert_eq!(resets(&actions), Vec::new());
    assert_eq!(agent.state(at(3_600)), State::Ready);
}

/// A single request may lack a packet for seconds because of a bad link, while the server is
/// healthy.
#[test]
fn one_waiting_request_does_not_make_a_server_mute() {
    let mut agent = agent_after_answers(16);
    open_flow(&mut agent, 3_000, flow(2), demand(false));
    send_data(&mut agent, 3_002, flow(2), 1_001);

    let actions = run_ticks(&mut agent, 3_100, 6_000);

    assert_eq!(resets(&actions), Vec::new());
    assert_eq!(agent.state(at(6_000)), State::Ready);
}

/// A server that became slow still answers occasionally, and its clients keep their flows.
#[test]
fn a_slow_server_is_not_mute() {
    let mut agent = agent_after_answers(16);
    go_mute(&mut agent, 3_000);
    send_data(&mut agent, 3_002, flow(1), 10_001);

    let mut actions = Vec::new();
    for now in (3_100..=7_000).step_by(100) {
        actions.extend(agent.handle(at(now), Event::Tick));
        if now % 300 == 0 {
            answer(&mut agent, now, flow(1));
            send_data(&mut agent, now, flow(1), u32::try_from(now).expect("a short test") + 50_000);
        }
    }

    assert_eq!(resets(&actions), Vec::new());
    assert_eq!(agent.state(at(7_000)), State::Ready);
}

/// Guards against a healthy server that gets no new flows because its agent stalled for two seconds:
/// the answers that arrived in that time have not been read yet.
#[test]
fn a_stalled_process_does_not_judge_its_server() {
    let mut agent = agent_after_answers(16);
    go_mute(&mut agent, 3_000);

    let actions = run_ticks(&mut agent, 5_200, 5_300);

    assert_eq!(resets(&actions), Vec::new());
    assert_eq!(agent.state(at(5_300)), State::Ready);
}

/// Guards against a cold server that gets no new flows after a restart, when no usual time is known
/// yet.
#[test]
fn a_server_whose_usual_time_is_not_known_is_not_judged() {
    let mut agent = agent_after_answers(15);
    go_mute(&mut agent, 3_000);

    let actions = run_ticks(&mut agent, 3_100, 6_000);

    assert_eq!(resets(&actions), Vec::new());
    assert_eq!(agent.state(at(6_000)), State::Ready);
}
