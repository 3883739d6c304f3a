//! Room of a service as occupancy to balancers: openings go where there is some.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::message::{Announcement, Load, Message, Offer, State};
use nutmegkeel_core::l4::placement::{Need, Pool};
use nutmegkeel_core::l4::policy::{Condition, Policy};
use nutmegkeel_core::l4::room::{MAX_REPORT_AGE_MS, Occupancy, Rank, Room};
use nutmegkeel_core::l4::route::{Kind, Urgency};

use crate::fixture::{
    BALANCER, DOMAIN, PORT, announcement, at, default_service, flow, forwarded, host, identity,
    need, opening, service_address, table,
};

const REMOTE: &str = "tema";

/// Agents of the own failure domain, and of another one.
const LOCAL_AGENTS: std::ops::RangeInclusive<u8> = 1..=12;
const REMOTE_AGENTS: std::ops::RangeInclusive<u8> = 13..=20;

/// Slots of each backend server.
pub(crate) const SLOTS: u16 = 4;

/// Port of a route whose requests are less urgent than those at [`PORT`].
pub(crate) const LESS_URGENT_PORT: u16 = 444;

pub(crate) const IDLE: Load = Load { busy: 0, flows: 0, service_ms: 100 };

/// Load of a server without a free slot and with nothing waiting.
pub(crate) const FULL: Load = Load { busy: SLOTS, flows: SLOTS, service_ms: 100 };

pub(crate) fn agents() -> impl Iterator<Item = u8> {
    LOCAL_AGENTS.chain(REMOTE_AGENTS)
}

fn domain_of(agent: u8) -> &'static str {
    if REMOTE_AGENTS.contains(&agent) { REMOTE } else { DOMAIN }
}

pub(crate) fn announcement_of(agent: u8, now: u64, load: Load) -> Announcement {
    Announcement { domain: domain_of(agent).into(), ..announcement(now + 100, State::Ready, load) }
}

pub(crate) fn contention_policy() -> Policy {
    Policy::default().under([Condition::Contention])
}

pub(crate) fn announce(balancer: &mut Balancer, now: u64, loads: impl Fn(u8) -> Load) {
    for agent in agents() {
        let event = Event::Announced(host(agent), announcement_of(agent, now, loads(agent)));
        balancer.handle(at(now), event);
    }
}

/// Returns a balancer to which all agents have announced these loads until `until_ms`.
pub(crate) fn balancer_with(policy: Policy, until_ms: u64, loads: impl Fn(u8) -> Load) -> Balancer {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, policy), &[]);
    balancer.handle(at(0), Event::Ordered(Orders::default()));
    let mut table = table(1, &[(PORT, default_service()), (LESS_URGENT_PORT, default_service())]);
    let urgent = Urgency::new(1).expect("a valid urgency");
    table.routes.get_mut(&service_address(PORT)).expect("the route exists").urgency = urgent;
    balancer.handle(at(0), Event::Configured(table));
    for now in (0..=until_ms).step_by(300) {
        announce(&mut balancer, now, &loads);
    }
    balancer
}

/// Returns a pool of the own failure domain to which all agents announced these loads at `now`.
fn pool(now: u64, loads: impl Fn(u8) -> Load) -> Pool {
    let mut pool = Pool::open(DOMAIN.into());
    for agent in agents() {
        pool.announced(at(now), host(agent), announcement_of(agent, now, loads(agent)));
    }
    pool
}

/// Returns the numbers of the first agents in a flow's order.
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

/// The first five agents in a flow's order are full and other servers are idle. Without room, only
/// the five are asked, and the caller waits or is refused.
#[test]
fn an_opening_goes_to_a_free_server_beyond_its_first_five() {
    let five = first_five(flow(1));
    let loads = |agent| if five.contains(&agent) { FULL } else { IDLE };
    let mut by_room = balancer_with(contention_policy(), 3_000, loads);
    let mut without = balancer_with(Policy::default(), 3_000, loads);

    let chosen = forwarded(&open(&mut by_room, 3_000, flow(1))).map(number);
    let before = forwarded(&open(&mut without, 3_000, flow(1))).map(number);

    assert!(chosen.is_some_and(|agent| !five.contains(&agent) && domain_of(agent) == DOMAIN));
    assert!(before.is_some_and(|agent| five.contains(&agent)));
}

