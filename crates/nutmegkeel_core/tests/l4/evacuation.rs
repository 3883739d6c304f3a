//! Tests of evacuated failure domains: where new flows go, and which orders are in force.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;

use nutmegkeel_core::l4::agent;
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::decision::{Cause, Decision};
use nutmegkeel_core::l4::evacuation::{Follower, Latest, Orders, REWRITE_MS};
use nutmegkeel_core::l4::message::{Announcement, Load, Message, Offer, Reason, Roster, State};
use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::revision::{Era, Revision};
use quickcheck::{TestResult, quickcheck};

use crate::fixture::{
    BALANCER, DOMAIN, PORT, accepted, agent, announce, announcement, at, balancer, data,
    default_service, demand, flow, forwarded, gossip, heartbeat, host, identity, offer, opening,
    resets, revision, table,
};

/// Another failure domain.
const FAR: &str = "tema";

fn orders(number: u64, domains: &[&str]) -> Orders {
    let domains = domains.iter().map(|domain| Arc::from(*domain)).collect();
    Orders { revision: revision(number), domains }
}

/// Delivers an announcement of an agent in the other failure domain each 300 ms.
fn announce_far(balancer: &mut Balancer, agent: u8, from_ms: u64, until_ms: u64) {
    for millis in (from_ms..=until_ms).step_by(300) {
        let word = announcement(millis + 100, State::Ready, Load::default());
        let word = Event::Announced(host(agent), Announcement { domain: FAR.into(), ..word });
        balancer.handle(at(millis), word);
    }
}

/// Returns a balancer with three agents in its own failure domain, and a fourth in the other one.
fn balancer_of_two() -> Balancer {
    let mut balancer = balancer(&[1, 2, 3]);
    announce_far(&mut balancer, 4, 0, 3_000);
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
    let mut balancer = balancer_of_two();
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
    let mut balancer = balancer_of_two();
    let agent = forwarded(&balancer.handle(at(3_000), open(1))).expect("it is placed");
    let (from, flow, load) = (agent, flow(1), Load::default());
    balancer.handle(at(3_002), Event::Holds { from, flow, load });

    balancer.handle(at(3_010), Event::Ordered(orders(5, &[DOMAIN, FAR])));
    let carried = balancer.handle(at(3_020), Event::Client(data(flow, 1_001, 501)));

    assert_eq!(forwarded(&carried), Some(agent));
}

/// Guards against two servers that hold one flow: a copy of an opening that a server in an
/// evacuated failure domain has already accepted must not go to another server.
#[test]
fn a_copy_goes_where_its_first_was_accepted() {
    let mut balancer = balancer_of_two();
    let first = forwarded(&balancer.handle(at(3_000), open(1)));

    balancer.handle(at(3_010), Event::Ordered(orders(5, &[DOMAIN, FAR])));
    let copy = forwarded(&balancer.handle(at(3_200), Event::Client(opening(flow(1), 1))));

    assert_eq!(copy, first);
}

/// Guards against clients that wait for a time-out when all servers of a service are in evacuated
/// failure domains. The balancer resets the opening at once, and logs the cause.
#[test]
fn a_service_without_a_domain_left_is_refused_at_once() {
    let mut balancer = balancer_of_two();
    balancer.handle(at(3_010), Event::Ordered(orders(5, &[DOMAIN, FAR])));

    let refused = balancer.handle(at(3_020), open(1));

    assert!(resets(&refused), "{refused:?}");
    assert_eq!(reset_cause(&refused), Some(Cause::Evacuated));
}

#[test]
fn an_order_for_an_unknown_domain_changes_nothing() {
    let mut balancer = balancer_of_two();
    balancer.handle(at(3_010), Event::Ordered(orders(5, &["nowhere"])));

    assert!(forwarded(&balancer.handle(at(3_020), open(1))).is_some());
}

