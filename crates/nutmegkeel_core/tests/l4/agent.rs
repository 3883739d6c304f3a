use nutmegkeel_core::l4::agent::{Action, Agent, Event};
use nutmegkeel_core::l4::flow::{Flow, Head};
use nutmegkeel_core::l4::message::{Admission, Demand, Gossip, Message, Offer, Reason, State};
use nutmegkeel_core::l4::route::Service;
use nutmegkeel_core::l4::server::Heartbeat;

use crate::fixture::{
    BALANCER, accepted, agent, at, bounced, data, demand, flow, gossip, heartbeat,
    heartbeat_started_at, incarnation, load, offer, opening,
};

const IF_IN_TIME: Admission = Admission::IfInTime;
const IDEMPOTENT: Demand = demand(false);

fn open(flow: Flow, copies: u32, admission: Admission) -> Event {
    let offer = Offer { admission, ..offer(IDEMPOTENT) };
    Event::Open { from: BALANCER, head: opening(flow, copies), offer }
}

/// An agent whose server it has known since the server's start.
fn serving() -> Agent {
    let mut agent = agent();
    agent.handle(at(0), Event::Heartbeat(heartbeat("a", 1)));
    agent
}

/// Opens a flow at the server and sends its first request.
fn request(agent: &mut Agent, now_ms: u64, flow: Flow) {
    agent.handle(at(now_ms), open(flow, 0, IF_IN_TIME));
    agent.handle(at(now_ms), Event::FromServer(accepted(flow, 500)));
    let head = data(flow, 1_001, 501);
    agent.handle(at(now_ms), Event::Carry { from: BALANCER, head, known: false });
}

fn to_server(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::ToServer(_)))
}

fn tag(actions: &[Action]) -> u32 {
    let mut tags = actions.iter().filter_map(|action| match action {
        Action::ToServer(tag) => Some(*tag),
        _ => None,
    });
    tags.next_back().expect("an action passes a packet to the server")
}

fn refusal(actions: &[Action]) -> Option<Reason> {
    actions.iter().find_map(|action| match action {
        Action::Return(_, Message::Declined { reason, .. }) => Some(*reason),
        _ => None,
    })
}

fn resets(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reset { .. }))
}

#[test]
fn a_draining_server_gets_no_more_openings() {
    let mut agent = serving();
    let mut beat = heartbeat("a", 2);
    beat.draining = true;
    agent.handle(at(1_000), Event::Heartbeat(beat));

    let fresh = agent.handle(at(1_001), open(flow(1), 0, IF_IN_TIME));

    assert_eq!(refusal(&fresh), Some(Reason::Leaving));
    assert_eq!(agent.state(at(1_002)), State::Closed);
}

/// Guards against a new flow at a draining server whose agent was killed after it had acknowledged
/// the drain: its successor knows nothing of it until the next heartbeat.
#[test]
fn a_successor_of_an_agent_that_acknowledged_a_drain_accepts_no_flow() {
    let mut successor = agent();

    let before = successor.handle(at(10), open(flow(1), 0, IF_IN_TIME));
    let mut beat = heartbeat("a", 7);
    beat.draining = true;
    successor.handle(at(600), Event::Heartbeat(beat));
    let after = successor.handle(at(610), open(flow(2), 0, IF_IN_TIME));

    assert_eq!(refusal(&before), Some(Reason::Leaving));
    assert_eq!(refusal(&after), Some(Reason::Leaving));
}

#[test]
fn open_flows_of_a_draining_server_continue() {
    let mut agent = serving();
    request(&mut agent, 500, flow(1));
    let mut beat = heartbeat("a", 2);
    beat.draining = true;
    agent.handle(at(1_000), Event::Heartbeat(beat));

    let head = data(flow(1), 1_101, 600);
    let actions = agent.handle(at(1_100), Event::Carry { from: BALANCER, head, known: true });

    assert!(to_server(&actions), "{actions:?}");
}

/// Guards against requests that reach the wrong service: an address is reused by another service
/// while a balancer still has the old announcement.
#[test]
fn an_opening_for_another_service_never_reaches_the_server() {
    let mut agent = serving();
    let offer = Offer { service: Service::named("vault"), ..offer(IDEMPOTENT) };
    let wrong = Event::Open { from: BALANCER, head: opening(flow(1), 0), offer };

    let actions = agent.handle(at(10), wrong);

    assert_eq!(refusal(&actions), Some(Reason::WrongService));
    assert!(!to_server(&actions));
}