/// Packets that reach another balancer find their flow among the first agents asked.
#[test]
fn an_opening_stays_among_its_first_five_while_one_is_free() {
    for port in 1..=50 {
        let five = first_five(flow(port));
        let free = five[usize::from(port) % 5];
        let mut balancer = balancer_with(contention_policy(), 3_000, |agent| {
            if five.contains(&agent) && agent != free { FULL } else { IDLE }
        });

        let chosen = forwarded(&open(&mut balancer, 3_000, flow(port))).map(number);

        assert_eq!(chosen, Some(free));
    }
}

/// All servers are full but one, in the own or the other domain, which has just become free.
#[test]
fn when_all_servers_are_full_the_next_free_one_is_chosen() {
    for free in [12, 20] {
        let mut balancer = balancer_with(contention_policy(), 3_000, |_| FULL);
        let event = Event::Announced(host(free), announcement_of(free, 3_100, IDLE));
        balancer.handle(at(3_100), event);

        for port in 1..=4 {
            let chosen = forwarded(&open(&mut balancer, 3_100, flow(port))).map(number);
            assert_eq!(chosen, Some(free));
        }
    }
}

/// Downloads crossed to another failure domain while their own could serve them after a short wait.
/// Traffic between domains costs more than that wait.
#[test]
fn a_download_waits_in_its_failure_domain_rather_than_use_a_free_slot_elsewhere() {
    let pool = pool(3_000, |agent| if domain_of(agent) == REMOTE { IDLE } else { FULL });
    let leaves_domain = |kind| {
        let choices = (1..=50)
            .filter_map(|port| pool.choose_free(at(3_000), &need(flow(port).key(), kind, &[])));
        choices.filter(|choice| domain_of(number(choice.agent)) == REMOTE).count()
    };

    assert_eq!((leaves_domain(Kind::Download), leaves_domain(Kind::Once)), (0, 50));
}

/// A failure domain is cut off after its agents reported that they are idle. Openings placed by
/// these reports would accumulate there.
#[test]
fn an_old_report_shows_no_room() {
    let mut pool = pool(3_000, |_| IDLE);
    let later = 3_000 + MAX_REPORT_AGE_MS + 100;
    for agent in LOCAL_AGENTS.filter(|agent| *agent != 12) {
        pool.announced(at(later), host(agent), announcement_of(agent, later, FULL));
    }
    pool.announced(at(later), host(12), announcement_of(12, later, IDLE));

    for port in 1..=50 {
        let choice = pool.choose_free(at(later), &need(flow(port).key(), Kind::Once, &[]));
        assert_eq!(choice.map(|choice| number(choice.agent)), Some(12));
    }
    let rooms = pool.rooms(at(later));
    let remote = rooms.get(&(default_service(), REMOTE.into())).copied().unwrap_or_default();
    assert_eq!((remote.free, remote.doubtful), (0, remote.servers));
}

/// Old reports are no reason to refuse an opening: the agents may have done the work since.
#[test]
fn an_old_report_is_no_reason_to_refuse() {
    let occupancy =
        Occupancy { slots: SLOTS, busy: 400, placed: 0, service_ms: 100, age_ms: 0, bound: None };
    let rank = Rank { above: 1, degrees: 2 };

    let least_ms = |age_ms| Occupancy { age_ms, ..occupancy }.least_ms(rank);

    assert_eq!(least_ms(0), 5_000);
    assert_eq!(least_ms(3_000), 2_000);
    assert_eq!(least_ms(6_000), 0);
}

/// A server that reports zero slots, a service time beyond all deadlines or an implausible number
/// of requests must neither attract flows nor cause refusals.
#[test]
fn implausible_figures_neither_attract_nor_refuse_flows() {
    let plausible =
        Occupancy { slots: SLOTS, busy: SLOTS, placed: 0, service_ms: 100, age_ms: 0, bound: None };

    let no_slots = Occupancy { slots: 0, busy: 0, ..plausible };
    let too_long = Occupancy { service_ms: u16::MAX, ..plausible };
    let overloaded = Occupancy { busy: u16::MAX, placed: u16::MAX, ..plausible };

    for occupancy in [no_slots, too_long, overloaded] {
        let mut room = Room::default();
        room.add(&occupancy);
        assert_eq!(occupancy.free(), 0);
        assert_eq!(occupancy.least_ms(Rank::FIRST), if occupancy == overloaded { 100 } else { 0 });
        assert_eq!(room.free, 0);
    }
}

