//! What the soak knows to be true, and the promises it checks against it.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nutmegkeel_standin::host::CONFIG_APPLY_MS;

/// A change must be in force within this; so long an earlier one may still show.
pub(super) const IN_FORCE: Duration = Duration::from_millis(CONFIG_APPLY_MS);

/// A host that was disturbed is calm again after this.
const CALM: Duration = Duration::from_secs(6);

/// A server that drains gets no new flow later than this.
const DRAINED: Duration = Duration::from_millis(1_500);

/// What a client saw of its long flow.
pub(super) enum Seen<'a> {
    /// A request on it was answered by a server, or the flow was reset.
    Long {
        /// The port that it was opened to.
        port: u16,
        /// The server that holds it.
        holder: &'a str,
        /// The server that answered; none if the flow was reset.
        answered_by: Option<&'a str>,
    },
}

#[derive(Debug, Default)]
struct State {
    /// Routes with the time from which they hold.
    routes: Vec<(Instant, BTreeMap<u16, String>)>,
    disturbed: BTreeMap<Ipv4Addr, Instant>,
    drained: BTreeMap<String, (Instant, Ipv4Addr)>,
    ended: BTreeMap<String, Instant>,
    store_ill: Option<Instant>,
    store_well: bool,
    answered: u64,
    unanswered: u64,
    /// Answers of each caller.
    served: BTreeMap<Ipv4Addr, u64>,
    broken: Vec<String>,
}

/// The truth of one run.
#[derive(Debug)]
pub(super) struct Truth {
    state: Mutex<State>,
}

impl Truth {
    pub(super) fn open(routes: &[(u16, &'static str)]) -> Self {
        let truth = Self { state: Mutex::default() };
        truth.state().store_well = true;
        truth.change(routes);
        truth
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn change(&self, routes: &[(u16, &str)]) {
        let routes = routes.iter().map(|(port, name)| (*port, (*name).to_owned())).collect();
        self.state().routes.push((Instant::now(), routes));
    }

    pub(super) fn disturb(&self, host: Ipv4Addr) {
        self.state().disturbed.insert(host, Instant::now());
    }

    pub(super) fn store_is_well(&self, well: bool) {
        let mut state = self.state();
        state.store_well = well;
        state.store_ill = Some(Instant::now());
    }

    pub(super) fn drain(&self, id: &str, host: Ipv4Addr) {
        self.state().drained.insert(id.to_owned(), (Instant::now(), host));
    }

    pub(super) fn end(&self, id: &str) {
        self.state().ended.insert(id.to_owned(), Instant::now());
    }

    pub(super) fn unanswered(&self) {
        self.state().unanswered += 1;
    }

    pub(super) fn break_promise(&self, what: String) {
        self.state().broken.push(what);
    }

    /// A request on a new flow, opened at `sent`, was answered by the server `id`.
    pub(super) fn answered(&self, caller: Ipv4Addr, port: u16, id: &str, sent: Instant) {
        let mut state = self.state();
        state.answered += 1;
        *state.served.entry(caller).or_default() += 1;
        if !state.allows(port, id, sent) {
            let what = format!("port {port} was answered by {id}, which no route allows");
            state.broken.push(what);
        }
        if let Some((since, host)) = state.drained.get(id).copied()
            && sent > since + DRAINED
            && !state.is_disturbed(host)
        {
            state.broken.push(format!("{id} drains and got a new flow"));
        }
    }

    /// Judges what a client saw of its long flow.
    pub(super) fn judge(&self, seen: &Seen<'_>) {
        let Seen::Long { port, holder, answered_by } = seen;
        let mut state = self.state();
        match answered_by {
            Some(id) if id != holder => {
                let what = format!("a flow at {holder} was answered by {id}");
                state.broken.push(what);
            }
            Some(_) => state.answered += 1,
            None if state.may_reset(*port, holder) => state.unanswered += 1,
            None => state.broken.push(format!("an open flow at {holder} was reset")),
        }
    }

    /// A request at `sent` found neither an answer nor a refusal until its deadline.
    pub(super) fn silent(&self, port: u16, sent: Instant) {
        let mut state = self.state();
        state.unanswered += 1;
        if state.was_calm(port, sent) {
            let what = format!("a request to port {port} had no final answer, and nobody was cut");
            state.broken.push(what);
        }
    }

    /// Expects that a caller is served at least once.
    pub(super) fn expect(&self, caller: Ipv4Addr) {
        self.state().served.insert(caller, 0);
    }

    pub(super) fn sum_up(&self) -> (u64, u64, Vec<String>) {
        let mut state = self.state();
        let starved: Vec<String> = state
            .served
            .iter()
            .filter(|(_, answers)| **answers == 0)
            .map(|(caller, _)| format!("caller {caller} was never served"))
            .collect();
        state.broken.extend(starved);
        (state.answered, state.unanswered, state.broken.clone())
    }
}

impl State {
    /// Whether a configuration that may have been in force when the flow was opened sends the port to
    /// the server's service. While the store is ill an old one may stay in force.
    fn allows(&self, port: u16, id: &str, sent: Instant) -> bool {
        let store_calm = self.store_well && self.store_ill.is_none_or(|at| at.elapsed() > CALM);
        let count = self.routes.len();
        self.routes.iter().enumerate().any(|(index, (_, routes))| {
            let replaced = self.routes.get(index + 1).map(|(since, _)| *since);
            let stale = replaced.is_some_and(|since| sent > since + IN_FORCE);
            let named = routes.get(&port).is_some_and(|service| id.starts_with(service.as_str()));
            named && (index + 1 == count || !stale || !store_calm)
        })
    }

    /// Whether an open flow may have been reset: its server is gone, its host was disturbed, or its
    /// route was dropped.
    fn may_reset(&self, port: u16, holder: &str) -> bool {
        let dropped = self
            .routes
            .iter()
            .rev()
            .take_while(|(since, _)| since.elapsed() < CALM * 2)
            .chain(self.routes.last())
            .any(|(_, routes)| !routes.contains_key(&port));
        let any_disturbed = self.disturbed.values().any(|at| at.elapsed() < CALM);
        dropped || self.ended.contains_key(holder) || any_disturbed
    }

    /// Whether nothing could have cut a request at `sent`: no process or server was disturbed for a while
    /// before, nor since, the store is well, and the route stands.
    fn was_calm(&self, port: u16, sent: Instant) -> bool {
        let is_past = |at: &Instant| *at + CALM <= sent;
        let routed = self
            .routes
            .last()
            .is_some_and(|(since, routes)| is_past(since) && routes.contains_key(&port));
        let store_calm = self.store_well && self.store_ill.as_ref().is_none_or(is_past);
        let hosts_calm = self.disturbed.values().chain(self.ended.values()).all(is_past);
        routed && store_calm && hosts_calm
    }

    fn is_disturbed(&self, host: Ipv4Addr) -> bool {
        self.disturbed.get(&host).is_some_and(|at| at.elapsed() < CALM)
    }
}
