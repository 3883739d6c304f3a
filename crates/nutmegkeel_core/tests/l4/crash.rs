//! Backend servers that are silent because they crashed, or only paused.

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::agent::{Action, Agent, Event};
use nutmegkeel_core::l4::message::{Message, Reason};
use nutmegkeel_core::port::{Finding, State};

use crate::fixture::{
    BALANCER, accepted, agent, at, data, demand, flow, heartbeat, heartbeat_started_at, offer,
    open_flow, opening, send_data,
};

/// Returns when a check of the server's port was requested.
fn check(actions: &[Action]) -> Option<Time> {
    actions.iter().find_map(|action| match action {
        Action::CheckServerPort { asked_at } => Some(*asked_at),
        _ => None,
    })
}

/// Delivers an event at this time and the result of the check that it causes, if any.
fn deliver(agent: &mut Agent, now_ms: u64, event: Event, state: State) -> Vec<Action> {
    let mut actions = agent.handle(at(now_ms), event);
    if let Some(asked_at) = check(&actions) {
        let finding = Finding { state, asked_at };
        actions.extend(agent.handle(at(now_ms + 1), Event::ServerPortChecked(finding)));
    }
    actions
}

/// Runs an agent whose server sends nothing, while each check finds this state.
fn run(agent: &mut Agent, from_ms: u64, until_ms: u64, state: State) -> Vec<Action> {
    let ticks = (from_ms..=until_ms).step_by(100);
    ticks.flat_map(|now_ms| deliver(agent, now_ms, Event::Tick, state)).collect()
}

/// An agent whose server has the port open and holds two flows, one with a request.
fn serving() -> Agent {
    let mut agent = agent();
    let beat = Event::Heartbeat(heartbeat_started_at("a", 10, 1));
    deliver(&mut agent, 10, beat, State::Open);
    open_flow(&mut agent, 100, flow(1), demand(true));
    open_flow(&mut agent, 110, flow(2), demand(false));
    send_data(&mut agent, 200, flow(1), 1_001);
    agent
}

fn resets(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reset { .. })).count()
}

/// Guards against clients that wait until their deadline for a server that has crashed and has no
/// successor, beside an agent that runs.
#[test]
fn flows_of_a_server_whose_port_is_closed_are_reset_at_once() {
    let mut agent = serving();

    let early = run(&mut agent, 300, 400, State::Closed);
    let late = run(&mut agent, 500, 600, State::Closed);
    let next = agent.handle(
        at(700),
        Event::Carry { from: BALANCER, head: data(flow(2), 1_001, 501), known: true },
    );

    assert_eq!(resets(&early), 0);
    assert!(late.contains(&Action::Reset { flow: flow(1), seq: 501 }), "{late:?}");
    assert!(late.contains(&Action::Reset { flow: flow(2), seq: 501 }), "{late:?}");
    let is_denial = |action: &Action| {
        matches!(action, Action::Return(_, Message::Declined { reason: Reason::NotHeld, .. }))
    };
    assert!(next.iter().any(is_denial), "{next:?}");
}

/// Guards against the reset of the flows of a server that is only paused or slow.
#[test]
fn flows_of_a_server_whose_port_is_not_closed_stay() {
    for state in [State::Open, State::Unanswered] {
        let mut agent = serving();

        let actions = run(&mut agent, 300, 20_000, state);

        assert_eq!(resets(&actions), 0, "{state:?}");
    }
}

/// Guards against clients of idle flows that learn of the crash only with their next request.
#[test]
fn idle_flows_of_a_crashed_server_are_reset_when_its_heartbeat_is_overdue() {
    let mut agent = serving();
    send_data(&mut agent, 210, flow(2), 1_001);
    agent.handle(at(250), Event::FromServer(data(flow(1), 501, 1_101)));
    agent.handle(at(250), Event::FromServer(data(flow(2), 501, 1_101)));

    let actions = run(&mut agent, 300, 3_200, State::Closed);

    assert_eq!(resets(&actions), 2);
}

/// Guards against the reset of a successor's flows by a check that began before it started.
#[test]
fn a_server_that_was_heard_during_a_check_keeps_its_flows() {
    let mut agent = serving();
    let asked_at = check(&agent.handle(at(500), Event::Tick)).expect("the port is checked");
    agent.handle(at(501), Event::Heartbeat(heartbeat_started_at("b", 400, 1)));
    open_flow(&mut agent, 502, flow(3), demand(true));

    let finding = Finding { state: State::Closed, asked_at };
    let actions = agent.handle(at(510), Event::ServerPortChecked(finding));
    let packet = agent.handle(
        at(520),
        Event::Carry { from: BALANCER, head: data(flow(3), 1_001, 501), known: true },
    );

    assert_eq!(resets(&actions), 0);
    assert!(packet.contains(&Action::ToServer(0)), "{packet:?}");
}

/// Guards against a successor that is not believed, and against a delayed heartbeat of the crashed
/// server that takes its place.
#[test]
fn a_successor_of_a_crashed_server_serves_and_stays() {
    let mut agent = serving();
    run(&mut agent, 300, 600, State::Closed);

    agent.handle(at(700), Event::Heartbeat(heartbeat_started_at("b", 650, 1)));
    agent.handle(at(710), Event::Heartbeat(heartbeat_started_at("a", 10, 2)));
    open_flow(&mut agent, 720, flow(3), demand(true));
    let actions = agent.handle(
        at(730),
        Event::Carry { from: BALANCER, head: data(flow(3), 1_001, 501), known: true },
    );

    assert!(actions.contains(&Action::ToServer(0)), "{actions:?}");
}

