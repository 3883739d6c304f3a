//! Constants, packets, messages and processes that the tests share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::agent::{self, Agent, Identity};
use nutmegkeel_core::l4::balancer::{self, Action, Balancer, Event};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::flow::{Flags, Flow, Head};
use nutmegkeel_core::l4::message::{Admission, Announcement, Demand, Gossip, Load, Offer, State};
use nutmegkeel_core::l4::placement::Need;
use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::l4::route::{Kind, Route, Service, Share, Table, Urgency};
use nutmegkeel_core::l4::server::{Heartbeat, Incarnation};
use nutmegkeel_core::placement::Key;
use nutmegkeel_core::revision::Revision;

pub(crate) const DOMAIN: &str = "osu";
pub(crate) const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
pub(crate) const PORT: u16 = 443;

pub(crate) fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub(crate) fn host(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, number)
}

pub(crate) fn flow(port: u16) -> Flow {
    Flow {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        service: service_address(PORT),
    }
}

pub(crate) fn service_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

pub(crate) fn default_service() -> Service {
    Service::named("desk")
}

pub(crate) fn opening(flow: Flow, copies: u32) -> Head {
    let flags = Flags { syn: true, ..Flags::default() };
    Head { flow, flags, seq: 1_000, ack: copies, len: 0, tag: 0 }
}

/// Returns the server's answer to an opening.
pub(crate) fn accepted(flow: Flow, seq: u32) -> Head {
    let flags = Flags { syn: true, ack: true, ..Flags::default() };
    Head { flow, flags, seq, ack: 1_001, len: 0, tag: 0 }
}

/// Returns a client's packet with data that acknowledges `ack`.
pub(crate) fn data(flow: Flow, seq: u32, ack: u32) -> Head {
    let flags = Flags { ack: true, ..Flags::default() };
    Head { flow, flags, seq, ack, len: 100, tag: 0 }
}

pub(crate) fn bounced(head: Head, tag: u32) -> Head {
    Head { flags: Flags { bounced: true, ..head.flags }, tag, ..head }
}

pub(crate) fn route(service: Service, kind: Kind) -> Route {
    Route {
        name: "route".into(),
        shares: vec![Share { service, weight: 1 }],
        kind,
        deadline_ms: 2_500,
        objective_ms: 250,
        urgency: Urgency::DEFAULT,
        regions: BTreeSet::new(),
    }
}

pub(crate) fn table(version: u64, routes: &[(u16, Service)]) -> Table {
    let routes: BTreeMap<_, _> = routes
        .iter()
        .map(|(port, service)| (service_address(*port), route(*service, Kind::Idempotent)))
        .collect();
    Table { version, routes, cold_per_s: BTreeMap::new(), idle_ms: 15_000 }
}

pub(crate) fn announcement(number: u64, state: State, load: Load) -> Announcement {
    Announcement {
        incarnation: 1,
        number,
        domain: DOMAIN.into(),
        service: Some(default_service()),
        slots: 4,
        cold: false,
        room: None,
        state,
        sees_all_flows: true,
        load,
        balancers: 0,
        replica: 0,
    }
}

/// Returns a revision of a store that was never restored from a copy.
pub(crate) const fn revision(number: u64) -> Revision {
    Revision::first_era(number)
}

/// Returns a load without a known service time.
pub(crate) const fn load(busy: u16, flows: u16) -> Load {
    Load { busy, flows, service_ms: 0 }
}

/// Returns a balancer's report of its own state, with the addresses of these balancers.
pub(crate) fn gossip(version: u64, balancers: &[Ipv4Addr], agents: u32) -> Gossip {
    Gossip {
        version,
        domain: DOMAIN.into(),
        digest: 0,
        known: 0,
        balancers: balancers.to_vec(),
        agents,
        knows_all_agents: true,
        reaches_store: true,
        leaving: false,
        orders: Some(Orders::default()),
    }
}

/// Delivers an announcement of every agent to the balancer each 300 ms, from `from_ms` to
/// `until_ms`.
pub(crate) fn announce(balancer: &mut Balancer, agents: &[u8], from_ms: u64, until_ms: u64) {
    for millis in (from_ms..=until_ms).step_by(300) {
        for agent in agents {
            let announced = announcement(millis + 100, State::Ready, Load::default());
            balancer.handle(at(millis), Event::Announced(host(*agent), announced));
        }
    }
}

