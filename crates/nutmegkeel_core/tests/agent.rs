//! The agent: accepting and passing on flows, leaving, requests and return paths.

use std::collections::BTreeSet;

use nutmegkeel_core::admission::{Decision, Id};
use nutmegkeel_core::agent::{Action, Agent, Event, Opening};
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::lifecycle::{Phase, WARM_UP_MS};
use nutmegkeel_core::load::Report;
use nutmegkeel_core::member::{Capacity, Instance};
use nutmegkeel_core::membership::Timing;
use nutmegkeel_core::placement::{Candidate, Hop, Key, Pool, Rule};
use nutmegkeel_core::return_path::{Paths, SWITCH_AFTER_MS};
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
    let mut agent = Agent::open(record, capacity.clone(), Timing::default(), 1);
    agent.handle(at(0), Event::Announced(capacity));
    agent.handle(at(WARM_UP_MS), Event::Tick);
    assert_eq!(agent.phase(), Phase::Serving);
    agent
}

fn pool_of_two() -> Pool {
    let mut pool = Pool::default();
    for number in [1, 2] {
        pool.insert(address(number), Candidate::new(Instance::new(1), 7, 2_000));
    }
    pool
}

/// Spreads keys uniformly, like a hash.
const fn hashed(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn opening(key: u64) -> Event {
    Event::Opening(Opening { key: Key::new(key), next: Some(NEXT), passes: 0, prefers_next: false })
}

/// Guards against new flows at a draining backend server: balancers learn only after some seconds
/// that it leaves. Its agent must pass new flows on as soon as it leaves.
#[test]
fn a_leaving_agent_passes_new_flows_on_at_once() {
    let mut agent = serving(2_000);

    agent.handle(at(3_000), Event::Leave);
    let actions = agent.handle(at(3_000), opening(1));

    assert_eq!(actions, [Action::PassOn(NEXT)]);
}

/// Guards against a flow that is opened at two agents: the packets of its opening arrive before and
/// after the agent starts to leave. An accepted opening must not be passed on.
#[test]
fn an_accepted_opening_is_not_passed_on() {
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

/// Guards against protocol errors during the handshake: a caller sends two copies of its opening,
/// which reach a balancer without load reports, because it just started, and one with them. If the
/// copies reached two agents, both would answer.
#[test]
fn two_copies_of_an_opening_reach_the_same_agent_whatever_loads_the_balancers_know() {
    let busy = Report { connections: 500, busy: 7, queued: 20 };
    let results: BTreeSet<_> = (0..200)
        .filter_map(|number| {
            let key = Key::new(hashed(number));
            let mut uninformed = pool_of_two();
            let mut informed = pool_of_two();
            let first = informed.place(key, Rule::Rendezvous, 2)?.first;
            informed.apply_report(first, busy);
            let mut agent = serving(2_000);
            let mut place = |pool: &mut Pool| {
                let choice = pool.place(key, Rule::LoadedRendezvous, 2)?;
                let opening = Opening::open(key, &choice);
                let actions = agent.handle(at(3_000), Event::Opening(opening));
                Some((choice.first, actions, choice.prefers_next))
            };
            let (to_informed, by_informed, prefers_next) = place(&mut informed)?;
            let (to_uninformed, by_uninformed, prefers_next_too) = place(&mut uninformed)?;
            assert!(prefers_next && !prefers_next_too, "the balancers prefer different agents");
            Some((to_informed == to_uninformed, by_informed == by_uninformed))
        })
        .collect();

    assert_eq!(results, BTreeSet::from([(true, true)]));
}

/// Guards against retransmissions that are passed on to a dead agent: the second choice died after
/// the opening was passed on to it, and the balancers have replaced it with another one.
#[test]
fn a_retransmission_is_passed_on_to_the_latest_second_choice() {
    let other = Hop { instance: Instance::new(9), ..NEXT };
    let original = Opening { key: Key::new(1), next: Some(NEXT), passes: 0, prefers_next: true };
    let mut agent = serving(2_000);
    agent.handle(at(3_000), Event::Opening(original));

    let copy = Event::Opening(Opening { next: Some(other), ..original });

    assert_eq!(agent.handle(at(4_000), copy), [Action::PassOn(other)]);
}

/// Guards against an endless loop in which two full agents pass an opening back and forth.
#[test]
fn an_opening_is_passed_on_a_limited_number_of_times() {
    let mut agent = serving(1);
    agent.handle(at(3_000), Event::FlowOpened);

    let passed_twice =
        Opening { key: Key::new(1), next: Some(NEXT), passes: 2, prefers_next: false };

    assert_eq!(agent.handle(at(3_000), Event::Opening(passed_twice)), [Action::Deliver]);
}

/// Guards against a request that is aborted because the agent exits while it is in progress.
#[test]
fn a_leaving_agent_runs_until_its_last_flow_and_request_end() {
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

/// Guards against retries that double the load of a backend server which aborts every request.
/// They must be limited to a tenth of the requests.
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

/// Guards against cancelled requests that keep their slots until no request can start any more.
#[test]
fn cancelled_requests_free_their_slots() {
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

/// Guards against a flow that stalls after the death of its balancer: the caller only acknowledges
/// what reaches it, so an agent that keeps answering through that balancer gets no other path.
#[test]
fn answers_switch_to_another_balancer_when_the_caller_sends_nothing() {
    let living: BTreeSet<_> = [address(1), address(2)].into();
    let caller = address(500);
    let mut paths = Paths::default();
    paths.record(at(0), caller, address(1));

    let soon = paths.choose(at(SWITCH_AFTER_MS), caller, &living);
    let late = paths.choose(at(SWITCH_AFTER_MS + 1), caller, &living);
    let later = paths.choose(at(2 * SWITCH_AFTER_MS + 2), caller, &living);

    assert_eq!([soon, late, later], [Some(address(1)), Some(address(2)), Some(address(1))]);
}
