//! When and from which process a process fetches a configuration.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::fetch::{Holder, Plan};

const FIRST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// Upper bound of the time over which requests of a failure domain spread, in milliseconds.
const SPREAD_MS: u64 = 50;

/// Upper bound of the time lost by a hung call, in milliseconds.
const DOUBT_MS: u64 = 300;

fn at(millis: u64) -> Time {
    Time::ZERO.after(millis)
}

fn requester(number: u8) -> Plan {
    Plan::open(Ipv4Addr::new(10, 0, 1, number))
}

fn holder(address: Ipv4Addr, version: u64) -> Holder {
    Holder { address, version }
}

/// Returns the next call from `since` on, with its time in milliseconds; none if there is none
/// within a second.
fn call(plan: &mut Plan, since: u64) -> Option<(u64, Ipv4Addr)> {
    (since..since + 1_000).find_map(|millis| plan.next(at(millis)).map(|from| (millis, from)))
}

/// Guards against connections that hang because forty processes request a configuration from one
/// delegate in the same millisecond. Requests must spread over time and over both delegates that
/// have it.
#[test]
fn requests_of_a_failure_domain_spread_over_time_and_delegates() {
    let mut times = BTreeSet::new();
    let mut to_first = 0;
    for number in 0..40 {
        let mut plan = requester(number);
        plan.add_holder(at(0), holder(FIRST, 7));
        plan.add_holder(at(0), holder(SECOND, 7));

        let (millis, from) = call(&mut plan, 0).expect("a call is due");

        assert!(millis < SPREAD_MS, "called after {millis} ms");
        times.insert(millis);
        to_first += usize::from(from == FIRST);
    }
    assert!(times.len() > 15, "{times:?}");
    assert!((10..30).contains(&to_first), "{to_first} of 40 called the first");
}

/// Guards against a process that waits until its timeout for a hung connection, although the other
/// delegate has the same configuration.
#[test]
fn a_second_holder_is_called_soon_when_the_first_is_silent() {
    let mut plan = requester(1);
    plan.add_holder(at(0), holder(FIRST, 7));
    plan.add_holder(at(0), holder(SECOND, 7));
    let (first_at, first) = call(&mut plan, 0).expect("a call is due");

    let (second_at, second) = call(&mut plan, first_at).expect("a second call is due");
    plan.finish_call(at(second_at + 5), second, Some(7));

    assert!(second_at - first_at <= DOUBT_MS, "called again after {} ms", second_at - first_at);
    assert_ne!(first, second);
    assert_eq!(call(&mut plan, second_at + 5), None);
}

/// Only one process has the configuration and the connection to it hangs: a new connection may
/// work.
#[test]
fn the_only_holder_is_called_again_on_another_connection() {
    let mut plan = requester(1);
    plan.add_holder(at(0), holder(FIRST, 7));
    let (first_at, _) = call(&mut plan, 0).expect("a call is due");

    let (second_at, second) = call(&mut plan, first_at).expect("a second call is due");

    assert!(second_at - first_at <= DOUBT_MS);
    assert_eq!(second, FIRST);
    assert_eq!(call(&mut plan, second_at), None, "at most two calls are in flight");
}

/// Guards against fetching the same configuration twice when both delegates report it at once,
/// which would load a slow link. A newer one that is reported during the fetch is requested at
/// once.
#[test]
fn an_answer_satisfies_reports_of_its_version_but_not_of_newer_ones() {
    let mut plan = requester(1);
    plan.add_holder(at(0), holder(FIRST, 7));
    let (called, from) = call(&mut plan, 0).expect("a call is due");
    plan.add_holder(at(called), holder(SECOND, 7));
    plan.finish_call(at(called + 5), from, Some(7));
    assert_eq!(plan.due(), None);

    plan.add_holder(at(200), holder(FIRST, 8));
    let (called, from) = call(&mut plan, 200).expect("a call is due");
    plan.add_holder(at(called), holder(SECOND, 9));
    plan.finish_call(at(called + 5), from, Some(8));

    assert_eq!(call(&mut plan, called + 5), Some((called + 5, SECOND)));
}

/// A holder that is stopping refuses the connection. The other one is called at once, and the first
/// not before it reports a newer version again.
#[test]
fn a_refused_call_leads_to_the_other_holder_at_once() {
    let mut plan = requester(1);
    plan.add_holder(at(0), holder(FIRST, 7));
    plan.add_holder(at(0), holder(SECOND, 7));
    let (called, first) = call(&mut plan, 0).expect("a call is due");

    plan.finish_call(at(called + 1), first, None);
    let (again, second) = call(&mut plan, called + 1).expect("the other holder is called");
    plan.finish_call(at(again + 1), second, None);

    assert_eq!(again, called + 1);
    assert_ne!(first, second);
    assert_eq!(plan.due(), None);
    plan.add_holder(at(again + 2), holder(first, 7));
    assert!(call(&mut plan, again + 2).is_some());
}

/// A process that got the configuration from the store before its call was due calls nobody.
#[test]
fn a_configuration_from_the_store_is_not_fetched() {
    let mut plan = requester(1);
    plan.add_holder(at(0), holder(FIRST, 7));

    plan.set_version(7);

    assert_eq!(call(&mut plan, 0), None);
    plan.add_holder(at(0), holder(FIRST, 7));
    assert_eq!(call(&mut plan, 0), None);
}

/// Guards against repeated calls to a holder that reports a version but serves an older one, which
/// would keep it and its slow link busy.
#[test]
fn a_holder_that_returns_an_old_version_is_not_called_again_at_once() {
    let mut plan = requester(1);
    plan.set_version(6);
    plan.add_holder(at(0), holder(FIRST, 7));
    let (called, from) = call(&mut plan, 0).expect("a call is due");

    plan.finish_call(at(called + 1), from, Some(6));

    assert_eq!(call(&mut plan, called + 1), None);
    plan.add_holder(at(called + 500), holder(FIRST, 7));
    assert!(
        call(&mut plan, called + 500).is_some(),
        "it is called when it reports the version again"
    );
}

/// Guards against a copy that is fetched again for good although it cannot be read.
#[test]
fn a_version_that_could_not_be_read_is_not_fetched_again_from_the_same_holder() {
    let mut plan = requester(1);
    plan.add_holder(at(0), holder(FIRST, 7));
    let (called, from) = call(&mut plan, 0).expect("a call is due");

    plan.discard_version(from);
    plan.finish_call(at(called + 1), from, None);
    plan.add_holder(at(called + 500), holder(FIRST, 7));
    let same = call(&mut plan, called + 500);
    plan.add_holder(at(called + 2_000), holder(SECOND, 7));
    let other = call(&mut plan, called + 2_000);
    plan.add_holder(at(called + 4_000), holder(FIRST, 8));
    let newer = call(&mut plan, called + 4_000);

    assert_eq!(same, None);
    assert_eq!(other.map(|(_, from)| from), Some(SECOND));
    assert_eq!(newer.map(|(_, from)| from), Some(FIRST));
}
