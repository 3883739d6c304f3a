use nutmegkeel_core::l4::route::Service;
use nutmegkeel_core::l4::server::{History, Incarnation, Update};

use crate::fixture::{at, heartbeat, heartbeat_started_at, incarnation};

/// Guards against the reset of flows of a running server: the server before it at this address
/// crashed during a partition, and a heartbeat of that server arrives late.
#[test]
fn a_delayed_heartbeat_of_an_ended_incarnation_changes_nothing() {
    let mut history = History::open(1_200);
    history.heartbeat(at(0), &heartbeat("old", 5));
    history.heartbeat(at(1_000), &heartbeat("new", 1));

    let update = history.heartbeat(at(1_500), &heartbeat("old", 6));

    assert_eq!(update, Update::Stale);
    assert_eq!(history.server().map(|server| &*server.incarnation.id), Some("new"));
}

#[test]
fn a_reordered_heartbeat_changes_nothing() {
    let mut history = History::open(1_200);
    let mut draining = heartbeat("a", 7);
    draining.draining = true;
    history.heartbeat(at(0), &draining);

    let update = history.heartbeat(at(100), &heartbeat("a", 6));

    assert_eq!(update, Update::Stale);
    assert_eq!(history.server().map(|server| server.draining), Some(true));
}

#[test]
fn a_server_with_a_received_first_heartbeat_is_seen_from_start() {
    let mut history = History::open(1_200);
    history.heartbeat(at(0), &heartbeat("a", 4));
    let joined_late = history.server().map(|server| server.seen_from_start);

    history.heartbeat(at(100), &heartbeat("b", 1));

    assert_eq!(joined_late, Some(false));
    assert_eq!(history.server().map(|server| server.seen_from_start), Some(true));
}

#[test]
fn deregistering_an_earlier_incarnation_does_not_end_the_current_one() {
    let mut history = History::open(1_200);
    history.heartbeat(at(0), &heartbeat("old", 1));
    history.heartbeat(at(100), &heartbeat("new", 1));

    let ended = history.deregistered(&incarnation("old"));

    assert!(!ended);
    assert!(history.server().is_some());
}

/// Guards against ignoring a server that restarts with its old id: its sequence numbers start
/// again, so its heartbeats look delayed. Clients of its earlier flows would wait, and it would get
/// no new flows.
#[test]
fn a_server_that_restarts_with_its_old_id_is_a_new_incarnation_at_once() {
    let mut history = History::open(1_200);
    history.heartbeat(at(0), &heartbeat_started_at("a", 5_000, 40));

    let update = history.heartbeat(at(900), &heartbeat_started_at("a", 9_000, 1));

    assert_eq!(update, Update::Replaced);
    let server = history.server().expect("a server runs");
    assert_eq!((server.incarnation.started_ms, server.seq), (Some(9_000), 1));
    assert!(server.seen_from_start);
}

/// Guards against the reset of flows of a running server: a partition delayed a heartbeat of its
/// earlier start, which has a higher sequence number.
#[test]
fn a_delayed_heartbeat_of_an_earlier_start_with_the_same_id_changes_nothing() {
    let mut history = History::open(1_200);
    history.heartbeat(at(0), &heartbeat_started_at("a", 5_000, 40));
    history.heartbeat(at(900), &heartbeat_started_at("a", 9_000, 1));

    let update = history.heartbeat(at(1_000), &heartbeat_started_at("a", 5_000, 41));

    assert_eq!(update, Update::Stale);
    assert_eq!(history.server().and_then(|server| server.incarnation.started_ms), Some(9_000));
}

