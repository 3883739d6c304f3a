//! Room of a service as balancers reckon it: openings go where there is some, and are refused when there is
//! none in time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use nutmegkeel_core::l4::agent::{self, Agent};
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::flow::{Flow, Head};
use nutmegkeel_core::l4::message::{Announcement, Insistence, Load, Message, Offer, Reason, State};
use nutmegkeel_core::l4::note::{Cause, Note};
use nutmegkeel_core::l4::placement::Pool;
use nutmegkeel_core::l4::policy::{Condition, Mechanism, Policy};
use nutmegkeel_core::l4::room::{
    BELIEVED_MS, CROWD_MS, Known, REMEMBERED, REMEMBERED_MS, Rank, Returns, Room,
};
use nutmegkeel_core::l4::route::{Kind, Urgency};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fixture::{
    BALANCER, DOMAIN, PORT, agent_with, ask, at, data, demand, desk, flow, forwarded, heartbeat,
    host, identity, open as open_at, opening, resets, service_address, table, wish, word,
};

const FAR: &str = "tema";

/// Agents of the own failure domain, and of another one.
const NEAR_AGENTS: std::ops::RangeInclusive<u8> = 1..=12;
const FAR_AGENTS: std::ops::RangeInclusive<u8> = 13..=20;

/// Slots of each backend server.
const SLOTS: u16 = 4;

/// Address of a route whose requests are less urgent than those at [`PORT`].
const LATER_PORT: u16 = 444;

const DEADLINE_MS: u64 = 2_500;

const IDLE: Load = Load { busy: 0, flows: 0, service_ms: 100 };

/// A server that is full, of which no more is known.
const FULL: Load = Load { busy: SLOTS, flows: SLOTS, service_ms: 100 };

/// A server whose slots come free too late for any deadline.
const HOPELESS: Load = Load { busy: SLOTS, flows: SLOTS, service_ms: 3_000 };

/// A server with more waiting than it works off in a deadline.
const CROWDED: Load = Load { busy: 400, flows: 400, service_ms: 100 };

fn all() -> impl Iterator<Item = u8> {
    NEAR_AGENTS.chain(FAR_AGENTS)
}

fn domain_of(agent: u8) -> &'static str {
    if FAR_AGENTS.contains(&agent) { FAR } else { DOMAIN }
}

fn said(agent: u8, now: u64, load: Load) -> Announcement {
    Announcement { domain: domain_of(agent).into(), ..word(now + 100, State::Ready, load) }
}

fn called_for() -> Policy {
    Policy::default().under([Condition::Contention])
}

fn announce(balancer: &mut Balancer, now: u64, loads: impl Fn(u8) -> Load) {
    for agent in all() {
        let event = Event::Announced(host(agent), said(agent, now, loads(agent)));
        balancer.handle(at(now), event);
    }
}

/// A balancer that has heard such loads from all agents for so long.
fn balancer_with(policy: Policy, until_ms: u64, loads: impl Fn(u8) -> Load) -> Balancer {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, policy), &[]);
    balancer.handle(at(0), Event::Ordered(Orders::default()));
    let mut table = table(1, &[(PORT, desk()), (LATER_PORT, desk())]);
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
    let agents = pool(0, |_| IDLE).search_first(flow.key(), &[desk()], DOMAIN);
    agents.into_iter().map(number).collect()
}

fn number(agent: Ipv4Addr) -> u8 {
    agent.octets()[3]
}

fn later(port: u16) -> Flow {
    Flow { service: service_address(LATER_PORT), ..flow(port) }
}

fn from_other_client(port: u16) -> Flow {
    Flow { client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 9), port), ..flow(port) }
}

fn open(balancer: &mut Balancer, now: u64, flow: Flow) -> Vec<Action> {
    balancer.handle(at(now), Event::Client(opening(flow, 0)))
}

fn declines(
    balancer: &mut Balancer,
    now: u64,
    from: Ipv4Addr,
    flow: Flow,
    reason: Reason,
    load: Load,
) -> Vec<Action> {
    balancer.handle(at(now), Event::Declined { from, head: opening(flow, 0), reason, load })
}

fn offered(actions: &[Action]) -> Option<Offer> {
    actions.iter().find_map(|action| match action {
        Action::Forward(_, Message::Open(offer)) => Some(*offer),
        _ => None,
    })
}

fn refused_for(actions: &[Action]) -> Option<Cause> {
    actions.iter().find_map(|action| match action {
        Action::Note(Note::Refused { cause, .. }) => Some(*cause),
        _ => None,
    })
}

