//! The agent at its last hop: leaving, passing on, answering.

use std::collections::BTreeSet;

use nutmegkeel_core::admission::{Decision, Id};
use nutmegkeel_core::agent::{Action, Agent, Event, Opening};
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::life::{Phase, WARM_UP_MS};
use nutmegkeel_core::member::{Capacity, Instance};
use nutmegkeel_core::membership::Pace;
use nutmegkeel_core::placement::{Hop, Key};
use nutmegkeel_core::reply::{Paths, SILENT_MS};
use nutmegkeel_fake::fleet::{self, address};

const NEXT: Hop = Hop {
    address: std::net::SocketAddr::V4(std::net::SocketAddrV4::new(
        std::net::Ipv4Addr::new(10, 0, 0, 9),
        7000,
    )),
    instance: Instance::new(3),
};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn capacity(connections: u32) -> Capacity {
    Capacity { class: "intake".into(), slots: 7, connections }
}

fn serving(connections: u32) -> Agent {
    let capacity = capacity(connections);
    let record = fleet::agent(1, "intake");
    let mut agent = Agent::open(record, capacity.clone(), Pace::default(), 1);
    agent.handle(at(0), Event::Announced(capacity));
    agent.handle(at(WARM_UP_MS), Event::Tick);
    assert_eq!(agent.phase(), Phase::Serving);
    agent
}

fn opening(key: u64) -> Event {
    Event::Opening(Opening { key: Key::new(key), next: Some(NEXT), passes: 0 })
}

/// A draining server keeps getting filings for seconds, because two balancers have not heard yet.
/// The agent itself passes new flows on from the moment it leaves, whoever sent them.
#[test]
fn a_leaving_agent_passes_new_flows_on_at_once() {
    let mut agent = serving(2_000);

    agent.handle(at(3_000), Event::Leave);
    let actions = agent.handle(at(3_000), opening(1));

    assert_eq!(actions, [Action::PassOn(NEXT)]);
}

/// The packets of one opening arrive before and after the agent began to leave; the flow would be
/// opened at two agents. A held opening stays.
#[test]
fn an_opening_that_is_held_is_not_passed_on() {
    let mut agent = serving(2_000);
    agent.handle(at(3_000), opening(1));

    agent.handle(at(3_001), Event::Leave);
    let actions = agent.handle(at(3_002), opening(1));

    assert_eq!(actions, [Action::Deliver]);
}

#[test]
fn a_full_agent_passes_new_flows_on() {
    let mut agent = serving(1);
    agent.handle(at(3_000), Event::FlowOpened);

    assert_eq!(agent.handle(at(3_000), opening(1)), [Action::PassOn(NEXT)]);
}

/// Two full agents pass an opening to and fro for ever. It must stay after a few passes.
#[test]
fn an_opening_is_passed_on_a_few_times_only() {
    let mut agent = serving(1);
    agent.handle(at(3_000), Event::FlowOpened);

    let tired = Opening { key: Key::new(1), next: Some(NEXT), passes: 2 };

    assert_eq!(agent.handle(at(3_000), Event::Opening(tired)), [Action::Deliver]);
}

/// A record download is cut because its server's agent exited while it was in progress.
#[test]
fn a_leaving_agent_lives_until_its_last_flow_and_request_are_over() {
    let mut agent = serving(2_000);
    agent.handle(at(3_000), Event::FlowOpened);
    let started = agent.handle(at(3_000), Event::Request(Id(1), at(60_000)));
    assert_eq!(started, [Action::Decided(Decision::Start(Id(1)))]);
    agent.handle(at(3_000), Event::Leave);

    agent.handle(at(30_000), Event::Tick);
    let with_both = agent.phase();
    agent.handle(at(30_000), Event::Finished(Id(1), false));
    agent.handle(at(30_001), Event::Tick);
    let with_flow = agent.phase();
    agent.handle(at(30_002), Event::FlowClosed);
    agent.handle(at(30_003), Event::Tick);

    assert_eq!(with_both, Phase::Leaving);
    assert_eq!(with_flow, Phase::Leaving);
    assert_eq!(agent.phase(), Phase::Gone);
}

/// A backend server that breaks off every request is hit twice as hard by the system's retries.
/// They are bounded to a tenth of the requests.
#[test]
fn retries_are_bounded_to_a_tenth_of_the_requests() {
    let mut agent = serving(2_000);
    while agent.spend_retry() {}

    let mut retries = 0;
    for id in 0..1_000 {
        agent.handle(at(3_000), Event::Request(Id(id), at(60_000)));
        agent.handle(at(3_000), Event::Finished(Id(id), true));
        retries += u32::from(agent.spend_retry());
    }

    assert_eq!(retries, 100);
}

/// A cancelled request keeps its slot, and after seven of them the desk answers nobody.
#[test]
fn cancelled_requests_give_their_slots_back() {
    let mut agent = serving(2_000);
    for id in 0..7 {
        agent.handle(at(3_000), Event::Request(Id(id), at(60_000)));
    }
    for id in 0..7 {
        agent.handle(at(3_001), Event::Cancelled(Id(id)));
    }

    let actions = agent.handle(at(3_002), Event::Request(Id(7), at(60_000)));

    assert_eq!(actions, [Action::Decided(Decision::Start(Id(7)))]);
    assert_eq!(agent.report().busy, 1);
}

/// A feed falls silent for good: its balancer died, the caller acknowledges only what reaches it,
/// and the agent goes on answering through the dead balancer.
#[test]
fn answers_turn_to_another_balancer_when_the_caller_is_silent() {
    let living: BTreeSet<_> = [address(1), address(2)].into();
    let caller = address(500);
    let mut paths = Paths::default();
    paths.heard(at(0), caller, address(1));

    let soon = paths.way(at(SILENT_MS), caller, &living);
    let late = paths.way(at(SILENT_MS + 1), caller, &living);
    let later = paths.way(at(2 * SILENT_MS + 2), caller, &living);

    assert_eq!([soon, late, later], [Some(address(1)), Some(address(2)), Some(address(1))]);
}
