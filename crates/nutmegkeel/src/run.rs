//! Runs a role until a signal stops it, and the checks of settings files.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::verdict::Verdict;
use nutmegkeel_node::settings::{self, Faults, Settings};
use nutmegkeel_node::{agent, balancer, l4, metric};
use nutmegkeel_platform::settings as platform_settings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::{logging, operator, platform};

/// Interval at which the signals are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Exit code for wrong usage: arguments or settings.
const USAGE: u8 = 2;
/// Exit code for a command that was refused or failed before it had any effect.
const NOT_RUN: u8 = 3;
/// Exit code for a command that may have taken effect.
const MAY_HAVE_RUN: u8 = 4;
/// Exit code for a query of a class that the balancer does not know, or not yet.
const UNKNOWN: u8 = 5;

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Fault {
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] Faults),
    /// The settings are those of another role.
    #[error("field `role`: these are the settings of another role")]
    Role,
    /// The balancer could not start.
    #[error(transparent)]
    Balancer(#[from] balancer::Fault),
    /// The agent could not start.
    #[error(transparent)]
    Agent(#[from] agent::Fault),
    /// The platform's settings file is wrong.
    #[error(transparent)]
    PlatformSettings(#[from] platform_settings::Fault),
    /// Log lines could not be read or printed.
    #[error("log lines: {0}")]
    Explain(#[from] std::io::Error),
    /// A role on the platform could not start.
    #[error(transparent)]
    Platform(#[from] l4::Fault),
    /// The metrics recorder could not be installed.
    #[error("metrics: {0}")]
    Metrics(#[from] metric::Fault),
    /// The status of a balancer on the platform could not be queried.
    #[error(transparent)]
    PlatformStatus(#[from] platform::Fault),
    /// An operator's command or query did not succeed.
    #[error(transparent)]
    Operator(#[from] operator::Fault),
    /// The signal handlers could not be installed.
    #[error("signals: {0}")]
    Signals(std::io::Error),
}

impl Fault {
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Settings(_) | Self::PlatformSettings(_) | Self::Role => USAGE,
            Self::Operator(fault) if fault.verdict() == Verdict::MayHaveRun => MAY_HAVE_RUN,
            Self::Operator(fault) if fault.is_unknown() => UNKNOWN,
            _ => NOT_RUN,
        })
    }
}

pub(crate) fn balancer(file: &Path) -> Result<(), Fault> {
    let Settings::Balancer(settings) = settings::open(file)? else {
        return Err(Fault::Role);
    };
    logging::start();
    let stop = stop_signal()?;
    let handle = balancer::spawn(&settings, metric::install()?)?;
    while !stop.load(Ordering::Relaxed) && !handle.must_stop() {
        thread::sleep(POLL_INTERVAL);
    }
    handle.leave();
    Ok(())
}

pub(crate) fn agent(file: &Path) -> Result<(), Fault> {
    let Settings::Agent(settings) = settings::open(file)? else {
        return Err(Fault::Role);
    };
    logging::start();
    let stop = stop_signal()?;
    let bound = agent::bind(settings, metric::install()?)?;
    let Some(handle) = bound.spawn(|| stop.load(Ordering::Relaxed))? else {
        return Ok(());
    };
    let mut leave_requested = false;
    while !handle.is_over() {
        if stop.load(Ordering::Relaxed) && !leave_requested {
            leave_requested = true;
            handle.leave();
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

pub(crate) fn platform_balancer(policy: Policy) -> Result<(), Fault> {
    let path = platform_settings::path();
    let settings = platform_settings::open(&path)?;
    logging::start();
    let signals = Signals::open()?;
    let mut handle = l4::balancer::spawn(&settings, path, metric::install()?, policy)?;
    while !signals.must_stop() {
        handle.pause();
        handle.tick(signals.take_reload());
    }
    handle.leave();
    Ok(())
}

pub(crate) fn platform_agent(policy: Policy) -> Result<(), Fault> {
    let path = platform_settings::path();
    let settings = platform_settings::open(&path)?;
    logging::start();
    let signals = Signals::open()?;
    let mut handle = l4::agent::spawn(&settings, path, metric::install()?, policy)?;
    while !signals.must_stop() {
        handle.pause();
        handle.tick(signals.take_reload());
    }
    handle.leave();
    Ok(())
}

pub(crate) fn check_platform_settings() -> Result<(), Fault> {
    let path = platform_settings::path();
    platform_settings::open(&path)?;
    println!("{}: no faults", path.display());
    Ok(())
}

pub(crate) fn check_settings(file: &Path) -> Result<(), Fault> {
    settings::open(file)?;
    println!("{}: no faults", file.display());
    Ok(())
}

fn stop_signal() -> Result<Arc<AtomicBool>, Fault> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&stop)).map_err(Fault::Signals)?;
    }
    Ok(stop)
}

/// Requests that arrived as signals.
struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    fn open() -> Result<Self, Fault> {
        let reload = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGHUP, Arc::clone(&reload)).map_err(Fault::Signals)?;
        Ok(Self { stop: stop_signal()?, reload })
    }

    fn must_stop(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
