//! Random faults in a simulated fleet with fixed seeds; `cargo dev soak` runs longer simulations.

use nutmegkeel_fake::soak;
use quickcheck::{Gen, QuickCheck};

const FAULTS: usize = 25;

/// Checks under any mix of crashes, pauses, partitions, packet loss, restarts and configuration
/// changes that no healthy process is declared dead, that no configuration reverts, and that all
/// processes agree after the faults end.
fn invariants_hold(seed: u64) -> bool {
    match soak::run(seed, FAULTS) {
        Ok(()) => true,
        Err(broken) => {
            println!("seed {seed}: {}\n{:#?}", broken.invariant, broken.faults);
            false
        }
    }
}

#[test]
fn invariants_hold_under_random_faults() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(100, 2)).tests(20);
    check.quickcheck(invariants_hold as fn(u64) -> bool);
}
