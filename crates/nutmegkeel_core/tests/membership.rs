//! Membership under packet loss, partitions, pauses and restarts.

use std::collections::BTreeSet;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::member::{Health, Instance, Record, Rumor};
use nutmegkeel_core::membership::{Action, Membership, Message, Timing};
use nutmegkeel_fake::fleet::{Fleet, address, agent, balancer};

fn fleet_of(balancers: u16, agents: u16, seed: u64) -> Fleet {
    let balancers = (0..balancers).map(balancer);
    let agents = (100..100 + agents).map(|number| agent(number, "intake"));
    Fleet::open(balancers.chain(agents).collect(), seed)
}

/// Guards against separate groups of processes that never find each other: two balancers start at
/// the same time, and an agent joins each of them. No process is alone then, so none joins again.
#[test]
fn separate_groups_find_each_other() {
    // Arrange: two groups that cannot reach each other while they form.
    let mut fleet = fleet_of(2, 4, 1);
    fleet.partitioned = [address(0), address(100), address(101)].into();
    fleet.run_for(3_000);
    assert!(!fleet.has_converged());

    // Act
    fleet.partitioned.clear();
    fleet.run_for(10_000);

    // Assert
    assert!(fleet.has_converged());
}

#[test]
fn processes_discover_each_other_within_seconds() {
    for seed in 0..20 {
        let mut fleet = fleet_of(4, 16, seed);
        fleet.loss_percent = 10;

        fleet.run_for(8_000);

        assert!(fleet.has_full_membership(), "seed {seed}");
        assert_eq!(fleet.declared_dead, [], "seed {seed}");
    }
}

/// Guards against new flows that are placed on a dead agent: its host dies, and all processes must
/// declare it dead soon after their probes go unanswered.
#[test]
fn a_dead_process_is_declared_dead_by_all_within_five_seconds() {
    let mut fleet = fleet_of(4, 16, 2);
    fleet.run_for(8_000);
    assert!(fleet.has_converged());

    fleet.halted.insert(address(103));
    fleet.run_for(5_000);

    assert!(fleet.has_converged());
    assert!(fleet.declared_dead.iter().all(|(_, dead)| *dead == address(103)));
}

/// Guards against resets of all flows of healthy agents after a pause of a balancer: to it, all its
/// probes look unanswered when it resumes.
#[test]
fn a_process_that_resumes_after_a_pause_declares_no_peer_dead() {
    let mut fleet = fleet_of(4, 16, 3);
    fleet.run_for(8_000);

    fleet.halted.insert(address(0));
    fleet.run_for(20_000);
    fleet.declared_dead.clear();
    fleet.halted.remove(&address(0));
    fleet.run_for(10_000);

    let by_the_paused = fleet.declared_dead.iter().filter(|(observer, _)| *observer == address(0));
    assert_eq!(by_the_paused.count(), 0);
    assert!(fleet.has_converged());
}

/// Guards against resets of the flows of a healthy agent: a balancer suspects it and is paused
/// before it receives the refutation. When it resumes, the suspicion must not have timed out.
#[test]
fn a_suspicion_does_not_time_out_while_its_holder_is_paused() {
    let mut fleet = fleet_of(4, 16, 8);
    fleet.run_for(8_000);
    fleet.halted.insert(address(105));
    let observer = loop {
        // The first process that suspects it has an unanswered probe of its own.
        let others = fleet.peers.keys().filter(|peer| **peer != address(105));
        let suspects = others.copied().find(|peer| !fleet.alive(*peer).contains(&address(105)));
        match suspects {
            Some(observer) => break observer,
            None => fleet.run_for(50),
        }
    };

    fleet.halted = [observer].into();
    fleet.run_for(20_000);
    fleet.declared_dead.clear();
    fleet.halted.clear();
    fleet.run_for(10_000);

    assert_eq!(fleet.declared_dead, []);
    assert!(fleet.has_converged());
}