#[test]
fn a_flow_that_two_servers_accepted_is_at_the_acknowledged_one() {
    let mut agent = serving();
    agent.handle(at(10), open(flow(1), 0, IF_IN_TIME));
    agent.handle(at(11), Event::FromServer(accepted(flow(1), 500)));
    let of_other_server = data(flow(1), 1_001, 900_000);

    let other =
        agent.handle(at(12), Event::Carry { from: BALANCER, head: of_other_server, known: false });
    let head = data(flow(1), 1_001, 501);
    let own = agent.handle(at(13), Event::Carry { from: BALANCER, head, known: false });

    assert_eq!(refusal(&other), Some(Reason::NotHeld));
    assert!(to_server(&own), "{own:?}");
}

/// Guards against two servers answering one flow: both accepted a copy of its opening, with
/// sequence numbers close to each other, and the agent of the second, not certain of its server's
/// flows, probed it.
#[test]
fn a_server_is_not_probed_for_a_flow_of_another_server() {
    let mut agent = agent();
    agent.handle(at(0), Event::Heartbeat(heartbeat("a", 9)));
    agent.handle(at(10), open(flow(1), 0, IF_IN_TIME));
    agent.handle(at(11), Event::FromServer(accepted(flow(1), 500)));
    let of_other_server = data(flow(1), 1_001, 900_000);

    let actions =
        agent.handle(at(12), Event::Carry { from: BALANCER, head: of_other_server, known: false });

    assert_eq!(refusal(&actions), Some(Reason::NotHeld));
    assert!(!to_server(&actions), "{actions:?}");
}

/// Guards against the reset of a flow of a healthy server: another agent, which has only a copy of
/// the opening, claims the flow and dies.
#[test]
fn an_agent_with_only_an_opening_does_not_claim_the_flow() {
    let mut agent = serving();
    agent.handle(at(10), open(flow(1), 0, IF_IN_TIME));
    agent.handle(at(11), Event::FromServer(accepted(flow(1), 500)));

    let actions = agent.handle(at(20), Event::Locate(BALANCER, flow(1)));

    let unsure = Message::Unsure { flow: flow(1), load: agent.load() };
    assert_eq!(actions, [Action::Send(BALANCER, unsure)]);
}

/// Guards against a flow that is reported as lost although its server holds it: a replaced agent
/// process must not assume before the first heartbeat that there is no server.
#[test]
fn a_restarted_agent_probes_its_server_before_the_first_heartbeat() {
    let mut agent = agent();
    let head = data(flow(1), 1_001, 501);

    let actions = agent.handle(at(100), Event::Carry { from: BALANCER, head, known: false });

    assert_eq!(refusal(&actions), None);
    assert_ne!(tag(&actions), 0);
}

#[test]
fn a_bounced_packet_is_declined_to_the_balancer_that_sent_it() {
    let mut agent = agent();
    let head = data(flow(1), 1_001, 501);
    let asked = agent.handle(at(100), Event::Carry { from: BALANCER, head, known: false });

    let actions = agent.handle(at(101), Event::Bounced(bounced(head, tag(&asked))));

    assert_eq!(refusal(&actions), Some(Reason::NotHeld));
}

#[test]
fn a_server_is_not_probed_again_for_a_flow_that_it_denied() {
    let mut agent = agent();
    let head = data(flow(1), 1_001, 501);
    let asked = agent.handle(at(100), Event::Carry { from: BALANCER, head, known: false });
    agent.handle(at(101), Event::Bounced(bounced(head, tag(&asked))));

    let again = agent.handle(at(300), Event::Carry { from: BALANCER, head, known: false });

    assert!(!to_server(&again), "{again:?}");
}

#[test]
fn a_flow_found_by_a_probe_is_reported_to_the_balancer() {
    let mut agent = agent();
    let head = data(flow(1), 1_001, 501);
    agent.handle(at(100), Event::Carry { from: BALANCER, head, known: false });

    let mut answer = accepted(flow(1), 501);
    answer.flags.syn = false;
    let actions = agent.handle(at(101), Event::FromServer(answer));

    let reports_holding = |action: &Action| {
        matches!(action, Action::Send(to, Message::Holds { flow: held, .. })
            if *to == BALANCER && *held == flow(1))
    };
    assert!(actions.iter().any(reports_holding), "{actions:?}");
}

