//! Packets of open flows at a balancer whose configuration has no route for them.

use nutmegkeel_core::l4::agent::{self, Agent};
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::decision::{Cause, Decision};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::flow::{Flow, Head};
use nutmegkeel_core::l4::message::{Load, Message, MissingRoute, Offer, Reason};
use nutmegkeel_core::l4::policy::Policy;
use quickcheck::{TestResult, quickcheck};

use crate::fixture::{
    BALANCER, PORT, accepted, agent, announce, at, balancer, data, default_service, demand, flow,
    forwarded, gossip, heartbeat, host, identity, offer, opening, resets, service_address, table,
};

/// Port of a route that the balancer's configuration does not have.
const ADDED_PORT: u16 = PORT + 1;

fn flow_to(client_port: u16, port: u16) -> Flow {
    Flow { service: service_address(port), ..flow(client_port) }
}

/// Returns a packet of an open flow without a route.
fn packet(client_port: u16) -> Head {
    data(flow_to(client_port, ADDED_PORT), 1_001, 501)
}

fn queried(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Send(_, Message::Locate { .. })))
        .count()
}

/// Returns what the balancer tells an agent of a missing route.
fn missing(actions: &[Action]) -> Option<MissingRoute> {
    actions.iter().find_map(|action| match action {
        Action::Forward(_, Message::CarryWithoutRoute(missing)) => Some(*missing),
        _ => None,
    })
}

fn reset_cause(actions: &[Action]) -> Option<Cause> {
    actions.iter().find_map(|action| match action {
        Action::Log(Decision::Reset { cause, .. }) => Some(*cause),
        _ => None,
    })
}

fn absent(agent: u8, flow: Flow) -> Event {
    Event::Absent { from: host(agent), flow, load: Load::default() }
}

fn holds(agent: u8, flow: Flow) -> Event {
    Event::Holds { from: host(agent), flow, load: Load::default() }
}

/// Guards against the reset of open flows on a route that this balancer's configuration does not
/// have yet.
#[test]
fn a_flow_without_a_route_is_searched_and_carried() {
    let mut balancer = balancer(&[1, 2, 3]);
    let head = packet(1);

    let asked = balancer.handle(at(3_010), Event::Client(head));
    let found = balancer.handle(at(3_012), holds(2, head.flow));
    let carried = balancer.handle(at(3_012), Event::Recalled(head));

    assert!(!resets(&asked), "{asked:?}");
    assert_eq!(queried(&asked), 3);
    assert!(found.contains(&Action::RecallFlow(head.flow)), "{found:?}");
    assert_eq!(forwarded(&carried), Some(host(2)));
    let expected = MissingRoute { version: 1, was_dropped: false, known: true };
    assert_eq!(missing(&carried), Some(expected));
}

/// Guards against a client that waits on a flow whose route was dropped and that nobody holds.
#[test]
fn a_flow_without_a_route_is_reset_once_no_agent_holds_it() {
    let mut balancer = balancer(&[1, 2]);
    let head = packet(1);
    balancer.handle(at(3_010), Event::Client(head));

    let first = balancer.handle(at(3_011), absent(1, head.flow));
    let last = balancer.handle(at(3_012), absent(2, head.flow));

    assert!(!resets(&first), "{first:?}");
    assert!(last.contains(&Action::Reset { flow: head.flow, seq: 501 }), "{last:?}");
    assert_eq!(reset_cause(&last), Some(Cause::NoRoute));
}

/// Guards against the reset of an open flow when an agent denies it after a configuration has
/// dropped its route: a later one may have the route again.
#[test]
fn a_denied_flow_whose_route_is_gone_is_searched_further() {
    let mut balancer = balancer(&[1, 2, 3]);
    let head = data(flow(1), 1_001, 501);
    let asked = forwarded(&balancer.handle(at(3_010), Event::Client(head))).expect("an agent");
    balancer.handle(at(3_011), Event::Configured(table(2, &[])));

    let (reason, load) = (Reason::NotHeld, Load::default());
    let declined = Event::Declined { from: asked, head, reason, load };
    let actions = balancer.handle(at(3_012), declined);

    assert!(!resets(&actions), "{actions:?}");
    assert_eq!(queried(&actions), 2);
}

