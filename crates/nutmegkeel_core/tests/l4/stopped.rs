//! Agents that send nothing although their hosts answer, and the clients of their flows.

use std::net::Ipv4Addr;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::decision::Decision;
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::message::{self, Load, Message, Reason, Report, Summary};
use nutmegkeel_core::l4::policy::{Mechanism, Policy};
use nutmegkeel_core::l4::route::Kind;
use nutmegkeel_core::port::{Finding, State};

use crate::fixture::{
    BALANCER, PORT, announce, announcement, at, balancer, data, default_service, flow, forwarded,
    host, identity, opening, route, service_address, table,
};

/// Agents of the tests; the first one is silent from 3,000 ms on.
const ALL: [u8; 4] = [1, 2, 3, 4];
const OTHERS: [u8; 3] = [2, 3, 4];

/// When the first agent was last heard.
const LAST_HEARD_MS: u64 = 3_001;

/// A balancer that knows a flow at the first agent. Its requests are of this kind.
fn balancer_with_flow(kind: Kind) -> Balancer {
    balancer_with_policy(kind, Policy::default())
}

fn balancer_with_policy(kind: Kind, policy: Policy) -> Balancer {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, policy), &[]);
    balancer.handle(at(0), Event::Ordered(Orders::default()));
    balancer.handle(at(0), Event::Configured(table(1, &[(PORT, default_service())])));
    announce(&mut balancer, &ALL, 0, 3_000);
    let mut table = table(2, &[]);
    table.routes.insert(service_address(PORT), route(default_service(), kind));
    balancer.handle(at(3_000), Event::Configured(table));
    balancer.handle(at(3_000), Event::Client(data(flow(1), 1_001, 500)));
    let holds = Event::Holds { from: host(1), flow: flow(1), load: Load::default() };
    balancer.handle(at(LAST_HEARD_MS), holds);
    balancer
}

/// Returns the requested checks: the agents, each with the time of the request.
fn checks(actions: &[Action]) -> Vec<(Ipv4Addr, Time)> {
    let check = |action: &Action| match action {
        Action::CheckPort { agent, asked_at } => Some((*agent, *asked_at)),
        _ => None,
    };
    actions.iter().filter_map(check).collect()
}

/// Delivers an event; checks of agents' ports find this state at once.
fn deliver(balancer: &mut Balancer, now_ms: u64, event: Event, state: State) -> Vec<Action> {
    let mut actions = balancer.handle(at(now_ms), event);
    for (agent, asked_at) in checks(&actions) {
        let found = Event::PortChecked(agent, Finding { state, asked_at });
        actions.extend(balancer.handle(at(now_ms), found));
    }
    actions
}

/// Returns a summary of another failure domain with one agent, which was heard `age_ms` ago.
fn remote_summary(age_ms: u64) -> Summary {
    let report = Report {
        agent: host(9),
        age_ms: u32::try_from(age_ms).expect("a short test"),
        incarnation: 1,
        number: 1,
        service: Some(0),
        slots: 4,
        cold: false,
        room: None,
        state: message::State::Ready,
        sees_all_flows: true,
        load: Load::default(),
    };
    let (domain, services) = ("tema".into(), vec![default_service()]);
    Summary { domain, services, reports: vec![report], forwarded: false }
}

/// Runs a balancer while the other agents announce themselves and each check of the first one's
/// port finds this state. Returns the actions, with their times.
fn run(balancer: &mut Balancer, from_ms: u64, until_ms: u64, state: State) -> Vec<(u64, Action)> {
    let mut all = Vec::new();
    for now_ms in (from_ms..=until_ms).step_by(50) {
        let mut actions = Vec::new();
        for agent in OTHERS.iter().filter(|_| now_ms % 300 == 0) {
            let announced = announcement(now_ms + 100, message::State::Ready, Load::default());
            let event = Event::Announced(host(*agent), announced);
            actions.extend(deliver(balancer, now_ms, event, state));
        }
        actions.extend(deliver(balancer, now_ms, Event::Tick, state));
        all.extend(actions.into_iter().map(|action| (now_ms, action)));
    }
    all
}

