//! A running balancer: clients' packets in, messages to agents out.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
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
use super::configuration::{self, Fetcher, News, Source, Watch, Watcher};
use super::gauges;
use super::journal::Journal;
use super::kept::{Packet, Packets};
use super::link::{self, Link};
use super::metered::{Metered, Purpose};
use super::reload::Reload;
use super::{Fault, membership, serve, spawn_metrics};
use crate::clock::Clock;
use crate::lock::lock;
use crate::metric;
use crate::web::{self, Answer};

/// The platform takes a process out of rotation after two failed checks, half a second apart; the
/// third half covers a check that was under way.
const ROTATION_MS: u64 = 1_500;

/// A leaving balancer that has had no packet for so long has done its work.
const QUIET_MS: u64 = 400;

/// Part of the grace period that is kept back for ending, in milliseconds.
const RESERVE_MS: u64 = 1_000;

/// A packet is worth nothing to a balancer after this, in milliseconds: its client has sent it again.
const KEPT_MS: u64 = 1_500;

/// Path at which a balancer tells operators of itself, beside the messages' port.
pub const STATUS: &str = "/status";

struct Shared {
    core: Mutex<Balancer>,
    clock: Clock,
    clients: Arc<UdpSocket>,
    /// Port at which clients take packets.
    client_port: u16,
    link: Link,
    journal: Journal,
    collector: collector::Writer,
    kept: Mutex<Packets>,
    last_packet: Mutex<Time>,
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
        journal: Journal::spawn(Arc::clone(&settings.host))?,
        collector: writer,
        kept: Mutex::new(Packets::open(KEPT_MS)),
        last_packet: Mutex::new(now),
    });
    let newest = LatestEra::default();
    let source = Source::default();
    let fetcher = spawn_configuration(&shared, settings, &newest, &source)?;
    spawn_readers(&shared, fetcher)?;
    spawn_membership(&shared, settings, &newest)?;
    let committed = Arc::clone(&shared);
    collector::spawn(settings, &newest, clock, batches, move |written| {
        committed.handle(Event::Committed(written), &[]);
    })?;
    let readiness = spawn_readiness(&shared, settings.readiness)?;
    let peers = spawn_peers(&shared, settings.messages, source)?;
    let metrics = spawn_metrics(settings.metrics, metrics)?;
    info!(event = "started", role = "balancer", settings:? = settings, without:? = switched_off;
        "balancer runs");
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

    /// Does what is due with each tick; looks at the settings file at once if a signal asked for it.
    pub fn tick(&mut self, reload_signalled: bool) {
        let now = self.shared.clock.now();
        if let Some(settings) = self.reload.look(now, reload_signalled) {
            self.shared.handle(Event::Listed(settings.seeds), &[]);
        }
        self.shared.handle(Event::Tick, &[]);
        gauges::show(&self.shared.core(), now);
    }

    /// Leaves the rotation, goes on carrying packets until none come, and returns.
    pub fn leave(self) {
        let begun = self.shared.clock.now();
        info!(event = "leaving", role = "balancer"; "told to stop");
        self.shared.handle(Event::Leave, &[]);
        let limit = self.grace_ms.saturating_sub(RESERVE_MS);
        loop {
            thread::sleep(Duration::from_millis(QUIET_MS / 2));
            let now = self.shared.clock.now();
            let quiet = now.since(*lock(&self.shared.last_packet)) > QUIET_MS;
            let passed = now.since(begun);
            if passed > limit || (passed > ROTATION_MS && quiet) {
                info!(event = "stopped", role = "balancer", after_ms = passed; "balancer ends");
                return;
            }
        }
    }
}

fn spawn_configuration(
    shared: &Arc<Shared>,
    settings: &Settings,
    newest: &LatestEra,
    source: &Source,
) -> Result<Fetcher, Fault> {
    let store = Metered::open(settings, newest, Purpose::Configuration);
    let timeouts = Timeouts::for_apply_time(settings.apply_ms);
    let watch = Watch::open(store, source.clone(), shared.clock, timeouts);
    let watching = Arc::clone(shared);
    let known = move || watching.watcher();
    let told = Arc::clone(shared);
    let take = move |news| {
        let event = match news {
            News::Orders(orders) => Event::Ordered(orders),
            News::Configuration(table) => Event::Configured(table),
        };
        told.handle(event, &[]);
    };
    configuration::spawn_watch(watch, known, store_answered(shared), take)?;
    let fetched = Arc::clone(shared);
    let configured = move |table: Table| fetched.handle(Event::Configured(table), &[]);
    Ok(Fetcher::spawn(settings.messages, source.clone(), configured)?)
}

