//! State that the tasks and threads of an agent share, and the execution of the core's actions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Mutex, MutexGuard};

use log::info;
use metrics::counter;
use nutmegkeel_core::admission::{Decision, Id, Reason};
use nutmegkeel_core::agent::{Action, Agent as Core, Event};
use nutmegkeel_core::claim::{Claim, Settled};
use nutmegkeel_core::class;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::lifecycle::Phase;
use nutmegkeel_core::member::{Record, Role};
use nutmegkeel_core::membership::Timing;
use nutmegkeel_core::peer;
use nutmegkeel_wire::frame::{self, Header};
use nutmegkeel_wire::key::Ring;
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, watch};

use super::Fault;
use super::announcement::Announcement;
use super::line_budget::LineBudget;
use crate::address;
use crate::clock::Clock;
use crate::lock::lock;
use crate::metric;
use crate::settings;

/// Decision of the core for a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    /// The request starts.
    Start,
    /// The request was refused and has not run; the caller may try again after this time in
    /// milliseconds.
    Refuse(Reason, u64),
    /// The request was claimed and runs.
    Run,
    /// The platform granted no claim; the request has not run.
    Unclaimed,
    /// The key was claimed before; the earlier request may have run.
    ClaimedBefore,
}

/// Shared state of one agent.
#[derive(Debug)]
pub(super) struct Shared {
    core: Mutex<Core>,
    waiting: Mutex<BTreeMap<Id, oneshot::Sender<Reply>>>,
    claims: Sender<Vec<Claim>>,
    claim_groups: Mutex<Option<Receiver<Vec<Claim>>>>,
    phase: watch::Sender<Phase>,
    next_id: AtomicU64,
    superseded: AtomicBool,
    /// Limits the lines about flows that do not open.
    pub(super) unopened_lines: LineBudget,
    join: SocketAddr,
    pub(super) clock: Clock,
    pub(super) keys: Ring,
    pub(super) socket: UdpSocket,
    pub(super) own: SocketAddr,
    pub(super) class: class::Name,
    pub(super) class_id: class::Id,
    pub(super) backend: SocketAddr,
}

/// Binds the agent's socket and creates its core.
pub(super) fn open(
    settings: &settings::Agent,
    announcement: &Announcement,
    clock: Clock,
) -> Result<Shared, Fault> {
    let common = &settings.common;
    let socket = bind(common.frames)?;
    let own = socket.local_addr().unwrap_or(common.frames);
    if !own.is_ipv4() {
        return Err(Fault::Address(own));
    }
    let capacity = announcement.capacity();
    let me = Record {
        address: own,
        instance: clock.instance(),
        version: 0,
        role: Role::Agent(capacity.clone()),
        domain: common.domain.clone(),
        phase: Phase::Announced,
    };
    let (claims, claim_groups) = channel();
    Ok(Shared {
        core: Mutex::new(Core::open(me, capacity, Timing::default(), rand::random())),
        waiting: Mutex::new(BTreeMap::new()),
        claims,
        claim_groups: Mutex::new(Some(claim_groups)),
        phase: watch::Sender::new(Phase::Announced),
        next_id: AtomicU64::new(0),
        superseded: AtomicBool::new(false),
        unopened_lines: LineBudget::default(),
        join: common.join,
        clock,
        keys: common.keys.clone(),
        socket,
        own,
        class: announcement.class.clone(),
        class_id: class::Id::of(&announcement.class),
        backend: announcement.address,
    })
}

fn bind(address: SocketAddr) -> Result<UdpSocket, Fault> {
    let bound = std::net::UdpSocket::bind(address).and_then(|socket| {
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    });
    Ok(bound.map_err(address::Fault::of("frames", address))?)
}

impl Shared {
    pub(super) fn core(&self) -> MutexGuard<'_, Core> {
        // The core stays usable after another task panicked while it held the lock.
        lock(&self.core)
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(super) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(super) fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(super) fn is_superseded(&self) -> bool {
        self.superseded.load(Ordering::Relaxed)
    }

    pub(super) fn next_id(&self) -> Id {
        Id(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the receiver of the groups of claims to write; only the first call gets it.
    pub(super) fn take_claim_groups(&self) -> Option<Receiver<Vec<Claim>>> {
        lock(&self.claim_groups).take()
    }

    /// Passes an event to the core and executes the resulting actions.
    pub(super) fn handle(&self, event: Event) {
        let actions = self.core().handle(self.now(), event);
        for action in actions {
            self.execute(action);
        }
    }

    /// Registers a request to receive the core's next decision on it.
    pub(super) fn wait(&self, id: Id) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.waiting().insert(id, sender);
        receiver
    }

    pub(super) fn stop_waiting(&self, id: Id) {
        self.waiting().remove(&id);
    }

    fn waiting(&self) -> MutexGuard<'_, BTreeMap<Id, oneshot::Sender<Reply>>> {
        lock(&self.waiting)
    }

    fn reply(&self, id: Id, reply: Reply) {
        if let Some(sender) = self.waiting().remove(&id) {
            // The request may have been dropped already. Dropping its `Admission` reports that to
            // the core.
            let _ = sender.send(reply);
        }
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Decided(Decision::Start(id)) => self.reply(id, Reply::Start),
            Action::Decided(Decision::Refuse(id, reason, after)) => {
                self.reply(id, Reply::Refuse(reason, after));
            }
            Action::Settled(Settled::Run(id)) => self.reply(id, Reply::Run),
            Action::Settled(Settled::NotRun(id)) => self.reply(id, Reply::Unclaimed),
            Action::Settled(Settled::MayHaveRun(id)) => self.reply(id, Reply::ClaimedBefore),
            Action::Write(claims) => {
                // The writer ends only with the process.
                let _ = self.claims.send(claims);
            }
            Action::Entered(phase) => {
                info!(event = "agent_entered", phase:? = phase;
                    "agent entered a phase of its life cycle");
                self.phase.send_replace(phase);
            }
            Action::Peer(action) => self.execute_peer_action(action),
            Action::Deliver | Action::PassOn(_) => {}
        }
    }

    fn execute_peer_action(&self, action: peer::Action) {
        match action {
            peer::Action::Send(to, message) => self.send(to, message),
            peer::Action::Join(message) => self.send(self.join, message),
            peer::Action::Superseded => {
                info!(event = "agent_superseded"; "a later instance has this address");
                self.superseded.store(true, Ordering::Relaxed);
            }
            peer::Action::InForce(entry) => {
                info!(event = "class_in_force", class = &*entry.name, revision = entry.revision.0;
                    "class in force");
            }
            peer::Action::Changed(_) | peer::Action::Gone(..) | peer::Action::Drain => {}
        }
    }

    fn send(&self, to: SocketAddr, message: peer::Message) {
        let mut buffer = Vec::new();
        let header = Header::Message(self.own, message);
        frame::encode(&self.keys, self.now(), header, &[], &mut buffer);
        counter!(metric::CONTROL_BYTES).increment(buffer.len() as u64);
        if self.socket.try_send_to(&buffer, to).is_err() {
            counter!(metric::DROPPED, "reason" => "send").increment(1);
        }
    }
}
