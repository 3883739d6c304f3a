//! A running agent: packets between balancers, the backend server beside it, and clients.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::Duration;

use log::info;
use metrics::{counter, gauge, histogram};
use nutmegkeel_core::l4::agent::{Action, Agent, Event, Identity, TICK_MS};
use nutmegkeel_core::l4::flow::Direction;
use nutmegkeel_core::l4::message::Message;
use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::l4::route::Table;
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_platform::store::LatestEra;
use nutmegkeel_platform::{control, packet};
use nutmegkeel_wire::l4 as wire;

use super::configuration::{Fetcher, Source};
use super::journal::Journal;
use super::link::{self, Link};
use super::reload::Reload;
use super::requests::Requests;
use super::{Fault, checkpoint, membership, serve, spawn_configuration, spawn_metrics};
use crate::clock::Clock;
use crate::lock::lock;
use crate::metric;
use crate::web::{self, Answer};

/// A leaving agent serves so long before it ends: balancers hear at once that it leaves, and what
/// they sent before is on its way for a few milliseconds.
const LAST: Duration = Duration::from_millis(200);

/// Part of the store's writes that the agents' lists of flows may take, in percent: the rest is for the
/// operator and for processes that register.
const CHECKPOINT_PERCENT: u64 = 20;

/// A request is kept no longer than any client waits for its answer, in milliseconds.
const KEPT_MS: u64 = 10_000;

struct Shared {
    core: Mutex<Agent>,
    clock: Clock,
    /// Where the backend server sends its packets, and ours to it come from.
    beside: Arc<UdpSocket>,
    server: SocketAddrV4,
    /// Port at which clients take packets.
    client_port: u16,
    link: Link,
    journal: Journal,
    /// First requests that wait for a slot.
    kept: Mutex<Requests>,
    checkpoints: checkpoint::Writer,
    /// Fetches copies of the configuration; set once, when the process is complete.
    fetcher: OnceLock<Fetcher>,
}

/// A running agent.
pub struct Handle {
    shared: Arc<Shared>,
    reload: Reload,
    _control: web::Handle,
    _metrics: web::Handle,
    _replica: web::Handle,
}

/// Starts an agent.
///
/// # Errors
/// When the settings lack a field, an address cannot be bound or a thread cannot be started.
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
        policy,
        incarnation: now.millis(),
        domain: Arc::clone(&settings.domain),
        heartbeat_ms: settings.heartbeat_ms,
        checkpoints_per_s: settings.store_writes_per_s * CHECKPOINT_PERCENT / 100,
    };
    let newest = LatestEra::default();
    let (checkpoints, lists) = checkpoint::channel();
    let addresses = settings.endpoints()?;
    let shared = Arc::new(Shared {
        core: Mutex::new(Agent::open(now, identity, &settings.seeds)),
        clock,
        beside: Arc::new(link::bind("the backend server's packets", addresses.from_server)?),
        server: addresses.server,
        client_port: settings.packets.port(),
        link: Link::bind(settings.messages)?,
        journal: Journal::spawn(Arc::clone(&settings.host))?,
        kept: Mutex::new(Requests::open(KEPT_MS)),
        checkpoints,
        fetcher: OnceLock::new(),
    });
    let replica = spawn_replica(&shared, settings)?;
    spawn_readers(&shared)?;
    let restored = Arc::clone(&shared);
    let told = Arc::clone(&shared);
    let answers = move || told.core().reaches_store(told.clock.now());
    checkpoint::spawn(settings, &newest, clock, lists, answers, move |list| {
        restored.handle(Event::Recovered(list), &mut []);
    })?;
    spawn_membership(&shared, settings, &newest)?;
    let control = spawn_control(&shared, addresses.control)?;
    let metrics = spawn_metrics(settings.metrics, metrics)?;
    info!(event = "started", role = "agent", settings:? = settings, without:? = switched_off;
        "agent runs");
    Ok(Handle {
        shared,
        reload: Reload::open(path, settings.clone(), now),
        _control: control,
        _metrics: metrics,
        _replica: replica,
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
            self.shared.handle(Event::Listed(settings.seeds), &mut []);
        }
        self.shared.handle(Event::Tick, &mut []);
        let load = self.shared.core().load();
        gauge!(metric::FLOWS).set(f64::from(load.flows));
        gauge!(metric::BUSY).set(f64::from(load.busy));
    }

    /// Tells the balancers, serves what is on its way, and returns.
    pub fn leave(self) {
        info!(event = "leaving", role = "agent"; "told to stop");
        self.shared.handle(Event::Leave, &mut []);
        thread::sleep(LAST);
        info!(event = "stopped", role = "agent"; "agent ends");
    }
}

/// Reads who the balancers are; an agent has no entry of its own.
fn spawn_membership(
    shared: &Arc<Shared>,
    settings: &Settings,
    newest: &LatestEra,
) -> Result<(), Fault> {
    let hearing = Arc::clone(shared);
    let listing = Arc::clone(shared);
    let hooks = membership::Hooks {
        hears: Box::new(move || hearing.core().has_balancer_contact()),
        entry: Box::new(|| None),
        answered: Box::new(|_| ()),
        listed: Box::new(move |balancers| listing.handle(Event::Listed(balancers), &mut [])),
    };
    membership::spawn(settings, newest, shared.clock, hooks)?;
    Ok(())
}

/// Fetches copies of the configuration, and hands them to balancers that ask.
fn spawn_replica(shared: &Arc<Shared>, settings: &Settings) -> Result<web::Handle, Fault> {
    let source = Source::default();
    let holding = Arc::clone(shared);
    let fetched = move |table: Table| holding.handle(Event::Fetched(table.version), &mut []);
    let fetcher = Fetcher::spawn(settings.messages, source.clone(), fetched)?;
    shared.fetcher.get_or_init(|| fetcher);
    spawn_configuration(settings.messages, source)
}