/// Twenty-five balancers have the same reports, in which ten of sixty servers have free slots. If
/// each chose the least busy one, that server would get all openings of 300 ms.
#[test]
fn balancers_with_the_same_reports_do_not_all_choose_the_same_server() {
    let mut pools: Vec<Pool> = (0..25).map(|_| Pool::default()).collect();
    for pool in &mut pools {
        for agent in 1..=60 {
            let load = if u8::is_multiple_of(agent, 6) { IDLE } else { FULL };
            let announcement = Announcement { slots: 3, ..announcement(100, State::Ready, load) };
            pool.announced(at(0), host(agent), announcement);
        }
    }
    let mut openings: BTreeMap<Ipv4Addr, usize> = BTreeMap::new();

    for (port, pool) in (1..).zip(&mut pools) {
        let choice = pool.choose_free(at(100), &need(flow(port).key(), Kind::Once, &[]));
        let agent = choice.expect("an agent accepts the flow").agent;
        pool.placed(agent);
        *openings.entry(agent).or_default() += 1;
    }

    assert!(openings.keys().all(|agent| number(*agent).is_multiple_of(6)), "{openings:?}");
    assert!(openings.values().all(|count| *count <= 3 + 3), "{openings:?}");
}

/// A failure domain is evacuated and no other server has a free slot. The evacuation takes
/// precedence.
#[test]
fn free_slots_of_an_evacuated_failure_domain_are_not_used() {
    let mut pool = pool(3_000, |agent| if domain_of(agent) == REMOTE { IDLE } else { FULL });
    pool.set_evacuated(BTreeSet::from([REMOTE.into()]));

    for port in 1..=50 {
        let choice = pool.choose_free(at(3_000), &need(flow(port).key(), Kind::Once, &[]));
        assert!(choice.is_some_and(|choice| domain_of(number(choice.agent)) == DOMAIN));
    }
    assert_eq!(pool.rooms(at(3_000))[&(default_service(), REMOTE.into())], Room::default());
}

/// A cold server has free slots, but has received all openings that it can accept for now.
#[test]
fn slots_of_a_cold_server_without_room_are_not_used() {
    let mut pool = pool(3_000, |_| FULL);
    let cold =
        |room| Announcement { cold: true, room: Some(room), ..announcement_of(12, 3_001, IDLE) };
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

/// A flow restricted to its region is not sent to another one, even if that has free slots.
#[test]
fn free_slots_of_a_region_that_is_not_allowed_are_not_used() {
    let mut pool = pool(3_000, |agent| if domain_of(agent) == REMOTE { IDLE } else { FULL });
    pool.set_regions(BTreeMap::from([
        (DOMAIN.into(), "gulf".into()),
        (REMOTE.into(), "coast".into()),
    ]));
    let regions = BTreeSet::from(["gulf".into()]);

    for port in 1..=50 {
        let need = need(flow(port).key(), Kind::Once, &[]);
        let need = Need { regions: &regions, ..need };
        let choice = pool.choose_free(at(3_000), &need);
        assert!(choice.is_some_and(|choice| domain_of(number(choice.agent)) == DOMAIN));
    }
}

/// Copies of an opening that must run once go to the same agent, even if a better one has room by
/// then.
#[test]
fn a_copy_of_an_opening_goes_to_the_same_agent() {
    let five = first_five(flow(1));
    let mut balancer =
        balancer_with(
            contention_policy(),
            3_000,
            |agent| if five.contains(&agent) { FULL } else { IDLE },
        );
    let first = forwarded(&open(&mut balancer, 3_000, flow(1)));
    announce(&mut balancer, 3_100, |agent| if five.contains(&agent) { IDLE } else { FULL });

    let copy = balancer.handle(at(3_200), Event::Client(opening(flow(1), 1)));

    assert_eq!(forwarded(&copy), first);
}

/// The status lists the room by service and failure domain, only where openings are placed by it.
#[test]
fn status_lists_the_room() {
    let by_room =
        balancer_with(contention_policy(), 3_000, |agent| if agent == 1 { IDLE } else { FULL });
    let without = balancer_with(Policy::default(), 3_000, |_| IDLE);

    let rooms = by_room.status(at(3_000)).rooms;

    let shown: Vec<_> = rooms.iter().map(|room| (&*room.domain, room.slots, room.free)).collect();
    assert_eq!(shown, [(DOMAIN, 48, 4), (REMOTE, 32, 0)]);
    assert!(without.status(at(3_000)).rooms.is_empty());
}