/// Guards against a search that ends without an answer when the flow's route is dropped meanwhile.
#[test]
fn a_search_goes_on_when_the_route_is_dropped() {
    let mut balancer = balancer(&[1, 2]);
    let head = data(flow(1), 1_001, 501);
    balancer.handle(at(3_010), Event::Client(head));
    balancer.handle(at(3_011), Event::Configured(table(2, &[])));
    announce(&mut balancer, &[1, 2], 3_100, 3_400);

    balancer.handle(at(3_500), Event::Tick);
    balancer.handle(at(3_502), absent(1, head.flow));
    let last = balancer.handle(at(3_503), absent(2, head.flow));

    assert!(resets(&last), "{last:?}");
}

#[test]
fn an_opening_without_a_route_is_refused_at_once() {
    let mut balancer = balancer(&[1, 2]);

    let actions = balancer.handle(at(3_010), Event::Client(opening(packet(1).flow, 0)));

    assert!(resets(&actions), "{actions:?}");
    assert_eq!(reset_cause(&actions), Some(Cause::NoRoute));
}

/// Guards against the reset of open flows by a balancer that has just started: its first read of the
/// store was some seconds old, and it knows neither the other balancers nor all agents yet.
#[test]
fn a_balancer_that_has_just_started_carries_a_flow_without_a_route() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    balancer.handle(at(0), Event::Ordered(Orders::default()));
    balancer.handle(at(0), Event::Configured(table(1, &[(PORT, default_service())])));
    let head = packet(1);

    let early = balancer.handle(at(5), Event::Client(head));
    announce(&mut balancer, &[1, 2], 20, 20);
    let asked = balancer.handle(at(80), Event::Recalled(head));
    balancer.handle(at(81), absent(1, head.flow));
    let found = balancer.handle(at(82), holds(2, head.flow));
    let carried = balancer.handle(at(82), Event::Recalled(head));

    assert!(!resets(&early), "{early:?}");
    assert_eq!(queried(&asked), 2);
    assert!(found.contains(&Action::RecallFlow(head.flow)), "{found:?}");
    assert_eq!(forwarded(&carried), Some(host(2)));
}

/// Guards against openings on a new route that are refused by a balancer which has just started: its
/// first read of the store was some seconds old, and it knows of a newer configuration by now.
#[test]
fn an_opening_without_a_route_waits_for_a_newer_configuration() {
    let mut balancer = balancer(&[1, 2]);
    let head = opening(packet(1).flow, 0);
    let routes = [(PORT, default_service()), (ADDED_PORT, default_service())];
    balancer.handle(at(3_010), Event::Gossip(host(9), gossip(2, &[], 2)));

    let kept = balancer.handle(at(3_020), Event::Client(head));
    let configured = balancer.handle(at(3_050), Event::Configured(table(2, &routes)));
    let placed = balancer.handle(at(3_050), Event::Recalled(head));

    assert!(kept.contains(&Action::Keep(head)) && !resets(&kept), "{kept:?}");
    assert!(configured.contains(&Action::Recall), "{configured:?}");
    assert!(forwarded(&placed).is_some(), "{placed:?}");
}

/// Guards against clients that get no answer while a newer configuration cannot be fetched.
#[test]
fn an_opening_without_a_route_is_refused_if_the_newer_configuration_does_not_arrive() {
    let mut balancer = balancer(&[1, 2]);
    balancer.handle(at(3_010), Event::Gossip(host(9), gossip(2, &[], 2)));
    let kept = balancer.handle(at(3_020), Event::Client(opening(packet(1).flow, 0)));

    announce(&mut balancer, &[1, 2], 3_300, 3_900);
    let recalled = balancer.handle(at(4_120), Event::Tick);
    let refused = balancer.handle(at(4_120), Event::Recalled(opening(packet(1).flow, 0)));

    assert!(!resets(&kept), "{kept:?}");
    assert!(recalled.contains(&Action::Recall), "{recalled:?}");
    assert!(resets(&refused), "{refused:?}");
}

/// Guards against flows of a dropped route that go on, or end only after a search: the balancer
/// knows their agent and tells it that the route was dropped.
#[test]
fn a_packet_of_a_dropped_route_goes_to_the_known_agent() {
    let mut balancer = balancer(&[1, 2]);
    balancer.handle(at(3_005), holds(2, flow(1)));
    balancer.handle(at(3_010), Event::Configured(table(2, &[])));

    let actions = balancer.handle(at(3_020), Event::Client(data(flow(1), 1_001, 501)));

    assert_eq!((forwarded(&actions), queried(&actions)), (Some(host(2)), 0));
    let expected = MissingRoute { version: 2, was_dropped: true, known: true };
    assert_eq!(missing(&actions), Some(expected));
}

