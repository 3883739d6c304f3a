//! Openings for which a service has no room in time, and callers that come back after a refusal.

use std::net::{Ipv4Addr, SocketAddrV4};

use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::decision::{Cause, Decision};
use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::message::{Insistence, Load, Reason};
use nutmegkeel_core::l4::policy::{Condition, Mechanism, Policy};
use nutmegkeel_core::l4::room::{CROWD_MS, REMEMBERED, REMEMBERED_MS, Returns};

use crate::fixture::{PORT, at, flow, forwarded, host, opening, resets, service_address};
use crate::room::{
    FULL, IDLE, LATER_PORT, SLOTS, announce, balancer_with, called_for, offered, open,
};

const DEADLINE_MS: u64 = 2_500;

/// A server whose slots come free too late for any deadline.
pub(crate) const HOPELESS: Load = Load { busy: SLOTS, flows: SLOTS, service_ms: 3_000 };

/// A server with more waiting than it works off in a deadline.
const CROWDED: Load = Load { busy: 400, flows: 400, service_ms: 100 };

fn later(port: u16) -> Flow {
    Flow { service: service_address(LATER_PORT), ..flow(port) }
}

fn from_other_client(port: u16) -> Flow {
    Flow { client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 9), port), ..flow(port) }
}

pub(crate) fn declines(
    balancer: &mut Balancer,
    now: u64,
    from: Ipv4Addr,
    flow: Flow,
    reason: Reason,
    load: Load,
) -> Vec<Action> {
    balancer.handle(at(now), Event::Declined { from, head: opening(flow, 0), reason, load })
}

pub(crate) fn refused_for(actions: &[Action]) -> Option<Cause> {
    actions.iter().find_map(|action| match action {
        Action::Log(Decision::Refused { cause, .. }) => Some(*cause),
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
        Action::Log(Decision::Refused { shortage, .. }) => *shortage,
        _ => None,
    });
    let shortage = shortage.expect("a refusal for want of room");
    assert_eq!((shortage.servers, shortage.left_ms), (20, DEADLINE_MS));
    assert_eq!((shortage.least_ms, shortage.lasted_ms), (3_000, 2_400));
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
