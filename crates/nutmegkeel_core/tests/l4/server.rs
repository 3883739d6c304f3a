use nutmegkeel_core::l4::route::Service;
use nutmegkeel_core::l4::server::{History, Incarnation, Update};

use crate::fixture::{at, heartbeat, heartbeat_of, incarnation};

/// Guards against the reset of flows of a running server: the server before it at this address
/// crashed during a partition, and a heartbeat of that server arrives late.
#[test]
fn a_late_heartbeat_of_an_ended_incarnation_changes_nothing() {
    let mut beside = History::open(1_200);
    beside.heartbeat(at(0), &heartbeat("old", 5));
    beside.heartbeat(at(1_000), &heartbeat("new", 1));

    let heard = beside.heartbeat(at(1_500), &heartbeat("old", 6));

    assert_eq!(heard, Update::Stale);
    assert_eq!(beside.server().map(|server| &*server.incarnation.id), Some("new"));
}

#[test]
fn a_heartbeat_that_was_overtaken_changes_nothing() {
    let mut beside = History::open(1_200);
    let mut draining = heartbeat("a", 7);
    draining.draining = true;
    beside.heartbeat(at(0), &draining);

    let heard = beside.heartbeat(at(100), &heartbeat("a", 6));

    assert_eq!(heard, Update::Stale);
    assert_eq!(beside.server().map(|server| server.draining), Some(true));
}

#[test]
fn a_server_seen_from_its_first_heartbeat_is_known_whole() {
    let mut beside = History::open(1_200);
    beside.heartbeat(at(0), &heartbeat("a", 4));
    let joined_late = beside.server().map(|server| server.seen_from_start);

    beside.heartbeat(at(100), &heartbeat("b", 1));

    assert_eq!(joined_late, Some(false));
    assert_eq!(beside.server().map(|server| server.seen_from_start), Some(true));
}

#[test]
fn deregistering_an_earlier_incarnation_does_not_end_the_present_one() {
    let mut beside = History::open(1_200);
    beside.heartbeat(at(0), &heartbeat("old", 1));
    beside.heartbeat(at(100), &heartbeat("new", 1));

    let ended = beside.deregistered(&incarnation("old"));

    assert!(!ended);
    assert!(beside.server().is_some());
}

/// Guards against ignoring a server that restarts with its old id: its sequence numbers start
/// again, so its heartbeats look delayed. Clients of its earlier flows would wait, and it would get
/// no new flows.
#[test]
fn a_server_back_under_its_old_id_is_a_new_incarnation_with_its_first_heartbeat() {
    let mut beside = History::open(1_200);
    beside.heartbeat(at(0), &heartbeat_of("a", 5_000, 40));

    let heard = beside.heartbeat(at(900), &heartbeat_of("a", 9_000, 1));

    assert_eq!(heard, Update::Replaced);
    let server = beside.server().expect("a server runs");
    assert_eq!((server.incarnation.started_ms, server.seq), (Some(9_000), 1));
    assert!(server.seen_from_start);
}

/// Guards against the reset of flows of a running server: a partition delayed a heartbeat of its
/// earlier start, which has a higher sequence number.
#[test]
fn a_late_heartbeat_of_the_earlier_start_under_the_same_id_changes_nothing() {
    let mut beside = History::open(1_200);
    beside.heartbeat(at(0), &heartbeat_of("a", 5_000, 40));
    beside.heartbeat(at(900), &heartbeat_of("a", 9_000, 1));

    let heard = beside.heartbeat(at(1_000), &heartbeat_of("a", 5_000, 41));

    assert_eq!(heard, Update::Stale);
    assert_eq!(beside.server().and_then(|server| server.incarnation.started_ms), Some(9_000));
}