/// Lets every agent that an opening is offered to decline it, each with this load, until it is refused.
fn until_refused(balancer: &mut Balancer, now: u64, flow: Flow, reason: Reason) -> Vec<Action> {
    let mut actions = open(balancer, now, flow);
    while let Some(agent) = forwarded(&actions) {
        actions = declines(balancer, now, agent, flow, reason, FULL);
    }
    actions
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
            .filter_map(|port| pool.choose_free(at(3_000), &wish(flow(port).key(), kind, &[])));
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
        let choice = pool.choose_free(at(later), &wish(flow(port).key(), Kind::Once, &[]));
        assert_eq!(choice.map(|choice| number(choice.agent)), Some(12));
    }
    let rooms = pool.rooms(at(later));
    let far = rooms.get(&(desk(), FAR.into())).copied().unwrap_or_default();
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

/// A crowd comes for two seconds, and no server could answer it in time by what is known at the moment.
/// Servers work it off; who is refused comes back and uses up its tries. So the first two seconds refuse
/// nobody, and one slot seen free begins them anew.
#[test]
fn a_crowd_of_two_seconds_turns_nobody_away() {
    let mut balancer = balancer_with(called_for(), 3_000, |_| HOPELESS);
    let mut port = 0;
    let mut is_refused = |balancer: &mut Balancer, now| {
        port += 1;
        resets(&open(balancer, now, flow(port)))
    };

    for now in (3_000..=3_000 + CROWD_MS).step_by(100) {
        announce(&mut balancer, now, |_| HOPELESS);
        assert!(!is_refused(&mut balancer, now), "{now}");
    }
    announce(&mut balancer, 5_100, |_| HOPELESS);
    assert!(is_refused(&mut balancer, 5_100));

    announce(&mut balancer, 5_200, |agent| if agent == 1 { IDLE } else { HOPELESS });
    let other = from_other_client(1);
    assert_eq!(forwarded(&open(&mut balancer, 5_200, other)), Some(host(1)));
    announce(&mut balancer, 5_300, |_| HOPELESS);
    assert!(!resets(&open(&mut balancer, 5_300, from_other_client(2))));
}

/// In a crowd every opening is handed back twice before it may wait, and the messages slow everybody down.
/// Once each report has been renewed and no slot was free, an opening waits at the first agent; one that
/// comes free is asked for its slot again.
#[test]
fn in_a_crowd_no_free_slot_is_looked_for() {
    let mut balancer = balancer_with(called_for(), 3_000, |_| CROWDED);
    let mut asked = Vec::new();
    for (port, now) in (1..).zip((3_000..=4_500).step_by(300)) {
        announce(&mut balancer, now, |_| CROWDED);
        let actions = open(&mut balancer, now, flow(port));
        asked.push(offered(&actions).map(|offer| offer.insistence));
    }
    announce(&mut balancer, 4_800, |agent| if agent == 1 { IDLE } else { CROWDED });
    let free = open(&mut balancer, 4_800, flow(100));

    let (idle, in_time) = (Some(Insistence::IfIdle), Some(Insistence::IfInTime));
    assert_eq!(asked, [idle, idle, idle, in_time, in_time, in_time]);
    assert_eq!(forwarded(&free), Some(host(1)));
    assert_eq!(offered(&free).map(|offer| offer.insistence), idle);
}

/// What waits grows for seconds. The less urgent requests stand behind all of it and can't be answered in
/// time; the more urgent go before it, and are not refused.
#[test]
fn a_lasting_overload_refuses_the_least_urgent_first() {
    let mut balancer = balancer_with(called_for(), 3_000, |_| CROWDED);
    let mut refused = [0, 0];
    for (port, now) in (1..).zip((3_000..=8_000).step_by(100)) {
        announce(&mut balancer, now, |_| CROWDED);
        let urgent = open(&mut balancer, now, from_other_client(port));
        let less = open(&mut balancer, now, later(port));
        refused[0] += usize::from(resets(&urgent));
        refused[1] += usize::from(refused_for(&less) == Some(Cause::NoRoom));
    }

    assert_eq!(refused[0], 0);
    assert!(refused[1] >= 14, "{refused:?}");
}

/// An opening has been handed back for more than a second; a server has come free, and its client still
/// waits for the answer.
#[test]
fn an_opening_past_its_usual_time_still_goes_to_a_free_server() {
    let mut balancer = balancer_with(called_for(), 3_000, |_| FULL);
    let first = forwarded(&open(&mut balancer, 3_000, flow(1))).expect("an agent");
    let free = if first == host(12) { 11 } else { 12 };
    for now in [3_300, 3_600, 3_900, 4_200] {
        announce(&mut balancer, now, |agent| if agent == free { IDLE } else { FULL });
    }

    let next = declines(&mut balancer, 4_200, first, flow(1), Reason::Late, FULL);

    assert_eq!(forwarded(&next), Some(host(free)));
}

