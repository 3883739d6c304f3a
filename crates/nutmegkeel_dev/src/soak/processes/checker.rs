//! Expected state of a soak run, and the invariants that are checked against it.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use nutmegkeel_standin::host::CONFIG_APPLY_MS;

use super::resets::{self, Reset, Sender};

/// Time within which a change must be in force; an earlier configuration may apply until then.
pub(super) const CONFIG_APPLY: Duration = Duration::from_millis(CONFIG_APPLY_MS);

/// Time after which a disturbed host counts as recovered.
const SETTLING_TIME: Duration = Duration::from_secs(6);

/// Time within which a process has written the line of a reset that its client has received.
const LOG_DELAY: Duration = Duration::from_millis(200);

/// Cause of a reset by which a balancer tells a client to retry, as logs name it.
const MAY_RETRY: &str = "agent_stopped";

/// Time within which the clients of a server that has crashed must be told.
const TOLD_WITHIN: Duration = Duration::from_secs(2);

/// Time after which a draining server must get no new flow.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// Period in which a host, or its backend server, did not work as usual.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    began: Instant,
    /// May lie in the future; `None` until it is known.
    ended: Option<Instant>,
}

impl Disturbance {
    /// Returns whether the host was disturbed at this time, or had not recovered yet.
    fn affects(&self, at: Instant) -> bool {
        self.began <= at && !self.is_past(at)
    }

    /// Returns whether the host had recovered by this time.
    fn is_past(&self, at: Instant) -> bool {
        self.ended.is_some_and(|ended| ended + SETTLING_TIME <= at)
    }
}

/// Disturbances of each host.
type Disturbances = BTreeMap<Ipv4Addr, Vec<Disturbance>>;

fn is_affected(disturbances: &Disturbances, host: Ipv4Addr, at: Instant) -> bool {
    disturbances.get(&host).is_some_and(|all| all.iter().any(|one| one.affects(at)))
}

#[derive(Debug, Default)]
struct State {
    /// Configured routes, each set with the time of its change.
    routes: Vec<(Instant, BTreeMap<u16, String>)>,
    /// Disturbances of the processes of the system.
    disturbed: Disturbances,
    /// Disturbances of the backend servers. They excuse missing answers, and no reset of an open
    /// flow.
    troubled: Disturbances,
    /// Host of each backend server.
    hosts: BTreeMap<String, Ipv4Addr>,
    drained: BTreeMap<String, (Instant, Ipv4Addr)>,
    ended: BTreeMap<String, Instant>,
    /// Servers that have crashed and had no successor at that time.
    crashed: BTreeMap<String, Instant>,
    store_changed: Option<Instant>,
    store_healthy: bool,
    answered: u64,
    unanswered: u64,
    /// Number of answers to each client.
    served: BTreeMap<Ipv4Addr, u64>,
    violations: Vec<String>,
}

/// Checks the invariants of one run.
#[derive(Debug)]
pub(super) struct Checker {
    state: Mutex<State>,
    /// Directory of the logs.
    folder: PathBuf,
}

