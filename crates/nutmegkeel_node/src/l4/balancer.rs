//! Runs a balancer: receives clients' packets and exchanges messages with agents and other
//! balancers.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::Duration;

use log::info;
use metrics::counter;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event, Identity, TICK_MS};
use nutmegkeel_core::l4::fetch::Holder;
use nutmegkeel_core::l4::flow::{Direction, Head};
use nutmegkeel_core::l4::message::Message;
use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::l4::route::Table;
use nutmegkeel_core::l4::watch::Timeouts;
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_platform::store::LatestEra;
use nutmegkeel_platform::{control, packet};
use nutmegkeel_wire::l4 as wire;

use super::collector;
use super::configuration::{self, Delegate, Fetcher, Source, Update, Watch};
use super::decision_log::DecisionLog;
use super::gauges;
use super::kept::{Packet, Packets};
use super::link::{self, Link};
use super::metered::{Metered, Purpose};
use super::reload::Reload;
use super::{Fault, membership, serve, spawn_metrics};
use crate::clock::Clock;
use crate::lock::lock;
use crate::metric;
use crate::port_check::Checker;
use crate::web::{self, Answer};

/// Time until the platform has taken a leaving process out of rotation, in milliseconds. It does so
/// after two failed checks, half a second apart; another half second covers a check that was in
/// progress.
const ROTATION_DELAY_MS: u64 = 1_500;

/// A leaving balancer may stop after this time without a packet, in milliseconds.
const QUIET_MS: u64 = 400;

/// Part of the grace period that is reserved for stopping the process, in milliseconds.
const GRACE_RESERVE_MS: u64 = 1_000;

/// How long a packet is kept, in milliseconds. By then its client has retransmitted it.
const PACKET_TTL_MS: u64 = 1_500;

/// Path at which a balancer serves its status to operators, at the port for messages.
pub const STATUS: &str = "/status";

struct Shared {
    core: Mutex<Balancer>,
    clock: Clock,
    clients: Arc<UdpSocket>,
    /// Port at which clients receive packets.
    client_port: u16,
    link: Link,
    decision_log: DecisionLog,
    collector: collector::Writer,
    kept: Mutex<Packets>,
    last_packet: Mutex<Time>,
    /// Checks agents' ports. Set once, after everything that it uses has been created.
    checker: OnceLock<Checker>,
}

/// A running balancer.
pub struct Handle {
    shared: Arc<Shared>,
    reload: Reload,
    grace_ms: u64,
    _readiness: web::Handle,
    _peers: web::Handle,
    _metrics: web::Handle,
}

/// Starts a balancer.
///
/// # Errors
/// When an address cannot be bound or a thread cannot be started.
pub fn spawn(
    settings: &Settings,
    path: std::path::PathBuf,
    metrics: metric::Handle,
    policy: Policy,
) -> Result<Handle, Fault> {
    let clock = Clock::open();
    let now = clock.now();
    let policy = policy.under(settings.conditions.iter().copied());
    let switched_off = policy.switched_off();
    let identity = Identity {
        address: settings.ip,
        domain: Arc::clone(&settings.domain),
        regions: settings.regions.clone(),
        policy,
    };
    let core = Balancer::open(now, identity, &settings.seeds);
    let (writer, batches) = collector::channel();
    let shared = Arc::new(Shared {
        core: Mutex::new(core),
        clock,
        clients: Arc::new(link::bind("clients' packets", settings.packets)?),
        client_port: settings.packets.port(),
        link: Link::bind(settings.messages)?,
        decision_log: DecisionLog::spawn(Arc::clone(&settings.host))?,
        collector: writer,
        kept: Mutex::new(Packets::open(PACKET_TTL_MS)),
        last_packet: Mutex::new(now),
        checker: OnceLock::new(),
    });
    spawn_checker(&shared)?;
    let latest_era = LatestEra::default();
    let source = Source::open(settings.transfer);
    let fetcher = spawn_configuration(&shared, settings, &latest_era, &source)?;
    spawn_readers(&shared, fetcher)?;
    spawn_membership(&shared, settings, &latest_era)?;
    let committed = Arc::clone(&shared);
    collector::spawn(settings, &latest_era, clock, batches, move |written| {
        committed.handle(Event::Committed(written), &[]);
    })?;
    let readiness = spawn_readiness(&shared, settings.readiness)?;
    let peers = spawn_peers(&shared, settings.messages, source)?;
    let metrics = spawn_metrics(settings.metrics, metrics)?;
    info!(event = "started", role = "balancer", settings:? = settings, without:? = switched_off;
        "balancer started");
    Ok(Handle {
        shared,
        reload: Reload::open(path, settings.clone(), now),
        grace_ms: settings.grace_ms,
        _readiness: readiness,
        _peers: peers,
        _metrics: metrics,
    })
}

