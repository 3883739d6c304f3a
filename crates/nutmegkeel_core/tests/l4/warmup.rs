//! Tests of the rate limit of cold servers, and of where the remaining openings go.

use std::collections::BTreeSet;

use nutmegkeel_core::l4::agent::{self, Agent};
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event, Identity};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::message::{Announcement, Gossip, Load, Message, Offer, Reason, State};
use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::l4::route::{Kind, Route, Table};
use nutmegkeel_core::l4::server::Heartbeat;
use nutmegkeel_core::l4::warmup::Budget;
use quickcheck::quickcheck;

use crate::fixture::{
    BALANCER, DOMAIN, PORT, agent, announcement, at, default_service, demand, flow, forwarded,
    gossip, heartbeat, host, identity, offer, opening, resets, revision, route, service_address,
    table,
};

/// Returns the maximum number of openings in any second, bounds included.
fn peak_per_second(taken: &[u64]) -> usize {
    let within =
        |start: &u64| taken.iter().filter(|at| (*start..=*start + 1_000).contains(*at)).count();
    taken.iter().map(within).max().unwrap_or(0)
}

fn offered(port: u16, cold_per_s: u32) -> agent::Event {
    let offer = Offer { cold_per_s, ..offer(demand(true)) };
    agent::Event::Open { from: BALANCER, head: opening(flow(port), 0), offer }
}

fn takes(actions: &[agent::Action]) -> bool {
    actions.iter().any(|action| matches!(action, agent::Action::ToServer(_)))
}

fn declined_as_cold(actions: &[agent::Action]) -> bool {
    actions.iter().any(|action| {
        matches!(action, agent::Action::Return(_, Message::Declined { reason: Reason::Cold, .. }))
    })
}

/// Returns an agent whose local server is cold for two seconds.
fn cold_agent() -> Agent {
    let mut agent = agent();
    let heartbeat = Heartbeat { warmup_ms: 2_000, ..heartbeat("a", 1) };
    agent.handle(at(0), agent::Event::Heartbeat(heartbeat));
    agent
}

/// Guards against servers that restart at full load, get all new flows because they are idle, and
/// answer late or not at all. A server never gets more than its rate in a second, and further
/// openings are declined at once, so that they can be placed elsewhere.
#[test]
fn a_cold_server_takes_its_rate_in_any_second_and_declines_the_rest() {
    for rate in [2, 20, 200] {
        let mut agent = cold_agent();
        let mut taken = Vec::new();
        for now in 0..2_000 {
            let port = u16::try_from(now + 1).expect("a short replay");
            let actions = agent.handle(at(now), offered(port, rate));
            if takes(&actions) {
                taken.push(now);
            } else {
                assert!(declined_as_cold(&actions), "{actions:?}");
            }
        }

        let peak = peak_per_second(&taken);

        assert_eq!(peak, usize::try_from(rate).expect("small"), "{taken:?}");
    }
}

#[test]
fn warm_servers_and_servers_without_a_rate_are_not_limited() {
    let mut warm = agent();
    warm.handle(at(0), agent::Event::Heartbeat(heartbeat("a", 1)));
    let mut without = cold_agent();

    let all = |agent: &mut Agent, rate| {
        (1..40).all(|port| takes(&agent.handle(at(u64::from(port)), offered(port, rate))))
    };

    assert!(all(&mut warm, 2));
    assert!(all(&mut without, 0));
}

/// Guards against treating servers as warm after a failure domain is taken back. The servers were
/// restarted during the evacuation, and the last heartbeat that the agent has is from before that.
#[test]
fn a_server_taken_back_is_cold_until_its_next_heartbeat() {
    let mut agent = agent();
    agent.handle(at(0), agent::Event::Heartbeat(heartbeat("a", 1)));
    let orders_event = |number, domains: &[&str]| {
        let domains = domains.iter().map(|domain| (*domain).into()).collect();
        let orders = Some(Orders { revision: revision(number), domains });
        agent::Event::Gossip(BALANCER, Gossip { orders, ..gossip(1, &[], 1) })
    };
    let offered_by = |port, number| match offered(port, 2) {
        agent::Event::Open { from, head, offer } => {
            agent::Event::Open { from, head, offer: Offer { orders: revision(number), ..offer } }
        }
        other => other,
    };

    agent.handle(at(100), orders_event(5, &[DOMAIN]));
    agent.handle(at(1_000), orders_event(6, &[]));
    let taken =
        (1..=5).filter(|port| takes(&agent.handle(at(1_010), offered_by(*port, 6)))).count();
    agent.handle(at(1_200), agent::Event::Heartbeat(heartbeat("a", 2)));
    let warm = takes(&agent.handle(at(1_210), offered_by(6, 6)));

    assert_eq!(taken, 2);
    assert!(warm);
}

/// Guards against exceeding a new rate while balancers have different configurations. Those with
/// the old one send offers without a rate, and earlier openings must still count.
#[test]
fn earlier_openings_count_when_balancers_disagree_on_the_rate() {
    let mut agent = cold_agent();
    let mut taken = 0;
    for port in 1..=10 {
        taken += usize::from(takes(&agent.handle(at(u64::from(port)), offered(port, 2))));
        agent.handle(at(u64::from(port)), agent::Event::Tick);
    }
    let mut warm = cold_agent();
    let without = (1..=5).filter(|port| takes(&warm.handle(at(10), offered(*port, 0)))).count();
    let then = takes(&warm.handle(at(20), offered(6, 2)));

    assert_eq!(taken, 2);
    assert_eq!((without, then), (5, false));
}

