//! Summaries of agents that balancers of different failure domains exchange.

use std::net::Ipv4Addr;

use nutmegkeel_core::l4::agent;
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::health::Health;
use nutmegkeel_core::l4::message::{Gossip, Load, Message, Report, State, Summary};
use nutmegkeel_core::l4::placement::{Change, Pool};
use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::l4::route::Kind;

use crate::fixture::{
    BALANCER, DOMAIN, agent, announcement, at, default_service, flow, gossip, heartbeat, host,
    identity, load, need,
};

const REMOTE: &str = "tema";

/// A balancer of another failure domain.
const REMOTE_BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 2, 1);

fn report(number: u64, age_ms: u32) -> Report {
    Report {
        agent: host(1),
        age_ms,
        incarnation: 1,
        number,
        service: Some(0),
        slots: 2,
        cold: false,
        room: None,
        state: State::Ready,
        sees_all_flows: true,
        load: Load::default(),
    }
}

/// A pool of a balancer in [`DOMAIN`].
fn pool() -> Pool {
    Pool::open(DOMAIN.into())
}

fn summary(reports: Vec<Report>) -> Summary {
    Summary { domain: REMOTE.into(), services: vec![default_service()], reports, forwarded: false }
}

/// Sends a pool summaries of one remote agent every 300 ms. The agent was last seen at `last_ms`.
fn send_summaries(pool: &mut Pool, last_ms: u64, until_ms: u64) {
    for now in (0..=until_ms).step_by(300) {
        let seen = now.min(last_ms);
        let age_ms = u32::try_from(now - seen).expect("a short test");
        pool.reported(at(now), &summary(Vec::new()), &report(1 + seen / 300, age_ms));
    }
}

#[test]
fn an_agent_in_recent_summaries_is_fresh() {
    let mut pool = pool();

    send_summaries(&mut pool, 3_000, 3_000);

    assert_eq!(pool.health(at(3_200), host(1)), Some(Health::Fresh));
    assert_eq!(pool.open_agents(at(3_200), &need(flow(1).key(), Kind::Once, &[])), 1);
}

/// Guards against openings that go to a dead host of another failure domain much longer than to one
/// of the same domain.
#[test]
fn a_silent_agent_is_late_and_then_given_up() {
    let mut pool = pool();

    send_summaries(&mut pool, 3_000, 3_900);
    let late = pool.health(at(3_900), host(1));
    send_summaries(&mut pool, 3_000, 5_100);
    let silent = pool.health(at(5_100), host(1));

    assert_eq!((late, silent), (Some(Health::Late), Some(Health::Silent)));
}

/// Guards against resets of flows to another failure domain whose servers are alive, when all
/// balancers there are killed at once and nobody reports its agents.
#[test]
fn unseen_agents_get_no_flows_and_lose_none() {
    let mut pool = pool();
    send_summaries(&mut pool, 3_000, 3_000);

    let unseen: Vec<_> = [4_200, 7_000, 10_000].map(|now| pool.health(at(now), host(1))).into();
    let open = pool.open_agents(at(4_200), &need(flow(1).key(), Kind::Once, &[]));
    let lost = pool.health(at(12_000), host(1));

    assert_eq!(unseen, vec![Some(Health::Late); 3]);
    assert_eq!(open, 0);
    assert_eq!(lost, Some(Health::Silent));
}

/// Guards against resets of flows to another failure domain whose servers are alive. Most balancers
/// there had lost power, and the first one back reported only the few agents that it knew after two
/// seconds of silence; the other agents must not be taken for silent.
#[test]
fn an_agent_missing_from_a_summary_is_not_given_up() {
    let mut pool = pool();
    send_summaries(&mut pool, 3_000, 3_000);

    for now in [5_200, 5_500] {
        let other = Report { agent: host(2), ..report(1, 10) };
        pool.reported(at(now), &summary(Vec::new()), &other);
    }

    assert_eq!(pool.health(at(5_500), host(1)), Some(Health::Late));
    assert_eq!(pool.newly_silent(at(5_500)), Vec::<Ipv4Addr>::new());
}