/// Guards against resets after a replacement of the agent's process: the first heartbeat that the
/// new process receives is not that of a new server, also for flows that were idle for a second.
#[test]
fn the_first_heartbeat_after_a_restart_resets_nothing() {
    let mut agent = agent();
    let mut quiet = accepted(flow(1), 501);
    quiet.flags.syn = false;
    agent.handle(at(100), Event::FromServer(quiet));

    let actions = agent.handle(at(1_200), Event::Heartbeat(heartbeat("a", 9)));

    assert!(!resets(&actions), "{actions:?}");
}

#[test]
fn flows_of_a_replaced_server_are_reset() {
    let mut agent = serving();
    request(&mut agent, 100, flow(1));

    let actions = agent.handle(at(1_500), Event::Heartbeat(heartbeat("b", 1)));

    assert!(resets(&actions), "{actions:?}");
}

/// Guards against losing an open flow: a full server returns a delayed copy of the flow's opening,
/// and the agent takes this for the end of the flow.
#[test]
fn a_bounced_copy_of_an_opening_does_not_end_the_flow() {
    let mut agent = serving();
    request(&mut agent, 100, flow(1));
    let copy = agent.handle(at(300), open(flow(1), 1, IF_IN_TIME));

    agent.handle(at(301), Event::Bounced(bounced(opening(flow(1), 1), tag(&copy))));

    let head = data(flow(1), 1_101, 600);
    let actions = agent.handle(at(302), Event::Carry { from: BALANCER, head, known: true });
    assert!(to_server(&actions), "{actions:?}");
}

#[test]
fn a_server_that_leaves_openings_unanswered_gets_no_more() {
    let mut agent = serving();
    agent.handle(at(1_000), open(flow(1), 0, IF_IN_TIME));

    agent.handle(at(1_200), Event::Tick);
    let actions = agent.handle(at(1_201), open(flow(1), 1, IF_IN_TIME));

    assert_eq!(refusal(&actions), Some(Reason::Leaving));
}

/// An agent whose server has left an opening unanswered since 0.5 s and whose heartbeats are
/// missing since the first. Flow 1 is open.
fn with_silent_server() -> Agent {
    let mut agent = serving();
    request(&mut agent, 100, flow(1));
    agent.handle(at(500), open(flow(2), 0, IF_IN_TIME));
    agent
}

/// Guards against the reset of open flows on a guess: a server that is paused for some seconds
/// still holds them.
#[test]
fn open_flows_of_a_silent_server_are_not_reset() {
    let mut agent = with_silent_server();

    let mut actions = Vec::new();
    for now in (600..=6_000).step_by(100) {
        actions.extend(agent.handle(at(now), Event::Tick));
    }

    assert!(!resets(&actions), "{actions:?}");
    assert_eq!(agent.state(at(6_000)), State::Closed);
}

/// Guards against the reset of the open flows of a sound server: its agent did not run for some
/// seconds, and has not read the packets and heartbeats of that time yet.
#[test]
fn an_agent_that_did_not_run_resets_no_open_flow() {
    let mut agent = with_silent_server();

    let actions = agent.handle(at(5_000), Event::Tick);

    assert!(!resets(&actions), "{actions:?}");
}

/// Guards against clients that wait until their own timeout because the server died after their
/// request.
#[test]
fn flows_of_a_silent_server_are_reset_when_another_one_runs() {
    let mut agent = with_silent_server();
    agent.handle(at(3_200), Event::Tick);

    let actions = agent.handle(at(3_300), Event::Heartbeat(heartbeat("b", 1)));

    let expected = Action::Reset { flow: flow(1), seq: 501 };
    assert!(actions.contains(&expected), "{actions:?}");
}

#[test]
fn a_first_attempt_needs_an_idle_slot() {
    let mut agent = serving();
    for port in 1..=4 {
        request(&mut agent, 100, flow(port));
    }

    let actions = agent.handle(at(101), open(flow(9), 0, Admission::IfIdle));

    assert_eq!(refusal(&actions), Some(Reason::Busy));
}