/// A restarted agent does not know the earlier start. Several of its delayed heartbeats arrive at
/// once, while the running server sends its own.
#[test]
fn delayed_heartbeats_of_an_unknown_earlier_start_change_nothing() {
    let mut history = History::open(1_200);
    history.heartbeat(at(0), &heartbeat_started_at("a", 9_000, 3));

    let first = history.heartbeat(at(600), &heartbeat_started_at("a", 5_000, 40));
    let second = history.heartbeat(at(610), &heartbeat_started_at("a", 5_000, 41));
    let current = history.heartbeat(at(1_200), &heartbeat_started_at("a", 9_000, 4));
    let third = history.heartbeat(at(1_800), &heartbeat_started_at("a", 5_000, 42));

    assert_eq!((first, second), (Update::Contested, Update::Contested));
    assert_eq!((current, third), (Update::Unchanged, Update::Contested));
    assert_eq!(history.server().and_then(|server| server.incarnation.started_ms), Some(9_000));
}

/// The host's clock was set back before the server restarted, so the new start time is the earlier
/// one. The new start must be accepted within two seconds.
#[test]
fn a_start_after_the_clock_was_set_back_is_accepted_with_its_second_heartbeat() {
    let mut history = History::open(1_200);
    history.heartbeat(at(0), &heartbeat_started_at("a", 9_000, 40));

    let first = history.heartbeat(at(500), &heartbeat_started_at("a", 7_000, 1));
    let second = history.heartbeat(at(1_600), &heartbeat_started_at("a", 7_000, 2));

    assert_eq!((first, second), (Update::Contested, Update::Replaced));
    assert_eq!(history.server().and_then(|server| server.incarnation.started_ms), Some(7_000));
}

/// Guards against the loss of a running server's flows when an unrelated process sends a heartbeat
/// of another service.
#[test]
fn one_heartbeat_of_another_service_does_not_replace_a_running_server() {
    let mut history = History::open(1_200);
    history.heartbeat(at(0), &heartbeat("a", 3));
    let mut foreign = heartbeat("x", 1);
    foreign.service = Service::named("elsewhere");

    let update = history.heartbeat(at(600), &foreign);
    let contested = history.is_contested();
    history.heartbeat(at(1_200), &heartbeat("a", 4));

    assert_eq!((update, contested), (Update::Contested, true));
    assert!(!history.is_contested());
    assert_eq!(history.server().map(|server| &*server.incarnation.id), Some("a"));
}

/// A deregistration of the earlier start was delayed; the running server has the same id.
#[test]
fn a_delayed_deregistration_does_not_end_the_current_incarnation() {
    let mut history = History::open(1_200);
    history.heartbeat(at(0), &heartbeat_started_at("a", 9_000, 1));
    let earlier = Incarnation { id: "a".into(), started_ms: Some(5_000) };
    let current = Incarnation { id: "a".into(), started_ms: Some(9_000) };

    assert!(!history.deregistered(&earlier));
    assert!(history.deregistered(&current));
}

/// Guards against clients of lost flows that wait for seconds after a power loss: the server
/// started shortly before its agent, which received only its third heartbeat. No earlier process
/// can have received the others.
#[test]
fn a_server_whose_first_heartbeats_were_lost_is_seen_from_start() {
    let mut history = History::open(1_200);

    history.heartbeat(at(9_240), &heartbeat_started_at("a", 9_000, 3));

    assert_eq!(history.server().map(|server| server.seen_from_start), Some(true));
}

/// Guards against the reset of an open flow by a replaced agent: the earlier process had received
/// the server's first heartbeat and forwarded the flow to it.
#[test]
fn a_server_that_an_earlier_process_may_have_seen_is_not_seen_from_start() {
    let after_a_pause = heartbeat_started_at("a", 9_000, 2);
    let by_a_clock_set_back = heartbeat_started_at("a", 12_000, 2);
    let of_unknown_start = heartbeat("a", 2);

    for beat in [after_a_pause, by_a_clock_set_back, of_unknown_start] {
        let mut history = History::open(1_200);
        history.heartbeat(at(10_080), &beat);

        let seen_from_start = history.server().map(|server| server.seen_from_start);
        assert_eq!(seen_from_start, Some(false), "{beat:?}");
    }
}