/// The figures that a refusal rested on are in its line.
#[test]
fn a_refusal_says_what_it_rested_on() {
    let mut balancer = balancer_with(called_for(), 3_000, |_| HOPELESS);
    for now in (3_000..=5_100).step_by(300) {
        announce(&mut balancer, now, |_| HOPELESS);
        open(&mut balancer, now, from_other_client(1));
    }
    announce(&mut balancer, 5_400, |_| HOPELESS);

    let actions = open(&mut balancer, 5_400, flow(1));

    let shortage = actions.iter().find_map(|action| match action {
        Action::Note(Note::Refused { shortage, .. }) => *shortage,
        _ => None,
    });
    let shortage = shortage.expect("a refusal for want of room");
    assert_eq!((shortage.servers, shortage.left_ms), (20, DEADLINE_MS));
    assert_eq!((shortage.least_ms, shortage.lasted_ms), (3_000, 2_400));
}

/// Twenty-five balancers have the same reports, in which ten of sixty servers have free slots. If each took
/// the least busy one, the first server would get all openings of 300 ms.
#[test]
fn balancers_with_the_same_reports_do_not_all_take_the_same_server() {
    let mut pools: Vec<Pool> = (0..25).map(|_| Pool::default()).collect();
    for pool in &mut pools {
        for agent in 1..=60 {
            let load = if u8::is_multiple_of(agent, 6) { IDLE } else { FULL };
            let said = Announcement { slots: 3, ..word(100, State::Ready, load) };
            pool.announced(at(0), host(agent), said);
        }
    }
    let mut given: BTreeMap<Ipv4Addr, usize> = BTreeMap::new();

    for (port, pool) in (1..).zip(&mut pools) {
        let choice = pool.choose_free(at(100), &wish(flow(port).key(), Kind::Once, &[]));
        let agent = choice.expect("an agent").agent;
        pool.placed(agent);
        *given.entry(agent).or_default() += 1;
    }

    assert!(given.keys().all(|agent| number(*agent).is_multiple_of(6)), "{given:?}");
    assert!(given.values().all(|count| *count <= 3 + 3), "{given:?}");
}

/// A caller is refused, comes back at once and is refused again by the same balancer, until its tries are
/// used up, while others that came for the first time are served.
#[test]
fn a_caller_that_comes_back_is_not_refused_again() {
    let mut balancer = balancer_with(called_for(), 3_000, |_| HOPELESS);
    for now in (3_000..=5_400).step_by(300) {
        announce(&mut balancer, now, |_| HOPELESS);
        open(&mut balancer, now, from_other_client(1));
    }
    assert_eq!(refused_for(&open(&mut balancer, 5_410, flow(1))), Some(Cause::NoRoom));

    let second = open(&mut balancer, 5_420, flow(2));
    let copy = balancer.handle(at(5_440), Event::Client(opening(flow(2), 1)));
    let third = open(&mut balancer, 5_450, flow(3));

    assert!(offered(&second).is_some_and(|offer| offer.returns));
    assert!(offered(&copy).is_some_and(|offer| offer.returns));
    assert_eq!(refused_for(&third), Some(Cause::NoRoom));
}

/// A refusal by all agents is one for want of room too; it counts for one flow, of its caller and route.
#[test]
fn a_refusal_is_good_for_one_return_of_its_caller() {
    let mut balancer = balancer_with(called_for(), 3_000, |_| FULL);
    let refused = until_refused(&mut balancer, 3_000, flow(1), Reason::Late);
    assert_eq!(refused_for(&refused), Some(Cause::AllDeclined));

    let mut returns =
        |flow| offered(&open(&mut balancer, 3_010, flow)).is_some_and(|offer| offer.returns);

    assert!(!returns(from_other_client(2)));
    assert!(!returns(later(2)));
    assert!(returns(flow(2)));
    assert!(!returns(flow(3)));
}

#[test]
fn no_return_is_offered_where_the_mechanism_is_off() {
    let policy = Policy::without([Mechanism::Room]).under([Condition::Contention]);
    let mut balancer = balancer_with(policy, 3_000, |_| FULL);
    let refused = until_refused(&mut balancer, 3_000, flow(1), Reason::Late);

    let next = open(&mut balancer, 3_010, flow(2));

    assert!(resets(&refused));
    assert_eq!(refused_for(&refused), None);
    assert!(offered(&next).is_some_and(|offer| !offer.returns));
}