fn cold_announcement(number: u64, room: u32) -> Announcement {
    Announcement {
        cold: true,
        room: Some(room),
        ..announcement(number, State::Ready, Load::default())
    }
}

fn cold_balancer(rooms: &[(u8, u32)]) -> Balancer {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    balancer.handle(at(0), Event::Ordered(Orders::default()));
    let mut table = table(1, &[(PORT, default_service())]);
    table.cold_per_s.insert(default_service(), 20);
    balancer.handle(at(0), Event::Configured(table));
    for millis in (0..=3_000).step_by(300) {
        for (agent, room) in rooms {
            let announced = cold_announcement(millis + 1, *room);
            balancer.handle(at(millis), Event::Announced(host(*agent), announced));
        }
    }
    balancer
}

#[test]
fn openings_go_to_cold_servers_with_room() {
    let mut balancer = cold_balancer(&[(1, 0), (2, 3), (3, 0)]);

    let targets: Vec<_> = (1..=3)
        .filter_map(|port| {
            forwarded(&balancer.handle(at(3_000), Event::Client(opening(flow(port), 0))))
        })
        .collect();

    assert_eq!(targets, [host(2); 3]);
}

/// Guards against a client that waits until its opening times out when all servers of a service are
/// cold and have reached their rate. A reset shows that its request has not run.
#[test]
fn an_opening_that_all_cold_servers_decline_is_refused_at_once() {
    let mut balancer = cold_balancer(&[(1, 0), (2, 0)]);
    let head = opening(flow(1), 0);
    let mut actions = balancer.handle(at(3_000), Event::Client(head));
    let mut tried = BTreeSet::new();

    while let Some(from) = forwarded(&actions) {
        assert!(tried.insert(from), "{from} is queried twice");
        let (reason, load) = (Reason::Cold, Load::default());
        actions = balancer.handle(at(3_001), Event::Declined { from, head, reason, load });
    }

    assert_eq!(tried, BTreeSet::from([host(1), host(2)]));
    assert!(resets(&actions), "{actions:?}");
}

#[test]
fn offers_carry_the_cold_rate() {
    let mut balancer = cold_balancer(&[(1, 3)]);

    let actions = balancer.handle(at(3_000), Event::Client(opening(flow(1), 0)));

    let is_offered = |action: &Action| {
        matches!(action, Action::Forward(_, Message::Open(Offer { cold_per_s: 20, .. })))
    };
    assert!(actions.iter().any(is_offered), "{actions:?}");
}

/// Guards against placing a flow outside the regions of its route because the nearest server is
/// there: data that must not leave a region would be stored in another one.
#[test]
fn a_route_with_regions_is_placed_only_in_them() {
    let regions = [(DOMAIN, "accra"), ("tema", "accra"), ("leeds", "shires")];
    let regions = regions.map(|(domain, region)| (domain.into(), region.into())).into();
    let own = Identity { regions, ..identity(BALANCER, Policy::default()) };
    let mut balancer = Balancer::open(at(0), own, &[]);
    balancer.handle(at(0), Event::Ordered(Orders::default()));
    let restricted = |region: &str| {
        let regions = BTreeSet::from([region.into()]);
        Route { regions, ..route(default_service(), Kind::Once) }
    };
    let routes =
        [(443, restricted("shires")), (444, restricted("accra")), (445, restricted("nowhere"))];
    let routes = routes.map(|(port, route)| (service_address(port), route)).into();
    balancer.handle(at(0), Event::Configured(Table { routes, ..table(1, &[]) }));
    for millis in (0..=3_000).step_by(300) {
        for (agent, domain) in [(1, DOMAIN), (2, "leeds"), (3, "tema")] {
            let announced = announcement(millis + 1, State::Ready, Load::default());
            let announced = Announcement { domain: domain.into(), ..announced };
            balancer.handle(at(millis), Event::Announced(host(agent), announced));
        }
    }

    let mut targets = |port: u16| -> BTreeSet<_> {
        let to = |client: u16| {
            let mut head = opening(flow(client), 0);
            head.flow.service = service_address(port);
            forwarded(&balancer.handle(at(3_000), Event::Client(head)))
        };
        (1..30).filter_map(to).collect()
    };

    assert_eq!(targets(443), BTreeSet::from([host(2)]));
    assert_eq!(targets(444), BTreeSet::from([host(1), host(3)]));
    assert_eq!(targets(445), BTreeSet::new());
}

quickcheck! {
    /// For openings at random times, no second has more openings than the rate.
    fn no_second_holds_more_than_the_rate(pauses: Vec<u8>, rate: u8) -> bool {
        let rate = u32::from(rate % 40) + 1;
        let mut budget = Budget::default();
        budget.set_rate(rate);
        let mut now = 0;
        let mut taken = Vec::new();
        for pause in pauses {
            now += u64::from(pause);
            if budget.room(at(now)) != Some(0) {
                budget.record(at(now));
                taken.push(now);
            }
        }
        peak_per_second(&taken) <= usize::try_from(rate).expect("small")
    }
}
