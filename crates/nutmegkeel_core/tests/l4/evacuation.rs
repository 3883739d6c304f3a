//! Tests of evacuated failure domains: where new flows go, and which orders are in force.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;

use nutmegkeel_core::l4::agent;
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::decision::{Cause, Decision};
use nutmegkeel_core::l4::evacuation::{Change, Follower, Latest, Orders, REWRITE_MS};
use nutmegkeel_core::l4::message::{Announcement, Gossip, Load, Message, Offer, Reason, State};
use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::revision::{Era, Revision};
use quickcheck::{TestResult, quickcheck};

use crate::fixture::{
    BALANCER, DOMAIN, PORT, accepted, agent, announce, announcement, at, balancer, data,
    default_service, demand, flow, forwarded, gossip, heartbeat, host, identity, offer, opening,
    resets, revision, table,
};

/// Another failure domain.
const REMOTE: &str = "tema";

fn orders(number: u64, domains: &[&str]) -> Orders {
    let domains = domains.iter().map(|domain| Arc::from(*domain)).collect();
    Orders { revision: revision(number), domains }
}

/// Delivers an announcement of an agent in the other failure domain each 300 ms.
fn announce_remote(balancer: &mut Balancer, agent: u8, from_ms: u64, until_ms: u64) {
    for millis in (from_ms..=until_ms).step_by(300) {
        let announced = announcement(millis + 100, State::Ready, Load::default());
        let announced =
            Event::Announced(host(agent), Announcement { domain: REMOTE.into(), ..announced });
        balancer.handle(at(millis), announced);
    }
}

/// Returns a balancer with three agents in its own failure domain, and a fourth in the other one.
fn balancer_with_two_domains() -> Balancer {
    let mut balancer = balancer(&[1, 2, 3]);
    announce_remote(&mut balancer, 4, 0, 3_000);
    balancer
}

fn open(port: u16) -> Event {
    Event::Client(opening(flow(port), 0))
}

fn targets(balancer: &mut Balancer, now: u64, ports: std::ops::Range<u16>) -> BTreeSet<Ipv4Addr> {
    ports.filter_map(|port| forwarded(&balancer.handle(at(now), open(port)))).collect()
}

fn reset_cause(actions: &[Action]) -> Option<Cause> {
    actions.iter().find_map(|action| match action {
        Action::Log(Decision::Reset { cause, .. }) => Some(*cause),
        _ => None,
    })
}

/// Guards against requests that are lost when the operator switches off an evacuated failure
/// domain: its balancers placed flows by load alone, so that its servers still got new ones.
#[test]
fn an_evacuated_domain_gets_no_new_flow() {
    let mut balancer = balancer_with_two_domains();
    let before = targets(&mut balancer, 3_000, 1..40);

    balancer.handle(at(3_010), Event::Ordered(orders(5, &[DOMAIN])));
    let during = targets(&mut balancer, 3_010, 41..80);
    balancer.handle(at(3_020), Event::Ordered(orders(6, &[])));
    let after = targets(&mut balancer, 3_020, 81..120);

    assert!(before.contains(&host(1)), "{before:?}");
    assert_eq!(during, BTreeSet::from([host(4)]));
    assert!(after.contains(&host(1)), "{after:?}");
}

#[test]
fn an_open_flow_stays_where_it_is() {
    let mut balancer = balancer_with_two_domains();
    let agent = forwarded(&balancer.handle(at(3_000), open(1))).expect("it is placed");
    let (from, flow, load) = (agent, flow(1), Load::default());
    balancer.handle(at(3_002), Event::Holds { from, flow, load });

    balancer.handle(at(3_010), Event::Ordered(orders(5, &[DOMAIN, REMOTE])));
    let carried = balancer.handle(at(3_020), Event::Client(data(flow, 1_001, 501)));

    assert_eq!(forwarded(&carried), Some(agent));
}

/// Guards against two servers that hold one flow. A server in an evacuated failure domain may have
/// accepted the first copy of an opening, so the second copy must not go to another server.
#[test]
fn a_retransmitted_opening_goes_to_the_same_agent() {
    let mut balancer = balancer_with_two_domains();
    let first = forwarded(&balancer.handle(at(3_000), open(1)));

    balancer.handle(at(3_010), Event::Ordered(orders(5, &[DOMAIN, REMOTE])));
    let copy = forwarded(&balancer.handle(at(3_200), Event::Client(opening(flow(1), 1))));

    assert_eq!(copy, first);
}

