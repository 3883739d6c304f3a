//! Openings for which a service has no room in time, and retries after a refusal.

use std::net::{Ipv4Addr, SocketAddrV4};

use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::decision::{Cause, Decision};
use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::message::{Admission, Load, Reason};
use nutmegkeel_core::l4::policy::{Condition, Mechanism, Policy};
use nutmegkeel_core::l4::room::{CONGESTION_TOLERANCE_MS, MAX_CALLERS, RETENTION_MS, Retries};

use crate::fixture::{PORT, at, flow, forwarded, host, opening, resets, service_address};
use crate::room::{
    FULL, IDLE, LESS_URGENT_PORT, SLOTS, announce, balancer_with, contention_policy, offered, open,
};

const DEADLINE_MS: u64 = 2_500;

/// Load of a server whose slots become free after any deadline.
pub(crate) const UNSERVABLE: Load = Load { busy: SLOTS, flows: SLOTS, service_ms: 3_000 };

/// Load of a server with more requests waiting than it can process within a deadline.
const OVERLOADED: Load = Load { busy: 400, flows: 400, service_ms: 100 };

fn less_urgent(port: u16) -> Flow {
    Flow { service: service_address(LESS_URGENT_PORT), ..flow(port) }
}

fn from_other_client(port: u16) -> Flow {
    Flow { client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 9), port), ..flow(port) }
}

pub(crate) fn decline(
    balancer: &mut Balancer,
    now: u64,
    from: Ipv4Addr,
    flow: Flow,
    reason: Reason,
    load: Load,
) -> Vec<Action> {
    balancer.handle(at(now), Event::Declined { from, head: opening(flow, 0), reason, load })
}

pub(crate) fn refusal_cause(actions: &[Action]) -> Option<Cause> {
    actions.iter().find_map(|action| match action {
        Action::Log(Decision::Refused { cause, .. }) => Some(*cause),
        _ => None,
    })
}

/// Lets every agent that an opening is offered to decline it, until it is refused.
fn decline_until_refused(
    balancer: &mut Balancer,
    now: u64,
    flow: Flow,
    reason: Reason,
) -> Vec<Action> {
    let mut actions = open(balancer, now, flow);
    while let Some(agent) = forwarded(&actions) {
        actions = decline(balancer, now, agent, flow, reason, FULL);
    }
    actions
}

/// During an overload of two seconds, no server can answer in time by the last reports. Servers
/// work it off, and refused callers would only retry until their attempts are used up. A free slot
/// restarts the two seconds.
#[test]
fn an_overload_of_two_seconds_refuses_no_opening() {
    let mut balancer = balancer_with(contention_policy(), 3_000, |_| UNSERVABLE);
    let mut port = 0;
    let mut is_refused = |balancer: &mut Balancer, now| {
        port += 1;
        resets(&open(balancer, now, flow(port)))
    };

    for now in (3_000..=3_000 + CONGESTION_TOLERANCE_MS).step_by(100) {
        announce(&mut balancer, now, |_| UNSERVABLE);
        assert!(!is_refused(&mut balancer, now), "{now}");
    }
    announce(&mut balancer, 5_100, |_| UNSERVABLE);
    assert!(is_refused(&mut balancer, 5_100));

    announce(&mut balancer, 5_200, |agent| if agent == 1 { IDLE } else { UNSERVABLE });
    let other = from_other_client(1);
    assert_eq!(forwarded(&open(&mut balancer, 5_200, other)), Some(host(1)));
    announce(&mut balancer, 5_300, |_| UNSERVABLE);
    assert!(!resets(&open(&mut balancer, 5_300, from_other_client(2))));
}

/// Under overload every opening is declined twice before it may wait, which triples the messages.
/// Once all reports have been renewed without a free slot, an opening waits at its first agent. An
/// agent that becomes free is asked for a free slot again.
#[test]
fn in_a_confirmed_congestion_openings_wait_at_the_first_agent() {
    let mut balancer = balancer_with(contention_policy(), 3_000, |_| OVERLOADED);
    let mut asked = Vec::new();
    for (port, now) in (1..).zip((3_000..=4_500).step_by(300)) {
        announce(&mut balancer, now, |_| OVERLOADED);
        let actions = open(&mut balancer, now, flow(port));
        asked.push(offered(&actions).map(|offer| offer.admission));
    }
    announce(&mut balancer, 4_800, |agent| if agent == 1 { IDLE } else { OVERLOADED });
    let free = open(&mut balancer, 4_800, flow(100));

    let (idle, in_time) = (Some(Admission::IfIdle), Some(Admission::IfInTime));
    assert_eq!(asked, [idle, idle, idle, in_time, in_time, in_time]);
    assert_eq!(forwarded(&free), Some(host(1)));
    assert_eq!(offered(&free).map(|offer| offer.admission), idle);
}

/// The backlog grows for seconds. Less urgent requests are behind all of it and cannot be answered
/// in time; more urgent ones are served first and must not be refused.
#[test]
fn a_lasting_overload_refuses_the_least_urgent_first() {
    let mut balancer = balancer_with(contention_policy(), 3_000, |_| OVERLOADED);
    let mut refused = [0, 0];
    for (port, now) in (1..).zip((3_000..=8_000).step_by(100)) {
        announce(&mut balancer, now, |_| OVERLOADED);
        let urgent = open(&mut balancer, now, from_other_client(port));
        let less = open(&mut balancer, now, less_urgent(port));
        refused[0] += usize::from(resets(&urgent));
        refused[1] += usize::from(refusal_cause(&less) == Some(Cause::NoRoom));
    }

    assert_eq!(refused[0], 0);
    assert!(refused[1] >= 14, "{refused:?}");
}

