//! Runs an agent: passes packets between balancers, the local backend server and clients.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::Duration;

use log::info;
use metrics::{counter, gauge, histogram};
use nutmegkeel_core::l4::agent::{Action, Agent, Event, Identity, TICK_MS};
use nutmegkeel_core::l4::flow::Direction;
use nutmegkeel_core::l4::health::LINGER_MS;
use nutmegkeel_core::l4::message::Message;
use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::l4::route::{Service, Table};
use nutmegkeel_platform::settings::Settings;
use nutmegkeel_platform::store::LatestEra;
use nutmegkeel_platform::{control, packet};
use nutmegkeel_wire::l4 as wire;

use super::configuration::{Fetcher, Source};
use super::decision_log::DecisionLog;
use super::link::{self, Link};
use super::reload::Reload;
use super::requests::Requests;
use super::{Fault, checkpoint, membership, serve, spawn_configuration, spawn_metrics};
use crate::clock::Clock;
use crate::lock::lock;
use crate::metric;
use crate::port_check::Checker;
use crate::web::{self, Answer};

/// How long an agent goes on serving after it has last announced that it leaves. Balancers receive
/// the announcement at once, but packets that they sent before it are in transit for a few
/// milliseconds.
const LINGER: Duration = Duration::from_millis(LINGER_MS);

/// Share of the store's write budget that the agents' lists of flows may use, in percent. The rest
/// is for the operator and for processes that register.
const CHECKPOINT_PERCENT: u64 = 20;

/// How long a waiting request is kept, in milliseconds. No client waits longer for its answer.
const REQUEST_TTL_MS: u64 = 10_000;

struct Shared {
    core: Mutex<Agent>,
    /// Service of the backend server on this host; `None` if any may run there.
    service: Mutex<Option<Service>>,
    clock: Clock,
    /// Socket for packets from and to the backend server, and for packets to clients.
    server_socket: Arc<UdpSocket>,
    server: SocketAddrV4,
    /// Port at which clients receive packets.
    client_port: u16,
    link: Link,
    decision_log: DecisionLog,
    /// Requests that wait for a slot.
    kept: Mutex<Requests>,
    checkpoints: checkpoint::Writer,
    /// Fetches copies of the configuration. Set once, after everything that it uses has been
    /// created.
    fetcher: OnceLock<Fetcher>,
    /// Checks the backend server's port. Set once, like the fetcher.
    checker: OnceLock<Checker>,
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
    let latest_era = LatestEra::default();
    let (checkpoints, lists) = checkpoint::channel();
    let addresses = settings.endpoints()?;
    let shared = Arc::new(Shared {
        core: Mutex::new(Agent::open(now, identity, &settings.seeds)),
        service: Mutex::new(settings.service),
        clock,
        server_socket: Arc::new(link::bind("the backend server's packets", addresses.from_server)?),
        server: addresses.server,
        client_port: settings.packets.port(),
        link: Link::bind(settings.messages)?,
        decision_log: DecisionLog::spawn(Arc::clone(&settings.host))?,
        kept: Mutex::new(Requests::open(REQUEST_TTL_MS)),
        checkpoints,
        fetcher: OnceLock::new(),
        checker: OnceLock::new(),
    });
    spawn_checker(&shared)?;
    let replica = spawn_replica(&shared, settings)?;
    spawn_readers(&shared)?;
    let restored = Arc::clone(&shared);
    let querying = Arc::clone(&shared);
    let store_answers = move || querying.core().reaches_store(querying.clock.now());
    checkpoint::spawn(settings, &latest_era, clock, lists, store_answers, move |list| {
        restored.handle(Event::Recovered(list), &mut []);
    })?;
    spawn_membership(&shared, settings, &latest_era)?;
    let control = spawn_control(&shared, addresses.control)?;
    let metrics = spawn_metrics(settings.metrics, metrics)?;
    info!(event = "started", role = "agent", settings:? = settings, without:? = switched_off;
        "agent started");
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

    /// Runs one tick. Checks the settings file at once if a signal asked for it.
    pub fn tick(&mut self, reload_signalled: bool) {
        let now = self.shared.clock.now();
        if let Some(settings) = self.reload.check(now, reload_signalled) {
            *lock(&self.shared.service) = settings.service;
            self.shared.handle(Event::Listed(settings.seeds), &mut []);
        }
        self.shared.handle(Event::Tick, &mut []);
        let load = self.shared.core().load();
        gauge!(metric::FLOWS).set(f64::from(load.flows));
        gauge!(metric::BUSY).set(f64::from(load.busy));
    }

    /// Announces that the agent leaves, serves packets that are still in transit, and returns.
    pub fn leave(self) {
        info!(event = "leaving", role = "agent"; "stop requested");
        self.shared.handle(Event::Leave, &mut []);
        self.pause();
        self.shared.handle(Event::Tick, &mut []);
        thread::sleep(LINGER);
        info!(event = "stopped", role = "agent"; "agent stopped");
    }
}

