//! Room of a service as balancers reckon it: openings go where there is some.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::message::{Announcement, Load, Message, Offer, State};
use nutmegkeel_core::l4::placement::{Need, Pool};
use nutmegkeel_core::l4::policy::{Condition, Policy};
use nutmegkeel_core::l4::room::{BELIEVED_MS, Known, Rank, Room};
use nutmegkeel_core::l4::route::{Kind, Urgency};

use crate::fixture::{
    BALANCER, DOMAIN, PORT, announcement, at, default_service, flow, forwarded, host, identity,
    need, opening, service_address, table,
};

const FAR: &str = "tema";

/// Agents of the own failure domain, and of another one.
const NEAR_AGENTS: std::ops::RangeInclusive<u8> = 1..=12;
const FAR_AGENTS: std::ops::RangeInclusive<u8> = 13..=20;

/// Slots of each backend server.
pub(crate) const SLOTS: u16 = 4;

/// Address of a route whose requests are less urgent than those at [`PORT`].
pub(crate) const LATER_PORT: u16 = 444;

pub(crate) const IDLE: Load = Load { busy: 0, flows: 0, service_ms: 100 };

/// A server that is full, of which no more is known.
pub(crate) const FULL: Load = Load { busy: SLOTS, flows: SLOTS, service_ms: 100 };

pub(crate) fn all() -> impl Iterator<Item = u8> {
    NEAR_AGENTS.chain(FAR_AGENTS)
}

fn domain_of(agent: u8) -> &'static str {
    if FAR_AGENTS.contains(&agent) { FAR } else { DOMAIN }
}

pub(crate) fn said(agent: u8, now: u64, load: Load) -> Announcement {
    Announcement { domain: domain_of(agent).into(), ..announcement(now + 100, State::Ready, load) }
}

pub(crate) fn called_for() -> Policy {
    Policy::default().under([Condition::Contention])
}

pub(crate) fn announce(balancer: &mut Balancer, now: u64, loads: impl Fn(u8) -> Load) {
    for agent in all() {
        let event = Event::Announced(host(agent), said(agent, now, loads(agent)));
        balancer.handle(at(now), event);
    }
}

/// A balancer that has heard such loads from all agents for so long.
pub(crate) fn balancer_with(policy: Policy, until_ms: u64, loads: impl Fn(u8) -> Load) -> Balancer {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, policy), &[]);
    balancer.handle(at(0), Event::Ordered(Orders::default()));
    let mut table = table(1, &[(PORT, default_service()), (LATER_PORT, default_service())]);
    let urgent = Urgency::new(1).expect("an urgency");
    table.routes.get_mut(&service_address(PORT)).expect("the route").urgency = urgent;
    balancer.handle(at(0), Event::Configured(table));
    for now in (0..=until_ms).step_by(300) {
        announce(&mut balancer, now, &loads);
    }
    balancer
}

/// A pool of the own failure domain in which the agents last spoke at `now`.
fn pool(now: u64, loads: impl Fn(u8) -> Load) -> Pool {
    let mut pool = Pool::open(DOMAIN.into());
    for agent in all() {
        pool.announced(at(now), host(agent), said(agent, now, loads(agent)));
    }
    pool
}

/// The agents that a flow's order begins with, by their numbers.
fn first_five(flow: Flow) -> Vec<u8> {
    let agents = pool(0, |_| IDLE).search_first(flow.key(), &[default_service()], DOMAIN);
    agents.into_iter().map(number).collect()
}

pub(crate) fn number(agent: Ipv4Addr) -> u8 {
    agent.octets()[3]
}

pub(crate) fn open(balancer: &mut Balancer, now: u64, flow: Flow) -> Vec<Action> {
    balancer.handle(at(now), Event::Client(opening(flow, 0)))
}

pub(crate) fn offered(actions: &[Action]) -> Option<Offer> {
    actions.iter().find_map(|action| match action {
        Action::Forward(_, Message::Open(offer)) => Some(*offer),
        _ => None,
    })
}

/// A caller waits, or is refused, though servers are idle: the five that its flow's order begins with are
/// full, and no other is ever asked.
#[test]
fn an_opening_goes_to_a_free_server_beyond_its_first_five() {
    let five = first_five(flow(1));
    let loads = |agent| if five.contains(&agent) { FULL } else { IDLE };
    let mut by_room = balancer_with(called_for(), 3_000, loads);
    let mut without = balancer_with(Policy::default(), 3_000, loads);

    let chosen = forwarded(&open(&mut by_room, 3_000, flow(1))).map(number);
    let before = forwarded(&open(&mut without, 3_000, flow(1))).map(number);

    assert!(chosen.is_some_and(|agent| !five.contains(&agent) && domain_of(agent) == DOMAIN));
    assert!(before.is_some_and(|agent| five.contains(&agent)));
}

