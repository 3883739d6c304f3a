//! From whom a process fetches a configuration, and when.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::fetch::{Holder, Plan};

const FIRST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// Askers of a failure domain spread over less than this, in milliseconds.
const SPREAD_MS: u64 = 50;

/// A hung call costs no more than this, in milliseconds.
const DOUBT_MS: u64 = 300;

fn at(millis: u64) -> Time {
    Time::ZERO.after(millis)
}

fn asker(number: u8) -> Plan {
    Plan::open(Ipv4Addr::new(10, 0, 1, number))
}

fn holder(address: Ipv4Addr, version: u64) -> Holder {
    Holder { address, version }
}

/// The next call from `since` on, with its time in milliseconds; none if there is none within a second.
fn call(plan: &mut Plan, since: u64) -> Option<(u64, Ipv4Addr)> {
    (since..since + 1_000).find_map(|millis| plan.next(at(millis)).map(|from| (millis, from)))
}

/// A delegate told all of its failure domain of a configuration, and forty processes asked it in the same
/// millisecond: connections hung, and some had the configuration a second later. They must come one after the
/// other, and part between the two delegates that have it.
#[test]
fn the_askers_of_a_failure_domain_spread_over_time_and_delegates() {
    let mut times = BTreeSet::new();
    let mut of_first = 0;
    for number in 0..40 {
        let mut plan = asker(number);
        plan.told(at(0), holder(FIRST, 7));
        plan.told(at(0), holder(SECOND, 7));

        let (millis, from) = call(&mut plan, 0).expect("it asks");

        assert!(millis < SPREAD_MS, "asked after {millis} ms");
        times.insert(millis);
        of_first += usize::from(from == FIRST);
    }
    assert!(times.len() > 15, "{times:?}");
    assert!((10..30).contains(&of_first), "{of_first} of 40 asked the first");
}

/// The connection to the one delegate hung, and the process waited for it until its timeout although the
/// other delegate had the same text. The other is asked soon, and its answer ends the search.
#[test]
fn a_second_holder_is_asked_soon_when_the_first_is_silent() {
    let mut plan = asker(1);
    plan.told(at(0), holder(FIRST, 7));
    plan.told(at(0), holder(SECOND, 7));
    let (first_at, first) = call(&mut plan, 0).expect("it asks");

    let (second_at, second) = call(&mut plan, first_at).expect("it asks again");
    plan.ended(at(second_at + 5), second, Some(7));

    assert!(second_at - first_at <= DOUBT_MS, "asked again after {} ms", second_at - first_at);
    assert_ne!(first, second);
    assert_eq!(call(&mut plan, second_at + 5), None);
}

/// Only one process has the configuration, and the connection to it hung: a fresh one may not.
#[test]
fn the_only_holder_is_asked_again_on_another_connection() {
    let mut plan = asker(1);
    plan.told(at(0), holder(FIRST, 7));
    let (first_at, _) = call(&mut plan, 0).expect("it asks");

    let (second_at, second) = call(&mut plan, first_at).expect("it asks again");

    assert!(second_at - first_at <= DOUBT_MS);
    assert_eq!(second, FIRST);
    assert_eq!(call(&mut plan, second_at), None, "two calls are under way at most");
}

/// Both delegates tell of a change in the same moment. One text is enough: a second fetch of the same one
/// only keeps a narrow link busy. Of a newer one the process hears while it fetches, and asks at once.
#[test]
fn an_answer_serves_for_all_that_told_of_it_and_not_for_newer_ones() {
    let mut plan = asker(1);
    plan.told(at(0), holder(FIRST, 7));
    let (asked, from) = call(&mut plan, 0).expect("it asks");
    plan.told(at(asked), holder(SECOND, 7));
    plan.ended(at(asked + 5), from, Some(7));
    assert_eq!(plan.due(), None);

    plan.told(at(200), holder(FIRST, 8));
    let (asked, from) = call(&mut plan, 200).expect("it asks");
    plan.told(at(asked), holder(SECOND, 9));
    plan.ended(at(asked + 5), from, Some(8));

    assert_eq!(call(&mut plan, asked + 5), Some((asked + 5, SECOND)));
}

/// A holder refuses the connection because it is stopping: the other one is asked at once, and one that
/// refused is not asked until it says again that it has something newer.
#[test]
fn a_refused_call_leads_to_the_other_holder_at_once() {
    let mut plan = asker(1);
    plan.told(at(0), holder(FIRST, 7));
    plan.told(at(0), holder(SECOND, 7));
    let (asked, first) = call(&mut plan, 0).expect("it asks");

    plan.ended(at(asked + 1), first, None);
    let (again, second) = call(&mut plan, asked + 1).expect("it asks the other");
    plan.ended(at(again + 1), second, None);

    assert_eq!(again, asked + 1);
    assert_ne!(first, second);
    assert_eq!(plan.due(), None);
    plan.told(at(again + 2), holder(first, 7));
    assert!(call(&mut plan, again + 2).is_some());
}

/// The text came from the store while a process waited for its turn to ask: it needs to ask nobody.
#[test]
fn what_came_another_way_is_not_asked_for() {
    let mut plan = asker(1);
    plan.told(at(0), holder(FIRST, 7));

    plan.hold(7);

    assert_eq!(call(&mut plan, 0), None);
    plan.told(at(0), holder(FIRST, 7));
    assert_eq!(call(&mut plan, 0), None);
}

/// A holder says that it has a version and serves an older text. Called again at once for as long as it says so,
/// it and its narrow link would be kept busy for nothing.
#[test]
fn a_holder_that_brings_nothing_new_is_not_called_again_at_once() {
    let mut plan = asker(1);
    plan.hold(6);
    plan.told(at(0), holder(FIRST, 7));
    let (asked, from) = call(&mut plan, 0).expect("it asks");

    plan.ended(at(asked + 1), from, Some(6));

    assert_eq!(call(&mut plan, asked + 1), None);
    plan.told(at(asked + 500), holder(FIRST, 7));
    assert!(call(&mut plan, asked + 500).is_some(), "it is called when it says so again");
}