/// A remote agent first announces itself directly, then only to the balancers of its own failure
/// domain, whose first summary may be late.
#[test]
fn a_remote_agent_that_announced_itself_directly_is_not_given_up() {
    let mut pool = pool();
    let mut direct = announcement(1, State::Ready, Load::default());
    direct.domain = REMOTE.into();
    pool.announced(at(0), host(1), direct);

    assert_eq!(pool.health(at(2_500), host(1)), Some(Health::Late));
}

/// Guards against a reset of a flow to another failure domain whose server is alive. Its agent
/// announced itself directly while its domain had no balancer, and then stopped; the balancer that
/// carries the flow was about to stop and got no summaries.
#[test]
fn a_remote_agent_that_stops_announcing_itself_directly_is_not_given_up() {
    let mut pool = pool();
    send_summaries(&mut pool, 3_000, 3_000);
    let mut direct = announcement(50, State::Ready, Load::default());
    direct.domain = REMOTE.into();
    pool.announced(at(3_900), host(1), direct);

    let later: Vec<_> = [5_200, 6_500, 11_000].map(|now| pool.health(at(now), host(1))).into();

    assert_eq!(later, vec![Some(Health::Late); 3]);
    assert_eq!(pool.newly_silent(at(11_000)), Vec::<Ipv4Addr>::new());
}

/// The load that an agent sends with an answer is newer than that of a summary in transit.
#[test]
fn a_summary_does_not_restore_an_older_load() {
    let mut pool = pool();
    send_summaries(&mut pool, 3_000, 3_000);
    pool.load_received(at(3_250), host(1), load(9, 9));

    let change = pool.reported(at(3_300), &summary(Vec::new()), &report(12, 200));

    let choice = pool.choose(at(3_300), &need(flow(1).key(), Kind::Once, &[]));
    assert_eq!(change, Change::None);
    assert_eq!(choice.map(|choice| choice.load.busy), Some(9));
}

#[test]
fn an_older_summary_changes_nothing() {
    let mut pool = pool();
    send_summaries(&mut pool, 3_000, 3_000);

    let change = pool.reported(at(3_300), &summary(Vec::new()), &report(2, 2_900));

    assert_eq!(change, Change::Stale);
    assert_eq!(pool.health(at(3_300), host(1)), Some(Health::Fresh));
}

fn balancer(number: u8) -> Balancer {
    Balancer::open(at(0), identity(host(number), Policy::default()), &[])
}

fn summaries(actions: &[Action]) -> Vec<(Ipv4Addr, Summary)> {
    let summary = |action: &Action| match action {
        Action::Send(to, Message::Summary(summary)) => Some((*to, summary.clone())),
        _ => None,
    };
    actions.iter().filter_map(summary).collect()
}

fn remote_gossip() -> Gossip {
    Gossip { domain: REMOTE.into(), ..gossip(1, &[], 1) }
}

/// Balancers of one failure domain that know each other, a remote balancer and one agent of their
/// domain.
fn domain(count: u8) -> Vec<Balancer> {
    let mut balancers: Vec<_> = (1..=count).map(balancer).collect();
    exchange_gossip(&mut balancers, 0, &[]);
    balancers
}

/// Delivers the states of all but the silent balancers to each other, and of the agent and a remote
/// balancer to all.
fn exchange_gossip(balancers: &mut [Balancer], now: u64, silent: &[u8]) {
    let count = u8::try_from(balancers.len()).expect("few balancers");
    for (index, balancer) in balancers.iter_mut().enumerate() {
        for peer in (1..=count).filter(|peer| usize::from(*peer) != index + 1) {
            if !silent.contains(&peer) {
                balancer.handle(at(now), Event::Gossip(host(peer), gossip(1, &[], 1)));
            }
        }
        balancer.handle(at(now), Event::Gossip(REMOTE_BALANCER, remote_gossip()));
        let announcement = announcement(1 + now, State::Ready, Load::default());
        balancer.handle(at(now), Event::Announced(host(99), announcement));
    }
}

