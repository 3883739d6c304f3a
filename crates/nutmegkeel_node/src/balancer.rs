//! Runs a balancer: one thread per class address, one for frames, one for ticks.

mod forward;
mod platform;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, RwLockWriteGuard};
use std::thread;
use std::time::Duration;

use log::info;
use metrics::counter;
use nutmegkeel_core::balancer::{Action, Balancer as Core, Event};
use nutmegkeel_core::class;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::lifecycle::Phase;
use nutmegkeel_core::member::{Instance, Record, Role};
use nutmegkeel_core::membership::Timing;
use nutmegkeel_core::peer;
use nutmegkeel_core::placement::Rule;
use nutmegkeel_core::tombstone::Tombstones;
use nutmegkeel_store::etcd;
use nutmegkeel_wire::frame::{self, Header};
use nutmegkeel_wire::key::Ring;

use crate::address;
use crate::clock::Clock;
use crate::lock::lock;
use crate::metric;
use crate::port_check::Checker;
use crate::settings;
use crate::web::{self, Answer, Call};

/// Interval between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which threads check whether to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// A leaving balancer ends after this time without a packet from a caller, in milliseconds.
const QUIET_MS: u64 = 1_000;
/// A leaving balancer ends after this time in any case, in milliseconds.
const MAX_LEAVE_MS: u64 = 30_000;

/// The address of a class and the socket bound to it.
#[derive(Debug)]
struct Listener {
    name: class::Name,
    id: class::Id,
    socket: UdpSocket,
}

/// State that the threads of a balancer share.
#[derive(Debug)]
pub(crate) struct Shared {
    core: Mutex<Core>,
    clock: Clock,
    keys: Ring,
    frames: UdpSocket,
    own: SocketAddr,
    join: SocketAddr,
    listeners: BTreeMap<class::Id, Arc<Listener>>,
    ended: RwLock<Tombstones>,
    reads: Sender<()>,
    last_packet_ms: AtomicU64,
    leaving: AtomicBool,
    stopped: AtomicBool,
    platform: etcd::Client,
    /// Checks agents' ports. Set once, after everything that it uses has been created.
    checker: OnceLock<Checker>,
}

/// A running balancer.
pub struct Handle {
    shared: Arc<Shared>,
    _web: web::Handle,
    _administration: crate::administration::Handle,
}

/// Why a balancer could not start.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// An address could not be bound.
    #[error(transparent)]
    Bind(#[from] address::Fault),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
}

/// Starts a balancer.
///
/// # Errors
/// When an address cannot be bound or a thread cannot start.
pub fn spawn(settings: &settings::Balancer, metrics: metric::Handle) -> Result<Handle, Fault> {
    let clock = Clock::open();
    let (reads, read_requests) = channel();
    let shared = Arc::new(open(settings, clock, reads)?);
    spawn_checker(&shared).map_err(Fault::Thread)?;
    let web = {
        let shared = Arc::clone(&shared);
        let address = settings.common.web;
        web::spawn(address, Box::new(move |call| answer(&shared, &metrics, call)))
            .map_err(address::Fault::of("web", address))?
    };
    let address = settings.administration;
    let administration =
        crate::administration::spawn(address, &settings.token, Arc::clone(&shared))
            .map_err(address::Fault::of("administration", address))?;
    for listener in shared.listeners.values() {
        let (shared, listener) = (Arc::clone(&shared), Arc::clone(listener));
        spawn_thread("desk", move || forward::receive_from_callers(&shared, &listener))?;
    }
    let frames = Arc::clone(&shared);
    spawn_thread("frames", move || forward::receive_from_processes(&frames))?;
    let ticks = Arc::clone(&shared);
    spawn_thread("time", move || ticks.run_ticks())?;
    let platform = Arc::clone(&shared);
    spawn_thread("platform", move || platform::read_on_request(&platform, &read_requests))?;
    info!(event = "balancer_started", frames:display = shared.own; "balancer started");
    Ok(Handle { shared, _web: web, _administration: administration })
}

impl Handle {
    /// Leaves, and returns once no more packets from callers arrive.
    pub fn leave(self) {
        info!(event = "balancer_leaving"; "balancer leaving");
        let shared = &self.shared;
        shared.leaving.store(true, Ordering::Relaxed);
        shared.handle(Event::Leave);
        let since = shared.clock.now();
        loop {
            thread::sleep(POLL_INTERVAL);
            let now = shared.clock.now();
            let last = shared.last_packet_ms.load(Ordering::Relaxed);
            let quiet = now.millis().saturating_sub(last.max(since.millis())) > QUIET_MS;
            if quiet || now.since(since) > MAX_LEAVE_MS {
                break;
            }
        }
        shared.stopped.store(true, Ordering::Relaxed);
        info!(event = "balancer_stopped"; "balancer stopped");
    }

    /// Returns whether the balancer has to stop: an operator drains it, or a later instance has its
    /// address.
    #[must_use]
    pub fn must_stop(&self) -> bool {
        self.shared.leaving.load(Ordering::Relaxed) || self.shared.stopped.load(Ordering::Relaxed)
    }
}