#[test]
fn the_answer_frees_the_slot() {
    let mut agent = serving();
    request(&mut agent, 100, flow(1));
    let busy = agent.load();

    let mut answer = data(flow(1), 501, 1_101);
    answer.len = 600;
    agent.handle(at(150), Event::FromServer(answer));

    assert_eq!(busy, load(1, 1));
    assert_eq!(agent.load(), load(0, 1));
}

/// Lets the server answer the requests of these flows.
fn answer(agent: &mut Agent, now_ms: u64, ports: std::ops::RangeInclusive<u16>) -> Vec<Action> {
    let answers = ports.map(|port| Head { len: 600, ..data(flow(port), 501, 1_101) });
    answers.flat_map(|head| agent.handle(at(now_ms), Event::FromServer(head))).collect()
}

/// An agent whose server has no free slot and a full queue, with flow 9 opened after that.
fn saturated() -> Agent {
    let mut agent = serving();
    for port in 1..=8 {
        request(&mut agent, 100, flow(port));
    }
    agent.handle(at(101), open(flow(9), 0, IF_IN_TIME));
    agent.handle(at(102), Event::FromServer(accepted(flow(9), 500)));
    agent
}

/// The same with the waiting request of flow 9.
fn with_waiting_request() -> Agent {
    let mut agent = saturated();
    let head = data(flow(9), 1_001, 501);
    agent.handle(at(110), Event::Carry { from: BALANCER, head, known: false });
    agent
}

/// Guards against clients that use up their attempts within seconds after a power loss. If the
/// opening waits for a slot, its client gives it up after 1.4 s, and its next opening goes first
/// again.
#[test]
fn an_opening_is_accepted_at_once_and_its_request_waits_for_a_slot() {
    let mut agent = saturated();

    let head = data(flow(9), 1_001, 501);
    let waits = agent.handle(at(110), Event::Carry { from: BALANCER, head, known: false });
    let freed = answer(&mut agent, 150, 1..=8);

    assert!(waits.contains(&Action::Keep(head)), "{waits:?}");
    assert!(!to_server(&waits), "{waits:?}");
    assert!(freed.contains(&Action::Release(flow(9))), "{freed:?}");
}

#[test]
fn a_flow_whose_request_waits_is_reported_to_the_balancer() {
    let mut agent = saturated();

    let head = data(flow(9), 1_001, 501);
    let actions = agent.handle(at(110), Event::Carry { from: BALANCER, head, known: false });

    let holds = |action: &Action| matches!(action, Action::Send(_, Message::Holds { flow: held, .. }) if *held == flow(9));
    assert!(actions.iter().any(holds), "{actions:?}");
}

/// Guards against clients that wait until their deadline for a request that can no longer be
/// answered in time.
#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut agent = with_waiting_request();

    let early = agent.handle(at(2_000), Event::Tick);
    let late = agent.handle(at(2_600), Event::Tick);

    let refused = Action::Reset { flow: flow(9), seq: 501 };
    assert!(!early.contains(&refused), "{early:?}");
    assert!(late.contains(&refused), "{late:?}");
    assert!(late.contains(&Action::Forget(flow(9))), "{late:?}");
}

/// Guards against the reset of an open flow: the server repeats its answer to the opening after the
/// client was refused, and the client's second packet opens the flow while the reset is on its way.
#[test]
fn a_refused_flow_is_not_opened_by_a_later_packet() {
    let mut agent = with_waiting_request();
    agent.handle(at(2_600), Event::Tick);

    agent.handle(at(2_601), Event::FromServer(accepted(flow(9), 500)));
    let head = data(flow(9), 1_001, 501);
    let again = agent.handle(at(2_602), Event::Carry { from: BALANCER, head, known: true });

    assert!(!to_server(&again), "{again:?}");
    assert!(again.contains(&Action::Reset { flow: flow(9), seq: 501 }), "{again:?}");
}

#[test]
fn waiting_requests_are_refused_when_the_server_has_ended() {
    let mut agent = with_waiting_request();

    let actions = agent.handle(at(120), Event::Deregistered(incarnation("a")));

    assert!(actions.contains(&Action::Reset { flow: flow(9), seq: 501 }), "{actions:?}");
}