/// Callers from a hundred thousand addresses are refused within a second; the balancer has little memory.
#[test]
fn memory_of_refused_callers_is_bounded() {
    let mut returns = Returns::default();
    let from = |number: u32| {
        let client = SocketAddrV4::new(Ipv4Addr::from_bits(0x6440_0000 + number), 1_000);
        Flow { client, service: service_address(PORT) }
    };

    for number in 0..100_000 {
        returns.refused(at(u64::from(number) / 100), &from(number));
        assert!(returns.len() <= REMEMBERED);
    }

    assert!(!returns.claim(at(1_000), &from(0)));
    assert!(returns.claim(at(1_000), &from(99_999)));
    assert!(!returns.claim(at(1_000), &from(99_999)));
    assert!(!returns.claim(at(1_001 + REMEMBERED_MS), &from(99_998)));
    assert!(returns.is_empty());
}

/// An operator has evacuated a failure domain, and nobody else has a free slot: the order goes first.
#[test]
fn free_slots_of_an_evacuated_failure_domain_are_not_taken() {
    let mut pool = pool(3_000, |agent| if domain_of(agent) == FAR { IDLE } else { FULL });
    pool.set_evacuated(BTreeSet::from([FAR.into()]));

    for port in 1..=50 {
        let choice = pool.choose_free(at(3_000), &wish(flow(port).key(), Kind::Once, &[]));
        assert!(choice.is_some_and(|choice| domain_of(number(choice.agent)) == DOMAIN));
    }
    assert_eq!(pool.rooms(at(3_000))[&(desk(), FAR.into())], Room::default());
}

