//! Expected state of a soak run, and the invariants that are checked against it.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nutmegkeel_standin::host::CONFIG_APPLY_MS;

/// Time within which a change must be in force; an earlier configuration may apply until then.
pub(super) const CONFIG_APPLY: Duration = Duration::from_millis(CONFIG_APPLY_MS);

/// Time after which a disturbed host counts as recovered.
const SETTLING_TIME: Duration = Duration::from_secs(6);

/// Time after which a draining server must get no new flow.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);

/// What a client observed on its long flow.
pub(super) enum Observation<'a> {
    /// A server answered a request on the flow, or the flow was reset.
    LongFlow {
        /// Destination port of the flow.
        port: u16,
        /// Server that holds the flow.
        holder: &'a str,
        /// Server that answered, or none if the flow was reset.
        answered_by: Option<&'a str>,
    },
}

#[derive(Debug, Default)]
struct State {
    /// Configured routes, each set with the time of its change.
    routes: Vec<(Instant, BTreeMap<u16, String>)>,
    disturbed: BTreeMap<Ipv4Addr, Instant>,
    drained: BTreeMap<String, (Instant, Ipv4Addr)>,
    ended: BTreeMap<String, Instant>,
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
}

impl Checker {
    pub(super) fn open(routes: &[(u16, &'static str)]) -> Self {
        let checker = Self { state: Mutex::default() };
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

    pub(super) fn record_disturbance(&self, host: Ipv4Addr) {
        self.state().disturbed.insert(host, Instant::now());
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
            && !state.is_disturbed(host)
        {
            state.violations.push(format!("{id} got a new flow while draining"));
        }
    }

    /// Checks what a client observed on its long flow.
    pub(super) fn check_long_flow(&self, observation: &Observation<'_>) {
        let Observation::LongFlow { port, holder, answered_by } = observation;
        let mut state = self.state();
        match answered_by {
            Some(id) if id != holder => {
                let what = format!("a flow at {holder} was answered by {id}");
                state.violations.push(what);
            }
            Some(_) => state.answered += 1,
            None if state.may_reset(*port, holder) => state.unanswered += 1,
            None => state.violations.push(format!("an open flow at {holder} was reset")),
        }
    }

    /// Records a request, sent at `sent`, without an answer or a refusal by its deadline.
    pub(super) fn record_timeout(&self, port: u16, sent: Instant) {
        let mut state = self.state();
        state.unanswered += 1;
        if state.was_undisturbed(port, sent) {
            let what = format!("a request to port {port} got no final answer without a fault");
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

    /// Returns whether an open flow may have been reset: its server has ended, a host was
    /// disturbed, or its route was removed.
    fn may_reset(&self, port: u16, holder: &str) -> bool {
        let dropped = self
            .routes
            .iter()
            .rev()
            .take_while(|(since, _)| since.elapsed() < SETTLING_TIME * 2)
            .chain(self.routes.last())
            .any(|(_, routes)| !routes.contains_key(&port));
        let any_disturbed = self.disturbed.values().any(|at| at.elapsed() < SETTLING_TIME);
        dropped || self.ended.contains_key(holder) || any_disturbed
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
        let hosts_settled = self.disturbed.values().chain(self.ended.values()).all(is_past);
        routed && store_settled && hosts_settled
    }

    fn is_disturbed(&self, host: Ipv4Addr) -> bool {
        self.disturbed.get(&host).is_some_and(|at| at.elapsed() < SETTLING_TIME)
    }
}