/// Guards against clients that wait for a time-out when all servers of a service are in evacuated
/// failure domains. The balancer resets the opening at once, and logs the cause.
#[test]
fn a_service_without_a_domain_left_is_refused_at_once() {
    let mut balancer = balancer_with_two_domains();
    balancer.handle(at(3_010), Event::Ordered(orders(5, &[DOMAIN, REMOTE])));

    let refused = balancer.handle(at(3_020), open(1));

    assert!(resets(&refused), "{refused:?}");
    assert_eq!(reset_cause(&refused), Some(Cause::Evacuated));
}

#[test]
fn an_order_for_an_unknown_domain_changes_nothing() {
    let mut balancer = balancer_with_two_domains();
    balancer.handle(at(3_010), Event::Ordered(orders(5, &["nowhere"])));

    assert!(forwarded(&balancer.handle(at(3_020), open(1))).is_some());
}

/// Guards against new flows in an evacuated failure domain after its balancers were killed: a new
/// balancer gets the configuration from another balancer before it has received the orders.
#[test]
fn a_balancer_without_orders_places_nothing() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    balancer.handle(at(0), Event::Configured(table(1, &[(PORT, default_service())])));
    announce(&mut balancer, &[1, 2], 0, 300);
    announce_remote(&mut balancer, 4, 0, 300);

    let kept = balancer.handle(at(310), open(1));
    let recalled =
        balancer.handle(at(320), Event::Gossip(host(9), gossip_with(orders(5, &[DOMAIN]))));
    let placed = balancer.handle(at(321), Event::Recalled(opening(flow(1), 0)));

    assert!(kept.contains(&Action::Keep(opening(flow(1), 0))), "{kept:?}");
    assert!(recalled.contains(&Action::Recall), "{recalled:?}");
    assert_eq!(forwarded(&placed), Some(host(4)));
}

fn gossip_with(orders: Orders) -> Gossip {
    Gossip { orders: Some(orders), ..gossip(1, &[], 3) }
}

#[test]
fn orders_from_another_domain_are_forwarded_in_the_local_domain() {
    let mut balancer = balancer(&[1]);
    balancer.handle(at(3_000), Event::Gossip(host(8), gossip(1, &[], 1)));

    let remote = Gossip { domain: REMOTE.into(), ..gossip_with(orders(5, &[REMOTE])) };
    let after_remote = balancer.handle(at(3_010), Event::Gossip(host(9), remote));
    let local = Gossip { balancers: vec![host(8)], ..gossip_with(orders(6, &[])) };
    let after_local = balancer.handle(at(3_020), Event::Gossip(host(8), local));

    let sends = |actions: &[Action], number| {
        actions.iter().any(|action| match action {
            Action::Send(to, Message::Gossip(roster)) => {
                let known = roster.orders.as_ref().map(|orders| orders.revision);
                *to == host(8) && known == Some(revision(number))
            }
            _ => false,
        })
    };
    assert!(sends(&after_remote, 5), "{after_remote:?}");
    assert!(!sends(&after_local, 6), "{after_local:?}");
}

/// An agent receives new orders in answer to its next announcement, not only with the balancer's
/// next regular message.
#[test]
fn agents_receive_new_orders_after_their_next_announcement() {
    let mut balancer = balancer(&[1]);

    balancer.handle(at(3_010), Event::Ordered(orders(5, &[REMOTE])));
    let announced = announcement(9_000, State::Ready, Load::default());
    let sent = balancer.handle(at(3_020), Event::Announced(host(1), announced));

    let is_sent = |action: &Action| match action {
        Action::Send(to, Message::Gossip(roster)) => {
            *to == host(1) && roster.orders == Some(orders(5, &[REMOTE]))
        }
        _ => false,
    };
    assert!(sent.iter().any(is_sent), "{sent:?}");
}

fn serving_agent() -> agent::Agent {
    let mut agent = agent();
    agent.handle(at(0), agent::Event::Heartbeat(heartbeat("a", 1)));
    agent
}

fn offered(port: u16, number: u64) -> agent::Event {
    let offer = Offer { orders: revision(number), ..offer(demand(false)) };
    agent::Event::Open { from: BALANCER, head: opening(flow(port), 0), offer }
}

fn takes(actions: &[agent::Action]) -> bool {
    actions.iter().any(|action| matches!(action, agent::Action::ToServer(_)))
}