/// Returns when a flow was reset.
fn reset_ms(actions: &[(u64, Action)]) -> Option<u64> {
    let is_reset = |action: &Action| matches!(action, Action::Reset { .. });
    actions.iter().find(|(_, action)| is_reset(action)).map(|(now_ms, _)| *now_ms)
}

/// Opens some flows, and returns the agents that they are sent to.
fn placed(balancer: &mut Balancer, now_ms: u64) -> Vec<Ipv4Addr> {
    let mut open = |port| {
        let actions = balancer.handle(at(now_ms), Event::Client(opening(flow(port), 0)));
        forwarded(&actions).expect("an agent accepts flows")
    };
    (10..60).map(&mut open).collect()
}

/// Guards against the reset of an open flow whose server is well: its agent is suspended for longer
/// than balancers wait for a sign of it.
#[test]
fn flows_of_a_silent_agent_are_kept_while_its_host_answers() {
    for state in [State::Open, State::Closed] {
        let mut balancer = balancer_with_flow(Kind::Once);

        let actions = run(&mut balancer, 3_050, 8_000, state);
        let packet = balancer.handle(at(8_010), Event::Client(data(flow(1), 1_101, 600)));

        assert_eq!(reset_ms(&actions), None, "{state:?}");
        assert_eq!(forwarded(&packet), Some(host(1)), "{state:?}");
    }
}

/// Guards against clients of a lost host that wait longer because its port is checked.
#[test]
fn flows_of_a_host_that_does_not_answer_are_reset_after_two_seconds() {
    let mut balancer = balancer_with_flow(Kind::Once);

    let actions = run(&mut balancer, 3_050, 8_000, State::Unanswered);

    assert_eq!(reset_ms(&actions), Some(5_050));
}

/// Guards against a process that never runs again and whose clients are never told.
#[test]
fn flows_of_a_silent_agent_are_reset_after_ten_seconds() {
    let mut balancer = balancer_with_flow(Kind::Once);

    let actions = run(&mut balancer, 3_050, 15_000, State::Open);

    assert_eq!(reset_ms(&actions), Some(13_050));
}

/// Guards against an answer that is believed for too long: the host loses power after its agent was
/// suspended.
#[test]
fn flows_are_reset_when_the_host_of_a_silent_agent_ceases_to_answer() {
    let mut balancer = balancer_with_flow(Kind::Once);
    let before = run(&mut balancer, 3_050, 6_000, State::Open);

    let after = run(&mut balancer, 6_050, 12_000, State::Unanswered);

    assert_eq!(reset_ms(&before), None);
    let told_ms = reset_ms(&after).expect("the client is told");
    assert!(told_ms <= 6_000 + 3_100, "{told_ms}");
}

/// Guards against a flow that is reset because one packet of a check was lost.
#[test]
fn one_unanswered_check_resets_no_flow() {
    let mut balancer = balancer_with_flow(Kind::Once);
    let first = run(&mut balancer, 3_050, 4_100, State::Unanswered);

    let rest = run(&mut balancer, 4_150, 8_000, State::Open);

    assert_eq!(reset_ms(&first), None);
    assert_eq!(reset_ms(&rest), None);
}

/// Guards against a client that waits until its deadline for an agent that is suspended, although
/// it may repeat its request. One that may not would lose its answer.
#[test]
fn only_a_client_that_may_retry_is_told_to_after_a_second() {
    let wait = |kind| {
        let mut balancer = balancer_with_flow(kind);
        let mut actions = run(&mut balancer, 3_050, 6_000, State::Open);
        let request = data(flow(1), 1_101, 600);
        for now_ms in [6_010, 6_210] {
            deliver(&mut balancer, now_ms, Event::Client(request), State::Open);
        }
        actions.extend(run(&mut balancer, 6_250, 9_000, State::Open));
        reset_ms(&actions)
    };

    assert_eq!(wait(Kind::Idempotent), Some(7_050));
    assert_eq!(wait(Kind::Download), Some(7_050));
    assert_eq!(wait(Kind::Once), None);
}

/// Guards against telling a client to retry that has its answer and sends nothing.
#[test]
fn a_client_that_sent_its_request_once_is_not_told_to_retry() {
    let mut balancer = balancer_with_flow(Kind::Idempotent);

    let actions = run(&mut balancer, 3_050, 9_000, State::Open);

    assert_eq!(reset_ms(&actions), None);
}

