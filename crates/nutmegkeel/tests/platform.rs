//! End-to-end tests on the users' platform: balancers and agents as separate processes, with
//! stand-ins for the store, the backend servers and the clients.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use nutmegkeel_standin::client::{Client, Outcome};
use nutmegkeel_standin::fleet::{Fleet, Plan};
use nutmegkeel_standin::host::{CONFIG_APPLY_MS, DOMAIN, full_configurations};
use nutmegkeel_standin::process::Signal;
use nutmegkeel_standin::store::Mode;

const SHORT_WAIT: Duration = Duration::from_secs(3);
const LONG_WAIT: Duration = Duration::from_secs(8);
/// Time after which the entries of processes that do not renew them have lapsed.
const LEASE_TIME: Duration = Duration::from_secs(9);
/// Time within which a change must be in force, from the settings of the processes.
const APPLY_TIME: Duration = Duration::from_millis(CONFIG_APPLY_MS);

/// Starts a fleet. Each test passes its own `net`, so that tests can run concurrently.
fn fleet(name: &str, net: u8, services: &[&'static str]) -> Fleet {
    let folder: PathBuf =
        std::env::temp_dir().join(format!("nutmegkeel-{name}-{}", std::process::id()));
    let plan = Plan {
        program: env!("CARGO_BIN_EXE_nutmegkeel").into(),
        folder,
        base: 21_000,
        net,
        balancers: 2,
        services: services.to_vec(),
        conditions: Vec::new(),
    };
    let fleet = Fleet::spawn(plan).expect("the fleet starts");
    assert!(
        fleet.is_ready_within(LONG_WAIT),
        "balancers are not ready; logs in {:?}",
        fleet.folder()
    );
    fleet
}

fn served_by(outcome: &Outcome, service: &str) -> bool {
    matches!(outcome, Outcome::Answered(id) if id.starts_with(service))
}

/// Returns the host of the server that gave an answer.
fn holder(fleet: &Fleet, outcome: &Outcome) -> Ipv4Addr {
    let gave = |ip: &Ipv4Addr| *outcome == Outcome::Answered(fleet.server(*ip).id().to_owned());
    fleet.agents().into_iter().find(gave).expect("one of the servers answered")
}

/// Returns the status of a balancer as the command line prints it.
fn status(fleet: &Fleet, balancer: Ipv4Addr) -> String {
    let at = SocketAddrV4::new(balancer, fleet.ports.messages()).to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_nutmegkeel"))
        .args(["platform", "status", "--at", &at])
        .output()
        .expect("the binary starts");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn each_flow_reaches_its_own_service() {
    let fleet = fleet("serves", 1, &["desk", "desk", "vault"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();

    for (number, (port, service)) in fleet.routes().into_iter().cycle().take(20).enumerate() {
        let from = 30_000 + u16::try_from(number).expect("few flows");
        let mut open = client.open(from, port, &balancers).expect("the flow opens");
        let outcome = client.request(&mut open, &balancers, SHORT_WAIT);
        assert!(served_by(&outcome, service), "{outcome:?} of {service}");
    }
}

/// Guards against a flow that stalls when its balancer is replaced: its packets reach another
/// balancer, which has no state of the flow and must find its agent.
#[test]
fn a_flow_survives_the_stop_of_its_balancer() {
    let mut fleet = fleet("balancer-stops", 2, &["desk", "desk", "desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let (first, second) = (fleet.balancers()[0], fleet.balancers()[1]);
    let mut open = client.open(30_000, 443, &[first]).expect("the flow opens");
    let before = client.request(&mut open, &[first], SHORT_WAIT);

    fleet.signal(first, Signal::Term);
    let during = client.request(&mut open, &[second], SHORT_WAIT);
    let exited = fleet.exits_within(first, LONG_WAIT);
    let after = client.request(&mut open, &[second], SHORT_WAIT);

    assert!(served_by(&before, "desk"), "{before:?}");
    assert_eq!(during, before, "the flow moved to another backend server");
    assert_eq!(after, before);
    assert!(exited, "a stopped balancer exits within its grace time");
}

/// Guards against openings on a new route that are refused, and packets of its flows that are not
/// forwarded, because a balancer that is about to stop is told of no newer configuration.
#[test]
fn a_stopping_balancer_applies_a_newer_configuration() {
    let mut fleet = fleet("stopping", 35, &["desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let stopping = fleet.balancers()[0];
    let mut used = client.open(30_000, 443, &[stopping]).expect("the flow opens");

    fleet.signal(stopping, Signal::Term);
    std::thread::sleep(Duration::from_millis(900));
    fleet.configure(2, &[(443, "desk"), (8_443, "desk")]);
    std::thread::sleep(Duration::from_millis(300));
    // A balancer that gets packets goes on running.
    let before = client.request(&mut used, &[stopping], SHORT_WAIT);
    let mut added = client.open(30_001, 8_443, &[stopping]).expect("the flow opens");
    let outcome = client.request(&mut added, &[stopping], SHORT_WAIT);

    assert!(served_by(&before, "desk"), "{before:?}");
    assert!(served_by(&outcome, "desk"), "{outcome:?}");
}

/// Guards against flows that go on after their route was dropped: at a balancer that knows their
/// agent, at one that has to search it, and at an agent that has not seen their openings.
#[test]
fn flows_of_a_dropped_route_are_reset() {
    let mut fleet = fleet("dropped", 37, &["desk", "desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let (first, second) = (fleet.balancers()[0], fleet.balancers()[1]);
    fleet.configure(2, &[(443, "desk"), (8_443, "desk")]);
    std::thread::sleep(APPLY_TIME);
    let mut known = client.open(30_000, 8_443, &[first]).expect("the flow opens");
    let mut unknown = client.open(30_001, 8_443, &[first]).expect("the flow opens");
    let mut inherited = client.open(30_002, 8_443, &[first]).expect("the flow opens");
    let before = [&mut known, &mut unknown, &mut inherited]
        .map(|open| client.request(open, &[first], SHORT_WAIT));
    let agent = holder(&fleet, &before[2]);
    fleet.signal(agent, Signal::Kill);
    assert!(fleet.exits_within(agent, SHORT_WAIT));
    fleet.start(agent).expect("the process starts");
    std::thread::sleep(SHORT_WAIT);

    fleet.configure(3, &[(443, "desk")]);
    std::thread::sleep(APPLY_TIME);
    let after = [(&mut known, first), (&mut unknown, second), (&mut inherited, second)]
        .map(|(open, balancer)| client.request(open, &[balancer], SHORT_WAIT));

    assert!(before.iter().all(|outcome| served_by(outcome, "desk")), "{before:?}");
    assert_eq!(after, [Outcome::Reset, Outcome::Reset, Outcome::Reset]);
}

/// Guards against a flow that is reset when its agent is killed and restarted: the new process has
/// no state of the flow and must query the backend server, which still holds it.
#[test]
fn a_flow_survives_the_kill_of_its_agent() {
    let mut fleet = fleet("agent-killed", 3, &["desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let agent = fleet.agents()[0];
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);

    fleet.signal(agent, Signal::Kill);
    assert!(fleet.exits_within(agent, SHORT_WAIT));
    fleet.start(agent).expect("the process starts");
    let after = client.request(&mut open, &balancers, SHORT_WAIT);

    assert_eq!(after, before);
}

/// Guards against clients that wait for their timeout after a backend server lost their flow: its
/// agent receives the bounced packets and must send a reset at once.
#[test]
fn a_client_whose_flow_is_lost_gets_a_reset() {
    let fleet = fleet("flow-lost", 4, &["desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    client.request(&mut open, &balancers, SHORT_WAIT);

    fleet.server(fleet.agents()[0]).forget_flows();
    let outcome = client.request(&mut open, &balancers, SHORT_WAIT);

    assert_eq!(outcome, Outcome::Reset);
}

/// Guards against a flow that hangs until its client's deadline after its host lost power: agent
/// and server restart without state, and an idle client sends no packet that would be bounced. The
/// new agent must send the reset from the list of flows in the store.
#[test]
fn an_idle_client_gets_a_reset_after_its_host_loses_power() {
    let mut fleet = fleet("power", 11, &["desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let agent = fleet.agents()[0];
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);
    std::thread::sleep(LONG_WAIT);

    fleet.signal(agent, Signal::Kill);
    assert!(fleet.exits_within(agent, SHORT_WAIT));
    fleet.start_server(agent).expect("the server starts");
    fleet.start(agent).expect("the process starts");
    let outcome = client.wait_for_outcome(&open, SHORT_WAIT);

    assert!(served_by(&before, "desk"), "{before:?}");
    assert_eq!(outcome, Outcome::Reset);
}

/// Guards against the same silence on a slow host: the server has sent more heartbeats than a new
/// one when its agent starts.
#[test]
fn an_idle_client_gets_a_reset_although_its_agent_starts_late() {
    let mut fleet = fleet("power-slow", 21, &["desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let agent = fleet.agents()[0];
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);
    std::thread::sleep(LONG_WAIT);

    fleet.signal(agent, Signal::Kill);
    assert!(fleet.exits_within(agent, SHORT_WAIT));
    fleet.start_server(agent).expect("the server starts");
    std::thread::sleep(SHORT_WAIT);
    fleet.start(agent).expect("the process starts");
    let outcome = client.wait_for_outcome(&open, SHORT_WAIT);

    assert!(served_by(&before, "desk"), "{before:?}");
    assert_eq!(outcome, Outcome::Reset);
}

/// Guards against the reset of an open flow whose server is well: its agent does not run for longer
/// than balancers wait for a sign of it.
#[test]
fn a_flow_survives_a_pause_of_its_agent() {
    let mut fleet = fleet("agent-pauses", 22, &["desk", "desk", "desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);
    let agent = holder(&fleet, &before);

    fleet.signal(agent, Signal::Stop);
    std::thread::sleep(SHORT_WAIT);
    let during = client.request(&mut open, &balancers, Duration::from_millis(500));
    fleet.signal(agent, Signal::Continue);
    let after = client.request(&mut open, &balancers, SHORT_WAIT);

    assert!(served_by(&before, "desk"), "{before:?}");
    assert_eq!(during, Outcome::Silence);
    assert_eq!(after, before);
}

/// Guards against balancers that take an agent that does not run for one that has ended: only its
/// host's kernel tells the two apart.
#[test]
fn the_port_of_an_agent_is_open_while_it_is_suspended_and_closed_once_it_has_ended() {
    let mut fleet = fleet("agent-port", 25, &["desk"]);
    let agent = fleet.agents()[0];
    let address = SocketAddrV4::new(agent, fleet.ports.messages()).into();
    let connect =
        || TcpStream::connect_timeout(&address, SHORT_WAIT).map(drop).map_err(|error| error.kind());

    fleet.signal(agent, Signal::Stop);
    let suspended = connect();
    fleet.signal(agent, Signal::Kill);
    assert!(fleet.exits_within(agent, SHORT_WAIT));
    let ended = connect();

    assert_eq!(suspended, Ok(()));
    assert_eq!(ended, Err(ErrorKind::ConnectionRefused));
}

/// Guards against the reset of an open flow whose server is well: its agent has ended and starts
/// again only after balancers would have given it up.
#[test]
fn a_flow_survives_an_agent_that_is_away_for_three_seconds() {
    let mut fleet = fleet("agent-away", 26, &["desk", "desk", "desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);
    let agent = holder(&fleet, &before);

    fleet.signal(agent, Signal::Kill);
    assert!(fleet.exits_within(agent, SHORT_WAIT));
    std::thread::sleep(SHORT_WAIT);
    fleet.start(agent).expect("the process starts");
    let after = client.request(&mut open, &balancers, SHORT_WAIT);

    assert!(served_by(&before, "desk"), "{before:?}");
    assert_eq!(after, before);
}

/// Guards against the reset of an open flow whose server is only paused while its agent is replaced.
/// The flow is younger than the agent's list of flows.
#[test]
fn a_young_flow_of_a_paused_server_survives_the_restart_of_its_agent() {
    let mut fleet = fleet("young-flow", 23, &["desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let agent = fleet.agents()[0];
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);

    fleet.server(agent).pause(Duration::from_millis(1_800));
    fleet.signal(agent, Signal::Kill);
    assert!(fleet.exits_within(agent, SHORT_WAIT));
    fleet.start(agent).expect("the process starts");
    let after = client.request(&mut open, &balancers, SHORT_WAIT);

    assert!(served_by(&before, "desk"), "{before:?}");
    assert_eq!(after, before);
}

/// Guards against clients that wait until their deadline for a server that has crashed and has no
/// successor, beside an agent that runs.
#[test]
fn a_client_gets_a_reset_when_its_server_crashes_for_good() {
    let mut fleet = fleet("crashed", 24, &["desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);

    fleet.stop_server(fleet.agents()[0]);
    let outcome = client.request(&mut open, &balancers, SHORT_WAIT);

    assert!(served_by(&before, "desk"), "{before:?}");
    assert_eq!(outcome, Outcome::Reset);
}

/// Guards against open flows that stall until the store is back, although their servers are alive:
/// all processes were killed and restarted while it was down, and none has a configuration. Only
/// new flows have to wait for it.
#[test]
fn a_flow_survives_when_all_processes_are_killed_while_the_store_is_down() {
    let mut fleet = fleet("all-killed", 13, &["desk", "desk", "vault"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let hosts: Vec<_> = balancers.iter().copied().chain(fleet.agents()).collect();
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);

    fleet.store.set_mode(Mode::Down);
    for host in &hosts {
        fleet.signal(*host, Signal::Kill);
    }
    for host in &hosts {
        assert!(fleet.exits_within(*host, SHORT_WAIT));
        fleet.start(*host).expect("the process starts");
    }
    let during = client.request(&mut open, &balancers, LONG_WAIT);
    let refused = client.open(30_001, 443, &balancers).map(|_| ());
    fleet.store.set_mode(Mode::Well);
    assert!(fleet.is_ready_within(LONG_WAIT));
    let opened = client.open(30_002, 443, &balancers).map(|_| ());

    assert!(served_by(&before, "desk"), "{before:?}");
    assert_eq!(during, before);
    assert_eq!(refused, Err(Outcome::Silence));
    assert_eq!(opened, Ok(()));
}

/// Guards against new flows that find no server until the store is back: all balancers were killed
/// and restarted while it was down, and have no routes. They must fetch the replicas of the
/// configuration that agents hold.
#[test]
fn new_flows_open_when_all_balancers_are_killed_while_the_store_is_down() {
    let mut fleet = fleet("replicas", 16, &["desk", "vault"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    std::thread::sleep(Duration::from_secs(5));

    fleet.store.set_mode(Mode::Down);
    for balancer in &balancers {
        fleet.signal(*balancer, Signal::Kill);
        assert!(fleet.exits_within(*balancer, SHORT_WAIT));
    }
    for balancer in &balancers {
        fleet.start(*balancer).expect("the process starts");
    }
    let ready = fleet.is_ready_within(SHORT_WAIT);
    let outcomes: Vec<_> = fleet
        .routes()
        .into_iter()
        .zip(30_000..)
        .map(|((port, service), from)| {
            let mut open = client.open(from, port, &balancers)?;
            let outcome = client.request(&mut open, &balancers, SHORT_WAIT);
            Ok::<_, Outcome>(served_by(&outcome, service))
        })
        .collect();

    assert!(ready, "logs in {:?}", fleet.folder());
    assert_eq!(outcomes, [Ok(true), Ok(true)]);
}

/// Guards against a restarted server that is not recognized because it keeps its id and counts its
/// heartbeats from one again: they would be rejected as late until they pass the old count. Its
/// clients must get a reset at once, and new flows must go to the new incarnation.
#[test]
fn a_client_gets_a_reset_when_its_server_restarts_under_the_same_id() {
    let mut fleet = fleet("old-id", 12, &["desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let agent = fleet.agents()[0];
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);
    std::thread::sleep(SHORT_WAIT);

    fleet.restart_server(agent).expect("the server starts");
    let outcome = client.wait_for_outcome(&open, SHORT_WAIT);
    let mut next = client.open(30_001, 443, &balancers).expect("the flow opens");
    let after = client.request(&mut next, &balancers, SHORT_WAIT);

    assert!(served_by(&before, "desk"), "{before:?}");
    assert_eq!(outcome, Outcome::Reset);
    assert!(served_by(&after, "desk"), "{after:?}");
    assert_ne!(after, before);
}

#[test]
fn a_draining_server_keeps_its_flows_and_gets_no_more() {
    let fleet = fleet("drains", 5, &["desk", "desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);
    let server = fleet.server(holder(&fleet, &before));

    server.drain();
    std::thread::sleep(Duration::from_millis(900));
    let opened = server.opened();
    for port in 30_001..30_020 {
        client.open(port, 443, &balancers).expect("the other server accepts the flow");
    }
    let after = client.request(&mut open, &balancers, SHORT_WAIT);

    assert_eq!(server.opened(), opened);
    assert_eq!(after, before);
}

/// Guards against a balancer that does not serve because it restarted while the store is down. It
/// must fetch the configuration from another balancer.
#[test]
fn a_balancer_that_starts_while_the_store_is_down_serves() {
    let mut fleet = fleet("store-down", 6, &["desk", "desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let second = fleet.balancers()[1];
    fleet.store.set_mode(Mode::Down);

    fleet.signal(second, Signal::Kill);
    assert!(fleet.exits_within(second, SHORT_WAIT));
    fleet.start(second).expect("the process starts");
    let ready = fleet.is_ready_within(LONG_WAIT);
    let opened = client.open(30_000, 443, &[second]);

    assert!(ready, "logs in {:?}", fleet.folder());
    assert!(opened.is_ok(), "{opened:?}");
}

#[test]
fn a_change_is_in_force_within_a_second_after_the_store_compacts_its_history() {
    let fleet = fleet("change", 7, &["desk", "vault"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();

    fleet.store.compact();
    fleet.configure(2, &[(443, "vault")]);
    std::thread::sleep(Duration::from_secs(1));
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let outcome = client.request(&mut open, &balancers, SHORT_WAIT);
    let refused = client.open(30_001, 444, &balancers).map(|_| ());

    assert!(served_by(&outcome, "vault"), "{outcome:?}");
    assert_eq!(refused, Err(Outcome::Reset));
}

/// Guards against a change that is late because the answer of a watch has grown too long: the next
/// watch would return the same changes and more.
#[test]
fn a_change_is_in_force_in_time_after_a_storm_of_large_configurations() {
    let mut storm = full_configurations(2..26, &[(443, "desk")]);
    storm.extend(full_configurations(26..27, &[(443, "vault")]));
    let fleet = fleet("storm", 34, &["desk", "vault"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    std::thread::sleep(SHORT_WAIT);

    for text in &storm {
        fleet.store.put("op/config", text);
        std::thread::sleep(Duration::from_millis(60));
    }
    std::thread::sleep(APPLY_TIME);
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let outcome = client.request(&mut open, &balancers, SHORT_WAIT);

    assert!(served_by(&outcome, "vault"), "{outcome:?}");
}

/// Guards against a change that is applied late because all watches wait on stalled connections.
#[test]
fn a_change_is_in_force_in_time_when_all_store_connections_stall() {
    let fleet = fleet("silent-watch", 18, &["desk", "vault"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    std::thread::sleep(SHORT_WAIT);

    fleet.proxy.silence_open_connections();
    fleet.configure(2, &[(443, "vault")]);
    std::thread::sleep(APPLY_TIME);
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let outcome = client.request(&mut open, &balancers, SHORT_WAIT);

    assert!(served_by(&outcome, "vault"), "{outcome:?}");
}

/// Guards against open flows that are lost, changes that are missed and entries that stay away after
/// a pause of all balancers: their leases and watches lapse, and the agents hear of nobody.
#[test]
fn flows_and_changes_survive_a_pause_of_all_balancers() {
    let mut fleet = fleet("balancers-pause", 27, &["desk", "vault"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let prefix = "nutmegkeel/balancers/all/";
    let mut open = client.open(30_000, 444, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);
    std::thread::sleep(SHORT_WAIT);

    for balancer in &balancers {
        fleet.signal(*balancer, Signal::Stop);
    }
    fleet.configure(2, &[(443, "vault"), (444, "vault")]);
    std::thread::sleep(LEASE_TIME);
    let lapsed = fleet.store.keys(prefix);
    for balancer in &balancers {
        fleet.signal(*balancer, Signal::Continue);
    }
    let after = client.request(&mut open, &balancers, SHORT_WAIT);
    std::thread::sleep(APPLY_TIME);
    let mut next = client.open(30_001, 443, &balancers).expect("the flow opens");
    let changed = client.request(&mut next, &balancers, SHORT_WAIT);
    let entries = fleet.store.keys(prefix);

    assert!(served_by(&before, "vault"), "{before:?}");
    assert_eq!(lapsed, [""; 0]);
    assert_eq!(after, before);
    assert!(served_by(&changed, "vault"), "{changed:?}");
    assert_eq!(entries.len(), 2, "{entries:?}");
}

/// Guards against a change that is missed because the store was restored from an older copy and its
/// revisions have already passed the one from which the watches continue.
#[test]
fn a_change_at_a_reused_revision_is_in_force() {
    let fleet = fleet("revision-again", 19, &["desk", "vault"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let snapshot = fleet.store.snapshot();
    fleet.configure(2, &[(443, "desk")]);
    std::thread::sleep(Duration::from_secs(1));

    fleet.store.set_mode(Mode::Down);
    std::thread::sleep(Duration::from_millis(300));
    fleet.store.restore(&snapshot);
    fleet.configure(3, &[(443, "vault")]);
    for number in 0..20 {
        fleet.store.put(&format!("other/{number}"), "");
    }
    fleet.store.set_mode(Mode::Well);
    std::thread::sleep(APPLY_TIME);
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let outcome = client.request(&mut open, &balancers, SHORT_WAIT);

    assert!(served_by(&outcome, "vault"), "{outcome:?}");
}

/// Guards against a process that stops answering all callers because one of them does not read its
/// answers.
#[test]
fn a_caller_that_reads_no_answer_does_not_block_others() {
    let fleet = fleet("unread-answers", 20, &["desk"]);
    fleet.configure_large(2);
    std::thread::sleep(APPLY_TIME);
    let address = SocketAddrV4::new(fleet.balancers()[0], fleet.ports.messages());
    let call = format!("GET /configuration HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let mut stalled = TcpStream::connect(address).expect("the balancer listens");
    stalled.write_all(call.repeat(200).as_bytes()).expect("the calls are sent");
    std::thread::sleep(Duration::from_millis(500));

    let mut caller = TcpStream::connect(address).expect("the balancer listens");
    caller.set_read_timeout(Some(SHORT_WAIT)).expect("the timeout is set");
    caller.write_all(call.as_bytes()).expect("the call is sent");
    let mut status_line = [0; 15];
    let received = caller.read_exact(&mut status_line);

    assert!(received.is_ok(), "{received:?}");
    assert_eq!(&status_line, b"HTTP/1.1 200 OK");
}

/// Guards against requests lost in a failure domain that was evacuated and then switched off. The
/// order must be in force within a second, survive a restart of all processes, and end with its
/// deletion even if the store drops that part of its history. Open flows must survive.
#[test]
fn an_evacuated_domain_gets_no_new_flow_until_the_order_is_deleted() {
    let mut fleet = fleet("evacuated", 14, &["desk", "desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let hosts: Vec<_> = balancers.iter().copied().chain(fleet.agents()).collect();
    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let before = client.request(&mut open, &balancers, SHORT_WAIT);

    fleet.evacuate(DOMAIN);
    std::thread::sleep(Duration::from_secs(1));
    let status = status(&fleet, balancers[0]);
    let refused = client.open(30_001, 443, &balancers).map(|_| ());
    let during = client.request(&mut open, &balancers, SHORT_WAIT);
    for host in &hosts {
        fleet.signal(*host, Signal::Kill);
        assert!(fleet.exits_within(*host, SHORT_WAIT));
    }
    for host in &hosts {
        fleet.start(*host).expect("the process starts");
    }
    assert!(fleet.is_ready_within(LONG_WAIT));
    let restarted = client.open(30_002, 443, &balancers).map(|_| ());
    fleet.store.compact();
    fleet.cancel_evacuation(DOMAIN);
    std::thread::sleep(Duration::from_secs(1));
    let opened = client.open(30_003, 443, &balancers).map(|_| ());

    assert!(status.contains(&format!("evacuated      {DOMAIN} (revision ")), "{status}");
    assert_eq!(refused, Err(Outcome::Reset));
    assert_eq!(during, before);
    assert_eq!(restarted, Err(Outcome::Reset));
    assert_eq!(opened, Ok(()));
}

/// Guards against new flows in a failure domain to which an evacuation was moved with one
/// transaction: both changes have one revision, and only the first was followed.
#[test]
fn an_evacuation_that_is_moved_with_one_transaction_is_followed() {
    let fleet = fleet("evacuation-moves", 36, &["desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    fleet.evacuate("elsewhere");
    std::thread::sleep(Duration::from_secs(1));
    let before = client.open(30_000, 443, &balancers).map(|_| ());

    fleet.move_evacuation("elsewhere", DOMAIN);
    std::thread::sleep(APPLY_TIME);
    let after = client.open(30_001, 443, &balancers).map(|_| ());
    let status = status(&fleet, balancers[0]);

    assert_eq!(before, Ok(()));
    assert_eq!(after, Err(Outcome::Reset));
    assert!(status.contains(&format!("evacuated      {DOMAIN} (revision ")), "{status}");
}

/// Guards against new flows in an evacuated failure domain, and processes that are not found, after
/// the store was restored from a copy that is older than the order and the entries of processes.
#[test]
fn orders_and_entries_survive_a_restore_of_the_store() {
    let fleet = fleet("store-returns", 17, &["desk", "desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let snapshot = fleet.store.snapshot();
    std::thread::sleep(Duration::from_secs(1));
    fleet.evacuate(DOMAIN);
    std::thread::sleep(Duration::from_secs(1));

    fleet.store.restore(&snapshot);
    std::thread::sleep(Duration::from_millis(700));
    let held = client.open(30_000, 443, &balancers).map(|_| ());
    fleet.evacuate(DOMAIN);
    std::thread::sleep(SHORT_WAIT);
    let written_again = client.open(30_001, 443, &balancers).map(|_| ());
    let entries = fleet.store.keys("nutmegkeel/balancers/all/");
    let status = status(&fleet, balancers[0]);
    fleet.cancel_evacuation(DOMAIN);
    std::thread::sleep(Duration::from_secs(1));
    let taken_back = client.open(30_002, 443, &balancers).map(|_| ());

    assert_eq!(held, Err(Outcome::Reset));
    assert_eq!(written_again, Err(Outcome::Reset));
    assert_eq!(entries.len(), 2, "{entries:?}");
    assert!(status.contains("of era 1"), "{status}");
    assert_eq!(taken_back, Ok(()));
}

/// Guards against recently started servers that are overloaded because they are empty and attract
/// all new flows. They must get only the rate that the configuration states, and the other flows
/// must be refused at once instead of timing out.
#[test]
fn flows_beyond_the_cold_rate_are_refused_at_once() {
    let fleet = fleet("cold", 15, &["desk", "desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let servers: Vec<_> = fleet.agents().into_iter().map(|ip| fleet.server(ip)).collect();
    fleet.configure_cold_rates(2, &[(443, "desk")], &[("desk", 2)]);
    servers.iter().for_each(|server| server.set_cold_ms(60_000));
    std::thread::sleep(Duration::from_secs(1));

    let start = std::time::Instant::now();
    let outcomes: Vec<_> =
        (30_000..30_020).map(|port| client.open(port, 443, &balancers).map(|_| ())).collect();
    let elapsed = start.elapsed();
    servers.iter().for_each(|server| server.set_cold_ms(0));
    std::thread::sleep(Duration::from_secs(1));
    let warm = (30_100..30_120).all(|port| client.open(port, 443, &balancers).is_ok());

    let opened = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    assert!(elapsed < Duration::from_secs(1), "refused at once, not in {elapsed:?}");
    assert!((1..=4).contains(&opened), "two a second for each of two servers: {outcomes:?}");
    assert!(outcomes.iter().all(|outcome| *outcome != Err(Outcome::Silence)), "{outcomes:?}");
    assert!(warm);
}

/// Guards against a balancer that stays unregistered: the store removed its entry while the lease
/// is valid, so that renewals succeed. The balancer must check that its entry exists.
#[test]
fn an_entry_missing_from_the_store_is_written_again() {
    let fleet = fleet("entry", 8, &["desk"]);
    let prefix = "nutmegkeel/balancers/all/";
    std::thread::sleep(Duration::from_secs(7));
    let all = fleet.store.keys(prefix);

    fleet.store.remove_without_event(&all[0]);
    std::thread::sleep(Duration::from_secs(7));

    assert_eq!(all.len(), 2);
    assert_eq!(fleet.store.keys(prefix), all);
}

/// Guards against invalid datagrams that end a process or break a flow, on each UDP socket of
/// balancers and agents.
#[test]
fn invalid_datagrams_harm_no_flow() {
    let fleet = fleet("garbage", 9, &["desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancers = fleet.balancers();
    let socket = std::net::UdpSocket::bind((fleet.client(1), 0)).expect("an address is free");
    let ports = [fleet.ports.packets(), fleet.ports.from_server(), fleet.ports.messages()];
    let hosts: Vec<_> = fleet.balancers().into_iter().chain(fleet.agents()).collect();
    for host in &hosts {
        for port in ports {
            for length in [0, 1, 31, 32, 33, 500] {
                // Not every process listens on each of these ports.
                let _ = socket.send_to(&vec![0xa5; length], (*host, port));
            }
        }
    }

    let mut open = client.open(30_000, 443, &balancers).expect("the flow opens");
    let outcome = client.request(&mut open, &balancers, SHORT_WAIT);

    assert!(served_by(&outcome, "desk"), "{outcome:?}");
}

#[test]
fn an_invalid_settings_file_is_refused_on_reload() {
    let mut fleet = fleet("settings", 10, &["desk"]);
    let client = Client::bind(fleet.client(0), fleet.ports);
    let balancer = fleet.balancers()[0];

    std::fs::write(fleet.settings_path(balancer), "{\"node\": 7").expect("the file can be written");
    fleet.signal(balancer, Signal::Reload);
    std::thread::sleep(Duration::from_millis(800));
    let opened = client.open(30_000, 443, &[balancer]);

    let log = std::fs::read_to_string(fleet.log_path(balancer)).expect("the log can be read");
    assert!(opened.is_ok(), "{opened:?}");
    assert!(log.contains("reload_refused"), "{log}");
}