/// An opening has been declined for more than a second. A server has become free, and the client
/// still waits for the answer.
#[test]
fn an_opening_past_its_timeout_still_goes_to_a_free_server() {
    let mut balancer = balancer_with(contention_policy(), 3_000, |_| FULL);
    let first = forwarded(&open(&mut balancer, 3_000, flow(1))).expect("an agent accepts the flow");
    let free = if first == host(12) { 11 } else { 12 };
    for now in [3_300, 3_600, 3_900, 4_200] {
        announce(&mut balancer, now, |agent| if agent == free { IDLE } else { FULL });
    }

    let next = decline(&mut balancer, 4_200, first, flow(1), Reason::Late, FULL);

    assert_eq!(forwarded(&next), Some(host(free)));
}

#[test]
fn a_refusal_reports_its_figures() {
    let mut balancer = balancer_with(contention_policy(), 3_000, |_| UNSERVABLE);
    for now in (3_000..=5_100).step_by(300) {
        announce(&mut balancer, now, |_| UNSERVABLE);
        open(&mut balancer, now, from_other_client(1));
    }
    announce(&mut balancer, 5_400, |_| UNSERVABLE);

    let actions = open(&mut balancer, 5_400, flow(1));

    let shortage = actions.iter().find_map(|action| match action {
        Action::Log(Decision::Refused { shortage, .. }) => *shortage,
        _ => None,
    });
    let shortage = shortage.expect("a refusal for lack of room");
    assert_eq!((shortage.servers, shortage.left_ms), (20, DEADLINE_MS));
    assert_eq!((shortage.least_ms, shortage.lasted_ms), (3_000, 2_400));
}

/// A refused caller retries at once. Without an exemption the same balancer refuses it until its
/// attempts are used up, while new callers are served.
#[test]
fn a_retry_after_a_refusal_is_not_refused_again() {
    let mut balancer = balancer_with(contention_policy(), 3_000, |_| UNSERVABLE);
    for now in (3_000..=5_400).step_by(300) {
        announce(&mut balancer, now, |_| UNSERVABLE);
        open(&mut balancer, now, from_other_client(1));
    }
    assert_eq!(refusal_cause(&open(&mut balancer, 5_410, flow(1))), Some(Cause::NoRoom));

    let second = open(&mut balancer, 5_420, flow(2));
    let copy = balancer.handle(at(5_440), Event::Client(opening(flow(2), 1)));
    let third = open(&mut balancer, 5_450, flow(3));

    assert!(offered(&second).is_some_and(|offer| offer.is_retry));
    assert!(offered(&copy).is_some_and(|offer| offer.is_retry));
    assert_eq!(refusal_cause(&third), Some(Cause::NoRoom));
}

/// A refusal after all agents declined also counts as one for lack of room. It exempts one flow of
/// the same caller and route.
#[test]
fn a_refusal_exempts_one_retry_of_its_caller() {
    let mut balancer = balancer_with(contention_policy(), 3_000, |_| FULL);
    let refused = decline_until_refused(&mut balancer, 3_000, flow(1), Reason::Late);
    assert_eq!(refusal_cause(&refused), Some(Cause::AllDeclined));

    let mut is_retry =
        |flow| offered(&open(&mut balancer, 3_010, flow)).is_some_and(|offer| offer.is_retry);

    assert!(!is_retry(from_other_client(2)));
    assert!(!is_retry(less_urgent(2)));
    assert!(is_retry(flow(2)));
    assert!(!is_retry(flow(3)));
}

#[test]
fn no_offer_is_marked_as_retry_where_the_mechanism_is_off() {
    let policy = Policy::without([Mechanism::Room]).under([Condition::Contention]);
    let mut balancer = balancer_with(policy, 3_000, |_| FULL);
    let refused = decline_until_refused(&mut balancer, 3_000, flow(1), Reason::Late);

    let next = open(&mut balancer, 3_010, flow(2));

    assert!(resets(&refused));
    assert_eq!(refusal_cause(&refused), None);
    assert!(offered(&next).is_some_and(|offer| !offer.is_retry));
}

/// Callers from 100,000 addresses are refused within a second, and the balancer's memory is
/// limited.
#[test]
fn memory_of_refused_callers_is_bounded() {
    let mut retries = Retries::default();
    let from = |number: u32| {
        let client = SocketAddrV4::new(Ipv4Addr::from_bits(0x6440_0000 + number), 1_000);
        Flow { client, service: service_address(PORT) }
    };

    for number in 0..100_000 {
        retries.refused(at(u64::from(number) / 100), &from(number));
        assert!(retries.len() <= MAX_CALLERS);
    }

    assert!(!retries.claim(at(1_000), &from(0)));
    assert!(retries.claim(at(1_000), &from(99_999)));
    assert!(!retries.claim(at(1_000), &from(99_999)));
    assert!(!retries.claim(at(1_001 + RETENTION_MS), &from(99_998)));
    assert!(retries.is_empty());
}