/// Returns the times from `from_ms` on, in milliseconds, at which a remote balancer receives a
/// report of the agent.
fn report_times(
    balancers: &mut [Balancer],
    from_ms: u64,
    until_ms: u64,
    silent: &[u8],
) -> Vec<u64> {
    let mut times = Vec::new();
    for now in (from_ms..=until_ms).step_by(50) {
        for (index, balancer) in balancers.iter_mut().enumerate() {
            let is_silent = silent.iter().any(|number| usize::from(*number) == index + 1);
            let sent = summaries(&balancer.handle(at(now), Event::Tick));
            let to_remote = sent.iter().any(|(to, summary)| {
                *to == REMOTE_BALANCER && summary.reports.iter().any(|one| one.agent == host(99))
            });
            if to_remote && !is_silent {
                times.push(now);
            }
        }
        if now.is_multiple_of(500) {
            exchange_gossip(balancers, now, silent);
        }
    }
    times
}

fn longest_gap(times: &[u64]) -> u64 {
    times.windows(2).map(|pair| pair[1] - pair[0]).max().expect("several times")
}

#[test]
fn a_failure_domain_is_reported_in_each_slot() {
    let mut balancers = domain(12);

    let times = report_times(&mut balancers, 50, 8_000, &[]);

    assert!(longest_gap(&times) <= 350, "{times:?}");
    assert!(times.len() <= 2 * 8_000 / 300 + 4, "{times:?}");
}

/// Guards against agents that others cannot see because the balancer whose turn it is has died. The
/// next one in turn is enough.
#[test]
fn a_dead_balancer_only_misses_its_turns() {
    let mut balancers = domain(12);

    let times = report_times(&mut balancers, 50, 8_000, &[5]);

    assert!(longest_gap(&times) <= 350, "{times:?}");
}

/// Half of a domain's balancers are killed at once. The others must take over within a second,
/// before the agents there are taken for unseen for long.
#[test]
fn the_remaining_balancers_continue_to_report() {
    let mut balancers = domain(12);

    let times = report_times(&mut balancers, 50, 8_000, &[1, 3, 5, 7, 9, 11]);

    assert!(longest_gap(&times) <= 650, "{times:?}");
}

/// Guards against openings whose last copies go to a dead host of another failure domain too,
/// because the balancers of other domains learn of its silence only with the next summary.
#[test]
fn a_late_agent_is_reported_at_once() {
    let mut balancers = domain(2);

    let times: Vec<u64> = (50..=1_500)
        .step_by(50)
        .filter(|now| {
            let actions: Vec<Action> = balancers
                .iter_mut()
                .flat_map(|balancer| balancer.handle(at(*now), Event::Tick))
                .collect();
            let reports_late =
                |summary: &Summary| summary.reports.iter().any(|one| one.age_ms > 700);
            let sent = summaries(&actions);
            sent.iter()
                .any(|(to, one)| *to == REMOTE_BALANCER && one.forwarded && reports_late(one))
        })
        .collect();

    assert_eq!(times, vec![750]);
}

#[test]
fn a_summary_is_forwarded_once_within_the_domain() {
    let mut balancers = domain(3);

    let received = Event::Summary(summary(vec![report(1, 10)]));
    let first = summaries(&balancers[0].handle(at(10), received));
    let again = summaries(&balancers[1].handle(at(11), Event::Summary(first[0].1.clone())));

    assert_eq!(first.iter().map(|(to, _)| *to).collect::<Vec<_>>(), vec![host(2), host(3)]);
    assert_eq!(again, Vec::new());
}

/// Returns the numbers of the reports that a balancer forwards to one other of its domain.
fn forwarded(balancer: &mut Balancer, now: u64, reports: Vec<Report>) -> Vec<u64> {
    let sent = summaries(&balancer.handle(at(now), Event::Summary(summary(reports))));
    let to_one = sent.iter().filter(|(to, _)| *to == host(2));
    to_one.flat_map(|(_, one)| one.reports.iter().map(|report| report.number)).collect()
}