fn spawn_readers(shared: &Arc<Shared>) -> Result<(), Fault> {
    let beside = Arc::clone(shared);
    link::spawn_reader("server", Arc::clone(&shared.beside), move |bytes, _| {
        beside.server_packet(bytes);
    })?;
    let messages = Arc::clone(shared);
    link::spawn_reader("messages", shared.link.socket(), move |bytes, from| {
        messages.message(bytes, from);
    })?;
    Ok(())
}

fn spawn_control(shared: &Arc<Shared>, address: SocketAddrV4) -> Result<web::Handle, Fault> {
    let shared = Arc::clone(shared);
    serve("heartbeats", address, move |call| match control::decode(&call.path, &call.body) {
        Ok(control::Call::Heartbeat(beat)) => {
            shared.handle(Event::Heartbeat(beat), &mut []);
            Answer::new(200, control::EMPTY_BODY)
        }
        Ok(control::Call::Deregister(leaving)) => {
            shared.handle(Event::Deregistered(leaving), &mut []);
            Answer::new(200, control::EMPTY_BODY)
        }
        Err(fault @ control::Fault::Path(_)) => Answer::new(404, fault.to_string()),
        Err(fault) => {
            counter!(metric::HEARTBEATS_REFUSED).increment(1);
            let reason = fault.to_string();
            shared.journal.refused(shared.clock.now(), &reason);
            Answer::new(400, reason)
        }
    })
}

impl Shared {
    fn core(&self) -> MutexGuard<'_, Agent> {
        lock(&self.core)
    }

    fn kept(&self) -> MutexGuard<'_, Requests> {
        lock(&self.kept)
    }

    fn server_packet(&self, bytes: &mut [u8]) {
        let Ok(head) = packet::decode(bytes, Direction::ToClient) else {
            link::drop_datagram("packet");
            return;
        };
        if head.flags.bounced {
            packet::restore(bytes);
            self.handle(Event::Bounced(head), bytes);
        } else {
            counter!(metric::PACKETS_OUT).increment(1);
            self.handle(Event::FromServer(head), bytes);
        }
    }

    fn message(&self, bytes: &mut [u8], from: Ipv4Addr) {
        let Ok((message, packet)) = wire::decode(bytes) else {
            link::drop_datagram("message");
            return;
        };
        let at = bytes.len() - packet.len();
        let event = match message {
            Message::Gossip(roster) => Event::Gossip(from, roster),
            Message::Open(offer) => {
                let Some(head) = link::client_head(packet) else { return };
                Event::Open { from, head, offer }
            }
            Message::Carry { known } => {
                let Some(head) = link::client_head(packet) else { return };
                Event::Carry { from, head, known }
            }
            Message::Locate { flow } => Event::Locate(from, flow),
            Message::FlowsSaved { number } => Event::FlowsSaved(number),
            Message::Declined { .. }
            | Message::Holds { .. }
            | Message::Absent { .. }
            | Message::Unsure { .. }
            | Message::Relay
            | Message::Orders(_)
            | Message::SaveFlows(_)
            | Message::Summary(_)
            | Message::Announce(_) => {
                link::drop_datagram("message");
                return;
            }
        };
        self.handle(event, &mut bytes[at..]);
    }

    fn handle(&self, event: Event, packet: &mut [u8]) {
        let now = self.clock.now();
        let actions = self.core().handle(now, event);
        for action in actions {
            match action {
                Action::ToServer(tag) => {
                    packet::set_tag(packet, tag);
                    link::send(&self.beside, packet, self.server);
                }
                Action::Keep(head) => {
                    if !self.kept().keep(now, &head, packet) {
                        link::drop_datagram("kept");
                    }
                }
                Action::Release(flow) => {
                    for mut bytes in self.kept().take(now, &flow) {
                        packet::set_tag(&mut bytes, 0);
                        link::send(&self.beside, &bytes, self.server);
                    }
                }
                Action::Forget(flow) => {
                    self.kept().take(now, &flow);
                }
                Action::ToClient => self.to_client(packet),
                Action::Return(to, message) => {
                    packet::restore(packet);
                    self.link.send(to, &message, packet);
                }
                Action::Send(to, message) => self.link.send(to, &message, &[]),
                Action::Reset { flow, seq } => {
                    counter!(metric::RESETS).increment(1);
                    let client = SocketAddrV4::new(*flow.client.ip(), self.client_port);
                    link::send(&self.beside, &packet::reset(&flow, seq), client);
                }
                Action::Save(list) => self.checkpoints.write(list),
                Action::Fetch(holder) => {
                    if let Some(fetcher) = self.fetcher.get() {
                        fetcher.fetch(holder);
                    }
                }
                Action::CountAnswer(millis) => {
                    histogram!(metric::ANSWER_SECONDS).record(Duration::from_millis(millis));
                }
                Action::CountWait { urgency, waited_ms } => {
                    let label = urgency.name();
                    histogram!(metric::WAIT_SECONDS, "urgency" => label)
                        .record(Duration::from_millis(waited_ms));
                }
                Action::Log(note) => self.journal.note(now, note),
            }
        }
    }

    fn to_client(&self, packet: &[u8]) {
        if let Ok(head) = packet::decode(packet, Direction::ToClient) {
            let client = SocketAddrV4::new(*head.flow.client.ip(), self.client_port);
            link::send(&self.beside, packet, client);
        }
    }
}