/// Guards against new flows in an evacuated failure domain after its balancers were killed: a new
/// balancer gets the configuration from another balancer before it has received the orders.
#[test]
fn a_balancer_that_has_heard_of_no_orders_places_nothing() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    balancer.handle(at(0), Event::Configured(table(1, &[(PORT, default_service())])));
    announce(&mut balancer, &[1, 2], 0, 300);
    announce_far(&mut balancer, 4, 0, 300);

    let kept = balancer.handle(at(310), open(1));
    let recalled =
        balancer.handle(at(320), Event::Roster(host(9), word_with(orders(5, &[DOMAIN]))));
    let placed = balancer.handle(at(321), Event::Again(opening(flow(1), 0)));

    assert!(kept.contains(&Action::Keep(opening(flow(1), 0))), "{kept:?}");
    assert!(recalled.contains(&Action::Recall), "{recalled:?}");
    assert_eq!(forwarded(&placed), Some(host(4)));
}

fn word_with(orders: Orders) -> Roster {
    Roster { orders: Some(orders), ..gossip(1, &[], 3) }
}

#[test]
fn orders_from_another_domain_are_passed_on_at_home() {
    let mut balancer = balancer(&[1]);
    balancer.handle(at(3_000), Event::Roster(host(8), gossip(1, &[], 1)));

    let far = Roster { domain: FAR.into(), ..word_with(orders(5, &[FAR])) };
    let told = balancer.handle(at(3_010), Event::Roster(host(9), far));
    let word = Roster { balancers: vec![host(8)], ..word_with(orders(6, &[])) };
    let near = balancer.handle(at(3_020), Event::Roster(host(8), word));

    let tells = |actions: &[Action], number| {
        actions.iter().any(|action| match action {
            Action::Send(to, Message::Roster(roster)) => {
                let known = roster.orders.as_ref().map(|orders| orders.revision);
                *to == host(8) && known == Some(revision(number))
            }
            _ => false,
        })
    };
    assert!(tells(&told, 5), "{told:?}");
    assert!(!tells(&near, 6), "{near:?}");
}

/// An agent receives new orders in answer to its next announcement, not only with the balancer's
/// next regular message.
#[test]
fn agents_are_told_of_new_orders_with_their_next_word() {
    let mut balancer = balancer(&[1]);

    balancer.handle(at(3_010), Event::Ordered(orders(5, &[FAR])));
    let word = announcement(9_000, State::Ready, Load::default());
    let told = balancer.handle(at(3_020), Event::Announced(host(1), word));

    let is_told = |action: &Action| match action {
        Action::Send(to, Message::Roster(roster)) => {
            *to == host(1) && roster.orders == Some(orders(5, &[FAR]))
        }
        _ => false,
    };
    assert!(told.iter().any(is_told), "{told:?}");
}