/// A restarted agent does not know the earlier start. Several of its delayed heartbeats arrive at
/// once, while the running server sends its own.
#[test]
fn late_heartbeats_of_an_earlier_start_never_heard_of_change_nothing() {
    let mut beside = History::open(1_200);
    beside.heartbeat(at(0), &heartbeat_of("a", 9_000, 3));

    let first = beside.heartbeat(at(600), &heartbeat_of("a", 5_000, 40));
    let second = beside.heartbeat(at(610), &heartbeat_of("a", 5_000, 41));
    let present = beside.heartbeat(at(1_200), &heartbeat_of("a", 9_000, 4));
    let third = beside.heartbeat(at(1_800), &heartbeat_of("a", 5_000, 42));

    assert_eq!((first, second), (Update::Contested, Update::Contested));
    assert_eq!((present, third), (Update::Unchanged, Update::Contested));
    assert_eq!(beside.server().and_then(|server| server.incarnation.started_ms), Some(9_000));
}

/// The host's clock was set back before the server restarted, so the new start time is the earlier
/// one. The new start must be accepted within two seconds.
#[test]
fn a_start_while_the_clock_is_set_back_is_believed_with_its_second_heartbeat() {
    let mut beside = History::open(1_200);
    beside.heartbeat(at(0), &heartbeat_of("a", 9_000, 40));

    let first = beside.heartbeat(at(500), &heartbeat_of("a", 7_000, 1));
    let second = beside.heartbeat(at(1_600), &heartbeat_of("a", 7_000, 2));

    assert_eq!((first, second), (Update::Contested, Update::Replaced));
    assert_eq!(beside.server().and_then(|server| server.incarnation.started_ms), Some(7_000));
}

/// Guards against the loss of a running server's flows when an unrelated process sends a heartbeat
/// of another service.
#[test]
fn one_word_of_another_service_does_not_replace_a_server_that_goes_on() {
    let mut beside = History::open(1_200);
    beside.heartbeat(at(0), &heartbeat("a", 3));
    let mut foreign = heartbeat("x", 1);
    foreign.service = Service::named("elsewhere");

    let heard = beside.heartbeat(at(600), &foreign);
    let contested = beside.is_contested();
    beside.heartbeat(at(1_200), &heartbeat("a", 4));

    assert_eq!((heard, contested), (Update::Contested, true));
    assert!(!beside.is_contested());
    assert_eq!(beside.server().map(|server| &*server.incarnation.id), Some("a"));
}

/// A deregistration of the earlier start was delayed; the running server has the same id.
#[test]
fn the_farewell_of_an_earlier_start_does_not_end_the_present_one() {
    let mut beside = History::open(1_200);
    beside.heartbeat(at(0), &heartbeat_of("a", 9_000, 1));
    let earlier = Incarnation { id: "a".into(), started_ms: Some(5_000) };
    let present = Incarnation { id: "a".into(), started_ms: Some(9_000) };

    assert!(!beside.deregistered(&earlier));
    assert!(beside.deregistered(&present));
}

/// Guards against clients of lost flows that wait for seconds after a power loss: the server
/// started shortly before its agent, which received only its third heartbeat. No earlier process
/// can have received the others.
#[test]
fn a_server_whose_first_heartbeats_nobody_took_is_known_whole() {
    let mut beside = History::open(1_200);

    beside.heartbeat(at(9_240), &heartbeat_of("a", 9_000, 3));

    assert_eq!(beside.server().map(|server| server.seen_from_start), Some(true));
}

/// Guards against the reset of an open flow by a replaced agent: the earlier process had received
/// the server's first heartbeat and forwarded the flow to it.
#[test]
fn a_server_that_another_process_may_have_heard_is_not_known_whole() {
    let after_a_pause = heartbeat_of("a", 9_000, 2);
    let by_a_clock_set_back = heartbeat_of("a", 12_000, 2);
    let of_unknown_start = heartbeat("a", 2);

    for beat in [after_a_pause, by_a_clock_set_back, of_unknown_start] {
        let mut beside = History::open(1_200);
        beside.heartbeat(at(10_080), &beat);

        let known_whole = beside.server().map(|server| server.seen_from_start);
        assert_eq!(known_whole, Some(false), "{beat:?}");
    }
}
