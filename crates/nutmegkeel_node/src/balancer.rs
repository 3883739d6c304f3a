//! The running balancer: one thread per class address, one for frames, one for time.

mod forward;
mod platform;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockWriteGuard};
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
use crate::settings;
use crate::web::{self, Answer, Call};

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(50);
/// Sockets wake this often to see whether to stop.
const WAKE: Duration = Duration::from_millis(200);
/// A leaving balancer ends once no caller's packet came for so long, in milliseconds.
const QUIET_MS: u64 = 1_000;
/// A leaving balancer ends after so long in any case, in milliseconds.
const LONGEST_LEAVE_MS: u64 = 30_000;

/// The address of a class and the socket bound to it.
#[derive(Debug)]
struct Desk {
    name: class::Name,
    id: class::Id,
    socket: UdpSocket,
}

/// What the threads of a balancer share.
#[derive(Debug)]
pub(crate) struct Shared {
    core: Mutex<Core>,
    clock: Clock,
    keys: Ring,
    frames: UdpSocket,
    own: SocketAddr,
    join: SocketAddr,
    desks: BTreeMap<class::Id, Arc<Desk>>,
    ended: RwLock<Tombstones>,
    reads: Sender<()>,
    last_packet_ms: AtomicU64,
    leaving: AtomicBool,
    stopped: AtomicBool,
    platform: etcd::Client,
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
    for desk in shared.desks.values() {
        let (shared, desk) = (Arc::clone(&shared), Arc::clone(desk));
        start("desk", move || forward::from_callers(&shared, &desk))?;
    }
    let frames = Arc::clone(&shared);
    start("frames", move || forward::from_processes(&frames))?;
    let ticks = Arc::clone(&shared);
    start("time", move || ticks.keep_time())?;
    let platform = Arc::clone(&shared);
    start("platform", move || platform::read_on_request(&platform, &read_requests))?;
    info!(event = "balancer_started", frames:display = shared.own; "balancer started");
    Ok(Handle { shared, _web: web, _administration: administration })
}

impl Handle {
    /// Leaves in a planned way and returns once no caller's packet comes by here any more.
    pub fn leave(self) {
        info!(event = "balancer_leaving"; "balancer leaving");
        let shared = &self.shared;
        shared.leaving.store(true, Ordering::Relaxed);
        shared.handle(Event::Leave);
        let since = shared.clock.now();
        loop {
            thread::sleep(WAKE);
            let now = shared.clock.now();
            let last = shared.last_packet_ms.load(Ordering::Relaxed);
            let quiet = now.millis().saturating_sub(last.max(since.millis())) > QUIET_MS;
            if quiet || now.since(since) > LONGEST_LEAVE_MS {
                break;
            }
        }
        shared.stopped.store(true, Ordering::Relaxed);
        info!(event = "balancer_stopped"; "balancer stopped");
    }

    /// Whether it has to stop: an operator drains it, or a later run took its address.
    #[must_use]
    pub fn must_stop(&self) -> bool {
        self.shared.leaving.load(Ordering::Relaxed) || self.shared.stopped.load(Ordering::Relaxed)
    }
}

impl Shared {
    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        // A poisoned lock means that an invariant failed on another thread, which ends the process.
        lock(&self.core)
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) const fn platform(&self) -> &etcd::Client {
        &self.platform
    }

    /// Takes an event to the core and carries out what it decides.
    pub(crate) fn handle(&self, event: Event) {
        let actions = self.core().handle(self.clock.now(), event);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&self, action: Action) {
        match action {
            Action::Peer(action) => self.act_for_peer(action),
            Action::Read => {
                // The reader is gone only when the process ends.
                let _ = self.reads.send(());
            }
            Action::Forward(_) | Action::Unplaced => {}
        }
    }

    fn act_for_peer(&self, action: peer::Action) {
        match action {
            peer::Action::Send(to, message) => self.send(to, message),
            peer::Action::Join(message) => self.send(self.join, message),
            peer::Action::Gone(address, instance) => self.ended_mut().mark_ended(address, instance),
            peer::Action::Superseded => {
                info!(event = "balancer_superseded"; "a later run has this address");
                self.stopped.store(true, Ordering::Relaxed);
            }
            peer::Action::InForce(entry) => {
                info!(event = "class_in_force", class = &*entry.name, revision = entry.revision.0;
                    "class in force");
            }
            peer::Action::Drain => {
                info!(event = "balancer_drained"; "an operator wants this balancer to leave");
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

    /// Whether this run of the agent at `address` is known to be over.
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

    fn keep_time(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(TICK);
            self.handle(Event::Tick);
        }
    }
}

fn open(settings: &settings::Balancer, clock: Clock, reads: Sender<()>) -> Result<Shared, Fault> {
    let common = &settings.common;
    let frames = bind("frames", common.frames)?;
    let own = frames.local_addr().unwrap_or(common.frames);
    let mut desks = BTreeMap::new();
    for listen in &settings.listen {
        let id = class::Id::of(&listen.class);
        let socket = bind("listen", listen.address)?;
        desks.insert(id, Arc::new(Desk { name: listen.class.clone(), id, socket }));
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
        desks,
        ended: RwLock::new(Tombstones::default()),
        reads,
        last_packet_ms: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        stopped: AtomicBool::new(false),
        platform: etcd::Client::open(&common.platform),
    })
}

fn bind(field: &'static str, address: SocketAddr) -> Result<UdpSocket, Fault> {
    let bound = UdpSocket::bind(address).and_then(|socket| {
        socket.set_read_timeout(Some(WAKE))?;
        Ok(socket)
    });
    Ok(bound.map_err(address::Fault::of(field, address))?)
}

fn start(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), Fault> {
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