fn serving() -> agent::Agent {
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
fn an_agent_refuses_what_an_older_view_sends_and_teaches_its_sender() {
    let mut agent = serving();
    agent.handle(at(10), agent::Event::Roster(host(9), word_with(orders(5, &[DOMAIN]))));

    let refused = agent.handle(at(20), offered(1, 4));

    let reason = Reason::Evacuated;
    let declined = Message::Declined { reason, load: Load::default() };
    assert!(!takes(&refused), "{refused:?}");
    assert!(refused.contains(&agent::Action::Return(BALANCER, declined)), "{refused:?}");
    let taught = Message::Orders(orders(5, &[DOMAIN]));
    assert!(refused.contains(&agent::Action::Send(BALANCER, taught)), "{refused:?}");
}

#[test]
fn a_balancer_that_was_refused_places_elsewhere_and_learns() {
    let mut balancer = balancer_of_two();
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
fn an_agent_takes_what_a_newer_view_sends() {
    let mut agent = serving();
    agent.handle(at(10), agent::Event::Roster(host(9), word_with(orders(5, &[DOMAIN]))));

    let newer = agent.handle(at(20), offered(1, 6));
    agent.handle(at(21), agent::Event::FromServer(accepted(flow(1), 500)));
    let older = agent.handle(at(30), offered(2, 4));

    assert!(takes(&newer), "{newer:?}");
    // The domain is no longer evacuated, so openings by older orders are accepted too.
    assert!(takes(&older), "{older:?}");
}

#[test]
fn a_copy_of_what_an_agent_has_accepted_passes() {
    let mut agent = serving();
    agent.handle(at(5), offered(1, 4));

    agent.handle(at(10), agent::Event::Roster(host(9), word_with(orders(5, &[DOMAIN]))));
    let copy = agent.handle(at(205), offered(1, 4));

    assert!(takes(&copy), "{copy:?}");
}

/// Guards against a copy of an opening that reopens an evacuated domain. The first copy is lost,
/// and a balancer that knows the evacuation sends the second one to the same agent. If the agent
/// took this as a sign that the domain is open, it would accept openings by older orders from then
/// on.
#[test]
fn a_copy_does_not_open_an_evacuated_domain() {
    let mut balancer = balancer_of_two();
    let mut agent = serving();
    agent.handle(at(3_005), agent::Event::Roster(host(9), word_with(orders(5, &[DOMAIN]))));
    balancer.handle(at(3_000), open(1));
    // A new snapshot has the same orders at a later revision.
    balancer.handle(at(3_010), Event::Ordered(orders(7, &[DOMAIN, FAR])));
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
fn an_offer_of_the_same_revision_opens_nothing() {
    let mut agent = serving();
    agent.handle(at(10), agent::Event::Roster(host(9), word_with(orders(5, &[DOMAIN]))));

    let same = agent.handle(at(20), offered(1, 5));
    let older = agent.handle(at(30), offered(2, 4));

    assert!(!takes(&same), "{same:?}");
    assert!(!takes(&older), "{older:?}");
}

#[test]
fn a_feed_reads_anew_what_happened_out_of_sight() {
    let mut feed = Follower::default();
    feed.apply_snapshot(at(0), revision(10), orders(0, &[FAR]).domains);
    feed.apply_change(revision(12), DOMAIN.into(), true);
    let seen = feed.orders().clone();

    feed.apply_snapshot(at(0), revision(20), orders(0, &[DOMAIN]).domains);
    // A change from before the snapshot is delivered again.
    feed.apply_change(revision(12), FAR.into(), true);

    assert_eq!(seen, orders(12, &[DOMAIN, FAR]));
    assert_eq!(*feed.orders(), orders(20, &[DOMAIN]));
}

/// Returns a revision of a store that was restored from an older copy once.
fn later(number: u64) -> Revision {
    Revision { era: Era(1), number }
}

/// Guards against ignoring new orders after the store was restored from an older copy, until its
/// revisions have passed the highest one from before.
#[test]
fn orders_of_a_later_era_replace_all_earlier_ones() {
    let mut ledger = Latest::default();
    ledger.apply(&orders(500, &[FAR]));

    let changes = ledger.apply(&Orders { revision: later(450), domains: BTreeSet::new() });
    let late = ledger.apply(&orders(501, &[FAR]));

    assert_eq!(changes.len(), 1);
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(ledger.revision(), later(450));
}

/// Guards against new flows in an evacuated failure domain after the store was restored from a copy
/// that lacks the order, until the operator has rewritten it.
#[test]
fn an_order_that_the_copy_lacks_holds_until_it_is_written_again() {
    let mut feed = Follower::default();
    feed.apply_snapshot(at(0), revision(500), orders(0, &[FAR]).domains);

    feed.apply_snapshot(at(100), later(450), BTreeSet::new());
    let held = feed.orders().domains.clone();
    feed.apply_change(later(460), FAR.into(), true);
    feed.apply_snapshot(at(100 + REWRITE_MS), later(470), orders(0, &[FAR]).domains);

    assert_eq!(held, orders(0, &[FAR]).domains);
    assert_eq!(*feed.orders(), Orders { revision: later(470), ..orders(0, &[FAR]) });
    assert!(!feed.retains_earlier_era());
}

/// Guards against an order that stays in force forever because its end was lost with the store's
/// latest changes.
#[test]
fn an_order_that_nobody_writes_again_ends() {
    let mut feed = Follower::default();
    feed.apply_snapshot(at(0), revision(500), orders(0, &[FAR]).domains);
    feed.apply_snapshot(at(100), later(450), BTreeSet::new());

    let early = feed.needs_read(at(99 + REWRITE_MS));
    let due = feed.needs_read(at(100 + REWRITE_MS));
    feed.apply_snapshot(at(100 + REWRITE_MS), later(450), BTreeSet::new());

    assert!(!early && due);
    assert!(feed.orders().domains.is_empty(), "{:?}", feed.orders());
}

/// Guards against a delegate that drops orders which others retain, because it learned of the
/// restored store from another process before it read the store itself.
#[test]
fn a_feed_that_heard_of_the_return_from_others_holds_on_too() {
    let mut feed = Follower::default();
    feed.apply_snapshot(at(0), revision(500), orders(0, &[FAR]).domains);
    feed.apply_remote(at(50), &Orders { revision: later(440), ..orders(0, &[FAR]) });

    feed.apply_snapshot(at(100), later(450), BTreeSet::new());

    assert_eq!(feed.orders().domains, orders(0, &[FAR]).domains);
}

/// Guards against a delegate that started after the store was restored and knows only the orders in
/// the copy: its orders must not end those that others retain.
#[test]
fn a_feed_that_hears_of_fewer_orders_after_the_return_holds_its_own() {
    let mut feed = Follower::default();
    feed.apply_snapshot(at(0), revision(500), orders(0, &[FAR]).domains);

    feed.apply_remote(at(50), &Orders { revision: later(440), domains: BTreeSet::new() });
    let held = feed.orders().domains.clone();
    feed.apply_snapshot(at(50 + REWRITE_MS), later(450), BTreeSet::new());

    assert_eq!(held, orders(0, &[FAR]).domains);
    assert!(feed.orders().domains.is_empty());
}

/// Returns the orders after each of the operator's steps, one revision per step. A step is a
/// failure domain and whether it is evacuated.
fn history(steps: &[(u8, bool)]) -> Vec<Orders> {
    let mut feed = Follower::default();
    let mut states = vec![feed.orders().clone()];
    for (number, (domain, evacuated)) in (1..).zip(steps) {
        feed.apply_change(revision(number), format!("domain-{}", domain % 3).into(), *evacuated);
        states.push(feed.orders().clone());
    }
    states
}

quickcheck! {
    /// Orders arrive in any sequence, some repeatedly, and the process restarts in between. It
    /// never goes back to a revision below one received since its start, and has the highest one at
    /// the end.
    fn an_older_order_never_wins(steps: Vec<(u8, bool)>, heard: Vec<usize>, restart: usize) -> TestResult {
        if steps.is_empty() || heard.is_empty() {
            return TestResult::discard();
        }
        let states = history(&steps);
        let heard: Vec<&Orders> = heard.iter().map(|number| &states[number % states.len()]).collect();
        let restart = restart % heard.len();

        let mut ledger = Latest::default();
        let mut latest = Revision::ZERO;
        for (number, orders) in heard.iter().enumerate() {
            if number == restart {
                (ledger, latest) = (Latest::default(), Revision::ZERO);
            }
            ledger.apply(orders);
            latest = latest.max(orders.revision);
            let known = ledger.orders().expect("it has heard of orders");
            if known.revision != latest || *known != states[usize::try_from(latest.number).expect("few")] {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }

    /// The store is restored from older copies repeatedly, and orders of all eras arrive in any
    /// sequence. The last state of the last era is in force.
    fn the_last_era_wins(heard: Vec<(u8, u8)>) -> bool {
        let mut ledger = Latest::default();
        let heard = heard.iter().map(|(era, number)| Revision {
            era: Era(u64::from(*era % 4)),
            number: u64::from(*number),
        });
        let heard: Vec<Revision> = heard.collect();
        for revision in &heard {
            ledger.apply(&Orders { revision: *revision, domains: BTreeSet::new() });
        }
        ledger.revision() == heard.into_iter().max().unwrap_or(Revision::ZERO)
    }

    /// An agent that knows an evacuation receives older orders, and openings placed by older
    /// orders. It forwards none of them to its server, unless the balancer placed it by later
    /// orders that took the domain back.
    fn no_opening_reaches_a_server_after_its_agent_knew(old: Vec<u8>) -> bool {
        let mut agent = serving();
        agent.handle(at(1), agent::Event::Roster(host(9), word_with(orders(300, &[DOMAIN]))));
        let mut ports = 1..;
        old.iter().zip(2..).all(|(revision, now)| {
            let stale = word_with(orders(u64::from(*revision), &[]));
            agent.handle(at(now), agent::Event::Roster(host(8), stale));
            let port = ports.next().expect("few openings");
            !takes(&agent.handle(at(now), offered(port, u64::from(*revision))))
        })
    }
}
