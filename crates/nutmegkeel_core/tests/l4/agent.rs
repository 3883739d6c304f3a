use nutmegkeel_core::l4::agent::{Action, Agent, Event};
use nutmegkeel_core::l4::flow::{Flow, Head};
use nutmegkeel_core::l4::message::{Demand, Insistence, Message, Offer, Reason, Roster, State};
use nutmegkeel_core::l4::route::Service;

use crate::fixture::{
    BALANCER, accepted, agent, at, bounced, data, demand, flow, gossip, heartbeat,
    heartbeat_started_at, incarnation, load, offer, opening,
};

const WAITS: Insistence = Insistence::IfInTime;
const FEED: Demand = demand(false);

fn open(flow: Flow, copies: u32, insistence: Insistence) -> Event {
    let offer = Offer { insistence, ..offer(FEED) };
    Event::Open { from: BALANCER, head: opening(flow, copies), offer }
}

/// An agent beside a server that it has known since the server's start.
fn serving() -> Agent {
    let mut agent = agent();
    agent.handle(at(0), Event::Heartbeat(heartbeat("a", 1)));
    agent
}

/// Opens a flow at the server and has its first request in progress.
fn request(agent: &mut Agent, now_ms: u64, flow: Flow) {
    agent.handle(at(now_ms), open(flow, 0, WAITS));
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
    tags.next_back().expect("a packet went to the server")
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
fn a_draining_server_gets_no_opening_from_that_moment() {
    let mut agent = serving();
    let mut beat = heartbeat("a", 2);
    beat.draining = true;
    agent.handle(at(1_000), Event::Heartbeat(beat));

    let fresh = agent.handle(at(1_001), open(flow(1), 0, WAITS));

    assert_eq!(refusal(&fresh), Some(Reason::Leaving));
    assert_eq!(agent.state(at(1_002)), State::Closed);
}

#[test]
fn open_flows_of_a_draining_server_go_on() {
    let mut agent = serving();
    request(&mut agent, 500, flow(1));
    let mut beat = heartbeat("a", 2);
    beat.draining = true;
    agent.handle(at(1_000), Event::Heartbeat(beat));

    let head = data(flow(1), 1_101, 600);
    let actions = agent.handle(at(1_100), Event::Carry { from: BALANCER, head, known: true });

    assert!(to_server(&actions), "{actions:?}");
}

/// A filing reaches the records vault: an address was used again by another service, and a balancer
/// still believes the old one is there. The agent knows its server and never hands the opening over.
#[test]
fn an_opening_for_another_service_never_reaches_the_server() {
    let mut agent = serving();
    let offer = Offer { service: Service::named("vault"), ..offer(FEED) };
    let wrong = Event::Open { from: BALANCER, head: opening(flow(1), 0), offer };

    let actions = agent.handle(at(10), wrong);

    assert_eq!(refusal(&actions), Some(Reason::WrongService));
    assert!(!to_server(&actions));
}

#[test]
fn of_two_servers_that_accepted_the_flow_is_at_the_one_acknowledged() {
    let mut agent = serving();
    agent.handle(at(10), open(flow(1), 0, WAITS));
    agent.handle(at(11), Event::FromServer(accepted(flow(1), 500)));
    let of_another = data(flow(1), 1_001, 900_000);

    let other =
        agent.handle(at(12), Event::Carry { from: BALANCER, head: of_another, known: false });
    let head = data(flow(1), 1_001, 501);
    let ours = agent.handle(at(13), Event::Carry { from: BALANCER, head, known: false });

    assert_eq!(refusal(&other), Some(Reason::NotHeld));
    assert!(to_server(&ours), "{ours:?}");
}

/// A feed is answered by two servers in turn. Both had accepted a copy of its opening, with numbers near
/// each other, and the agent of the second, which had not seen its server start, asked it all the same.
#[test]
fn a_server_is_not_asked_for_a_flow_that_another_server_has() {
    let mut agent = agent();
    agent.handle(at(0), Event::Heartbeat(heartbeat("a", 9)));
    agent.handle(at(10), open(flow(1), 0, WAITS));
    agent.handle(at(11), Event::FromServer(accepted(flow(1), 500)));
    let of_another = data(flow(1), 1_001, 900_000);

    let actions =
        agent.handle(at(12), Event::Carry { from: BALANCER, head: of_another, known: false });

    assert_eq!(refusal(&actions), Some(Reason::NotHeld));
    assert!(!to_server(&actions), "{actions:?}");
}

/// A feed is reset although its server lives: another agent held only a copy of its opening, said that
/// it holds the flow, and died.
#[test]
fn an_agent_with_a_copy_of_the_opening_does_not_say_that_it_holds_the_flow() {
    let mut agent = serving();
    agent.handle(at(10), open(flow(1), 0, WAITS));
    agent.handle(at(11), Event::FromServer(accepted(flow(1), 500)));

    let actions = agent.handle(at(20), Event::Locate(BALANCER, flow(1)));

    let unsure = Message::Unsure { flow: flow(1), load: agent.load() };
    assert_eq!(actions, [Action::Send(BALANCER, unsure)]);
}

/// A feed is told that nobody holds it while its server serves. The agent's process was replaced, and
/// before the server's next heartbeat it took itself for an agent without a server.
#[test]
fn a_restarted_agent_asks_its_server_before_the_first_heartbeat() {
    let mut agent = agent();
    let head = data(flow(1), 1_001, 501);

    let actions = agent.handle(at(100), Event::Carry { from: BALANCER, head, known: false });

    assert_eq!(refusal(&actions), None);
    assert_ne!(tag(&actions), 0);
}

#[test]
fn a_packet_that_bounces_goes_back_to_the_balancer_that_asked() {
    let mut agent = agent();
    let head = data(flow(1), 1_001, 501);
    let asked = agent.handle(at(100), Event::Carry { from: BALANCER, head, known: false });

    let actions = agent.handle(at(101), Event::Bounced(bounced(head, tag(&asked))));

    assert_eq!(refusal(&actions), Some(Reason::NotHeld));
}

#[test]
fn a_server_that_is_asked_once_and_denies_is_not_asked_again() {
    let mut agent = agent();
    let head = data(flow(1), 1_001, 501);
    let asked = agent.handle(at(100), Event::Carry { from: BALANCER, head, known: false });
    agent.handle(at(101), Event::Bounced(bounced(head, tag(&asked))));

    let again = agent.handle(at(300), Event::Carry { from: BALANCER, head, known: false });

    assert!(!to_server(&again), "{again:?}");
}

#[test]
fn a_flow_that_the_server_shows_to_hold_is_announced_to_who_asked() {
    let mut agent = agent();
    let head = data(flow(1), 1_001, 501);
    agent.handle(at(100), Event::Carry { from: BALANCER, head, known: false });

    let mut answer = accepted(flow(1), 501);
    answer.flags.syn = false;
    let actions = agent.handle(at(101), Event::FromServer(answer));

    let tells = |action: &Action| {
        matches!(action, Action::Send(to, Message::Holds { flow: held, .. })
            if *to == BALANCER && *held == flow(1))
    };
    assert!(actions.iter().any(tells), "{actions:?}");
}

/// Feeds break off after their agent's process was replaced: the first heartbeat that the new
/// process hears looked like a new server, and flows that were quiet for a second were reset.
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

/// A client's flow is open, and a late copy of its opening finds the server full. The server hands
/// the copy back, and the agent took that for the end of the flow.
#[test]
fn a_bounced_copy_of_an_opening_does_not_end_the_flow() {
    let mut agent = serving();
    request(&mut agent, 100, flow(1));
    let copy = agent.handle(at(300), open(flow(1), 1, WAITS));

    agent.handle(at(301), Event::Bounced(bounced(opening(flow(1), 1), tag(&copy))));

    let head = data(flow(1), 1_101, 600);
    let actions = agent.handle(at(302), Event::Carry { from: BALANCER, head, known: true });
    assert!(to_server(&actions), "{actions:?}");
}

#[test]
fn a_server_that_leaves_openings_unanswered_gets_no_more() {
    let mut agent = serving();
    agent.handle(at(1_000), open(flow(1), 0, WAITS));

    agent.handle(at(1_200), Event::Tick);
    let actions = agent.handle(at(1_201), open(flow(1), 1, WAITS));

    assert_eq!(refusal(&actions), Some(Reason::Leaving));
}

/// A feed hangs until its client's own timeout because its server died: the client has sent its
/// request and waits. Openings stay unanswered and heartbeats are missing.
#[test]
fn clients_of_a_dead_server_are_told() {
    let mut agent = serving();
    request(&mut agent, 100, flow(1));
    agent.handle(at(500), open(flow(2), 0, WAITS));
    agent.handle(at(700), Event::Tick);

    let actions = agent.handle(at(3_200), Event::Tick);

    let told = Action::Reset { flow: flow(1), seq: 501 };
    assert!(actions.contains(&told), "{actions:?}");
}

#[test]
fn an_idle_slot_is_all_that_counts_for_the_first_tries() {
    let mut agent = serving();
    for port in 1..=4 {
        request(&mut agent, 100, flow(port));
    }

    let actions = agent.handle(at(101), open(flow(9), 0, Insistence::IfIdle));

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

/// An agent whose server has all slots taken and enough to go on with, and flow 9 opened behind that.
fn saturated() -> Agent {
    let mut agent = serving();
    for port in 1..=8 {
        request(&mut agent, 100, flow(port));
    }
    agent.handle(at(101), open(flow(9), 0, WAITS));
    agent.handle(at(102), Event::FromServer(accepted(flow(9), 500)));
    agent
}

/// The same with the request of flow 9, which waits.
fn with_waiting_request() -> Agent {
    let mut agent = saturated();
    let head = data(flow(9), 1_001, 501);
    agent.handle(at(110), Event::Carry { from: BALANCER, head, known: false });
    agent
}

/// After a loss of power hundreds of clients use up their tries within seconds. Each gave up an opening
/// that waited for a slot after 1.4 s, came back with a new one and was put first again. The server
/// accepts the opening at once now, and the request is what waits.
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
fn a_balancer_is_told_where_a_flow_is_whose_request_waits() {
    let mut agent = saturated();

    let head = data(flow(9), 1_001, 501);
    let actions = agent.handle(at(110), Event::Carry { from: BALANCER, head, known: false });

    let holds = |action: &Action| matches!(action, Action::Send(_, Message::Holds { flow: held, .. }) if *held == flow(9));
    assert!(actions.iter().any(holds), "{actions:?}");
}

/// A client waits in silence until its own deadline for a request that has no chance any more.
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

#[test]
fn requests_that_wait_are_refused_when_their_server_has_ended() {
    let mut agent = with_waiting_request();

    let actions = agent.handle(at(120), Event::Deregistered(incarnation("a")));

    assert!(actions.contains(&Action::Reset { flow: flow(9), seq: 501 }), "{actions:?}");
}

/// A feed is reset although its server lives: the client had opened it, and the server drains while
/// the first request waits. A draining server serves the flows that it has accepted.
#[test]
fn requests_that_wait_stay_with_a_draining_server() {
    let mut agent = with_waiting_request();
    let mut beat = heartbeat("a", 2);
    beat.draining = true;

    let draining = agent.handle(at(120), Event::Heartbeat(beat));
    let freed = answer(&mut agent, 150, 1..=8);

    assert!(!resets(&draining), "{draining:?}");
    assert!(freed.contains(&Action::Release(flow(9))), "{freed:?}");
}

/// Requests that wait are lost with the agent's process when it is replaced.
#[test]
fn an_agent_that_leaves_hands_all_waiting_requests_to_the_server() {
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
fn what_must_run_once_does_not_wait_behind_others() {
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
fn an_agent_whose_server_ended_says_that_it_is_gone() {
    let mut agent = serving();
    agent.handle(at(100), Event::Deregistered(incarnation("a")));

    agent.handle(at(200), Event::Leave);

    assert_eq!(agent.state(at(201)), State::Gone);
}

#[test]
fn an_agent_that_leaves_its_server_behind_restarts() {
    let mut agent = serving();

    agent.handle(at(200), Event::Leave);

    assert_eq!(agent.state(at(201)), State::Restarting);
}

/// Filings fail one after the other at a server whose health check is good. It breaks each off at
/// once, so it looks idle and draws the most.
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

/// Clients of lost flows wait for seconds because a host without a backend server was started: its
/// agent could not say that it holds nothing. One and a half heartbeats are enough to know.
#[test]
fn an_agent_that_hears_no_server_holds_nothing() {
    let mut agent = agent();

    let actions = agent.handle(at(1_801), Event::Locate(BALANCER, flow(1)));

    let denies = |action: &Action| matches!(action, Action::Send(_, Message::Absent { .. }));
    assert!(actions.iter().any(denies), "{actions:?}");
}

/// All feeds that pass a balancer break off two seconds after it was told to stop: agents no longer
/// spoke to it, and it took them for dead while it still carried packets.
#[test]
fn an_agent_goes_on_speaking_to_a_balancer_that_leaves() {
    let mut agent = serving();
    let roster = Roster { leaving: true, ..gossip(1, &[], 1) };
    agent.handle(at(1_000), Event::Roster(BALANCER, roster));

    let actions = agent.handle(at(1_400), Event::Tick);

    let speaks = |action: &Action| matches!(action, Action::Send(to, Message::Announce(_)) if *to == BALANCER);
    assert!(actions.iter().any(speaks), "{actions:?}");
}

/// Whether a balancer is told that a flow is not here.
fn absent(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Send(_, Message::Absent { .. })))
}

/// Lets a client send one request at each of these times, as copies of a packet that nobody answers.
fn request_again(agent: &mut Agent, times: &[u64]) {
    let head = data(flow(1), 1_001, 501);
    for time in times {
        agent.handle(at(*time), Event::Carry { from: BALANCER, head, known: false });
    }
}

/// Clients of lost flows wait for seconds: a host was started again without a backend server, and its
/// agent handed every question to nobody. A server that holds a flow acknowledges every second packet of it.
#[test]
fn an_agent_whose_server_leaves_a_request_and_its_copies_unanswered_says_that_the_flow_is_not_here()
{
    let mut agent = agent();
    request_again(&mut agent, &[100, 300, 700]);

    let early = agent.handle(at(800), Event::Tick);
    let late = agent.handle(at(900), Event::Tick);

    assert!(!absent(&early), "{early:?}");
    assert!(absent(&late), "{late:?}");
}

/// Guards against open flows that are reset because their agent was restarted and its server is still at work on
/// the first request that it was handed: silence shows no more than that the request takes its time.
#[test]
fn a_server_at_work_on_a_request_is_not_taken_for_one_that_is_gone() {
    let mut agent = agent();
    request_again(&mut agent, &[100, 300]);

    let working = agent.handle(at(600), Event::Tick);
    let other = agent.handle(at(601), Event::Locate(BALANCER, flow(2)));

    let unsure = Message::Unsure { flow: flow(2), load: agent.load() };
    assert!(!absent(&working), "{working:?}");
    assert_eq!(other, [Action::Send(BALANCER, unsure)]);
}

/// A feed breaks off because a balancer asked for its flow without a packet, just after the agent's
/// process was replaced: the agent knew of no server yet and said that the flow is not here.
#[test]
fn an_agent_that_does_not_know_its_server_yet_says_only_that_it_is_unsure() {
    let mut agent = agent();

    let actions = agent.handle(at(100), Event::Locate(BALANCER, flow(1)));

    let unsure = Message::Unsure { flow: flow(1), load: load(0, 0) };
    assert_eq!(actions, [Action::Send(BALANCER, unsure)]);
}

/// An agent with flow 9 open and idle, whose server has all slots taken by other flows.
fn saturated_beside_an_open_flow() -> Agent {
    let mut agent = serving();
    request(&mut agent, 100, flow(9));
    answer(&mut agent, 150, 9..=9);
    for port in 1..=8 {
        request(&mut agent, 200, flow(port));
    }
    agent
}

/// All feeds are late for seconds after a restart, while servers are cold: requests on open flows went
/// straight into the server's queue, which answers in the order of arrival.
#[test]
fn a_request_on_an_open_flow_waits_for_a_slot_too() {
    let mut agent = saturated_beside_an_open_flow();
    let head = data(flow(9), 1_101, 1_101);

    let waits = agent.handle(at(210), Event::Carry { from: BALANCER, head, known: true });
    let freed = answer(&mut agent, 250, 1..=8);

    assert!(waits.contains(&Action::Keep(head)), "{waits:?}");
    assert!(freed.contains(&Action::Release(flow(9))), "{freed:?}");
}

/// A feed breaks off although its server lives: a request on it waited for too long, and the agent
/// reset the flow. On a flow that is open, nothing is sent.
#[test]
fn a_request_on_an_open_flow_that_waited_too_long_resets_nothing() {
    let mut agent = saturated_beside_an_open_flow();
    let head = data(flow(9), 1_101, 1_101);
    agent.handle(at(210), Event::Carry { from: BALANCER, head, known: true });

    let late = agent.handle(at(2_800), Event::Tick);
    agent.handle(at(20_000), Event::Tick);
    let next = data(flow(9), 1_201, 1_101);
    let goes_on =
        agent.handle(at(20_000), Event::Carry { from: BALANCER, head: next, known: true });

    assert!(late.contains(&Action::Forget(flow(9))), "{late:?}");
    assert!(!late.contains(&Action::Reset { flow: flow(9), seq: 1_101 }), "{late:?}");
    assert!(to_server(&goes_on), "{goes_on:?}");
}

/// A server crashed and is back under its old id. Clients of its flows wait for answers that nobody will
/// send: the old heartbeats' count made the new ones look late, and no reset was sent.
#[test]
fn clients_of_a_server_that_is_back_under_its_old_id_are_told_at_once() {
    let mut agent = agent();
    agent.handle(at(0), Event::Heartbeat(heartbeat_started_at("a", 5_000, 40)));
    request(&mut agent, 100, flow(1));

    let actions = agent.handle(at(1_500), Event::Heartbeat(heartbeat_started_at("a", 6_400, 1)));

    let reset = Action::Reset { flow: flow(1), seq: 501 };
    assert!(actions.contains(&reset), "{actions:?}");
    assert_eq!(agent.state(at(1_500)), State::Ready);
}

/// A word of another service came, perhaps of the server that now stands at this address. Until the next
/// heartbeat tells, an opening must not reach a server of the wrong service.
#[test]
fn an_agent_whose_server_is_contested_takes_no_openings_until_the_next_heartbeat() {
    let mut agent = serving();
    let mut foreign = heartbeat("x", 1);
    foreign.service = Service::named("elsewhere");

    agent.handle(at(600), Event::Heartbeat(foreign));
    let refused = agent.handle(at(700), open(flow(1), 0, WAITS));
    agent.handle(at(1_200), Event::Heartbeat(heartbeat("a", 2)));
    let taken = agent.handle(at(1_300), open(flow(2), 0, WAITS));

    assert!(!to_server(&refused), "{refused:?}");
    assert!(to_server(&taken), "{taken:?}");
}

/// All hosts come back from a loss of power within 0.3 s, agents before balancers. A balancer that missed
/// an agent's first announcement heard of it 0.4 s later; its server idled while others drowned.
#[test]
fn an_agent_announces_itself_with_each_tick_to_a_balancer_that_has_not_answered() {
    let mut agent = agent();
    agent.handle(at(3), Event::Heartbeat(heartbeat("a", 1)));
    let announced = |actions: &[Action]| {
        let is_word = |action: &Action| matches!(action, Action::Send(BALANCER, Message::Announce(word)) if word.state == State::Ready);
        actions.iter().any(is_word)
    };

    let early = announced(&agent.handle(at(100), Event::Tick));
    let again = announced(&agent.handle(at(200), Event::Tick));
    let balancers = vec![BALANCER];
    let roster = gossip(1, &balancers, 1);
    agent.handle(at(210), Event::Roster(BALANCER, roster.clone()));
    let acquainted = announced(&agent.handle(at(300), Event::Tick));
    agent.handle(at(310), Event::Roster(BALANCER, Roster { leaving: true, ..roster }));
    let leaving = announced(&agent.handle(at(400), Event::Tick));

    assert_eq!((early, again, acquainted, leaving), (true, true, false, true));
}
