//! Random runs of a fleet with fixed seeds; `cargo dev soak` makes longer ones.

use nutmegkeel_fake::soak;
use quickcheck::{Gen, QuickCheck};

const FAULTS: usize = 25;

/// Kills, freezes, cuts, losses, restarts and changes in any mixture: nobody who is well is given
/// up, no configuration reverts, and when the faults end everybody agrees.
fn promises_hold(seed: u64) -> bool {
    match soak::run(seed, FAULTS) {
        Ok(()) => true,
        Err(broken) => {
            println!("seed {seed}: {}\n{:#?}", broken.invariant, broken.faults);
            false
        }
    }
}

#[test]
fn promises_hold_under_random_faults() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(100, 2)).tests(20);
    check.quickcheck(promises_hold as fn(u64) -> bool);
}