impl Handle {
    /// Waits until the next tick is due.
    pub fn pause(&self) {
        thread::sleep(Duration::from_millis(TICK_MS));
    }

    /// Runs one tick. Checks the settings file at once if a signal asked for it.
    pub fn tick(&mut self, reload_signalled: bool) {
        let now = self.shared.clock.now();
        if let Some(settings) = self.reload.check(now, reload_signalled) {
            self.shared.handle(Event::Listed(settings.seeds), &[]);
        }
        self.shared.handle(Event::Tick, &[]);
        gauges::update(&self.shared.core(), now);
    }

    /// Leaves the rotation, forwards packets until no more arrive, and returns. Until then the other
    /// balancers are told that this one still runs, so that they tell it what changes.
    pub fn leave(self) {
        let begun = self.shared.clock.now();
        info!(event = "leaving", role = "balancer"; "stop requested");
        self.shared.handle(Event::Leave, &[]);
        let limit = self.grace_ms.saturating_sub(GRACE_RESERVE_MS);
        let mut ticked_at = begun;
        loop {
            thread::sleep(Duration::from_millis(QUIET_MS / 2));
            let now = self.shared.clock.now();
            if now.since(ticked_at) >= TICK_MS {
                self.shared.handle(Event::Tick, &[]);
                ticked_at = now;
            }
            let quiet = now.since(*lock(&self.shared.last_packet)) > QUIET_MS;
            let passed = now.since(begun);
            if passed > limit || (passed > ROTATION_DELAY_MS && quiet) {
                info!(event = "stopped", role = "balancer", after_ms = passed; "balancer stopped");
                return;
            }
        }
    }
}

fn spawn_configuration(
    shared: &Arc<Shared>,
    settings: &Settings,
    latest_era: &LatestEra,
    source: &Source,
) -> Result<Fetcher, Fault> {
    let store = Metered::open(settings, latest_era, Purpose::Configuration);
    let timeouts = Timeouts::for_apply_time(settings.apply_ms);
    let watch = Watch::open(store, source.clone(), shared.clock, timeouts);
    let watching = Arc::clone(shared);
    let delegate = move || watching.delegate();
    let updating = Arc::clone(shared);
    let apply = move |update| {
        let event = match update {
            Update::Orders(orders) => Event::Ordered(orders),
            Update::Configuration(table) => Event::Configured(table),
        };
        updating.handle(event, &[]);
    };
    configuration::spawn_watch(watch, delegate, store_answered(shared), apply)?;
    let fetched = Arc::clone(shared);
    let configured = move |table: Table| fetched.handle(Event::Configured(table), &[]);
    Ok(Fetcher::spawn(settings.messages, source.clone(), configured)?)
}

/// Returns a callback that records whether the store answered a call of this process.
fn store_answered(shared: &Arc<Shared>) -> impl Fn(bool) + Send + 'static {
    let shared = Arc::clone(shared);
    move |answered| shared.handle(Event::StoreAnswered(answered), &[])
}

/// Starts checks of the ports of agents.
fn spawn_checker(shared: &Arc<Shared>) -> Result<(), Fault> {
    let checked = Arc::clone(shared);
    let checker = Checker::spawn(move |address, finding| {
        if let IpAddr::V4(agent) = address.ip() {
            checked.handle(Event::PortChecked(agent, finding), &[]);
        }
    })?;
    shared.checker.get_or_init(|| checker);
    Ok(())
}

