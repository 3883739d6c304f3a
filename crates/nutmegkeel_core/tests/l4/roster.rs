use nutmegkeel_core::l4::roster::{EXPIRY_MS, Roster, digest};

use crate::fixture::{at, host};

#[test]
fn a_balancer_that_nobody_speaks_of_is_dropped() {
    let mut book = Roster::default();
    book.refresh(at(0), host(1));
    book.refresh(at(EXPIRY_MS), host(2));

    book.expire(at(EXPIRY_MS + 1));

    assert_eq!(book.iter().collect::<Vec<_>>(), vec![host(2)]);
}

#[test]
fn the_digest_tells_which_balancers_are_known() {
    let mut book = Roster::default();
    book.refresh(at(0), host(2));
    book.refresh(at(0), host(1));

    assert_eq!(book.digest(), digest([host(1), host(2)].into_iter()));
    assert_ne!(book.digest(), digest([host(1)].into_iter()));
}