#[test]
fn a_route_that_was_added_again_counts_as_present() {
    let mut balancer = balancer(&[1]);
    let route = [(PORT, default_service())];
    balancer.handle(at(3_005), holds(1, flow(1)));
    balancer.handle(at(3_010), Event::Configured(table(2, &[])));
    balancer.handle(at(3_020), Event::Configured(table(3, &route)));

    let actions = balancer.handle(at(3_030), Event::Client(data(flow(1), 1_001, 501)));

    let carried = Action::Forward(host(1), Message::Carry { known: true });
    assert!(actions.contains(&carried), "{actions:?}");
}

#[test]
fn a_relayed_packet_without_a_route_is_searched() {
    let mut balancer = balancer(&[1, 2]);

    let actions = balancer.handle(at(3_010), Event::Relayed(packet(1)));

    assert!(!resets(&actions), "{actions:?}");
    assert_eq!(queried(&actions), 2);
}

/// Guards against a scan of unknown addresses that makes each balancer ask all agents for each of
/// its packets.
#[test]
fn a_scan_of_unknown_addresses_costs_a_bounded_number_of_queries() {
    let mut balancer = balancer(&[1, 2, 3, 4, 5]);
    let (mut queries, mut dropped) = (0, 0);

    for number in 0..20_000_u16 {
        let now = 3_010 + u64::from(number) / 2;
        if number % 600 == 0 {
            announce(&mut balancer, &[1, 2, 3, 4, 5], now, now);
        }
        // Each address is tried several times.
        let actions = balancer.handle(at(now), Event::Client(packet(number % 5_000)));
        queries += queried(&actions);
        let is_drop = |action: &&Action| matches!(action, Action::Log(Decision::Dropped { .. }));
        dropped += actions.iter().filter(is_drop).count();
        assert!(!resets(&actions), "{actions:?}");
    }

    // 2,000 at once and 500 per second for ten seconds; the last search may exceed them.
    assert!(queries <= 7_005, "{queries} queries");
    assert!(dropped >= 18_000, "{dropped} packets dropped");
}

/// Opens a flow under this version at an agent, and ends its handshake.
fn open_under(agent: &mut Agent, version: u64, flow: Flow) {
    let offer = Offer { version, ..offer(demand(false)) };
    let (from, head) = (BALANCER, opening(flow, 0));
    agent.handle(at(10), agent::Event::Open { from, head, offer });
    agent.handle(at(11), agent::Event::FromServer(accepted(flow, 500)));
    let head = Head { len: 0, ..data(flow, 1_001, 501) };
    agent.handle(at(12), agent::Event::Carry { from: BALANCER, head, known: true });
}

fn carry(agent: &mut Agent, head: Head, version: u64, was_dropped: bool) -> Vec<agent::Action> {
    let missing = MissingRoute { version, was_dropped, known: false };
    agent.handle(at(100), agent::Event::CarryWithoutRoute { from: BALANCER, head, missing })
}

fn agent_with_server() -> Agent {
    let mut agent = agent();
    agent.handle(at(1), agent::Event::Heartbeat(heartbeat("a", 1)));
    agent
}

/// Returns an agent that has replaced another one beside a server.
fn restarted_agent() -> Agent {
    let mut agent = agent();
    agent.handle(at(1), agent::Event::Heartbeat(heartbeat("a", 7)));
    agent
}

/// Returns an agent that has replaced another one beside a server with an open flow.
fn agent_with_inherited_flow(flow: Flow) -> Agent {
    let mut agent = restarted_agent();
    agent.handle(at(20), agent::Event::FromServer(data(flow, 600, 1_001)));
    agent
}

fn is_reset(actions: &[agent::Action]) -> bool {
    actions.iter().any(|action| matches!(action, agent::Action::Reset { .. }))
}

fn reaches_server(actions: &[agent::Action]) -> bool {
    actions.iter().any(|action| matches!(action, agent::Action::ToServer(_)))
}

/// Guards against the reset of a flow whose route is newer than the balancer's configuration.
#[test]
fn an_agent_carries_a_flow_that_was_opened_under_a_newer_configuration() {
    let mut agent = agent_with_server();
    open_under(&mut agent, 5, flow(1));

    let actions = carry(&mut agent, data(flow(1), 1_001, 501), 4, false);

    assert!(reaches_server(&actions) && !is_reset(&actions), "{actions:?}");
    let confirmed = agent::Action::Send(
        BALANCER,
        Message::Holds { flow: flow(1), load: Load { busy: 1, flows: 1, service_ms: 0 } },
    );
    assert!(actions.contains(&confirmed), "{actions:?}");
}