/// Guards against the reset of a flow that only a suspended agent can hold, by a balancer that does
/// not know where it is. A client that may retry is told after a second.
#[test]
fn an_unknown_flow_is_undecided_while_an_agent_is_stopped() {
    let search = |kind| {
        let mut balancer = balancer_with_flow(kind);
        run(&mut balancer, 3_050, 6_000, State::Open);
        let request = data(flow(2), 1_101, 600);
        let mut resets = Vec::new();
        for now_ms in (6_050..=9_000).step_by(50) {
            let mut pending = run(&mut balancer, now_ms, now_ms, State::Open);
            if now_ms % 200 == 0 {
                let repeated = Event::Client(request);
                let actions = deliver(&mut balancer, now_ms, repeated, State::Open);
                pending.extend(actions.into_iter().map(|action| (now_ms, action)));
            }
            // The other agents answer each query at once.
            while let Some((_, action)) = pending.pop() {
                let denied = match action {
                    Action::Forward(from, _) if from != host(1) => {
                        let (reason, load) = (Reason::NotHeld, Load::default());
                        Event::Declined { from, head: request, reason, load }
                    }
                    Action::Send(from, Message::Locate { flow }) if from != host(1) => {
                        Event::Absent { from, flow, load: Load::default() }
                    }
                    action => {
                        resets.extend(reset_ms(&[(now_ms, action)]));
                        continue;
                    }
                };
                let actions = deliver(&mut balancer, now_ms, denied, State::Open);
                pending.extend(actions.into_iter().map(|action| (now_ms, action)));
            }
        }
        resets.first().copied()
    };

    let once = search(Kind::Once);
    let repeatable = search(Kind::Idempotent);

    assert_eq!(once, None);
    let told_ms = repeatable.expect("the client is told");
    assert!((7_000..7_700).contains(&told_ms), "{told_ms}");
}

/// Guards against checks that load a host or the network: there are few for each silence, and none
/// for an agent that is heard.
#[test]
fn checks_are_few_and_only_for_silent_agents() {
    for (state, most) in [(State::Open, 7), (State::Closed, 7), (State::Unanswered, 2)] {
        let mut balancer = balancer_with_flow(Kind::Once);

        let actions = run(&mut balancer, 3_050, 30_000, state);

        let actions: Vec<Action> = actions.into_iter().map(|(_, action)| action).collect();
        let checked = checks(&actions);
        assert!(!checked.is_empty() && checked.len() <= most, "{state:?}: {checked:?}");
        assert!(checked.iter().all(|(agent, _)| *agent == host(1)), "{checked:?}");
    }
}

/// Guards against checks that cost more than they show when a failure domain of 300 hosts goes dark:
/// two for each host, and its clients are told as if there were none.
#[test]
fn a_dark_failure_domain_costs_two_checks_for_each_host() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    let agent = |number: u16| {
        let [high, low] = number.to_be_bytes();
        Ipv4Addr::new(10, 0, 2 + high, low)
    };
    let mut checked = Vec::new();
    let mut silent_ms = None;
    for now_ms in (0..=12_000).step_by(50) {
        let alive = if now_ms <= 6_000 { 0..900 } else { 300..900 };
        let mut actions = Vec::new();
        for number in alive.filter(|_| now_ms % 300 == 0) {
            let announced = announcement(now_ms + 100, message::State::Ready, Load::default());
            let event = Event::Announced(agent(number), announced);
            actions.extend(deliver(&mut balancer, now_ms, event, State::Unanswered));
        }
        actions.extend(deliver(&mut balancer, now_ms, Event::Tick, State::Unanswered));
        checked.extend(checks(&actions));
        let is_silent = |action: &Action| matches!(action, Action::Log(Decision::AgentsSilent { agents }) if agents.len() == 300);
        if actions.iter().any(is_silent) {
            silent_ms.get_or_insert(now_ms);
        }
    }

    assert_eq!(checked.len(), 600);
    assert_eq!(silent_ms, Some(8_050));
}