/// Guards against the reset of an open flow: the server starts to drain while the flow's first
/// request waits. A draining server still serves the flows that it has accepted.
#[test]
fn waiting_requests_stay_with_a_draining_server() {
    let mut agent = with_waiting_request();
    let mut beat = heartbeat("a", 2);
    beat.draining = true;

    let draining = agent.handle(at(120), Event::Heartbeat(beat));
    let freed = answer(&mut agent, 150, 1..=8);

    assert!(!resets(&draining), "{draining:?}");
    assert!(freed.contains(&Action::Release(flow(9))), "{freed:?}");
}

/// Guards against the loss of waiting requests when the agent's process is replaced.
#[test]
fn a_leaving_agent_releases_all_waiting_requests_to_the_server() {
    let mut agent = with_waiting_request();

    let actions = agent.handle(at(120), Event::Leave);

    assert!(actions.contains(&Action::Release(flow(9))), "{actions:?}");
}

#[test]
fn a_client_that_gives_up_frees_its_place() {
    let mut agent = with_waiting_request();
    let mut end = data(flow(9), 1_101, 501);
    end.len = 0;
    end.flags.rst = true;

    let ended = agent.handle(at(120), Event::Carry { from: BALANCER, head: end, known: true });
    let freed = answer(&mut agent, 150, 1..=8);

    assert!(to_server(&ended), "{ended:?}");
    assert!(!freed.contains(&Action::Release(flow(9))), "{freed:?}");
}

#[test]
fn a_request_that_must_run_once_does_not_wait_at_the_agent() {
    let mut agent = serving();
    for port in 1..=8 {
        request(&mut agent, 100, flow(port));
    }

    let demand = Demand { objective_ms: 300, deadline_ms: 3_000, ..demand(true) };
    let opening = Event::Open { from: BALANCER, head: opening(flow(9), 0), offer: offer(demand) };
    agent.handle(at(101), opening);
    agent.handle(at(102), Event::FromServer(accepted(flow(9), 500)));
    let head = data(flow(9), 1_001, 501);

    let actions = agent.handle(at(103), Event::Carry { from: BALANCER, head, known: true });

    assert!(to_server(&actions), "{actions:?}");
}

#[test]
fn a_leaving_agent_without_a_server_is_gone() {
    let mut agent = serving();
    agent.handle(at(100), Event::Deregistered(incarnation("a")));

    agent.handle(at(200), Event::Leave);

    assert_eq!(agent.state(at(201)), State::Gone);
}

#[test]
fn a_leaving_agent_with_a_server_is_restarting() {
    let mut agent = serving();

    agent.handle(at(200), Event::Leave);

    assert_eq!(agent.state(at(201)), State::Restarting);
}

/// Guards against requests that fail one after the other at a server with good health checks: it
/// breaks each off at once, so it looks idle and attracts the most.
#[test]
fn a_server_that_breaks_requests_off_is_spared() {
    let mut agent = serving();
    let mut reset = data(flow(1), 501, 1_101);
    reset.flags.rst = true;
    reset.len = 0;
    for port in 1..=3 {
        request(&mut agent, 100, flow(port));
        agent.handle(at(101), Event::FromServer(Head { flow: flow(port), ..reset }));
    }

    assert_eq!(agent.state(at(102)), State::Failing);
    assert_eq!(agent.state(at(2_200)), State::Ready);
}

/// Guards against clients of lost flows that wait for seconds, because the agent of a host without
/// a backend server cannot report that it holds nothing. It can after one and a half heartbeat
/// intervals.
#[test]
fn an_agent_without_heartbeats_reports_flows_as_absent() {
    let mut agent = agent();

    let actions = agent.handle(at(1_801), Event::Locate(BALANCER, flow(1)));

    let denies = |action: &Action| matches!(action, Action::Send(_, Message::Absent { .. }));
    assert!(actions.iter().any(denies), "{actions:?}");
}

/// Guards against resets of all flows of a draining balancer: without announcements it considers
/// the agents dead after two seconds, while it still forwards packets.
#[test]
fn an_agent_still_announces_itself_to_a_leaving_balancer() {
    let mut agent = serving();
    let roster = Gossip { leaving: true, ..gossip(1, &[], 1) };
    agent.handle(at(1_000), Event::Gossip(BALANCER, roster));

    let actions = agent.handle(at(1_400), Event::Tick);

    let announces = |action: &Action| matches!(action, Action::Send(to, Message::Announce(_)) if *to == BALANCER);
    assert!(actions.iter().any(announces), "{actions:?}");
}