impl Shared {
    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        // The core stays usable after another thread panicked while it held the lock.
        lock(&self.core)
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) const fn platform(&self) -> &etcd::Client {
        &self.platform
    }

    /// Passes an event to the core and executes the resulting actions.
    pub(crate) fn handle(&self, event: Event) {
        let actions = self.core().handle(self.clock.now(), event);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Peer(action) => self.execute_peer_action(action),
            Action::Read => {
                // The reader ends only with the process.
                let _ = self.reads.send(());
            }
            Action::CheckPort { agent, asked_at } => {
                if let Some(checker) = self.checker.get() {
                    checker.check(agent, asked_at);
                }
            }
            Action::Forward(_) | Action::Unplaced => {}
        }
    }

    fn execute_peer_action(&self, action: peer::Action) {
        match action {
            peer::Action::Send(to, message) => self.send(to, message),
            peer::Action::Join(message) => self.send(self.join, message),
            peer::Action::Gone(address, instance) => self.ended_mut().mark_ended(address, instance),
            peer::Action::Superseded => {
                info!(event = "balancer_superseded"; "a later instance has this address");
                self.stopped.store(true, Ordering::Relaxed);
            }
            peer::Action::InForce(entry) => {
                info!(event = "class_in_force", class = &*entry.name, revision = entry.revision.0;
                    "class in force");
            }
            peer::Action::Drain => {
                info!(event = "balancer_drained"; "operator requested this balancer to leave");
                self.leaving.store(true, Ordering::Relaxed);
            }
            peer::Action::Changed(rumor) => {
                info!(event = "peer_changed", peer:display = rumor.record.address,
                    health:? = rumor.health, phase:? = rumor.record.phase; "peer changed");
                if rumor.is_living() {
                    self.ended_mut().mark_alive(rumor.record.address, rumor.record.instance);
                }
            }
        }
    }

    fn ended_mut(&self) -> RwLockWriteGuard<'_, Tombstones> {
        self.ended.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this instance of the agent at `address` is known to have ended.
    fn is_gone(&self, address: SocketAddr, instance: Instance) -> bool {
        self.ended.read().unwrap_or_else(PoisonError::into_inner).is_ended(address, instance)
    }

    fn send(&self, to: SocketAddr, message: peer::Message) {
        let mut buffer = Vec::new();
        let header = Header::Message(self.own, message);
        frame::encode(&self.keys, self.clock.now(), header, &[], &mut buffer);
        counter!(metric::CONTROL_BYTES).increment(buffer.len() as u64);
        if self.frames.send_to(&buffer, to).is_err() {
            counter!(metric::DROPPED, "reason" => "send").increment(1);
        }
    }

    fn run_ticks(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(TICK_INTERVAL);
            self.handle(Event::Tick);
        }
    }
}

fn open(settings: &settings::Balancer, clock: Clock, reads: Sender<()>) -> Result<Shared, Fault> {
    let common = &settings.common;
    let frames = bind("frames", common.frames)?;
    let own = frames.local_addr().unwrap_or(common.frames);
    let mut listeners = BTreeMap::new();
    for listen in &settings.listen {
        let id = class::Id::of(&listen.class);
        let socket = bind("listen", listen.address)?;
        listeners.insert(id, Arc::new(Listener { name: listen.class.clone(), id, socket }));
    }
    let me = Record {
        address: own,
        instance: clock.instance(),
        version: 0,
        role: Role::Balancer,
        domain: common.domain.clone(),
        phase: Phase::Serving,
    };
    let core = Core::open(me, Timing::default(), Rule::LoadedRendezvous, rand::random());
    Ok(Shared {
        core: Mutex::new(core),
        clock,
        keys: common.keys.clone(),
        frames,
        own,
        join: common.join,
        listeners,
        ended: RwLock::new(Tombstones::default()),
        reads,
        last_packet_ms: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        stopped: AtomicBool::new(false),
        platform: etcd::Client::open(&common.platform),
        checker: OnceLock::new(),
    })
}

/// Starts checks of the ports of silent agents.
fn spawn_checker(shared: &Arc<Shared>) -> io::Result<()> {
    let checked = Arc::clone(shared);
    let checker = Checker::spawn(move |agent, finding| {
        info!(event = "port_checked", process:display = agent, state = finding.state.name();
            "port of a silent process checked");
        checked.handle(Event::PortChecked(agent, finding));
    })?;
    shared.checker.get_or_init(|| checker);
    Ok(())
}

fn bind(field: &'static str, address: SocketAddr) -> Result<UdpSocket, Fault> {
    let bound = UdpSocket::bind(address).and_then(|socket| {
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        Ok(socket)
    });
    Ok(bound.map_err(address::Fault::of(field, address))?)
}

fn spawn_thread(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), Fault> {
    let thread = thread::Builder::new().name(name.to_owned());
    thread.spawn(body).map(drop).map_err(Fault::Thread)
}

fn answer(shared: &Shared, metrics: &metric::Handle, call: &Call) -> Answer {
    match call.path.as_str() {
        "/health" if shared.leaving.load(Ordering::Relaxed) => Answer::new(503, "leaving\n"),
        "/health" => Answer::new(200, "serving\n"),
        "/metrics" => Answer::new(200, metrics.render()),
        _ => Answer::new(404, "there are /health and /metrics\n"),
    }
}