/// A cold server has slots, but has been given all openings that it bears for now.
#[test]
fn slots_of_a_cold_server_without_room_are_not_taken() {
    let mut pool = pool(3_000, |_| FULL);
    let cold = |room| Announcement { cold: true, room: Some(room), ..said(12, 3_001, IDLE) };
    let chosen = |pool: &Pool| {
        let choices = (1..=50).filter_map(|port| {
            pool.choose_free(at(3_001), &wish(flow(port).key(), Kind::Once, &[]))
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
        let wish = wish(flow(port).key(), Kind::Once, &[]);
        let wish = nutmegkeel_core::l4::placement::Wish { regions: &regions, ..wish };
        let choice = pool.choose_free(at(3_000), &wish);
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

/// What one agent of a random fleet last said, when, and how it answers an opening.
#[derive(Clone, Copy, Debug)]
struct Drawn {
    load: Load,
    slots: u16,
    heard: u64,
    declines: Reason,
    /// Whether it has said since that it is cold and has been given what it bears.
    is_cold: bool,
}

impl Drawn {
    /// In two fleets of three nearly all servers are full, and so slow that openings may be refused.
    fn draw(random: &mut StdRng, now: u64, fleet: u64) -> Self {
        let is_full = !fleet.is_multiple_of(3) && random.random_range(0..60) > 0;
        let busy = if is_full { 40 } else { random.random_range(0..8) };
        let service_ms = [0, 100, 2_400, 3_000][random.random_range(0..4)];
        let service_ms = if is_full { 3_000 } else { service_ms };
        let reasons = [Reason::Busy, Reason::Late, Reason::Full, Reason::Cold];
        let declines = reasons[random.random_range(0..4)];
        let slots = random.random_range(0..=SLOTS);
        Self {
            load: Load { busy, flows: busy, service_ms },
            slots,
            heard: now,
            declines,
            is_cold: false,
        }
    }

    fn has_room(&self, now: u64) -> bool {
        !self.is_cold && now - self.heard <= BELIEVED_MS && self.load.busy < self.slots
    }
}

/// An opening is refused while a server that it may use, and that has not declined it, is known to have a
/// free slot: whatever the reports and their ages are, in which order agents decline, and how long it takes.
#[test]
fn nothing_is_refused_while_a_fresh_report_shows_a_free_slot() {
    let mut refused: BTreeMap<&str, usize> = BTreeMap::new();
    for fleet in 0..150 {
        for cause in refusals_of_fleet(fleet) {
            *refused.entry(cause.name()).or_default() += 1;
        }
    }
    assert!(refused["no_room"] > 20 && refused["all_declined"] > 20, "{refused:?}");
}

/// Plays a random fleet for four seconds, and checks that each refusal is right.
fn refusals_of_fleet(fleet: u64) -> Vec<Cause> {
    let mut random = StdRng::seed_from_u64(fleet);
    let mut balancer = balancer_with(called_for(), 3_000, |_| HOPELESS);
    let mut known: BTreeMap<u8, Drawn> = BTreeMap::new();
    let mut refusals = Vec::new();
    for (port, now) in (1..).zip((3_300..7_500).step_by(300)) {
        for agent in all() {
            if !known.contains_key(&agent) || random.random_range(0..8) > 0 {
                let drawn = Drawn::draw(&mut random, now, fleet);
                known.insert(agent, drawn);
                let word = Announcement { slots: drawn.slots, ..said(agent, now, drawn.load) };
                balancer.handle(at(now), Event::Announced(host(agent), word));
            }
        }
        let pause_ms = [0, 1, 3, 7][random.random_range(0..4)];
        let route = if random.random_bool(0.5) { PORT } else { LATER_PORT };
        let caller = Ipv4Addr::from_bits(0x6441_0000 + u32::from(port));
        let client = SocketAddrV4::new(caller, port);
        let flow = Flow { client, service: service_address(route) };
        refusals.extend(open_and_decline(&mut balancer, now, pause_ms, flow, &mut known));
    }
    refusals
}

/// Opens a flow that every agent declines after a pause, and checks what it is refused for.
fn open_and_decline(
    balancer: &mut Balancer,
    began: u64,
    pause_ms: u64,
    flow: Flow,
    known: &mut BTreeMap<u8, Drawn>,
) -> Option<Cause> {
    let (mut now, mut declined) = (began, BTreeSet::new());
    let mut actions = open(balancer, now, flow);
    while let Some(agent) = forwarded(&actions) {
        now += pause_ms;
        let only_if_idle = offered(&actions)?.insistence == Insistence::IfIdle;
        let drawn = known.get_mut(&number(agent))?;
        drawn.heard = now;
        // Who may let the opening wait does not decline it as busy.
        let reason = match drawn.declines {
            Reason::Busy if !only_if_idle => Reason::Late,
            reason => reason,
        };
        drawn.is_cold |= reason == Reason::Cold;
        if reason == Reason::Busy {
            drawn.load.busy = SLOTS;
        } else {
            declined.insert(number(agent));
        }
        let load = drawn.load;
        actions = declines(balancer, now, agent, flow, reason, load);
    }
    let cause = refused_for(&actions)?;
    let free = known.iter().filter(|(agent, one)| one.has_room(now) && !declined.contains(agent));
    assert_eq!(free.count(), 0, "{cause:?} after {} ms: {known:?}", now - began);
    Some(cause)
}

/// Breaks off the requests of these flows, one after the other.
fn break_off(agent: &mut Agent, now: u64, flows: impl Iterator<Item = u16>) {
    let mut reset = data(flow(1), 501, 1_101);
    reset.flags.rst = true;
    reset.len = 0;
    for port in flows {
        agent.handle(at(now), agent::Event::FromServer(Head { flow: flow(port), ..reset }));
    }
}

/// An agent whose server works on this many requests, each of which must run once.
fn agent_with_requests(policy: Policy, count: u16) -> Agent {
    let mut agent = agent_with(policy);
    agent.handle(at(0), agent::Event::Recovered(None));
    agent.handle(at(0), agent::Event::Heartbeat(heartbeat("a", 1)));
    for port in 1..=count {
        open_at(&mut agent, 90, flow(port), demand(true));
        ask(&mut agent, 100, flow(port), 1_001);
    }
    agent
}

/// A crowd fills a server's queue, and it breaks off what comes beyond. Taken for faulty, it is spared
/// together with most of its peers, and the few that are left drown.
#[test]
fn a_full_server_that_turns_requests_away_is_not_taken_for_faulty() {
    let mut by_room = agent_with_requests(called_for(), 20);
    let mut without = agent_with_requests(Policy::default(), 20);

    for agent in [&mut by_room, &mut without] {
        break_off(agent, 110, 10..=20);
    }

    assert_eq!(by_room.state(at(111)), State::Ready);
    assert_eq!(without.state(at(111)), State::Failing);
}

/// A faulty server breaks requests off as they come; it never has many.
#[test]
fn a_server_that_breaks_requests_off_while_it_has_slots_is_faulty() {
    let mut agent = agent_with_requests(called_for(), SLOTS);

    break_off(&mut agent, 110, 1..=SLOTS);

    assert_eq!(agent.state(at(111)), State::Failing);
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
