use nutmegkeel_core::l4::roster::{EXPIRY_MS, Roster, digest};

use crate::fixture::{at, host};

#[test]
fn a_balancer_that_is_not_mentioned_expires() {
    let mut roster = Roster::default();
    roster.refresh(at(0), host(1));
    roster.refresh(at(EXPIRY_MS), host(2));

    roster.expire(at(EXPIRY_MS + 1));

    assert_eq!(roster.iter().collect::<Vec<_>>(), vec![host(2)]);
}

#[test]
fn the_digest_depends_on_the_known_balancers() {
    let mut roster = Roster::default();
    roster.refresh(at(0), host(2));
    roster.refresh(at(0), host(1));

    assert_eq!(roster.digest(), digest([host(1), host(2)].into_iter()));
    assert_ne!(roster.digest(), digest([host(1)].into_iter()));
}
