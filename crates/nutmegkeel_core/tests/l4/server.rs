use nutmegkeel_core::l4::route::Service;
use nutmegkeel_core::l4::server::{Beside, Heard, Incarnation};

use crate::fixture::{at, heartbeat, heartbeat_started_at, incarnation};

/// A server crashed behind a cut and another started at its address. The first one's heartbeat was
/// held up and arrives late; believed, it would close the flows of the one that runs.
#[test]
fn a_late_heartbeat_of_an_ended_incarnation_changes_nothing() {
    let mut beside = Beside::open(1_200);
    beside.heartbeat(at(0), &heartbeat("old", 5));
    beside.heartbeat(at(1_000), &heartbeat("new", 1));

    let heard = beside.heartbeat(at(1_500), &heartbeat("old", 6));

    assert_eq!(heard, Heard::Stale);
    assert_eq!(beside.server().map(|server| &*server.incarnation.id), Some("new"));
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

    let ended = beside.deregistered(&incarnation("old"));

    assert!(!ended);
    assert!(beside.server().is_some());
}

/// A server crashed and started again under its old id. Its counts begin anew, and its flows are gone.
/// Taken for late words of the old start, its heartbeats would be ignored until the old count is
/// passed: clients of its flows hang, and it gets no new ones once the old start counts as gone.
#[test]
fn a_server_back_under_its_old_id_is_a_new_incarnation_with_its_first_heartbeat() {
    let mut beside = Beside::open(1_200);
    beside.heartbeat(at(0), &heartbeat_started_at("a", 5_000, 40));

    let heard = beside.heartbeat(at(900), &heartbeat_started_at("a", 9_000, 1));

    assert_eq!(heard, Heard::Replaced);
    let server = beside.server().expect("a server runs");
    assert_eq!((server.incarnation.started_ms, server.seq), (Some(9_000), 1));
    assert!(server.seen_from_start);
}

/// A heartbeat of the earlier start was held up by a cut and arrives behind the new start's. Its count
/// is higher; believed, it would end the flows of the server that runs.
#[test]
fn a_late_heartbeat_of_the_earlier_start_under_the_same_id_changes_nothing() {
    let mut beside = Beside::open(1_200);
    beside.heartbeat(at(0), &heartbeat_started_at("a", 5_000, 40));
    beside.heartbeat(at(900), &heartbeat_started_at("a", 9_000, 1));

    let heard = beside.heartbeat(at(1_000), &heartbeat_started_at("a", 5_000, 41));

    assert_eq!(heard, Heard::Stale);
    assert_eq!(beside.server().and_then(|server| server.incarnation.started_ms), Some(9_000));
}

/// The agent has restarted and never heard the earlier start. Several of its heartbeats were held up and
/// come at once, the server that runs goes on with its own.
#[test]
fn late_heartbeats_of_an_earlier_start_never_heard_of_change_nothing() {
    let mut beside = Beside::open(1_200);
    beside.heartbeat(at(0), &heartbeat_started_at("a", 9_000, 3));

    let first = beside.heartbeat(at(600), &heartbeat_started_at("a", 5_000, 40));
    let second = beside.heartbeat(at(610), &heartbeat_started_at("a", 5_000, 41));
    let present = beside.heartbeat(at(1_200), &heartbeat_started_at("a", 9_000, 4));
    let third = beside.heartbeat(at(1_800), &heartbeat_started_at("a", 5_000, 42));

    assert_eq!((first, second), (Heard::Contested, Heard::Contested));
    assert_eq!((present, third), (Heard::Same, Heard::Contested));
    assert_eq!(beside.server().and_then(|server| server.incarnation.started_ms), Some(9_000));
}

/// The host's time of day was set back before the server started again, so the new start has the
/// smaller number. It must be believed within two seconds.
#[test]
fn a_start_while_the_clock_is_set_back_is_believed_with_its_second_heartbeat() {
    let mut beside = Beside::open(1_200);
    beside.heartbeat(at(0), &heartbeat_started_at("a", 9_000, 40));

    let first = beside.heartbeat(at(500), &heartbeat_started_at("a", 7_000, 1));
    let second = beside.heartbeat(at(1_600), &heartbeat_started_at("a", 7_000, 2));

    assert_eq!((first, second), (Heard::Contested, Heard::Replaced));
    assert_eq!(beside.server().and_then(|server| server.incarnation.started_ms), Some(7_000));
}

/// Something else writes a heartbeat of a service that this host's server is not of. The server goes on;
/// believed, the word would end its flows and keep it without new ones until the writer is silent.
#[test]
fn one_word_of_another_service_does_not_replace_a_server_that_goes_on() {
    let mut beside = Beside::open(1_200);
    beside.heartbeat(at(0), &heartbeat("a", 3));
    let mut foreign = heartbeat("x", 1);
    foreign.service = Service::named("elsewhere");

    let heard = beside.heartbeat(at(600), &foreign);
    let contested = beside.is_contested();
    beside.heartbeat(at(1_200), &heartbeat("a", 4));

    assert_eq!((heard, contested), (Heard::Contested, true));
    assert!(!beside.is_contested());
    assert_eq!(beside.server().map(|server| &*server.incarnation.id), Some("a"));
}

/// The farewell of the earlier start was held up; the server that runs has the same id.
#[test]
fn the_farewell_of_an_earlier_start_does_not_end_the_present_one() {
    let mut beside = Beside::open(1_200);
    beside.heartbeat(at(0), &heartbeat_started_at("a", 9_000, 1));
    let earlier = Incarnation { id: "a".into(), started_ms: Some(5_000) };
    let present = Incarnation { id: "a".into(), started_ms: Some(9_000) };

    assert!(!beside.deregistered(&earlier));
    assert!(beside.deregistered(&present));
}

/// A clerk's request on a flow that is gone waits for seconds after a loss of power. The server started a
/// moment before its agent, sent two heartbeats that nobody took, and the agent, which hears the third, is
/// not sure of what the server holds, though nobody can have passed a flow on to it.
#[test]
fn a_server_whose_first_heartbeats_nobody_took_is_known_whole() {
    let mut beside = Beside::open(1_200);

    beside.heartbeat(at(9_240), &heartbeat_started_at("a", 9_000, 3));

    assert_eq!(beside.server().map(|server| server.seen_from_start), Some(true));
}

/// A feed breaks off with a reset because its server's agent, which has just been replaced, says that the
/// flow is not here: the one before had acknowledged the server's first heartbeat and passed the flow on.
#[test]
fn a_server_that_another_process_may_have_heard_is_not_known_whole() {
    let after_a_pause = heartbeat_started_at("a", 9_000, 2);
    let by_a_clock_set_back = heartbeat_started_at("a", 12_000, 2);
    let of_unknown_start = heartbeat("a", 2);

    for beat in [after_a_pause, by_a_clock_set_back, of_unknown_start] {
        let mut beside = Beside::open(1_200);
        beside.heartbeat(at(10_080), &beat);

        let known_whole = beside.server().map(|server| server.seen_from_start);
        assert_eq!(known_whole, Some(false), "{beat:?}");
    }
}
