//! Outages that go on while other faults are injected: processes that are suspended for seconds, and
//! backend servers that crash without a successor.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use nutmegkeel_standin::process::Signal;
use rand::Rng;

use super::chaos::Chaos;

/// Number of kinds.
pub(super) const KINDS: i32 = 3;

/// Duration of a suspension, in milliseconds. All of them are longer than balancers wait for a sign
/// of an agent, and the longest is shorter than they keep the flows of one whose host answers.
const SUSPENSION_MS: std::ops::RangeInclusive<u64> = 2_100..=6_000;

/// Current outages.
#[derive(Debug, Default)]
pub(super) struct Outages {
    /// Suspended processes, with the time at which each resumes.
    suspended: Vec<(Ipv4Addr, Instant)>,
    /// Hosts without a backend server.
    crashed: Vec<Ipv4Addr>,
}

impl Chaos {
    /// Returns the hosts that have a backend server.
    pub(super) fn served_hosts(&self) -> Vec<Ipv4Addr> {
        let crashed = self.outages.as_ref().map(|outages| outages.crashed.as_slice());
        let mut hosts = self.fleet.agents();
        hosts.retain(|host| !crashed.is_some_and(|crashed| crashed.contains(host)));
        hosts
    }

    /// Suspends a process that runs, and lets other faults go on.
    pub(super) fn suspend_for_seconds(&mut self) {
        let mut hosts = [self.fleet.balancers(), self.fleet.agents()].concat();
        hosts.retain(|host| !self.frozen.contains(host));
        if hosts.is_empty() {
            return;
        }
        let host = self.pick(&hosts);
        let duration = Duration::from_millis(self.rng.random_range(SUSPENSION_MS));
        self.record(format!("{host} is suspended for {duration:?}"));
        self.checker.record_suspension(host);
        self.fleet.signal(host, Signal::Stop);
        self.frozen.push(host);
        if let Some(outages) = &mut self.outages {
            outages.suspended.push((host, Instant::now() + duration));
        }
    }

    /// Resumes the processes whose suspension is over.
    pub(super) fn resume_due(&mut self) {
        let Some(outages) = &mut self.outages else { return };
        let now = Instant::now();
        let due: Vec<Ipv4Addr> =
            outages.suspended.extract_if(.., |(_, until)| *until <= now).map(|one| one.0).collect();
        // One that was restarted meanwhile is not suspended any more.
        for host in due.into_iter().filter(|host| self.frozen.contains(host)).collect::<Vec<_>>() {
            self.record(format!("{host} resumes"));
            self.fleet.signal(host, Signal::Continue);
            self.checker.record_resumption(host);
            self.frozen.retain(|other| *other != host);
        }
    }

    /// Ends a backend server, which has no successor until [`Self::restore_servers`].
    pub(super) fn crash_server(&mut self) {
        let hosts = self.served_hosts();
        if hosts.is_empty() {
            return;
        }
        let host = self.pick(&hosts);
        let id = self.fleet.server(host).id().to_owned();
        self.record(format!("{id} crashes for good"));
        self.checker.record_crash(&id);
        self.fleet.stop_server(host);
        if let Some(outages) = &mut self.outages {
            outages.crashed.push(host);
        }
    }

    /// Starts a backend server on each host that has none.
    pub(super) fn restore_servers(&mut self) {
        let Some(outages) = &mut self.outages else { return };
        for host in std::mem::take(&mut outages.crashed) {
            self.failure = self.fleet.start_server(host).err().or(self.failure.take());
            if self.has_failed() {
                return;
            }
            let id = self.fleet.server(host).id().to_owned();
            self.record(format!("{id} starts"));
            self.checker.record_server(&id, host);
            self.reset_server(host);
        }
    }
}
