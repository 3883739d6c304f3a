//! Processes that keep processors busy, so that a soak test can be repeated beside the same load.

use std::io::{self, Read};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Running busy processes, which are killed when the handle is dropped.
#[derive(Debug)]
pub struct Handle(Vec<Child>);

/// Starts busy processes.
///
/// # Errors
/// When the path of the running program is unknown, or a process cannot be started.
pub fn spawn(count: usize) -> io::Result<Handle> {
    let program = std::env::current_exe()?;
    let mut handle = Handle(Vec::new());
    for _ in 0..count {
        let child = Command::new(&program).arg("busy").stdin(Stdio::piped()).spawn()?;
        handle.0.push(child);
    }
    Ok(handle)
}

impl Drop for Handle {
    fn drop(&mut self) {
        for child in &mut self.0 {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Keeps one processor busy until standard input ends, which it does with the parent process.
pub fn run() {
    let is_over = Arc::new(AtomicBool::new(false));
    let ends = Arc::clone(&is_over);
    thread::spawn(move || {
        // An error ends the input too.
        let _ = io::stdin().read(&mut [0]);
        ends.store(true, Ordering::Relaxed);
    });
    while !is_over.load(Ordering::Relaxed) {
        std::hint::spin_loop();
    }
}