/// Takes in whether the store answered a call of this process.
fn store_answered(shared: &Arc<Shared>) -> impl Fn(bool) + Send + 'static {
    let shared = Arc::clone(shared);
    move |answered| shared.handle(Event::StoreAnswered(answered), &[])
}

fn spawn_readers(shared: &Arc<Shared>, fetcher: Fetcher) -> Result<(), Fault> {
    let clients = Arc::clone(shared);
    link::spawn_reader("clients", Arc::clone(&shared.clients), move |bytes, _| {
        clients.client(bytes);
    })?;
    let messages = Arc::clone(shared);
    link::spawn_reader("messages", shared.link.socket(), move |bytes, from| {
        messages.message(bytes, from, &fetcher);
    })?;
    Ok(())
}

fn spawn_membership(
    shared: &Arc<Shared>,
    settings: &Settings,
    newest: &LatestEra,
) -> Result<(), Fault> {
    let hearing = Arc::clone(shared);
    let registering = Arc::clone(shared);
    let listing = Arc::clone(shared);
    let hooks = membership::Hooks {
        hears: Box::new(move || hearing.hears_others()),
        entry: Box::new(move || registering.entry()),
        answered: Box::new(store_answered(shared)),
        listed: Box::new(move |balancers| listing.handle(Event::Listed(balancers), &[])),
    };
    membership::spawn(settings, newest, shared.clock, hooks)?;
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

/// Serves other balancers.
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

    fn watcher(&self) -> Option<Watcher> {
        let now = self.clock.now();
        let core = self.core();
        Some(Watcher { rank: core.delegate_rank(now)?, orders: core.orders().cloned() })
    }

    /// The balancers that this one's entry in the store is to name, while it is to have one.
    fn entry(&self) -> Option<Vec<Ipv4Addr>> {
        let now = self.clock.now();
        let core = self.core();
        core.watches(now).then(|| core.domain_peers(now))
    }

    fn hears_others(&self) -> bool {
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

    fn client(&self, bytes: &[u8]) {
        *lock(&self.last_packet) = self.clock.now();
        match packet::decode(bytes, Direction::ToService) {
            Ok(head) if !head.flags.bounced => {
                counter!(metric::PACKETS_IN).increment(1);
                self.handle(Event::Client(head), bytes);
            }
            _ => link::drop_datagram("packet"),
        }
    }

    fn message(&self, bytes: &mut [u8], from: Ipv4Addr, fetcher: &Fetcher) {
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
            Message::Announce(word) => Event::Announced(from, word),
            Message::Gossip(roster) => Event::Gossip(from, roster),
            Message::Summary(summary) => Event::Summary(summary),
            Message::Orders(orders) => Event::Ordered(orders),
            Message::SaveFlows(list) => Event::SaveFlows(from, list),
            Message::FlowsSaved { .. }
            | Message::Open(_)
            | Message::Carry { .. }
            | Message::Locate { .. } => {
                link::drop_datagram("message");
                return;
            }
        };
        let fetch = self.handle_fetching(event, packet);
        fetch.into_iter().for_each(|holder| fetcher.fetch(holder));
    }

    fn handle(&self, event: Event, packet: &[u8]) {
        // Only word of other balancers asks for a fetch, and that goes the other way.
        self.handle_fetching(event, packet);
    }

    fn handle_fetching(&self, event: Event, packet: &[u8]) -> Option<Holder> {
        let now = self.clock.now();
        let (fetch, recalled) = self.act(now, event, packet, now);
        let mut recalled = VecDeque::from(recalled);
        // Ends: packets are recalled when something changes, and nothing does while `now` stands still.
        while let Some(Packet { head, bytes, at }) = recalled.pop_front() {
            let (_, more) = self.act(now, Event::Recalled(head), &bytes, at);
            recalled.extend(more);
        }
        fetch
    }

    /// Handles an event with its packet, which came at `at`. Returns who has a
    /// configuration to fetch, and the kept packets that were called for.
    fn act(
        &self,
        now: Time,
        event: Event,
        packet: &[u8],
        at: Time,
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
                Action::Keep(head) => self.keep(now, at, head, packet),
                Action::Recall => recalled.extend(lock(&self.kept).take_all(now)),
                Action::RecallFlow(flow) => recalled.extend(lock(&self.kept).take(now, &flow)),
                Action::Fetch(holder) => fetch = Some(holder),
                Action::Commit(batch) => {
                    if !self.collector.write(batch) {
                        link::drop_datagram("checkpoint");
                    }
                }
                Action::Log(note) => self.journal.note(now, note),
            }
        }
        (fetch, recalled)
    }

    fn keep(&self, now: Time, at: Time, head: Head, packet: &[u8]) {
        if !lock(&self.kept).keep(now, at, head, packet) {
            link::drop_datagram("kept");
        }
    }
}