/// Guards against a balancer that was paused during an evacuation and then still sends openings to
/// the evacuated domain. The agent, as the last hop, declines them and sends it the newer orders.
#[test]
fn an_agent_declines_openings_by_older_orders_and_sends_the_newer_ones() {
    let mut agent = serving_agent();
    agent.handle(at(10), agent::Event::Gossip(host(9), gossip_with(orders(5, &[DOMAIN]))));

    let refused = agent.handle(at(20), offered(1, 4));

    let reason = Reason::Evacuated;
    let declined = Message::Declined { reason, load: Load::default() };
    assert!(!takes(&refused), "{refused:?}");
    assert!(refused.contains(&agent::Action::Return(BALANCER, declined)), "{refused:?}");
    let newer = Message::Orders(orders(5, &[DOMAIN]));
    assert!(refused.contains(&agent::Action::Send(BALANCER, newer)), "{refused:?}");
}

#[test]
fn a_declined_opening_is_placed_in_another_domain() {
    let mut balancer = balancer_with_two_domains();
    let port = (1..).find(|port| {
        forwarded(&balancer.handle(at(3_000), open(*port))).is_some_and(|agent| agent != host(4))
    });
    let flow = flow(port.expect("one goes to the own domain"));
    let head = opening(flow, 0);
    let from = forwarded(&balancer.handle(at(3_001), Event::Client(head))).expect("placed");

    balancer.handle(at(3_010), Event::Ordered(orders(5, &[DOMAIN])));
    let (reason, load) = (Reason::Evacuated, Load::default());
    let next = balancer.handle(at(3_010), Event::Declined { from, head, reason, load });

    assert_eq!(forwarded(&next), Some(host(4)));
}

/// A failure domain that is taken back serves from the first opening of a balancer that knows it.
#[test]
fn an_agent_accepts_openings_by_newer_orders() {
    let mut agent = serving_agent();
    agent.handle(at(10), agent::Event::Gossip(host(9), gossip_with(orders(5, &[DOMAIN]))));

    let newer = agent.handle(at(20), offered(1, 6));
    agent.handle(at(21), agent::Event::FromServer(accepted(flow(1), 500)));
    let older = agent.handle(at(30), offered(2, 4));

    assert!(takes(&newer), "{newer:?}");
    // The domain is no longer evacuated, so openings by older orders are accepted too.
    assert!(takes(&older), "{older:?}");
}

#[test]
fn a_retransmission_of_an_accepted_opening_is_forwarded() {
    let mut agent = serving_agent();
    agent.handle(at(5), offered(1, 4));

    agent.handle(at(10), agent::Event::Gossip(host(9), gossip_with(orders(5, &[DOMAIN]))));
    let copy = agent.handle(at(205), offered(1, 4));

    assert!(takes(&copy), "{copy:?}");
}

/// Guards against a copy of an opening that reopens an evacuated domain. The first copy is lost,
/// and a balancer that knows the evacuation sends the second one to the same agent. If the agent
/// took this as a sign that the domain is open, it would accept openings by older orders from then
/// on.
#[test]
fn a_retransmission_does_not_reopen_an_evacuated_domain() {
    let mut balancer = balancer_with_two_domains();
    let mut agent = serving_agent();
    agent.handle(at(3_005), agent::Event::Gossip(host(9), gossip_with(orders(5, &[DOMAIN]))));
    balancer.handle(at(3_000), open(1));
    // A new snapshot has the same orders at a later revision.
    balancer.handle(at(3_010), Event::Ordered(orders(7, &[DOMAIN, REMOTE])));
    let head = opening(flow(1), 1);
    let copy = balancer.handle(at(3_200), Event::Client(head));
    let offer = copy.iter().find_map(|action| match action {
        Action::Forward(_, Message::Open(offer)) => Some(*offer),
        _ => None,
    });

    let event = agent::Event::Open { from: BALANCER, head, offer: offer.expect("it goes on") };
    let refused = agent.handle(at(3_201), event);
    let stale = agent.handle(at(9_000), offered(2, 4));

    assert!(!takes(&refused), "{refused:?}");
    assert!(!takes(&stale), "{stale:?}");
}

/// There is only one state per revision, so an offer of the same revision cannot reopen the domain.
#[test]
fn an_offer_of_the_same_revision_does_not_reopen_a_domain() {
    let mut agent = serving_agent();
    agent.handle(at(10), agent::Event::Gossip(host(9), gossip_with(orders(5, &[DOMAIN]))));

    let same = agent.handle(at(20), offered(1, 5));
    let older = agent.handle(at(30), offered(2, 4));

    assert!(!takes(&same), "{same:?}");
    assert!(!takes(&older), "{older:?}");
}

/// Returns a change of one failure domain's order.
fn order(revision: Revision, domain: &str, evacuated: bool) -> Change {
    Change { domain: domain.into(), evacuated, revision }
}

