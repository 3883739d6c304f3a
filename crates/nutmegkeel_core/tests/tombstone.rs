//! Runs of agents that are over, and those that only seemed to be.

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

/// Every packet of a healthy agent's flows is answered with a reset for as long as the balancer
/// runs: it had given the agent up while one of them was cut off, and never took that back.
#[test]
fn an_instance_that_refuted_its_death_is_not_ended() {
    let mut tombstones = Tombstones::default();
    tombstones.mark_ended(address(1), Instance::new(5));

    tombstones.mark_alive(address(1), Instance::new(5));

    assert!(!tombstones.is_ended(address(1), Instance::new(5)));
    assert!(tombstones.is_ended(address(1), Instance::new(4)));
}