/// While one of the first five is free, a packet at another balancer finds its flow among the first asked.
#[test]
fn an_opening_stays_among_its_first_five_while_one_is_free() {
    for port in 1..=50 {
        let five = first_five(flow(port));
        let free = five[usize::from(port) % 5];
        let mut balancer = balancer_with(called_for(), 3_000, |agent| {
            if five.contains(&agent) && agent != free { FULL } else { IDLE }
        });

        let chosen = forwarded(&open(&mut balancer, 3_000, flow(port))).map(number);

        assert_eq!(chosen, Some(free));
    }
}

/// All servers but one far away are full; that one has just come free.
#[test]
fn when_all_are_full_the_one_that_comes_free_is_taken() {
    for free in [12, 20] {
        let mut balancer = balancer_with(called_for(), 3_000, |_| FULL);
        let frees = Event::Announced(host(free), said(free, 3_100, IDLE));
        balancer.handle(at(3_100), frees);

        for port in 1..=4 {
            let chosen = forwarded(&open(&mut balancer, 3_100, flow(port))).map(number);
            assert_eq!(chosen, Some(free));
        }
    }
}

/// Weekly sheets cross to another failure domain though the own one works a backlog off at once: an answer
/// of that size costs more there than the short wait.
#[test]
fn a_download_waits_at_home_rather_than_cross_for_a_free_slot() {
    let pool = pool(3_000, |agent| if domain_of(agent) == FAR { IDLE } else { FULL });
    let crosses = |kind| {
        let choices = (1..=50)
            .filter_map(|port| pool.choose_free(at(3_000), &need(flow(port).key(), kind, &[])));
        choices.filter(|choice| domain_of(number(choice.agent)) == FAR).count()
    };

    assert_eq!((crosses(Kind::Download), crosses(Kind::Once)), (0, 50));
}

/// A failure domain is cut off, and what its agents last said was that they are idle. Openings that went
/// by it would pile up where nobody knows what there is.
#[test]
fn an_old_report_is_no_room() {
    let mut pool = pool(3_000, |_| IDLE);
    let later = 3_000 + BELIEVED_MS + 100;
    for agent in NEAR_AGENTS.filter(|agent| *agent != 12) {
        pool.announced(at(later), host(agent), said(agent, later, FULL));
    }
    pool.announced(at(later), host(12), said(12, later, IDLE));

    for port in 1..=50 {
        let choice = pool.choose_free(at(later), &need(flow(port).key(), Kind::Once, &[]));
        assert_eq!(choice.map(|choice| number(choice.agent)), Some(12));
    }
    let rooms = pool.rooms(at(later));
    let far = rooms.get(&(default_service(), FAR.into())).copied().unwrap_or_default();
    assert_eq!((far.free, far.doubtful), (0, far.servers));
}

/// Nobody is refused on what was true once: agents elsewhere may have worked everything off since.
#[test]
fn an_old_report_is_no_want_of_room_either() {
    let known =
        Known { slots: SLOTS, busy: 400, placed: 0, service_ms: 100, age_ms: 0, bound: None };
    let rank = Rank { above: 1, degrees: 2 };

    let least_ms = |age_ms| Known { age_ms, ..known }.least_ms(rank);

    assert_eq!(least_ms(0), 5_000);
    assert_eq!(least_ms(3_000), 2_000);
    assert_eq!(least_ms(6_000), 0);
}

/// A server that says zero slots, a time of service beyond all deadlines, or more in progress than it ever
/// had, gets no flow for it, and is no reason to refuse one.
#[test]
fn absurd_figures_neither_attract_nor_refuse() {
    let sane =
        Known { slots: SLOTS, busy: SLOTS, placed: 0, service_ms: 100, age_ms: 0, bound: None };

    let no_slots = Known { slots: 0, busy: 0, ..sane };
    let hours = Known { service_ms: u16::MAX, ..sane };
    let endless = Known { busy: u16::MAX, placed: u16::MAX, ..sane };

    for known in [no_slots, hours, endless] {
        let mut room = Room::default();
        room.add(&known);
        assert_eq!(known.free(), 0);
        assert_eq!(known.least_ms(Rank::FIRST), if known == endless { 100 } else { 0 });
        assert_eq!(room.free, 0);
    }
}

