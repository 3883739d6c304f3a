//! Whether an operator's change is in force on every balancer within its settling time.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(20);

/// What a balancer shows of a changed class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shown {
    /// The change.
    InForce,
    /// The class as it was before.
    Earlier,
    /// No such class.
    NotKnown,
}

/// Asks all balancers in rounds until each shows the change, and returns how long that took since
/// `began`.
///
/// # Errors
/// When a balancer does not answer, or one does not show the change within the settling time.
pub fn wait(
    began: Instant,
    within: Duration,
    balancers: &[SocketAddr],
    mut show: impl FnMut(SocketAddr) -> io::Result<Shown>,
) -> io::Result<Duration> {
    loop {
        let shown: Vec<Shown> = balancers.iter().map(|at| show(*at)).collect::<io::Result<_>>()?;
        let took = began.elapsed();
        if took < within && shown.iter().all(|shown| *shown == Shown::InForce) {
            return Ok(took);
        }
        if took >= within {
            let late: Vec<_> = balancers.iter().zip(shown).collect();
            return Err(io::Error::other(format!("not in force everywhere: {late:?}")));
        }
        thread::sleep(PAUSE);
    }
}