fn spawn_readers(shared: &Arc<Shared>, fetcher: Fetcher) -> Result<(), Fault> {
    let clients = Arc::clone(shared);
    link::spawn_reader("clients", Arc::clone(&shared.clients), move |bytes, _| {
        clients.handle_client_packet(bytes);
    })?;
    let messages = Arc::clone(shared);
    link::spawn_reader("messages", shared.link.socket(), move |bytes, from| {
        messages.handle_message(bytes, from, &fetcher);
    })?;
    Ok(())
}

fn spawn_membership(
    shared: &Arc<Shared>,
    settings: &Settings,
    latest_era: &LatestEra,
) -> Result<(), Fault> {
    let receiving = Arc::clone(shared);
    let registering = Arc::clone(shared);
    let listing = Arc::clone(shared);
    let hooks = membership::Hooks {
        receives_gossip: Box::new(move || receiving.receives_gossip()),
        entry: Box::new(move || registering.entry()),
        store_answered: Box::new(store_answered(shared)),
        listed: Box::new(move |balancers| listing.handle(Event::Listed(balancers), &[])),
    };
    membership::spawn(settings, latest_era, shared.clock, hooks)?;
    Ok(())
}

fn spawn_readiness(shared: &Arc<Shared>, address: SocketAddrV4) -> Result<web::Handle, Fault> {
    let shared = Arc::clone(shared);
    serve("readiness", address, move |call| match call.path.as_str() {
        control::READINESS if shared.is_ready() => Answer::new(200, ""),
        control::READINESS => Answer::new(503, ""),
        _ => Answer::new(404, ""),
    })
}

/// Serves the status, and the configuration for other processes.
fn spawn_peers(
    shared: &Arc<Shared>,
    address: SocketAddrV4,
    source: Source,
) -> Result<web::Handle, Fault> {
    let shared = Arc::clone(shared);
    serve("balancers' calls", address, move |call| match call.path.as_str() {
        STATUS => shared.status(),
        configuration::PATH => source.answer(),
        _ => Answer::new(404, ""),
    })
}

