//! Spread of configuration changes to all processes.

use nutmegkeel_core::balancer::{Balancer, Event};
use nutmegkeel_core::class::Target;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::configuration::{Entry, Revision, Standing, Table};
use nutmegkeel_core::membership::Timing;
use nutmegkeel_core::peer::{Body, Message};
use nutmegkeel_core::placement::Rule;
use nutmegkeel_fake::fleet::{Fleet, address, balancer};
use quickcheck::{Gen, QuickCheck};

fn entry(revision: u64) -> Entry {
    let target = Target { leave_within_ms: 1_000 + revision, ..Target::default() };
    Entry { name: "intake".into(), revision: Revision(revision), target: Some(target) }
}

fn in_force(fleet: &Fleet, revision: u64) -> usize {
    fleet
        .peers
        .values()
        .filter(|peer| peer.configuration().revision() == Revision(revision))
        .count()
}

/// Guards against a change that is in force on one balancer only: the platform becomes unavailable
/// right after it accepted the change, so the other balancers must get it from peers.
#[test]
fn a_change_reaches_all_balancers_without_the_platform() {
    for seed in 0..5 {
        let mut fleet = Fleet::open((0..40).map(balancer).collect(), seed);
        fleet.run_for(8_000);
        fleet.loss_percent = 10;

        fleet.learn(address(7), entry(1));
        fleet.run_for(3_000);

        assert_eq!(in_force(&fleet, 1), 40, "seed {seed}");
    }
}

/// Guards against a balancer that keeps the old target because it was paused during a change.
#[test]
fn a_paused_balancer_catches_up() {
    let mut fleet = Fleet::open((0..10).map(balancer).collect(), 1);
    fleet.run_for(8_000);
    fleet.halted.insert(address(3));
    fleet.learn(address(7), entry(1));
    fleet.run_for(20_000);

    fleet.halted.remove(&address(3));
    fleet.run_for(5_000);

    assert_eq!(in_force(&fleet, 1), 10);
}

/// Guards against a new balancer that serves without targets because the platform is unavailable
/// when it starts.
#[test]
fn a_new_balancer_gets_the_configuration_from_its_peers() {
    let mut fleet = Fleet::open((0..5).map(balancer).collect(), 1);
    fleet.run_for(8_000);
    fleet.learn(address(1), entry(9));
    fleet.run_for(2_000);

    fleet.start(balancer(20));
    fleet.run_for(3_000);

    assert_eq!(in_force(&fleet, 9), 6);
}

fn open_balancer() -> Balancer {
    Balancer::open(balancer(1), Timing::default(), Rule::LoadedRendezvous, 1)
}

/// Returns a message from a balancer that has this revision, without the entry itself.
fn message_with_revision(revision: u64) -> Event {
    let join = nutmegkeel_core::membership::Message::Join(balancer(2));
    let body = Body::Membership(join);
    Event::Message(address(2), Message { revision: Revision(revision), body })
}

/// Guards against an operator who creates a class a second time: a balancer that just started, and
/// has not read the platform yet, must not report that the class does not exist.
#[test]
fn a_balancer_that_has_not_read_the_platform_does_not_know_the_classes() {
    let mut balancer = open_balancer();
    assert_eq!(balancer.standing(), Standing::Unknown);

    balancer.handle(Time::ZERO, Event::Read(Vec::new()));

    assert_eq!(balancer.standing(), Standing::Current);
}

/// Guards against a balancer that reports a new class as missing: it has received the new revision
/// number in a message, but not the entry yet.
#[test]
fn a_balancer_that_received_a_newer_revision_number_is_behind() {
    let mut balancer = open_balancer();
    balancer.handle(Time::ZERO, Event::Read(Vec::new()));
    balancer.handle(Time::ZERO, message_with_revision(7));
    assert_eq!(balancer.standing(), Standing::Behind(Revision(7)));

    balancer.handle(Time::ZERO, Event::Accepted(entry(7)));

    assert_eq!(balancer.standing(), Standing::Current);
}

/// Checks that a target never reverts to an earlier change whose message arrives late.
fn never_reverts(revisions: Vec<u8>) -> bool {
    let mut table = Table::default();
    let mut greatest = 0;
    revisions.iter().all(|revision| {
        let revision = u64::from(*revision);
        table.apply(entry(revision));
        greatest = greatest.max(revision);
        let expected = (greatest > 0).then(|| 1_000 + greatest);
        table.target("intake").map(|target| target.leave_within_ms) == expected
    })
}

#[test]
fn entries_in_any_order_never_revert_a_target() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(50, 3)).tests(500);
    check.quickcheck(never_reverts as fn(Vec<u8>) -> bool);
}
