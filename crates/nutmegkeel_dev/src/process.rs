//! Child processes that end with their owner.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A signal, by its number.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Stop in a planned way.
    Terminate,
    /// Freeze.
    Stop,
    /// Go on after a freeze.
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
        Ok(Self { name: name.to_owned(), child })
    }

    /// The name it was started under.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Number of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by process number.
    pub fn signal(&self, signal: Signal) {
        let _ =
            Command::new("kill").args(["-s", signal.name(), &self.child.id().to_string()]).status();
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for a planned end; true when it came in time and was clean.
    pub fn ended_within(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