/// Guards against the end of a server that runs and has no port for connections.
#[test]
fn a_port_that_was_never_open_shows_no_crash() {
    let mut agent = agent();
    let beat = Event::Heartbeat(heartbeat_started_at("a", 10, 1));
    deliver(&mut agent, 10, beat, State::Closed);
    open_flow(&mut agent, 100, flow(1), demand(true));
    send_data(&mut agent, 200, flow(1), 1_001);

    let actions = run(&mut agent, 300, 20_000, State::Closed);

    assert_eq!(resets(&actions), 0);
}

/// Guards against new flows at a server that has crashed.
#[test]
fn a_crashed_server_gets_no_opening() {
    let mut agent = serving();
    run(&mut agent, 300, 600, State::Closed);

    let (from, head) = (BALANCER, opening(flow(3), 0));
    let actions = agent.handle(at(700), Event::Open { from, head, offer: offer(demand(true)) });

    assert!(!actions.iter().any(|action| matches!(action, Action::ToServer(_))), "{actions:?}");
}

/// Guards against a request that waits at the agent for a server that has crashed.
#[test]
fn waiting_requests_of_a_crashed_server_are_reset() {
    let mut agent = serving();
    for port in 10..20 {
        open_flow(&mut agent, 250, flow(port), demand(false));
        send_data(&mut agent, 260, flow(port), 1_001);
    }

    let actions = run(&mut agent, 300, 700, State::Closed);

    assert_eq!(resets(&actions), 12);
}

/// Guards against checks that load a server: an idle one that sends heartbeats gets only the first
/// one, and a silent one few.
#[test]
fn checks_are_few() {
    let mut idle = serving();
    idle.handle(at(250), Event::FromServer(data(flow(1), 501, 1_101)));
    let mut beats = Vec::new();
    for seq in 2..20 {
        let now_ms = seq * 1_000;
        beats.extend(run(&mut idle, now_ms - 700, now_ms - 100, State::Open));
        idle.handle(at(now_ms), Event::Heartbeat(heartbeat_started_at("a", 10, seq)));
    }
    let mut silent = serving();
    let paused = run(&mut silent, 300, 60_000, State::Open);

    let count = |actions: &[Action]| {
        actions.iter().filter_map(|one| check(std::slice::from_ref(one))).count()
    };
    assert_eq!(count(&beats), 0);
    assert!((1..=12).contains(&count(&paused)), "{}", count(&paused));
}

/// Guards against a client that waits until its deadline because its server crashed after a long
/// silence, when all checks had been made.
#[test]
fn a_crash_after_a_long_silence_is_told_to_a_client_that_still_sends() {
    let mut agent = serving();
    run(&mut agent, 300, 40_000, State::Open);

    send_data(&mut agent, 40_010, flow(1), 1_001);
    let actions = run(&mut agent, 40_100, 41_200, State::Closed);

    assert_eq!(resets(&actions), 1, "{actions:?}");
}

/// Guards against checks without a bound: each packet of a client allows one more, and they keep
/// their pause.
#[test]
fn clients_that_keep_sending_cause_one_check_a_second() {
    let mut agent = serving();
    run(&mut agent, 300, 40_000, State::Open);

    let mut checked = 0;
    for now_ms in (40_010..50_010).step_by(100) {
        send_data(&mut agent, now_ms, flow(1), 1_001);
        checked += run(&mut agent, now_ms + 50, now_ms + 50, State::Open)
            .iter()
            .filter_map(|action| check(std::slice::from_ref(action)))
            .count();
    }

    assert!((9..=10).contains(&checked), "{checked}");
}

/// Returns what a restarted agent says of a flow, at this time after its start.
fn located(state: State, now_ms: u64) -> Vec<Action> {
    let mut agent = agent();
    run(&mut agent, 100, now_ms - 1, state);
    agent.handle(at(now_ms), Event::Locate(BALANCER, flow(1)))
}

/// Guards against the reset of an open flow whose server pauses while its agent is replaced: the
/// new agent has heard nothing of the server.
#[test]
fn an_agent_denies_no_flow_while_a_process_has_the_servers_port_open() {
    let unsure = |actions: &[Action]| {
        actions.iter().any(|one| matches!(one, Action::Send(_, Message::Unsure { .. })))
    };

    assert!(unsure(&located(State::Open, 1_900)));
    assert!(unsure(&located(State::Open, 8_000)));
    assert!(unsure(&located(State::Unanswered, 5_000)));
}

/// Guards against clients that wait for a server that no longer exists, and against a port that
/// another program keeps open.
#[test]
fn an_agent_without_a_server_denies_flows() {
    let denies = |actions: &[Action]| {
        actions.iter().any(|one| matches!(one, Action::Send(_, Message::Absent { .. })))
    };

    assert!(denies(&located(State::Closed, 1_900)));
    assert!(denies(&located(State::Open, 20_000)));
}

/// Guards against a denial because a paused server left a probe unanswered.
#[test]
fn a_probe_that_a_paused_server_leaves_unanswered_is_no_denial() {
    let mut agent = agent();
    run(&mut agent, 100, 1_900, State::Open);
    let packet = Event::Carry { from: BALANCER, head: data(flow(1), 1_001, 501), known: true };

    let probed = deliver(&mut agent, 2_000, packet.clone(), State::Open);
    let waited = run(&mut agent, 2_100, 3_500, State::Open);
    let again = deliver(&mut agent, 3_600, packet, State::Open);
    agent.handle(at(3_700), Event::FromServer(accepted(flow(1), 500)));
    agent.handle(at(3_701), Event::Heartbeat(heartbeat("a", 9)));

    let is_denial = |action: &Action| {
        matches!(
            action,
            Action::Return(..) | Action::Send(_, Message::Absent { .. }) | Action::Reset { .. }
        )
    };
    let all = [probed, waited, again].concat();
    assert!(!all.iter().any(is_denial), "{all:?}");
}