impl Shared {
    fn core(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.core)
    }

    fn delegate(&self) -> Option<Delegate> {
        let now = self.clock.now();
        let core = self.core();
        Some(Delegate { rank: core.delegate_rank(now)?, orders: core.orders().cloned() })
    }

    /// Returns the balancers that this balancer's entry in the store is to name, or `None` if it is
    /// to have no entry.
    fn entry(&self) -> Option<Vec<Ipv4Addr>> {
        let now = self.clock.now();
        let core = self.core();
        core.watches(now).then(|| core.domain_peers(now))
    }

    fn receives_gossip(&self) -> bool {
        let now = self.clock.now();
        self.core().receives_gossip(now)
    }

    fn status(&self) -> Answer {
        let now = self.clock.now();
        match serde_json::to_vec(&self.core().status(now)) {
            Ok(body) => Answer::new(200, body),
            Err(error) => Answer::new(500, error.to_string()),
        }
    }

    fn is_ready(&self) -> bool {
        let now = self.clock.now();
        self.core().is_ready(now)
    }

    fn handle_client_packet(&self, bytes: &[u8]) {
        *lock(&self.last_packet) = self.clock.now();
        match packet::decode(bytes, Direction::ToService) {
            Ok(head) if !head.flags.bounced => {
                counter!(metric::PACKETS_IN).increment(1);
                self.handle(Event::Client(head), bytes);
            }
            _ => link::drop_datagram("packet"),
        }
    }

    fn handle_message(&self, bytes: &mut [u8], from: Ipv4Addr, fetcher: &Fetcher) {
        let Ok((message, packet)) = wire::decode(bytes) else {
            link::drop_datagram("message");
            return;
        };
        let event = match message {
            Message::Declined { reason, load } => {
                let Some(head) = link::client_head(packet) else { return };
                Event::Declined { from, head, reason, load }
            }
            Message::Relay => {
                let Some(head) = link::client_head(packet) else { return };
                Event::Relayed(head)
            }
            Message::Holds { flow, load } => Event::Holds { from, flow, load },
            Message::Absent { flow, load } => Event::Absent { from, flow, load },
            Message::Unsure { flow, load } => Event::Unsure { from, flow, load },
            Message::Announce(announcement) => Event::Announced(from, announcement),
            Message::Gossip(roster) => Event::Gossip(from, roster),
            Message::Summary(summary) => Event::Summary(summary),
            Message::Orders(orders) => Event::Ordered(orders),
            Message::SaveFlows(list) => Event::SaveFlows(from, list),
            Message::Inquire { agents } => Event::Inquired(from, agents),
            Message::Hears { agents } => Event::Hears(from, agents),
            Message::ListAgents { request } => Event::ListAgents(from, request),
            Message::Agents(inventory) => Event::Agents(from, inventory),
            Message::Unheard { silent_ms } => Event::Unheard(from, silent_ms),
            Message::FlowsSaved { .. }
            | Message::Open(_)
            | Message::Carry { .. }
            | Message::CarryWithoutRoute(_)
            | Message::Locate { .. } => {
                link::drop_datagram("message");
                return;
            }
        };
        let fetch = self.handle_with_fetch(event, packet);
        fetch.into_iter().for_each(|holder| fetcher.fetch(holder));
    }

    fn handle(&self, event: Event, packet: &[u8]) {
        // Only messages from other processes request a fetch, and those are handled in
        // `handle_message`.
        self.handle_with_fetch(event, packet);
    }

    fn handle_with_fetch(&self, event: Event, packet: &[u8]) -> Option<Holder> {
        let now = self.clock.now();
        let (fetch, recalled) = self.handle_one(now, event, packet, now);
        let mut recalled = VecDeque::from(recalled);
        // This loop ends: packets are recalled only when the state changes, and it does not change
        // while `now` stays the same.
        while let Some(Packet { head, bytes, received_at }) = recalled.pop_front() {
            let (_, more) = self.handle_one(now, Event::Recalled(head), &bytes, received_at);
            recalled.extend(more);
        }
        fetch
    }

    /// Handles an event with its packet, which was received at `received_at`. Returns the process
    /// to fetch a configuration from, and the kept packets that were recalled.
    fn handle_one(
        &self,
        now: Time,
        event: Event,
        packet: &[u8],
        received_at: Time,
    ) -> (Option<Holder>, Vec<Packet>) {
        let actions = self.core().handle(now, event);
        let mut fetch = None;
        let mut recalled = Vec::new();
        for action in actions {
            match action {
                Action::Forward(to, message) => self.link.send(to, &message, packet),
                Action::Send(to, message) => self.link.send(to, &message, &[]),
                Action::Reset { flow, seq } => {
                    counter!(metric::RESETS).increment(1);
                    lock(&self.kept).take(now, &flow);
                    let client = SocketAddrV4::new(*flow.client.ip(), self.client_port);
                    link::send(&self.clients, &packet::reset(&flow, seq), client);
                }
                Action::Keep(head) => self.keep(now, received_at, head, packet),
                Action::Recall => recalled.extend(lock(&self.kept).take_all(now)),
                Action::RecallFlow(flow) => recalled.extend(lock(&self.kept).take(now, &flow)),
                Action::Fetch(holder) => fetch = Some(holder),
                Action::Commit(batch) => {
                    if !self.collector.write(batch) {
                        link::drop_datagram("checkpoint");
                    }
                }
                Action::CheckPort { agent, asked_at } => {
                    if let Some(checker) = self.checker.get() {
                        checker.check(self.link.address_of(agent).into(), asked_at);
                    }
                }
                Action::Log(decision) => self.decision_log.record(now, decision),
            }
        }
        (fetch, recalled)
    }

    fn keep(&self, now: Time, received_at: Time, head: Head, packet: &[u8]) {
        if !lock(&self.kept).keep(now, received_at, head, packet) {
            link::drop_datagram("kept");
        }
    }
}
