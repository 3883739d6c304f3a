//! Waits for an operator's change to be in force on every balancer within its settling time.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Interval between two rounds of queries.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of a changed class at a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeState {
    /// The change is in force.
    InForce,
    /// The balancer has the class as it was before the change.
    Earlier,
    /// The balancer does not know the class.
    NotKnown,
}

/// Polls all balancers until each reports the change, and returns the time since `began`.
///
/// # Errors
/// When a balancer does not answer, or does not report the change within the settling time.
pub fn wait(
    began: Instant,
    within: Duration,
    balancers: &[SocketAddr],
    mut show: impl FnMut(SocketAddr) -> io::Result<ChangeState>,
) -> io::Result<Duration> {
    loop {
        let shown: Vec<ChangeState> =
            balancers.iter().map(|at| show(*at)).collect::<io::Result<_>>()?;
        let took = began.elapsed();
        if took < within && shown.iter().all(|shown| *shown == ChangeState::InForce) {
            return Ok(took);
        }
        if took >= within {
            let late: Vec<_> = balancers.iter().zip(shown).collect();
            return Err(io::Error::other(format!(
                "change not in force on all balancers: {late:?}"
            )));
        }
        thread::sleep(POLL_INTERVAL);
    }
}