/// Starts to read the list of balancers. An agent has no entry of its own there.
fn spawn_membership(
    shared: &Arc<Shared>,
    settings: &Settings,
    latest_era: &LatestEra,
) -> Result<(), Fault> {
    let receiving = Arc::clone(shared);
    let listing = Arc::clone(shared);
    let hooks = membership::Hooks {
        receives_gossip: Box::new(move || receiving.core().has_balancer_contact()),
        entry: Box::new(|| None),
        store_answered: Box::new(|_| ()),
        listed: Box::new(move |balancers| listing.handle(Event::Listed(balancers), &mut [])),
    };
    membership::spawn(settings, latest_era, shared.clock, hooks)?;
    Ok(())
}

/// Starts to fetch copies of the configuration and to serve them to balancers.
fn spawn_replica(shared: &Arc<Shared>, settings: &Settings) -> Result<web::Handle, Fault> {
    let source = Source::open(settings.transfer);
    let holding = Arc::clone(shared);
    let fetched = move |table: Table| holding.handle(Event::Fetched(table.version), &mut []);
    let fetcher = Fetcher::spawn(settings.messages, source.clone(), fetched)?;
    shared.fetcher.get_or_init(|| fetcher);
    spawn_configuration(settings.messages, source)
}

/// Starts checks of the backend server's port.
fn spawn_checker(shared: &Arc<Shared>) -> Result<(), Fault> {
    let checked = Arc::clone(shared);
    let checker = Checker::spawn(move |_, finding| {
        checked.handle(Event::ServerPortChecked(finding), &mut []);
    })?;
    shared.checker.get_or_init(|| checker);
    Ok(())
}

fn spawn_readers(shared: &Arc<Shared>) -> Result<(), Fault> {
    let server = Arc::clone(shared);
    link::spawn_reader("server", Arc::clone(&shared.server_socket), move |bytes, _| {
        server.handle_server_packet(bytes);
    })?;
    let messages = Arc::clone(shared);
    link::spawn_reader("messages", shared.link.socket(), move |bytes, from| {
        messages.handle_message(bytes, from);
    })?;
    Ok(())
}

fn spawn_control(shared: &Arc<Shared>, address: SocketAddrV4) -> Result<web::Handle, Fault> {
    let shared = Arc::clone(shared);
    serve("heartbeats", address, move |call| {
        match control::decode(&call.path, &call.body, shared.service()) {
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
                shared.decision_log.record_refused_heartbeat(shared.clock.now(), &reason);
                Answer::new(400, reason)
            }
        }
    })
}

impl Shared {
    /// Returns the service of the backend server on this host, if the settings state it.
    fn service(&self) -> Option<Service> {
        *lock(&self.service)
    }

    fn core(&self) -> MutexGuard<'_, Agent> {
        lock(&self.core)
    }

    fn kept(&self) -> MutexGuard<'_, Requests> {
        lock(&self.kept)
    }

    fn handle_server_packet(&self, bytes: &mut [u8]) {
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

    fn handle_message(&self, bytes: &mut [u8], from: Ipv4Addr) {
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
            Message::CarryWithoutRoute(missing) => {
                let Some(head) = link::client_head(packet) else { return };
                Event::CarryWithoutRoute { from, head, missing }
            }
            Message::Locate { flow } => Event::Locate(from, flow),
            Message::FlowsSaved { number } => Event::FlowsSaved(number),
            Message::Declined { .. }
            | Message::Holds { .. }
            | Message::Absent { .. }
            | Message::Unsure { .. }
            | Message::Relay
            | Message::Inquire { .. }
            | Message::Hears { .. }
            | Message::ListAgents { .. }
            | Message::Agents(_)
            | Message::Unheard { .. }
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
                    link::send(&self.server_socket, packet, self.server);
                }
                Action::Keep(head) => {
                    if !self.kept().keep(now, &head, packet) {
                        link::drop_datagram("kept");
                    }
                }
                Action::Release(flow) => {
                    for mut bytes in self.kept().take(now, &flow) {
                        packet::set_tag(&mut bytes, 0);
                        link::send(&self.server_socket, &bytes, self.server);
                    }
                }
                Action::Forget(flow) => {
                    self.kept().take(now, &flow);
                }
                Action::ToClient => self.send_to_client(packet),
                Action::Return(to, message) => {
                    packet::restore(packet);
                    self.link.send(to, &message, packet);
                }
                Action::Send(to, message) => self.link.send(to, &message, &[]),
                Action::Reset { flow, seq } => {
                    counter!(metric::RESETS).increment(1);
                    let client = SocketAddrV4::new(*flow.client.ip(), self.client_port);
                    link::send(&self.server_socket, &packet::reset(&flow, seq), client);
                }
                Action::Save(list) => self.checkpoints.write(list),
                Action::Fetch(holder) => {
                    if let Some(fetcher) = self.fetcher.get() {
                        fetcher.fetch(holder);
                    }
                }
                Action::CheckServerPort { asked_at } => {
                    if let Some(checker) = self.checker.get() {
                        checker.check(self.server.into(), asked_at);
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
                Action::Log(decision) => self.decision_log.record(now, decision),
            }
        }
    }

    fn send_to_client(&self, packet: &[u8]) {
        if let Ok(head) = packet::decode(packet, Direction::ToClient) {
            let client = SocketAddrV4::new(*head.flow.client.ip(), self.client_port);
            link::send(&self.server_socket, packet, client);
        }
    }
}