/// Guards against a flow that goes on although a later configuration has dropped its route.
#[test]
fn an_agent_resets_a_flow_whose_route_a_later_configuration_dropped() {
    let mut agent = agent_with_server();
    open_under(&mut agent, 5, flow(1));

    let actions = carry(&mut agent, data(flow(1), 1_001, 501), 6, false);

    assert!(actions.contains(&agent::Action::Reset { flow: flow(1), seq: 501 }), "{actions:?}");
    assert!(!reaches_server(&actions), "{actions:?}");
}

/// Guards against an agent that, after its restart, takes any configuration without the route as
/// proof that the route was dropped.
#[test]
fn an_agent_that_has_restarted_resets_only_flows_of_routes_that_the_balancer_had() {
    let head = data(flow(1), 1_001, 601);

    let never_had = carry(&mut agent_with_inherited_flow(flow(1)), head, 6, false);
    let dropped = carry(&mut agent_with_inherited_flow(flow(1)), head, 6, true);

    assert!(reaches_server(&never_had) && !is_reset(&never_had), "{never_had:?}");
    assert!(is_reset(&dropped) && !reaches_server(&dropped), "{dropped:?}");
}

/// Guards against requests that run on a flow whose route was dropped: the agent has restarted, and
/// its server would have to be asked with the packet.
#[test]
fn an_agent_that_has_restarted_asks_its_server_for_no_flow_of_a_dropped_route() {
    let head = data(flow(1), 1_001, 601);

    let never_had = carry(&mut restarted_agent(), head, 6, false);
    let dropped = carry(&mut restarted_agent(), head, 6, true);

    assert!(reaches_server(&never_had) && !is_reset(&never_had), "{never_had:?}");
    assert!(is_reset(&dropped) && !reaches_server(&dropped), "{dropped:?}");
}

/// Guards against the reset of a flow that another agent holds.
#[test]
fn an_agent_that_knows_all_flows_of_its_server_declines_others() {
    let mut agent = agent_with_server();

    let actions = carry(&mut agent, data(flow(1), 1_001, 601), 6, true);

    let is_declined = |action: &agent::Action| {
        matches!(
            action,
            agent::Action::Return(_, Message::Declined { reason: Reason::NotHeld, .. })
        )
    };
    assert!(actions.iter().any(is_declined) && !is_reset(&actions), "{actions:?}");
}

/// Guards against the reset of a flow whose route was dropped and added again, by a balancer that
/// has heard only of the first.
#[test]
fn an_agent_that_has_restarted_trusts_no_balancer_that_is_behind() {
    let mut agent = agent_with_inherited_flow(flow(1));
    agent.handle(at(50), agent::Event::Gossip(host(9), gossip(7, &[], 1)));

    let actions = carry(&mut agent, data(flow(1), 1_001, 601), 6, true);

    assert!(reaches_server(&actions) && !is_reset(&actions), "{actions:?}");
}

/// Guards against a reset that answers a client's own reset, which must reach the server.
#[test]
fn a_clients_reset_reaches_the_server_although_the_route_was_dropped() {
    let mut agent = agent_with_server();
    open_under(&mut agent, 5, flow(1));
    let mut head = data(flow(1), 1_001, 501);
    head.flags.rst = true;

    let actions = carry(&mut agent, head, 6, true);

    assert!(reaches_server(&actions) && !is_reset(&actions), "{actions:?}");
}

quickcheck! {
    /// An open flow is reset for a missing route only if a configuration between that of its opening
    /// and the balancer's has dropped the route, whatever the balancer has missed.
    fn only_a_dropped_route_resets_an_open_flow(present: Vec<bool>, opened: u8, seen: u8) -> TestResult {
        let version_of = |index: u8| u64::from(index) + 1;
        let has_route = |index: u8| present.get(usize::from(index)).copied();
        let (Some(true), Some(false)) = (has_route(opened), has_route(seen)) else {
            return TestResult::discard();
        };
        let mut agent = agent_with_server();
        open_under(&mut agent, version_of(opened), flow(1));
        let was_dropped = present[..usize::from(seen)].contains(&true);

        let actions = carry(&mut agent, data(flow(1), 1_001, 501), version_of(seen), was_dropped);

        let is_dropped = opened < seen;
        TestResult::from_bool(is_reset(&actions) == is_dropped)
    }
}