/// Returns whether a balancer is notified that a flow is not here.
fn reports_absent(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Send(_, Message::Absent { .. })))
}

/// Sends copies of one request at these times, none of which is answered.
fn send_copies(agent: &mut Agent, times: &[u64]) {
    let head = data(flow(1), 1_001, 501);
    for time in times {
        agent.handle(at(*time), Event::Carry { from: BALANCER, head, known: false });
    }
}

/// Guards against resets of open flows after a restart of the agent: its server leaves a request and
/// its copies unanswered because it is paused, and still holds its flows.
#[test]
fn a_server_that_answers_no_probe_is_not_considered_absent() {
    let mut agent = agent();
    send_copies(&mut agent, &[100, 300, 700]);

    let early = agent.handle(at(800), Event::Tick);
    let late = agent.handle(at(900), Event::Tick);
    let other = agent.handle(at(901), Event::Locate(BALANCER, flow(2)));

    let unsure = Message::Unsure { flow: flow(2), load: agent.load() };
    assert!(!reports_absent(&early), "{early:?}");
    assert!(!reports_absent(&late), "{late:?}");
    assert_eq!(other, [Action::Send(BALANCER, unsure)]);
}

/// Guards against the reset of an open flow: a balancer asks for the flow just after the agent's
/// process was replaced, before the agent knows its server.
#[test]
fn an_agent_without_a_known_server_is_unsure_about_a_flow() {
    let mut agent = agent();

    let actions = agent.handle(at(100), Event::Locate(BALANCER, flow(1)));

    let unsure = Message::Unsure { flow: flow(1), load: load(0, 0) };
    assert_eq!(actions, [Action::Send(BALANCER, unsure)]);
}

/// An agent with flow 9 open and idle, whose server has all slots busy with other flows.
fn saturated_with_open_flow() -> Agent {
    let mut agent = serving();
    request(&mut agent, 100, flow(9));
    answer(&mut agent, 150, 9..=9);
    for port in 1..=8 {
        request(&mut agent, 200, flow(port));
    }
    agent
}

/// Guards against late answers on all open flows while servers are cold after a restart: the
/// server's own queue is answered in the order of arrival.
#[test]
fn a_request_on_an_open_flow_waits_for_a_slot_too() {
    let mut agent = saturated_with_open_flow();
    let head = data(flow(9), 1_101, 1_101);

    let waits = agent.handle(at(210), Event::Carry { from: BALANCER, head, known: true });
    let freed = answer(&mut agent, 250, 1..=8);

    assert!(waits.contains(&Action::Keep(head)), "{waits:?}");
    assert!(freed.contains(&Action::Release(flow(9))), "{freed:?}");
}

/// Guards against the reset of an open flow on which a request waited too long. Only the request is
/// dropped.
#[test]
fn a_request_on_an_open_flow_that_waited_too_long_resets_nothing() {
    let mut agent = saturated_with_open_flow();
    let head = data(flow(9), 1_101, 1_101);
    agent.handle(at(210), Event::Carry { from: BALANCER, head, known: true });

    let late = agent.handle(at(2_800), Event::Tick);
    agent.handle(at(20_000), Event::Tick);
    let next = data(flow(9), 1_201, 1_101);
    let continued =
        agent.handle(at(20_000), Event::Carry { from: BALANCER, head: next, known: true });

    assert!(late.contains(&Action::Forget(flow(9))), "{late:?}");
    assert!(!late.contains(&Action::Reset { flow: flow(9), seq: 1_101 }), "{late:?}");
    assert!(to_server(&continued), "{continued:?}");
}