/// Guards against resets of all flows in a failure domain that is partitioned: its balancers
/// receive nothing from the other domains. They must keep their last good view and must not declare
/// any process dead when the partition heals.
#[test]
fn a_partitioned_minority_keeps_its_last_good_view() {
    let mut fleet = fleet_of(6, 12, 4);
    fleet.run_for(8_000);
    let minority = [address(0), address(3), address(100), address(103)];

    fleet.partitioned = minority.into();
    fleet.run_for(30_000);
    fleet.partitioned.clear();
    fleet.run_for(15_000);

    let declared_dead_inside =
        fleet.declared_dead.iter().filter(|(observer, _)| minority.contains(observer));
    assert_eq!(declared_dead_inside.count(), 0);
    assert!(fleet.has_converged());
}

/// Guards against a healthy suspect that is declared dead without another probe: two dead suspects
/// with pending probes must not use up the two probes of each tick.
#[test]
fn suspects_with_pending_probes_do_not_block_probes_of_others() {
    let alive = |number| Rumor { record: agent(number, "intake"), health: Health::Alive };
    let suspect = |number| Rumor { health: Health::Suspect, ..alive(number) };
    let mut membership = Membership::open(balancer(0), Timing::default(), 1);
    let view = (1..6).map(alive).collect();
    membership.receive(Time::ZERO, address(9), Message::Rumors(view));
    let suspects = (1..4).map(suspect).collect();
    membership.receive(Time::ZERO, address(9), Message::Rumors(suspects));

    let mut probed = BTreeSet::new();
    for tick in 1..4 {
        for action in membership.tick(Time::from_millis(tick * 50)) {
            if let Action::Send(to, Message::Ping(_)) = action {
                probed.insert(to);
            }
        }
    }

    assert!(probed.is_superset(&(1..4).map(address).collect()), "{probed:?}");
}

/// Guards against resets of the flows of a healthy agent by a balancer that received a rumor of its
/// death from a partitioned one. Such a rumor must only make the agent suspect.
#[test]
fn a_reported_death_alone_only_causes_suspicion() {
    let record = agent(1, "intake");
    let alive = Rumor { record, health: Health::Alive };
    let dead = Rumor { health: Health::Dead, ..alive.clone() };
    let mut membership = Membership::open(balancer(0), Timing::default(), 1);
    membership.receive(Time::ZERO, address(2), Message::Rumors(vec![alive]));

    let actions = membership.receive(Time::ZERO, address(2), Message::Rumors(vec![dead.clone()]));

    let suspect = Rumor { health: Health::Suspect, ..dead };
    assert_eq!(actions, [Action::Changed(suspect)]);
}

/// Guards against flows that are sent to the wrong instance: a crashed agent is replaced at the
/// same address, and a rumor about the earlier instance arrives late. The later instance must win.
#[test]
fn a_later_instance_replaces_an_earlier_one_everywhere() {
    let mut fleet = fleet_of(4, 8, 5);
    fleet.run_for(8_000);

    let successor = Record { instance: Instance::new(2), ..agent(102, "tracking") };
    fleet.start(successor.clone());
    fleet.run_for(6_000);

    assert!(fleet.has_converged());
    for observer in fleet.peers.keys().filter(|peer| **peer != successor.address) {
        let view = fleet.peers[observer].membership();
        let known = view.living().find(|rumor| rumor.record.address == successor.address);
        assert_eq!(known.map(|rumor| rumor.record.instance), Some(Instance::new(2)));
    }
}

/// Guards against a process that continues to serve after it was replaced: it was paused, and a
/// later instance started at its address. A rumor about that instance must stop it.
#[test]
fn a_replaced_process_stops() {
    let mut fleet = fleet_of(3, 4, 6);
    fleet.run_for(8_000);
    let successor = Record { instance: Instance::new(2), ..agent(101, "intake") };
    fleet.start(successor);
    fleet.run_for(5_000);

    // Act: the earlier instance resumes at the address.
    fleet.start(agent(101, "intake"));
    fleet.run_for(5_000);

    assert!(fleet.superseded.contains(&address(101)));
}