impl Checker {
    pub(super) fn open(routes: &[(u16, &'static str)], folder: PathBuf) -> Self {
        let checker = Self { state: Mutex::default(), folder };
        checker.state().store_healthy = true;
        checker.record_routes(routes);
        checker
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record_routes(&self, routes: &[(u16, &str)]) {
        let routes = routes.iter().map(|(port, name)| (*port, (*name).to_owned())).collect();
        self.state().routes.push((Instant::now(), routes));
    }

    /// Records a disturbance that is over at once.
    pub(super) fn record_disturbance(&self, host: Ipv4Addr) {
        let now = Instant::now();
        let disturbance = Disturbance { began: now, ended: Some(now) };
        self.state().disturbed.entry(host).or_default().push(disturbance);
    }

    pub(super) fn record_suspension(&self, host: Ipv4Addr) {
        let disturbance = Disturbance { began: Instant::now(), ended: None };
        self.state().disturbed.entry(host).or_default().push(disturbance);
    }

    pub(super) fn record_resumption(&self, host: Ipv4Addr) {
        let now = Instant::now();
        for disturbance in self.state().disturbed.entry(host).or_default() {
            disturbance.ended.get_or_insert(now);
        }
    }

    /// Records that the backend server on a host may leave requests unanswered for a time.
    pub(super) fn record_trouble(&self, host: Ipv4Addr, duration: Duration) {
        let now = Instant::now();
        let disturbance = Disturbance { began: now, ended: Some(now + duration) };
        self.state().troubled.entry(host).or_default().push(disturbance);
    }

    pub(super) fn record_server(&self, id: &str, host: Ipv4Addr) {
        self.state().hosts.insert(id.to_owned(), host);
    }

    pub(super) fn record_store_health(&self, healthy: bool) {
        let mut state = self.state();
        state.store_healthy = healthy;
        state.store_changed = Some(Instant::now());
    }

    pub(super) fn record_drain(&self, id: &str, host: Ipv4Addr) {
        self.state().drained.insert(id.to_owned(), (Instant::now(), host));
    }

    pub(super) fn record_end(&self, id: &str) {
        self.state().ended.insert(id.to_owned(), Instant::now());
    }

    /// Records that a server ends without a successor and without a report.
    pub(super) fn record_crash(&self, id: &str) {
        let now = Instant::now();
        let mut state = self.state();
        state.ended.insert(id.to_owned(), now);
        state.crashed.insert(id.to_owned(), now);
    }

    /// Checks a request on an open flow, sent at `sent`, that got neither an answer nor a reset.
    pub(super) fn check_silence(&self, holder: &str, through: &[Ipv4Addr], sent: Instant) {
        let mut state = self.state();
        if state.must_have_told(holder, through, sent) {
            let what = format!("a request on a flow at {holder}, which has crashed, got no reset");
            state.violations.push(what);
        }
    }

    pub(super) fn record_unanswered(&self) {
        self.state().unanswered += 1;
    }

    pub(super) fn record_violation(&self, what: String) {
        self.state().violations.push(what);
    }

    /// Records that the server `id` answered a request on a new flow that was opened at `sent`.
    pub(super) fn record_answer(&self, caller: Ipv4Addr, port: u16, id: &str, sent: Instant) {
        let mut state = self.state();
        state.answered += 1;
        *state.served.entry(caller).or_default() += 1;
        if !state.allows(port, id, sent) {
            let what = format!("port {port} was answered by {id}, which no route allows");
            state.violations.push(what);
        }
        if let Some((since, host)) = state.drained.get(id).copied()
            && sent > since + DRAIN_TIME
            && !is_affected(&state.disturbed, host, Instant::now())
            && !is_affected(&state.troubled, host, Instant::now())
        {
            state.violations.push(format!("{id} got a new flow while draining"));
        }
    }

    /// Checks the answer to a request on an open flow.
    pub(super) fn check_answer(&self, holder: &str, answered_by: &str) {
        let mut state = self.state();
        if answered_by == holder {
            state.answered += 1;
        } else {
            let what = format!("a flow at {holder} was answered by {answered_by}");
            state.violations.push(what);
        }
    }

    /// Checks a reset of an open flow against the logs. Processes that reset the flow later, when
    /// its server has ended, are not in them yet.
    pub(super) fn check_reset(&self, reset: &Reset) {
        thread::sleep(LOG_DELAY);
        let senders = resets::senders(&self.folder, &reset.flow);
        let mut state = self.state();
        state.unanswered += 1;
        if !state.may_reset(reset, &senders) {
            let Reset { flow, holder, .. } = reset;
            let what = format!("the open flow {flow} at {holder} was reset by {senders:?}");
            state.violations.push(what);
        }
    }

    /// Records a request, sent at `sent`, without an answer or a refusal by its deadline.
    pub(super) fn record_timeout(&self, client: SocketAddrV4, port: u16, sent: Instant) {
        let mut state = self.state();
        state.unanswered += 1;
        if state.was_undisturbed(port, sent) {
            let what =
                format!("a request of {client} to port {port} got no final answer without a fault");
            state.violations.push(what);
        }
    }

    /// Registers a client that must get at least one answer.
    pub(super) fn expect_answer(&self, caller: Ipv4Addr) {
        self.state().served.insert(caller, 0);
    }

    pub(super) fn totals(&self) -> (u64, u64, Vec<String>) {
        let mut state = self.state();
        let starved: Vec<String> = state
            .served
            .iter()
            .filter(|(_, answers)| **answers == 0)
            .map(|(caller, _)| format!("caller {caller} was never served"))
            .collect();
        state.violations.extend(starved);
        (state.answered, state.unanswered, state.violations.clone())
    }
}

impl State {
    /// Returns whether a configuration that may have been in force when the flow was opened routes
    /// the port to the server's service. While the store is disturbed an earlier one may stay in
    /// force.
    fn allows(&self, port: u16, id: &str, sent: Instant) -> bool {
        let store_settled =
            self.store_healthy && self.store_changed.is_none_or(|at| at.elapsed() > SETTLING_TIME);
        let count = self.routes.len();
        self.routes.iter().enumerate().any(|(index, (_, routes))| {
            let replaced = self.routes.get(index + 1).map(|(since, _)| *since);
            let stale = replaced.is_some_and(|since| sent > since + CONFIG_APPLY);
            let named = routes.get(&port).is_some_and(|service| id.starts_with(service.as_str()));
            named && (index + 1 == count || !stale || !store_settled)
        })
    }

    /// Returns whether an open flow may have been reset: its server has ended, its route was
    /// removed, or the balancer that reset it, or one that its packets were sent to, was disturbed.
    ///
    /// The agent of a running server knows what the server holds, so no disturbance excuses it. While
    /// an agent does not run, balancers may only tell clients that wait for it to retry.
    fn may_reset(&self, reset: &Reset, senders: &[Sender]) -> bool {
        let has_ended = self.ended.get(&reset.holder).is_some_and(|ended| *ended <= reset.at);
        if has_ended || self.may_have_dropped(reset.port, reset.at) {
            return true;
        }
        let host = self.hosts.get(&reset.holder).copied();
        if senders.iter().any(|sender| Some(sender.host) == host) {
            return false;
        }
        let is_disturbed = |host: &Ipv4Addr| is_affected(&self.disturbed, *host, reset.at);
        let mut balancers = reset.through.iter().chain(senders.iter().map(|sender| &sender.host));
        let only_retries = senders.iter().all(|sender| sender.cause == MAY_RETRY);
        balancers.any(is_disturbed) || (only_retries && host.as_ref().is_some_and(is_disturbed))
    }

    /// Returns whether a client must have been told that its server has crashed, given that none of
    /// the processes that tell it was disturbed.
    fn must_have_told(&self, holder: &str, through: &[Ipv4Addr], sent: Instant) -> bool {
        let Some(crashed) = self.crashed.get(holder) else {
            return false;
        };
        let is_past = |disturbance: &Disturbance| disturbance.is_past((*crashed).min(sent));
        let involved = self.hosts.get(holder).into_iter().chain(through);
        let disturbances = involved.filter_map(|host| self.disturbed.get(host)).flatten();
        crashed.elapsed() > TOLD_WITHIN && disturbances.into_iter().all(is_past)
    }

    /// Returns whether a configuration that removes the route of a port may have been in force at
    /// this time.
    fn may_have_dropped(&self, port: u16, at: Instant) -> bool {
        let known = self.routes.iter().rev().filter(|(since, _)| *since <= at);
        let recent = known.clone().take_while(|(since, _)| *since + SETTLING_TIME * 2 > at);
        recent.chain(known.clone().next()).any(|(_, routes)| !routes.contains_key(&port))
    }

    /// Returns whether no fault could have affected a request to `port` sent at `sent`: from
    /// [`SETTLING_TIME`] before it until now no process, server or store was disturbed, no route
    /// changed, and the port had a route.
    fn was_undisturbed(&self, port: u16, sent: Instant) -> bool {
        let is_past = |at: &Instant| *at + SETTLING_TIME <= sent;
        let routed = self
            .routes
            .last()
            .is_some_and(|(since, routes)| is_past(since) && routes.contains_key(&port));
        let store_settled = self.store_healthy && self.store_changed.as_ref().is_none_or(is_past);
        let disturbances = self.disturbed.values().chain(self.troubled.values()).flatten();
        let hosts_settled = disturbances.into_iter().all(|one| one.is_past(sent));
        routed && store_settled && hosts_settled && self.ended.values().all(is_past)
    }
}