/// Twenty-five balancers have the same reports, in which ten of sixty servers have free slots. If each took
/// the least busy one, the first server would get all openings of 300 ms.
#[test]
fn balancers_with_the_same_reports_do_not_all_take_the_same_server() {
    let mut pools: Vec<Pool> = (0..25).map(|_| Pool::default()).collect();
    for pool in &mut pools {
        for agent in 1..=60 {
            let load = if u8::is_multiple_of(agent, 6) { IDLE } else { FULL };
            let said = Announcement { slots: 3, ..announcement(100, State::Ready, load) };
            pool.announced(at(0), host(agent), said);
        }
    }
    let mut given: BTreeMap<Ipv4Addr, usize> = BTreeMap::new();

    for (port, pool) in (1..).zip(&mut pools) {
        let choice = pool.choose_free(at(100), &need(flow(port).key(), Kind::Once, &[]));
        let agent = choice.expect("an agent").agent;
        pool.placed(agent);
        *given.entry(agent).or_default() += 1;
    }

    assert!(given.keys().all(|agent| number(*agent).is_multiple_of(6)), "{given:?}");
    assert!(given.values().all(|count| *count <= 3 + 3), "{given:?}");
}

/// An operator has evacuated a failure domain, and nobody else has a free slot: the order goes first.
#[test]
fn free_slots_of_an_evacuated_failure_domain_are_not_taken() {
    let mut pool = pool(3_000, |agent| if domain_of(agent) == FAR { IDLE } else { FULL });
    pool.set_evacuated(BTreeSet::from([FAR.into()]));

    for port in 1..=50 {
        let choice = pool.choose_free(at(3_000), &need(flow(port).key(), Kind::Once, &[]));
        assert!(choice.is_some_and(|choice| domain_of(number(choice.agent)) == DOMAIN));
    }
    assert_eq!(pool.rooms(at(3_000))[&(default_service(), FAR.into())], Room::default());
}

/// A cold server has slots, but has been given all openings that it bears for now.
#[test]
fn slots_of_a_cold_server_without_room_are_not_taken() {
    let mut pool = pool(3_000, |_| FULL);
    let cold = |room| Announcement { cold: true, room: Some(room), ..said(12, 3_001, IDLE) };
    let chosen = |pool: &Pool| {
        let choices = (1..=50).filter_map(|port| {
            pool.choose_free(at(3_001), &need(flow(port).key(), Kind::Once, &[]))
        });
        choices.filter(|choice| choice.agent == host(12)).count()
    };

    pool.announced(at(3_001), host(12), cold(0));
    let without_room = chosen(&pool);
    pool.announced(at(3_001), host(12), cold(1));

    assert_eq!((without_room, chosen(&pool)), (0, 50));
}

/// A flow that may not leave its region is not sent to another one, however free that is.
#[test]
fn free_slots_of_a_region_that_is_not_allowed_are_not_taken() {
    let mut pool = pool(3_000, |agent| if domain_of(agent) == FAR { IDLE } else { FULL });
    pool.set_regions(BTreeMap::from([
        (DOMAIN.into(), "gulf".into()),
        (FAR.into(), "coast".into()),
    ]));
    let regions = BTreeSet::from(["gulf".into()]);

    for port in 1..=50 {
        let need = need(flow(port).key(), Kind::Once, &[]);
        let need = Need { regions: &regions, ..need };
        let choice = pool.choose_free(at(3_000), &need);
        assert!(choice.is_some_and(|choice| domain_of(number(choice.agent)) == DOMAIN));
    }
}

/// Copies of an opening that must run once follow the first one, though a better server has room by then.
#[test]
fn a_copy_of_an_opening_stays_where_the_first_went() {
    let five = first_five(flow(1));
    let mut balancer =
        balancer_with(called_for(), 3_000, |agent| if five.contains(&agent) { FULL } else { IDLE });
    let first = forwarded(&open(&mut balancer, 3_000, flow(1)));
    announce(&mut balancer, 3_100, |agent| if five.contains(&agent) { IDLE } else { FULL });

    let copy = balancer.handle(at(3_200), Event::Client(opening(flow(1), 1)));

    assert_eq!(forwarded(&copy), first);
}

/// Operators see the room by service and failure domain, only where openings go by it.
#[test]
fn status_shows_the_room() {
    let by_room = balancer_with(called_for(), 3_000, |agent| if agent == 1 { IDLE } else { FULL });
    let without = balancer_with(Policy::default(), 3_000, |_| IDLE);

    let rooms = by_room.status(at(3_000)).rooms;

    let shown: Vec<_> = rooms.iter().map(|room| (&*room.domain, room.slots, room.free)).collect();
    assert_eq!(shown, [(DOMAIN, 48, 4), (FAR, 32, 0)]);
    assert!(without.status(at(3_000)).rooms.is_empty());
}