/// Guards against new flows in a failure domain to which the operator has moved an evacuation with
/// one transaction: its changes have one revision, and all but the first were ignored.
#[test]
fn all_changes_of_one_revision_are_followed() {
    let mut follower = Follower::default();
    follower.apply_snapshot(at(0), revision(10), orders(0, &[REMOTE]).domains);
    let moved = vec![order(revision(12), REMOTE, false), order(revision(12), DOMAIN, true)];

    follower.apply_changes(revision(12), moved);

    assert_eq!(*follower.orders(), orders(12, &[DOMAIN]));
}

#[test]
fn changes_of_a_transaction_that_counts_each_key_are_followed() {
    let mut follower = Follower::default();
    follower.apply_snapshot(at(0), revision(10), orders(0, &[REMOTE]).domains);
    let moved = vec![order(revision(12), REMOTE, false), order(revision(13), DOMAIN, true)];

    follower.apply_changes(revision(13), moved);

    assert_eq!(*follower.orders(), orders(13, &[DOMAIN]));
}

/// Guards against orders of one revision that differ between processes: an answer that ends inside
/// a transaction is complete only up to the revision before it.
#[test]
fn a_revision_that_an_answer_reports_in_part_is_applied_with_the_next_answer() {
    let mut follower = Follower::default();
    follower.apply_snapshot(at(0), revision(10), orders(0, &[REMOTE]).domains);
    let moved = vec![order(revision(12), REMOTE, false), order(revision(12), DOMAIN, true)];

    follower.apply_changes(revision(11), vec![moved[0].clone()]);
    let partly = follower.orders().clone();
    follower.apply_changes(revision(12), moved);

    assert_eq!(partly, orders(10, &[REMOTE]));
    assert_eq!(*follower.orders(), orders(12, &[DOMAIN]));
}

#[test]
fn a_snapshot_replaces_changes_that_were_missed() {
    let mut follower = Follower::default();
    follower.apply_snapshot(at(0), revision(10), orders(0, &[REMOTE]).domains);
    follower.apply_changes(revision(12), vec![order(revision(12), DOMAIN, true)]);
    let seen = follower.orders().clone();

    follower.apply_snapshot(at(0), revision(20), orders(0, &[DOMAIN]).domains);
    // A change from before the snapshot is delivered again.
    follower.apply_changes(revision(12), vec![order(revision(12), REMOTE, true)]);

    assert_eq!(seen, orders(12, &[DOMAIN, REMOTE]));
    assert_eq!(*follower.orders(), orders(20, &[DOMAIN]));
}

/// Returns a revision of a store that was restored from an older copy once.
fn later_era(number: u64) -> Revision {
    Revision { era: Era(1), number }
}

/// Guards against ignoring new orders after the store was restored from an older copy, until its
/// revisions have passed the highest one from before.
#[test]
fn orders_of_a_later_era_replace_all_earlier_ones() {
    let mut latest = Latest::default();
    latest.apply(&orders(500, &[REMOTE]));

    let changes = latest.apply(&Orders { revision: later_era(450), domains: BTreeSet::new() });
    let late = latest.apply(&orders(501, &[REMOTE]));

    assert_eq!(changes.len(), 1);
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(latest.revision(), later_era(450));
}

/// Guards against new flows in an evacuated failure domain after the store was restored from a copy
/// that lacks the order, until the operator has rewritten it.
#[test]
fn an_order_missing_from_a_restored_store_holds_until_rewritten() {
    let mut follower = Follower::default();
    follower.apply_snapshot(at(0), revision(500), orders(0, &[REMOTE]).domains);

    follower.apply_snapshot(at(100), later_era(450), BTreeSet::new());
    let held = follower.orders().domains.clone();
    follower.apply_changes(later_era(460), vec![order(later_era(460), REMOTE, true)]);
    follower.apply_snapshot(at(100 + REWRITE_MS), later_era(470), orders(0, &[REMOTE]).domains);

    assert_eq!(held, orders(0, &[REMOTE]).domains);
    assert_eq!(*follower.orders(), Orders { revision: later_era(470), ..orders(0, &[REMOTE]) });
    assert!(!follower.retains_earlier_era());
}

/// Guards against an order that stays in force forever because its end was lost with the store's
/// latest changes.
#[test]
fn an_order_that_is_not_rewritten_ends() {
    let mut follower = Follower::default();
    follower.apply_snapshot(at(0), revision(500), orders(0, &[REMOTE]).domains);
    follower.apply_snapshot(at(100), later_era(450), BTreeSet::new());

    let early = follower.needs_read(at(99 + REWRITE_MS));
    let due = follower.needs_read(at(100 + REWRITE_MS));
    follower.apply_snapshot(at(100 + REWRITE_MS), later_era(450), BTreeSet::new());

    assert!(!early && due);
    assert!(follower.orders().domains.is_empty(), "{:?}", follower.orders());
}

