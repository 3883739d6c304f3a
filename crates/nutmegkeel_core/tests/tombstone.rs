//! Instances of agents that have ended or were wrongly declared dead.

use nutmegkeel_core::member::Instance;
use nutmegkeel_core::tombstone::Tombstones;
use nutmegkeel_fake::fleet::address;

#[test]
fn an_ended_instance_ends_all_earlier_ones_and_no_later_one() {
    let mut tombstones = Tombstones::default();
    tombstones.mark_ended(address(1), Instance::new(5));

    let ended = [4, 5, 6].map(|number| tombstones.is_ended(address(1), Instance::new(number)));

    assert_eq!(ended, [true, true, false]);
    assert!(!tombstones.is_ended(address(2), Instance::new(4)));
}

/// Guards against permanent resets of all flows of a healthy agent: the balancer declared it dead
/// during a network partition and must undo that when the agent refutes its death.
#[test]
fn an_instance_that_refuted_its_death_is_not_ended() {
    let mut tombstones = Tombstones::default();
    tombstones.mark_ended(address(1), Instance::new(5));

    tombstones.mark_alive(address(1), Instance::new(5));

    assert!(!tombstones.is_ended(address(1), Instance::new(5)));
    assert!(tombstones.is_ended(address(1), Instance::new(4)));
}
