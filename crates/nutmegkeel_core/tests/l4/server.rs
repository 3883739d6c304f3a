use nutmegkeel_core::l4::server::{Beside, Heard};

use crate::fixture::{at, heartbeat};

/// A server crashed behind a cut and another started at its address. The first one's heartbeat was
/// held up and arrives late; believed, it would close the flows of the one that runs.
#[test]
fn a_late_heartbeat_of_an_ended_incarnation_changes_nothing() {
    let mut beside = Beside::open(1_200);
    beside.heartbeat(at(0), &heartbeat("old", 5));
    beside.heartbeat(at(1_000), &heartbeat("new", 1));

    let heard = beside.heartbeat(at(1_500), &heartbeat("old", 6));

    assert_eq!(heard, Heard::Stale);
    assert_eq!(beside.server().map(|server| &*server.id), Some("new"));
}

#[test]
fn a_heartbeat_that_was_overtaken_changes_nothing() {
    let mut beside = Beside::open(1_200);
    let mut draining = heartbeat("a", 7);
    draining.draining = true;
    beside.heartbeat(at(0), &draining);

    let heard = beside.heartbeat(at(100), &heartbeat("a", 6));

    assert_eq!(heard, Heard::Stale);
    assert_eq!(beside.server().map(|server| server.draining), Some(true));
}

#[test]
fn a_server_seen_from_its_first_heartbeat_is_known_whole() {
    let mut beside = Beside::open(1_200);
    beside.heartbeat(at(0), &heartbeat("a", 4));
    let joined_late = beside.server().map(|server| server.seen_from_start);

    beside.heartbeat(at(100), &heartbeat("b", 1));

    assert_eq!(joined_late, Some(false));
    assert_eq!(beside.server().map(|server| server.seen_from_start), Some(true));
}

#[test]
fn deregistering_an_earlier_incarnation_does_not_end_the_present_one() {
    let mut beside = Beside::open(1_200);
    beside.heartbeat(at(0), &heartbeat("old", 1));
    beside.heartbeat(at(100), &heartbeat("new", 1));

    let ended = beside.deregistered("old");

    assert!(!ended);
    assert!(beside.server().is_some());
}