/// Guards against checks of a whole failure domain when this balancer is the one that is cut off.
#[test]
fn a_balancer_that_is_cut_off_checks_no_ports() {
    let mut balancer = balancer_with_flow(Kind::Once);

    let mut checked = Vec::new();
    for now_ms in (3_050..9_000).step_by(50) {
        let actions = balancer.handle(at(now_ms), Event::Tick);
        // All agents become silent together.
        checked.extend(checks(&actions).into_iter().filter(|_| now_ms > 5_100));
    }

    assert_eq!(checked, []);
}

/// Guards against new flows at an agent that is suspended.
#[test]
fn a_stopped_agent_gets_no_new_flow() {
    let mut balancer = balancer_with_flow(Kind::Idempotent);
    run(&mut balancer, 3_050, 6_000, State::Open);

    let placed = placed(&mut balancer, 6_010);

    assert!(!placed.contains(&host(1)), "{placed:?}");
}

/// Guards against an agent that gets no new flows after its suspension.
#[test]
fn a_stopped_agent_that_is_heard_again_gets_new_flows() {
    let mut balancer = balancer_with_flow(Kind::Once);
    run(&mut balancer, 3_050, 6_000, State::Open);

    announce(&mut balancer, &ALL, 6_300, 6_600);
    let actions = run(&mut balancer, 6_650, 7_200, State::Unanswered);

    assert_eq!(reset_ms(&actions), None);
    assert!(placed(&mut balancer, 7_210).contains(&host(1)));
}

/// Guards against the reset of flows at a suspended agent of another failure domain, which this
/// balancer knows from summaries only. They end after four seconds, and its flows are kept on.
#[test]
fn flows_of_a_silent_agent_in_another_failure_domain_are_kept_while_its_host_answers() {
    let remote = |state: State| {
        let mut balancer = balancer(&ALL);
        let mut resets = Vec::new();
        for now_ms in (3_000..=14_000).step_by(50) {
            let mut actions = Vec::new();
            if now_ms % 300 == 0 {
                announce(&mut balancer, &ALL, now_ms, now_ms);
                let age_ms = (now_ms.saturating_sub(3_600)).min(4_000);
                let event = Event::Summary(remote_summary(age_ms));
                if age_ms < 4_000 {
                    actions.extend(deliver(&mut balancer, now_ms, event, state));
                }
            }
            if now_ms == 3_600 {
                let holds = Event::Holds { from: host(9), flow: flow(1), load: Load::default() };
                balancer.handle(at(now_ms), holds);
            }
            actions.extend(deliver(&mut balancer, now_ms, Event::Tick, state));
            resets.extend(actions.into_iter().map(|action| (now_ms, action)));
        }
        reset_ms(&resets)
    };

    let answers = remote(State::Open).expect("the time is bounded");
    let is_gone = remote(State::Unanswered).expect("the client is told");

    assert!((13_600..13_800).contains(&answers), "{answers}");
    assert!((5_600..6_000).contains(&is_gone), "{is_gone}");
}

/// Guards against a client that keeps trying a server that it cannot reach: its balancer is cut off
/// from one agent only, and hears all others.
#[test]
fn a_balancer_that_is_cut_off_from_one_agent_sends_its_clients_elsewhere() {
    let mut balancer = balancer_with_flow(Kind::Idempotent);

    let actions = run(&mut balancer, 3_050, 6_000, State::Unanswered);
    let placed = placed(&mut balancer, 6_010);

    assert_eq!(reset_ms(&actions), Some(5_050));
    assert!(!placed.contains(&host(1)), "{placed:?}");
}

/// Guards against the reset of a stopped agent's flows by a balancer that was stopped itself: its
/// last check is old when it resumes.
#[test]
fn a_balancer_that_resumes_resets_no_flow_of_a_stopped_agent() {
    let mut balancer = balancer_with_flow(Kind::Once);
    run(&mut balancer, 3_050, 6_000, State::Open);

    let actions = run(&mut balancer, 11_000, 11_500, State::Open);

    assert_eq!(reset_ms(&actions), None);
}

#[test]
fn without_port_checks_silence_decides() {
    let policy = Policy::without([Mechanism::PortChecks]);
    let mut balancer = balancer_with_policy(Kind::Once, policy);

    let actions = run(&mut balancer, 3_050, 6_000, State::Open);

    assert_eq!(reset_ms(&actions), Some(5_050));
}
