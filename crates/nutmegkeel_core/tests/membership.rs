//! Membership under loss, islands, freezes, cuts and restarts.

use std::collections::BTreeSet;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::member::{Health, Instance, Record, Rumor};
use nutmegkeel_core::membership::{Action, Membership, Message, Pace};
use nutmegkeel_fake::fleet::{Fleet, address, agent, balancer};

fn fleet_of(balancers: u16, agents: u16, seed: u64) -> Fleet {
    let balancers = (0..balancers).map(balancer);
    let agents = (100..100 + agents).map(|number| agent(number, "intake"));
    Fleet::open(balancers.chain(agents).collect(), seed)
}

/// A caller's feed stays silent because its agent knows only a balancer that died.
/// Two balancers start at the same time; an agent joins by each of them before they meet.
/// Nobody is alone any more, so nobody joins again, and the two groups never hear of each other.
#[test]
fn groups_that_formed_apart_meet() {
    // Arrange: two groups that hear nothing of each other while they form.
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
fn a_fleet_finds_itself_within_seconds() {
    for seed in 0..20 {
        let mut fleet = fleet_of(4, 16, seed);
        fleet.loss_percent = 10;

        fleet.run_for(8_000);

        assert!(fleet.has_full_membership(), "seed {seed}");
        assert_eq!(fleet.declared_dead, [], "seed {seed}");
    }
}

/// New flows go to a dead backend server's agent for as long as balancers believe it alive.
/// The agent's host dies; probes by two balancers stay unanswered; suspicion runs out.
#[test]
fn a_dead_process_is_given_up_by_all_within_five_seconds() {
    let mut fleet = fleet_of(4, 16, 2);
    fleet.run_for(8_000);
    assert!(fleet.has_converged());

    fleet.halted.insert(address(103));
    fleet.run_for(5_000);

    assert!(fleet.has_converged());
    assert!(fleet.declared_dead.iter().all(|(_, dead)| *dead == address(103)));
}

/// Every flow of a healthy agent is reset because a balancer that was frozen wakes and gives up
/// everybody: to it, all probes look unanswered. The cause is that its clock jumped, not theirs.
#[test]
fn a_frozen_process_that_wakes_gives_nobody_up() {
    let mut fleet = fleet_of(4, 16, 3);
    fleet.run_for(8_000);

    fleet.halted.insert(address(0));
    fleet.run_for(20_000);
    fleet.declared_dead.clear();
    fleet.halted.remove(&address(0));
    fleet.run_for(10_000);

    let by_the_frozen = fleet.declared_dead.iter().filter(|(observer, _)| *observer == address(0));
    assert_eq!(by_the_frozen.count(), 0);
    assert!(fleet.has_converged());
}

/// A healthy agent's flows are reset: a balancer suspected it, was frozen before it heard the
/// refutation, and on waking finds the suspicion long run out. It must wait anew first.
#[test]
fn a_suspicion_does_not_run_out_while_its_holder_is_frozen() {
    let mut fleet = fleet_of(4, 16, 8);
    fleet.run_for(8_000);
    fleet.halted.insert(address(105));
    let observer = loop {
        // The first to suspect it met the silence itself.
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

/// A whole failure domain's feeds are reset although its servers are well: the balancers in a
/// domain that is cut off stop hearing from everybody else and give all of them up.
/// The cut side must keep its last good view, and when the cut heals nobody inside may be given up
/// by suspicions that ran out meanwhile.
#[test]
fn a_cut_off_minority_keeps_its_last_good_view() {
    let mut fleet = fleet_of(6, 12, 4);
    fleet.run_for(8_000);
    let minority = [address(0), address(3), address(100), address(103)];

    fleet.partitioned = minority.into();
    fleet.run_for(30_000);
    fleet.partitioned.clear();
    fleet.run_for(15_000);

    let given_up_inside =
        fleet.declared_dead.iter().filter(|(observer, _)| minority.contains(observer));
    assert_eq!(given_up_inside.count(), 0);
    assert!(fleet.has_converged());
}

/// A healthy suspect is given up though it would answer: two dead ones before it, which are asked
/// already, take the two places of every tick, and it is never asked again.
#[test]
fn suspects_that_are_asked_already_keep_no_other_from_being_asked() {
    let alive = |number| Rumor { record: agent(number, "intake"), health: Health::Alive };
    let suspect = |number| Rumor { health: Health::Suspect, ..alive(number) };
    let mut membership = Membership::open(balancer(0), Pace::default(), 1);
    let view = (1..6).map(alive).collect();
    membership.receive(Time::ZERO, address(9), Message::News(view));
    let suspects = (1..4).map(suspect).collect();
    membership.receive(Time::ZERO, address(9), Message::News(suspects));

    let mut asked = BTreeSet::new();
    for tick in 1..4 {
        for action in membership.tick(Time::from_millis(tick * 50)) {
            if let Action::Send(to, Message::Ping(_)) = action {
                asked.insert(to);
            }
        }
    }

    assert!(asked.is_superset(&(1..4).map(address).collect()), "{asked:?}");
}

/// A healthy agent's flows are reset by a balancer that only heard of its death from another one,
/// which was cut off from it. Word of a death makes suspect and no more.
#[test]
fn word_of_a_death_alone_gives_nobody_up() {
    let record = agent(1, "intake");
    let alive = Rumor { record, health: Health::Alive };
    let dead = Rumor { health: Health::Dead, ..alive.clone() };
    let mut membership = Membership::open(balancer(0), Pace::default(), 1);
    membership.receive(Time::ZERO, address(2), Message::News(vec![alive]));

    let actions = membership.receive(Time::ZERO, address(2), Message::News(vec![dead.clone()]));

    let suspect = Rumor { health: Health::Suspect, ..dead };
    assert_eq!(actions, [Action::Changed(suspect)]);
}

/// A flow is carried to a process that does not hold it: a crashed agent was replaced at the same
/// address, and an old rumor of the earlier run comes late. The greater instance must win.
#[test]
fn a_later_run_replaces_an_earlier_one_everywhere() {
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

/// A process that was frozen wakes after its host gave its address to another; it would go on
/// serving with authority it no longer has. Word of the later run must stop it.
#[test]
fn a_replaced_process_is_told_to_stop() {
    let mut fleet = fleet_of(3, 4, 6);
    fleet.run_for(8_000);
    let successor = Record { instance: Instance::new(2), ..agent(101, "intake") };
    fleet.start(successor);
    fleet.run_for(5_000);

    // Act: the earlier run is back at the address.
    fleet.start(agent(101, "intake"));
    fleet.run_for(5_000);

    assert!(fleet.superseded.contains(&address(101)));
}
