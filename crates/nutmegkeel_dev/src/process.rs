//! Child processes that are killed when their owner drops them, or when this program ends.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nutmegkeel_standin::guard;

/// A signal to a child process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Requests a graceful stop.
    Terminate,
    /// Suspends the process.
    Stop,
    /// Resumes the process.
    Continue,
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "TERM",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

/// A running child; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program; its output goes to `log`.
    ///
    /// # Errors
    /// When the program cannot be started.
    pub fn spawn(
        name: &str,
        program: &Path,
        arguments: &[&str],
        log: &Path,
    ) -> std::io::Result<Self> {
        let log = std::fs::File::create(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let process = Self { name: name.to_owned(), child };
        guard::record_start(process.id())?;
        Ok(process)
    }

    /// Returns the name under which the process was started.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let _ =
            Command::new("kill").args(["-s", signal.name(), &self.child.id().to_string()]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        guard::record_end(self.id());
        let _ = self.child.wait();
    }

    /// Waits up to `limit` for the process to exit; returns true if it exited in time with success.
    pub fn exited_cleanly_within(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