/// Guards against clients that wait for answers from a crashed server: it restarts with its old id,
/// and its heartbeats are taken for delayed ones because their sequence numbers start again.
#[test]
fn flows_of_a_server_that_restarts_with_its_old_id_are_reset_at_once() {
    let mut agent = agent();
    agent.handle(at(0), Event::Heartbeat(heartbeat_started_at("a", 5_000, 40)));
    request(&mut agent, 100, flow(1));

    let actions = agent.handle(at(1_500), Event::Heartbeat(heartbeat_started_at("a", 6_400, 1)));

    let reset = Action::Reset { flow: flow(1), seq: 501 };
    assert!(actions.contains(&reset), "{actions:?}");
    assert_eq!(agent.state(at(1_500)), State::Ready);
}

/// Guards against the reset of an open flow of a new server that starts before its first heartbeat
/// arrives and has to be confirmed by a second one: the flow has been idle since.
#[test]
fn flows_of_a_server_that_replaces_another_with_its_second_heartbeat_stay() {
    let mut agent = serving();
    request(&mut agent, 100, flow(1));
    let beat = |seq| Heartbeat { service: Service::named("elsewhere"), ..heartbeat("x", seq) };
    request(&mut agent, 3_000, flow(2));
    answer(&mut agent, 3_050, 2..=2);
    agent.handle(at(3_100), Event::Heartbeat(beat(1)));

    let actions = agent.handle(at(4_300), Event::Heartbeat(beat(2)));

    assert!(actions.contains(&Action::Reset { flow: flow(1), seq: 501 }), "{actions:?}");
    assert!(!actions.contains(&Action::Reset { flow: flow(2), seq: 501 }), "{actions:?}");
}

/// Guards against the reset of the open flows of a paused server: a heartbeat of its predecessor was
/// delayed until the server was overdue.
#[test]
fn a_delayed_heartbeat_does_not_replace_a_paused_server() {
    let mut agent = agent();
    agent.handle(at(0), Event::Heartbeat(heartbeat("old", 3)));
    agent.handle(at(1_200), Event::Heartbeat(heartbeat("new", 1)));
    request(&mut agent, 1_300, flow(1));

    let delayed = agent.handle(at(4_300), Event::Heartbeat(heartbeat("old", 4)));
    let resumed = agent.handle(at(4_400), Event::Heartbeat(heartbeat("new", 2)));

    assert!(!resets(&delayed), "{delayed:?}");
    assert!(!resets(&resumed), "{resumed:?}");
    assert_eq!(agent.state(at(4_400)), State::Ready);
}

/// Guards against openings that reach a server of the wrong service: another server may have
/// started at this address, and the next heartbeat decides.
#[test]
fn an_agent_with_a_contested_server_accepts_no_openings_until_the_next_heartbeat() {
    let mut agent = serving();
    let mut foreign = heartbeat("x", 1);
    foreign.service = Service::named("elsewhere");

    agent.handle(at(600), Event::Heartbeat(foreign));
    let refused = agent.handle(at(700), open(flow(1), 0, IF_IN_TIME));
    agent.handle(at(1_200), Event::Heartbeat(heartbeat("a", 2)));
    let admitted = agent.handle(at(1_300), open(flow(2), 0, IF_IN_TIME));

    assert!(!to_server(&refused), "{refused:?}");
    assert!(to_server(&admitted), "{admitted:?}");
}

/// Guards against idle servers after a power loss: a balancer that missed an agent's first
/// announcement learned of it only 0.4 s later, while other servers were overloaded.
#[test]
fn an_agent_announces_itself_with_each_tick_to_a_balancer_that_has_not_answered() {
    let mut agent = agent();
    agent.handle(at(3), Event::Heartbeat(heartbeat("a", 1)));
    let announced = |actions: &[Action]| {
        let is_announcement = |action: &Action| matches!(action, Action::Send(BALANCER, Message::Announce(announcement)) if announcement.state == State::Ready);
        actions.iter().any(is_announcement)
    };

    let early = announced(&agent.handle(at(100), Event::Tick));
    let again = announced(&agent.handle(at(200), Event::Tick));
    let balancers = vec![BALANCER];
    let roster = gossip(1, &balancers, 1);
    agent.handle(at(210), Event::Gossip(BALANCER, roster.clone()));
    let introduced = announced(&agent.handle(at(300), Event::Tick));
    agent.handle(at(310), Event::Gossip(BALANCER, Gossip { leaving: true, ..roster }));
    let leaving = announced(&agent.handle(at(400), Event::Tick));

    assert_eq!((early, again, introduced, leaving), (true, true, false, true));
}
