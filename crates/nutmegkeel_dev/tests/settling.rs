//! Waiting of the demo for an operator's change.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegkeel_dev::demo::settling::{ChangeState, wait};

const SECOND: Duration = Duration::from_secs(1);
const SHORT: Duration = Duration::from_millis(60);

fn balancers() -> Vec<SocketAddr> {
    (1..=3).map(|number| SocketAddr::from(([127, 0, 0, 1], number))).collect()
}

/// Guards against a demo that fails a few milliseconds after an operator created a class: a
/// balancer that is queried before it received the class does not know it. It has the settling time
/// to learn of the class.
#[test]
fn a_balancer_has_the_settling_time_to_learn_of_a_class() {
    let mut asked = 0;

    let settled = wait(Instant::now(), SECOND, &balancers(), |at| {
        asked += usize::from(at.port() == 2);
        let is_early = at.port() == 2 && asked < 3;
        Ok(if is_early { ChangeState::NotKnown } else { ChangeState::InForce })
    });

    assert!(settled.is_ok(), "{settled:?}");
    assert_eq!(asked, 3);
}

/// The error after the settling time names a balancer that never learns of the class.
#[test]
fn a_balancer_that_never_learns_of_the_class_fails_the_demo() {
    let began = Instant::now();

    let settled = wait(began, SHORT, &balancers(), |at| {
        Ok(if at.port() == 3 { ChangeState::NotKnown } else { ChangeState::InForce })
    });

    let fault = settled.expect_err("one balancer lacks the class").to_string();
    assert!(fault.contains("127.0.0.1:3, NotKnown"), "{fault}");
    assert!(began.elapsed() >= SHORT);
}

/// A balancer that cannot be queried is an error at once, not a reason to wait.
#[test]
fn a_balancer_that_does_not_answer_fails_the_demo_at_once() {
    let mut asked = 0;

    let settled = wait(Instant::now(), SECOND, &balancers(), |_| {
        asked += 1;
        Err(io::Error::other("connection refused"))
    });

    assert!(settled.is_err());
    assert_eq!(asked, 1);
}
