//! What a balancer that is about to stop learns: it forwards packets until it ends.

use std::net::Ipv4Addr;

use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::fetch::Holder;
use nutmegkeel_core::l4::message::{Gossip, Message};

use crate::fixture::{DOMAIN, PORT, at, balancer, default_service, gossip, host, revision, table};

const LEAVING: u8 = 77;
const OTHER_PORT: u16 = PORT + 1;

/// Returns a balancer that has heard from a balancer of this failure domain that it is about to
/// stop.
fn balancer_beside_leaving(domain: &str) -> Balancer {
    let mut balancer = balancer(&[1]);
    let before = Gossip { domain: domain.into(), ..gossip(1, &[], 1) };
    let leaving = Gossip { leaving: true, ..before.clone() };
    balancer.handle(at(3_000), Event::Gossip(host(LEAVING), before));
    balancer.handle(at(3_010), Event::Gossip(host(LEAVING), leaving));
    balancer
}

fn gossip_to(actions: &[Action], to: Ipv4Addr) -> Option<&Gossip> {
    actions.iter().find_map(|action| match action {
        Action::Send(receiver, Message::Gossip(gossip)) if *receiver == to => Some(gossip),
        _ => None,
    })
}

/// Guards against flows of a new route that are reset: a balancer that is about to stop still gets
/// their packets and has a configuration without the route.
#[test]
fn a_leaving_balancer_is_told_at_once_of_a_newer_configuration() {
    let mut balancer = balancer_beside_leaving(DOMAIN);
    let routes = [(PORT, default_service()), (OTHER_PORT, default_service())];

    let actions = balancer.handle(at(3_020), Event::Configured(table(2, &routes)));

    let told = gossip_to(&actions, host(LEAVING)).map(|gossip| gossip.version);
    assert_eq!(told, Some(2), "{actions:?}");
}

/// Guards against openings that a balancer which is about to stop sends to an evacuated domain.
#[test]
fn a_leaving_balancer_is_told_at_once_of_newer_orders() {
    let mut balancer = balancer_beside_leaving(DOMAIN);
    let orders = Orders { revision: revision(9), domains: [DOMAIN.into()].into() };

    let actions = balancer.handle(at(3_020), Event::Ordered(orders.clone()));

    let told = gossip_to(&actions, host(LEAVING)).and_then(|gossip| gossip.orders.clone());
    assert_eq!(told, Some(orders), "{actions:?}");
}

/// Guards against the loss of the message that told of the change: datagrams may be lost.
#[test]
fn a_leaving_balancer_is_told_again_with_each_tick() {
    let mut balancer = balancer_beside_leaving(DOMAIN);
    balancer.handle(at(3_020), Event::Configured(table(2, &[(PORT, default_service())])));

    let actions = balancer.handle(at(3_500), Event::Tick);

    let told = gossip_to(&actions, host(LEAVING)).map(|gossip| gossip.version);
    assert_eq!(told, Some(2), "{actions:?}");
}

/// Guards against a failure domain whose balancers all stop: none of them reads the store, so those
/// of other domains must tell them of changes.
#[test]
fn a_leaving_balancer_of_another_failure_domain_is_told_with_the_next_tick() {
    let mut balancer = balancer_beside_leaving("tema");
    balancer.handle(at(3_020), Event::Configured(table(2, &[(PORT, default_service())])));

    let actions = balancer.handle(at(3_500), Event::Tick);

    let told = gossip_to(&actions, host(LEAVING)).map(|gossip| gossip.version);
    assert_eq!(told, Some(2), "{actions:?}");
}

/// Guards against a configuration that only a balancer which is about to stop has: it still serves
/// it to others until it ends.
#[test]
fn a_newer_configuration_is_fetched_from_a_leaving_balancer() {
    let mut balancer = balancer(&[1]);
    let leaving = Gossip { leaving: true, ..gossip(2, &[], 1) };

    let actions = balancer.handle(at(3_000), Event::Gossip(host(LEAVING), leaving));

    let holder = Holder { address: host(LEAVING), version: 2 };
    assert!(actions.contains(&Action::Fetch(holder)), "{actions:?}");
}

#[test]
fn a_balancer_that_has_stopped_is_told_nothing_more() {
    let mut balancer = balancer_beside_leaving(DOMAIN);
    balancer.handle(at(9_000), Event::Tick);

    let actions = balancer.handle(at(9_010), Event::Configured(table(2, &[])));

    assert_eq!(gossip_to(&actions, host(LEAVING)), None);
    assert!(balancer.peers().is_empty());
}