/// Guards against duplicate reports by two senders of one slot that fill the links of a large
/// failure domain, and against agents taken for unseen because their reports do not change.
#[test]
fn recent_reports_are_not_forwarded_again() {
    let mut balancers = domain(3);
    let balancer = &mut balancers[0];
    let other = Report { agent: host(9), ..report(7, 10) };

    let first = forwarded(balancer, 10, vec![report(1, 10), other.clone()]);
    let repeated = forwarded(balancer, 30, vec![report(1, 30), other.clone()]);
    let newer = forwarded(balancer, 40, vec![report(2, 0), other.clone()]);
    let next_slot = forwarded(balancer, 310, vec![report(2, 270), other]);

    assert_eq!(first, [1, 7]);
    assert_eq!(repeated, Vec::<u64>::new());
    assert_eq!(newer, [2]);
    assert_eq!(next_slot, [2, 7]);
}

/// Guards against a stopping balancer that loses track of remote agents while it still carries
/// flows to them. It must still get summaries, but an address list with it must not add it again.
#[test]
fn a_leaving_balancer_still_gets_summaries() {
    let mut balancers = domain(3);
    let leaving = Gossip { leaving: true, ..gossip(1, &[], 1) };
    balancers[0].handle(at(10), Event::Gossip(host(2), leaving));

    let forwarded = balancers[0].handle(at(20), Event::Summary(summary(vec![report(1, 10)])));
    let listed = balancers[0].handle(at(30), Event::Gossip(host(3), gossip(1, &[host(2)], 1)));

    let to: Vec<_> = summaries(&forwarded).into_iter().map(|(to, _)| to).collect();
    assert_eq!(to, vec![host(2), host(3)]);
    assert!(!listed.iter().any(|action| matches!(action, Action::Send(to, _) if *to == host(2))));
}

/// Guards against agents taken for dead while all balancers of their failure domain are stopping,
/// which may take as long as downloads do.
#[test]
fn a_leaving_balancer_still_reports_its_agents() {
    let mut balancers = domain(2);
    for balancer in &mut balancers {
        balancer.handle(at(10), Event::Leave);
    }

    let times = report_times(&mut balancers, 50, 4_000, &[]);

    assert!(longest_gap(&times) <= 350, "{times:?}");
}

#[test]
fn a_leaving_balancer_reports_it_until_it_ends() {
    let mut balancers = domain(3);
    balancers[0].handle(at(10), Event::Leave);

    let actions = balancers[0].handle(at(510), Event::Tick);

    let is_leaving = |action: &&Action| matches!(action, Action::Send(_, Message::Gossip(gossip)) if gossip.leaving);
    assert_eq!(actions.iter().filter(is_leaving).count(), 3, "{actions:?}");
}

fn announced_to(actions: &[agent::Action]) -> Vec<Ipv4Addr> {
    let to = |action: &agent::Action| match action {
        agent::Action::Send(to, Message::Announce(_)) => Some(*to),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

/// An agent that has received the states of a local and a remote balancer.
fn agent_with_peers() -> agent::Agent {
    let mut agent = agent();
    agent.handle(at(1), agent::Event::Gossip(BALANCER, gossip(1, &[], 1)));
    agent.handle(at(1), agent::Event::Gossip(REMOTE_BALANCER, remote_gossip()));
    agent
}

#[test]
fn an_agent_announces_itself_to_its_own_failure_domain() {
    let mut agent = agent_with_peers();

    let sent = announced_to(&agent.handle(at(600), agent::Event::Tick));

    assert_eq!(sent, vec![BALANCER]);
}

/// A remote balancer must learn at once that a server stops or resumes accepting flows.
#[test]
fn a_change_is_announced_to_all_balancers() {
    let mut agent = agent_with_peers();

    let sent = announced_to(&agent.handle(at(600), agent::Event::Heartbeat(heartbeat("a", 1))));

    assert_eq!(sent, vec![BALANCER, REMOTE_BALANCER]);
}

/// Guards against resets of all flows of a failure domain whose balancers are all gone: nobody
/// there receives its agents' announcements, but balancers of other domains carry their flows.
#[test]
fn an_agent_without_local_balancers_announces_itself_to_all() {
    let mut agent = agent_with_peers();
    agent.handle(at(3_000), agent::Event::Gossip(REMOTE_BALANCER, remote_gossip()));

    let sent = announced_to(&agent.handle(at(3_000), agent::Event::Tick));

    assert_eq!(sent, vec![BALANCER, REMOTE_BALANCER]);
}