/// Returns the identity of a balancer at this address, in [`DOMAIN`].
pub(crate) fn identity(address: Ipv4Addr, policy: Policy) -> balancer::Identity {
    balancer::Identity { address, domain: DOMAIN.into(), regions: BTreeMap::new(), policy }
}

/// Returns the placement need of a flow to the default service, without a limit to regions.
pub(crate) fn need(key: Key, kind: Kind, tried: &[Ipv4Addr]) -> Need<'_> {
    static ANYWHERE: BTreeSet<Arc<str>> = BTreeSet::new();
    Need { key, service: default_service(), kind, regions: &ANYWHERE, domain: DOMAIN, tried }
}

/// Returns a balancer with a route to the default service and these agents, all of which it has
/// known for three seconds at `at(3_000)`.
pub(crate) fn balancer(agents: &[u8]) -> Balancer {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    balancer.handle(at(0), Event::Ordered(Orders::default()));
    balancer.handle(at(0), Event::Configured(table(1, &[(PORT, default_service())])));
    announce(&mut balancer, agents, 0, 3_000);
    balancer
}

/// Returns the agent to which the actions forward the current packet.
pub(crate) fn forwarded(actions: &[Action]) -> Option<Ipv4Addr> {
    actions.iter().find_map(|action| match action {
        Action::Forward(agent, _) => Some(*agent),
        _ => None,
    })
}

pub(crate) fn resets(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reset { .. }))
}

pub(crate) fn heartbeat(id: &str, seq: u64) -> Heartbeat {
    let (service, incarnation) = (default_service(), incarnation(id));
    Heartbeat { incarnation, service, slots: 4, draining: false, warmup_ms: 0, seq }
}

/// Returns an incarnation of a server that does not report its start time.
pub(crate) fn incarnation(id: &str) -> Incarnation {
    Incarnation { id: id.into(), started_ms: None }
}

/// Returns a heartbeat of a server that started at `started_ms`.
pub(crate) fn heartbeat_started_at(id: &str, started_ms: u64, seq: u64) -> Heartbeat {
    let incarnation = Incarnation { id: id.into(), started_ms: Some(started_ms) };
    Heartbeat { incarnation, ..heartbeat(id, seq) }
}

/// Returns the demand of requests that must run at most once, or that may run again.
pub(crate) const fn demand(once: bool) -> Demand {
    Demand { objective_ms: 250, deadline_ms: 2_500, once, urgency: Urgency::DEFAULT }
}

/// Returns an offer for the default service, by a balancer that knows no evacuation orders.
pub(crate) fn offer(demand: Demand) -> Offer {
    let (service, admission) = (default_service(), Admission::IfInTime);
    Offer {
        service,
        admission,
        demand,
        waited_ms: 0,
        orders: Revision::ZERO,
        cold_per_s: 0,
        is_retry: false,
        version: 1,
    }
}

/// Opens a flow at an agent; its server accepts it with the sequence number 500.
pub(crate) fn open_flow(agent: &mut Agent, now: u64, flow: Flow, demand: Demand) {
    let (from, head) = (BALANCER, opening(flow, 0));
    let event = agent::Event::Open { from, head, offer: offer(demand) };
    agent.handle(at(now), event);
    agent.handle(at(now + 1), agent::Event::FromServer(accepted(flow, 500)));
}

/// Delivers client data on a flow that was opened with [`open_flow`].
pub(crate) fn send_data(agent: &mut Agent, now: u64, flow: Flow, seq: u32) {
    let head = data(flow, seq, 501);
    agent.handle(at(now), agent::Event::Carry { from: BALANCER, head, known: true });
}

/// Returns an agent that knows one balancer and has no heartbeat of its backend server.
pub(crate) fn agent() -> Agent {
    agent_with(Policy::default())
}

/// Returns such an agent with a policy.
pub(crate) fn agent_with(policy: Policy) -> Agent {
    let identity = Identity {
        address: host(1),
        incarnation: 1,
        domain: DOMAIN.into(),
        heartbeat_ms: 1_200,
        checkpoints_per_s: 80,
        policy,
    };
    Agent::open(at(0), identity, &[BALANCER])
}
