//! Processes that keep processors busy, so that a soak test can be repeated beside the same load.

use std::io;
use std::process::Command;

use nutmegkeel_standin::process::Process;

/// Starts busy processes, which are killed when they are dropped.
///
/// # Errors
/// When the path of the running program is unknown, or a process cannot be started.
pub fn spawn(count: usize) -> io::Result<Vec<Process>> {
    let program = std::env::current_exe()?;
    (0..count).map(|_| Process::spawn(Command::new(&program).arg("busy"))).collect()
}

/// Keeps one processor busy until the process is killed.
pub fn run() -> ! {
    loop {
        std::hint::spin_loop();
    }
}
