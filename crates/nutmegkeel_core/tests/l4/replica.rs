//! Copies of the configuration at agents, for balancers that find it nowhere else.

use std::net::Ipv4Addr;

use nutmegkeel_core::l4::agent::{self, Agent, Identity};
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::fetch::Holder;
use nutmegkeel_core::l4::message::{Announcement, Gossip, Load, Message, State};
use nutmegkeel_core::l4::policy::{Mechanism, Policy};

use crate::fixture::{
    BALANCER, DOMAIN, announcement, at, balancer, gossip, heartbeat, host, identity, revision,
};

/// An agent at this address, with a server, in a domain with this number of agents, that knows of
/// version 5.
fn agent_of(address: Ipv4Addr, agents: u32, policy: Policy) -> Agent {
    let own = Identity {
        address,
        incarnation: 1,
        domain: DOMAIN.into(),
        heartbeat_ms: 1_200,
        checkpoints_per_s: 80,
        policy,
    };
    let mut agent = Agent::open(at(0), own, &[BALANCER]);
    agent.handle(at(1), agent::Event::Heartbeat(heartbeat("a", 1)));
    agent.handle(at(2_900), agent::Event::Gossip(BALANCER, gossip(5, &[], agents)));
    agent
}

fn fetches(agent: &mut Agent, now: u64) -> bool {
    let asks = |action: &agent::Action| matches!(action, agent::Action::Fetch(holder) if holder.address == BALANCER);
    agent.handle(at(now), agent::Event::Tick).iter().any(asks)
}

fn announced_replica(actions: &[agent::Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        agent::Action::Send(_, Message::Announce(announcement)) => Some(announcement.replica),
        _ => None,
    })
}

#[test]
fn an_agent_of_a_small_domain_fetches_a_copy_and_announces_it() {
    let mut agent = agent_of(host(1), 2, Policy::default());

    let too_early = fetches(&mut agent, 2_950);
    let due = fetches(&mut agent, 3_050);
    let again = fetches(&mut agent, 3_150);
    agent.handle(at(3_200), agent::Event::Fetched(5));
    let held = fetches(&mut agent, 4_200);
    let announced = announced_replica(&agent.handle(at(4_600), agent::Event::Tick));

    assert_eq!((too_early, due, again, held), (false, true, false, false));
    assert_eq!(announced, Some(5));
}

#[test]
fn a_copy_is_replaced_only_by_a_newer_one() {
    let mut agent = agent_of(host(1), 2, Policy::default());
    agent.handle(at(3_000), agent::Event::Fetched(7));

    let older = fetches(&mut agent, 4_100);
    agent.handle(at(4_150), agent::Event::Gossip(BALANCER, gossip(8, &[], 2)));
    let newer = fetches(&mut agent, 4_200);

    assert_eq!((older, newer), (false, true));
}

/// Guards against sixty fetches of the same text at each change, by agents of a large domain that
/// do not need it.
#[test]
fn a_few_agents_of_a_large_domain_hold_a_copy() {
    let holders = (1..=200)
        .filter(|number| fetches(&mut agent_of(host(*number), 200, Policy::default()), 3_050))
        .count();

    assert!((1..=9).contains(&holders), "expected about three holders, found {holders}");
}

#[test]
fn without_the_mechanism_no_agent_fetches_a_copy() {
    let policy = || Policy::without([Mechanism::Replicas]);

    assert!(!fetches(&mut agent_of(host(1), 2, policy()), 3_050));
}

/// Guards against a loss of all new flows while the store is unavailable: all balancers were killed
/// in that time, and after their restart they know agents but no routes.
#[test]
fn a_balancer_without_a_configuration_fetches_it_from_an_agent() {
    let announcement = |number, replica| Announcement {
        replica,
        ..announcement(number, State::Ready, Load::default())
    };
    let mut started = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    let mut running = balancer(&[1]);

    let nothing = started.handle(at(10), Event::Announced(host(1), announcement(1, 0)));
    let fetch = started.handle(at(20), Event::Announced(host(2), announcement(1, 1)));
    let known = running.handle(at(3_010), Event::Announced(host(2), announcement(1, 1)));
    let newer = running.handle(at(3_020), Event::Announced(host(2), announcement(2, 2)));

    let fetches = |actions: &[Action], address, version| {
        actions.contains(&Action::Fetch(Holder { address, version }))
    };
    let fetches_none =
        |actions: &[Action]| !actions.iter().any(|action| matches!(action, Action::Fetch(_)));
    assert!(fetches_none(&nothing), "{nothing:?}");
    assert!(fetches(&fetch, host(2), 1), "{fetch:?}");
    assert!(fetches_none(&known), "{known:?}");
    assert!(fetches(&newer, host(2), 2), "{newer:?}");
}

/// A balancer that gets the configuration from an agent must not place flows in an evacuated
/// domain, so it also gets the orders from agents.
#[test]
fn an_agent_sends_its_orders_to_a_balancer_that_knows_none() {
    let orders = Orders { revision: revision(5), domains: [DOMAIN.into()].into() };
    let mut agent = agent_of(host(1), 2, Policy::default());
    let known = Gossip { orders: Some(orders.clone()), ..gossip(5, &[], 2) };
    agent.handle(at(3_000), agent::Event::Gossip(BALANCER, known));

    let unknown = Gossip { orders: None, ..gossip(0, &[], 2) };
    let sent = agent.handle(at(3_010), agent::Event::Gossip(host(9), unknown));
    let unchanged = agent.handle(at(3_020), agent::Event::Gossip(BALANCER, gossip(5, &[], 2)));

    let sends_orders = |actions: &[agent::Action]| {
        actions.iter().any(|action| matches!(action, agent::Action::Send(_, Message::Orders(_))))
    };
    assert!(sent.contains(&agent::Action::Send(host(9), Message::Orders(orders))), "{sent:?}");
    assert!(!sends_orders(&unchanged), "{unchanged:?}");
}