/// Guards against a delegate that drops orders which others retain, because it learned of the
/// restored store from another process before it read the store itself.
#[test]
fn a_follower_retains_orders_when_another_process_reports_the_new_era() {
    let mut follower = Follower::default();
    follower.apply_snapshot(at(0), revision(500), orders(0, &[REMOTE]).domains);
    follower.apply_remote(at(50), &Orders { revision: later_era(440), ..orders(0, &[REMOTE]) });

    follower.apply_snapshot(at(100), later_era(450), BTreeSet::new());

    assert_eq!(follower.orders().domains, orders(0, &[REMOTE]).domains);
}

/// Guards against a delegate that started after the store was restored and knows only the orders in
/// the copy: its orders must not end those that others retain.
#[test]
fn a_follower_retains_its_orders_when_another_process_reports_fewer() {
    let mut follower = Follower::default();
    follower.apply_snapshot(at(0), revision(500), orders(0, &[REMOTE]).domains);

    follower.apply_remote(at(50), &Orders { revision: later_era(440), domains: BTreeSet::new() });
    let held = follower.orders().domains.clone();
    follower.apply_snapshot(at(50 + REWRITE_MS), later_era(450), BTreeSet::new());

    assert_eq!(held, orders(0, &[REMOTE]).domains);
    assert!(follower.orders().domains.is_empty());
}

/// Returns the orders after each of the operator's steps, one revision per step. A step is a
/// failure domain and whether it is evacuated.
fn history(steps: &[(u8, bool)]) -> Vec<Orders> {
    let mut follower = Follower::default();
    let mut states = vec![follower.orders().clone()];
    for (number, (domain, evacuated)) in (1..).zip(steps) {
        let domain = format!("domain-{}", domain % 3);
        let change = order(revision(number), &domain, *evacuated);
        follower.apply_changes(revision(number), vec![change]);
        states.push(follower.orders().clone());
    }
    states
}

quickcheck! {
    /// Orders arrive in any sequence, some repeatedly, and the process restarts in between. It
    /// never goes back to a revision below one received since its start, and has the highest one at
    /// the end.
    fn an_older_order_never_wins(
        steps: Vec<(u8, bool)>, received: Vec<usize>, restart: usize
    ) -> TestResult {
        if steps.is_empty() || received.is_empty() {
            return TestResult::discard();
        }
        let states = history(&steps);
        let received: Vec<&Orders> =
            received.iter().map(|number| &states[number % states.len()]).collect();
        let restart = restart % received.len();

        let mut latest = Latest::default();
        let mut highest = Revision::ZERO;
        for (number, orders) in received.iter().enumerate() {
            if number == restart {
                (latest, highest) = (Latest::default(), Revision::ZERO);
            }
            latest.apply(orders);
            highest = highest.max(orders.revision);
            let known = latest.orders().expect("it has received orders");
            if known.revision != highest
                || *known != states[usize::try_from(highest.number).expect("few")]
            {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }

    /// The store is restored from older copies repeatedly, and orders of all eras arrive in any
    /// sequence. The last state of the last era is in force.
    fn the_last_era_wins(received: Vec<(u8, u8)>) -> bool {
        let mut latest = Latest::default();
        let received = received.iter().map(|(era, number)| Revision {
            era: Era(u64::from(*era % 4)),
            number: u64::from(*number),
        });
        let received: Vec<Revision> = received.collect();
        for revision in &received {
            latest.apply(&Orders { revision: *revision, domains: BTreeSet::new() });
        }
        latest.revision() == received.into_iter().max().unwrap_or(Revision::ZERO)
    }

    /// An agent that knows an evacuation receives older orders, and openings placed by older
    /// orders. It forwards none of them to its server, unless the balancer placed it by later
    /// orders that took the domain back.
    fn no_opening_by_older_orders_reaches_a_server(old: Vec<u8>) -> bool {
        let mut agent = serving_agent();
        agent.handle(at(1), agent::Event::Gossip(host(9), gossip_with(orders(300, &[DOMAIN]))));
        let mut ports = 1..;
        old.iter().zip(2..).all(|(revision, now)| {
            let stale = gossip_with(orders(u64::from(*revision), &[]));
            agent.handle(at(now), agent::Event::Gossip(host(8), stale));
            let port = ports.next().expect("few openings");
            !takes(&agent.handle(at(now), offered(port, u64::from(*revision))))
        })
    }
}
