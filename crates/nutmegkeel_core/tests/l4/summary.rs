//! What balancers of different failure domains tell each other of their agents.

use std::net::Ipv4Addr;

use nutmegkeel_core::l4::agent;
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::health::Health;
use nutmegkeel_core::l4::message::{Load, Message, Report, Roster, State, Summary};
use nutmegkeel_core::l4::placement::{Change, Pool};
use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::l4::route::Kind;

use crate::fixture::{
    BALANCER, DOMAIN, agent, announcement, at, default_service, flow, gossip, heartbeat, host,
    identity, load, need,
};

const FAR: &str = "tema";

/// A balancer of another failure domain.
const FAR_BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 2, 1);

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
        load: Load::default(),
    }
}

/// A pool of a balancer in the own failure domain.
fn pool() -> Pool {
    Pool::open(DOMAIN.into())
}

fn summary(reports: Vec<Report>) -> Summary {
    Summary { domain: FAR.into(), services: vec![default_service()], reports, passed_on: false }
}

/// Lets a pool hear summaries of one far agent each 300 ms; its last sign comes at `last_ms`.
fn summarise(pool: &mut Pool, last_ms: u64, until_ms: u64) {
    for now in (0..=until_ms).step_by(300) {
        let signed = now.min(last_ms);
        let age_ms = u32::try_from(now - signed).expect("a short test");
        pool.reported(at(now), &summary(Vec::new()), &report(1 + signed / 300, age_ms));
    }
}

#[test]
fn an_agent_that_others_hear_is_fresh() {
    let mut pool = pool();

    summarise(&mut pool, 3_000, 3_000);

    assert_eq!(pool.health(at(3_200), host(1)), Some(Health::Fresh));
    assert_eq!(pool.open_agents(at(3_200), &need(flow(1).key(), Kind::Once, &[])), 1);
}

/// An opening must not go to a dead host of another failure domain much longer than to one at home.
#[test]
fn an_agent_that_fell_silent_is_late_and_then_given_up() {
    let mut pool = pool();

    summarise(&mut pool, 3_000, 3_900);
    let late = pool.health(at(3_900), host(1));
    summarise(&mut pool, 3_000, 5_100);
    let silent = pool.health(at(5_100), host(1));

    assert_eq!((late, silent), (Some(Health::Late), Some(Health::Silent)));
}

/// All feeds to another failure domain break off with resets although its servers live: its balancers were
/// killed at one moment, and nobody told of the agents there.
#[test]
fn agents_out_of_sight_get_no_flows_and_lose_none() {
    let mut pool = pool();
    summarise(&mut pool, 3_000, 3_000);

    let blind: Vec<_> = [4_200, 7_000, 10_000].map(|now| pool.health(at(now), host(1))).into();
    let open = pool.open_agents(at(4_200), &need(flow(1).key(), Kind::Once, &[]));
    let lost = pool.health(at(12_000), host(1));

    assert_eq!(blind, vec![Some(Health::Late); 3]);
    assert_eq!(open, 0);
    assert_eq!(lost, Some(Health::Silent));
}

/// Feeds to another failure domain break off with resets although its servers live. Most balancers there had
/// lost power, nobody told of its agents for two seconds, and the first to come back told of the few that it
/// had heard of: the others passed for silent all the while.
#[test]
fn an_agent_that_a_summary_leaves_out_is_not_given_up() {
    let mut pool = pool();
    summarise(&mut pool, 3_000, 3_000);

    for now in [5_200, 5_500] {
        let other = Report { agent: host(2), ..report(1, 10) };
        pool.reported(at(now), &summary(Vec::new()), &other);
    }

    assert_eq!(pool.health(at(5_500), host(1)), Some(Health::Late));
    assert_eq!(pool.newly_silent(at(5_500)), Vec::<Ipv4Addr>::new());
}

/// The first word of an agent elsewhere is its own; then it speaks to the balancers there, and their first
/// summary may come late.
#[test]
fn an_agent_elsewhere_that_introduced_itself_is_not_given_up() {
    let mut pool = pool();
    let mut direct = announcement(1, State::Ready, Load::default());
    direct.domain = FAR.into();
    pool.announced(at(0), host(1), direct);

    assert_eq!(pool.health(at(2_500), host(1)), Some(Health::Late));
}

/// A download to another failure domain breaks off with a reset although its server lives. For a moment
/// there was no balancer there, its agent spoke to all others itself, and then to its own again; the
/// balancer that carried the download was being stopped and heard no summaries.
#[test]
fn an_agent_elsewhere_that_spoke_for_itself_is_not_given_up_when_it_stops() {
    let mut pool = pool();
    summarise(&mut pool, 3_000, 3_000);
    let mut direct = announcement(50, State::Ready, Load::default());
    direct.domain = FAR.into();
    pool.announced(at(3_900), host(1), direct);

    let later: Vec<_> = [5_200, 6_500, 11_000].map(|now| pool.health(at(now), host(1))).into();

    assert_eq!(later, vec![Some(Health::Late); 3]);
    assert_eq!(pool.newly_silent(at(11_000)), Vec::<Ipv4Addr>::new());
}

/// Loads that an agent sent with an answer are newer than those of a summary that was under way.
#[test]
fn a_summary_does_not_bring_an_older_load_back() {
    let mut pool = pool();
    summarise(&mut pool, 3_000, 3_000);
    pool.heard(at(3_250), host(1), load(9, 9));

    let change = pool.reported(at(3_300), &summary(Vec::new()), &report(12, 200));

    let choice = pool.choose(at(3_300), &need(flow(1).key(), Kind::Once, &[]));
    assert_eq!(change, Change::None);
    assert_eq!(choice.map(|choice| choice.load.busy), Some(9));
}

#[test]
fn an_older_summary_changes_nothing() {
    let mut pool = pool();
    summarise(&mut pool, 3_000, 3_000);

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

fn far_roster() -> Roster {
    Roster { domain: FAR.into(), ..gossip(1, &[], 1) }
}

/// Balancers of one failure domain that know each other, a far balancer and one agent of theirs.
fn domain(count: u8) -> Vec<Balancer> {
    let mut balancers: Vec<_> = (1..=count).map(balancer).collect();
    tell(&mut balancers, 0, &[]);
    balancers
}

/// Lets all but the silent ones speak to each other, and the agent and a far balancer to all.
fn tell(balancers: &mut [Balancer], now: u64, silent: &[u8]) {
    let count = u8::try_from(balancers.len()).expect("few balancers");
    for (index, balancer) in balancers.iter_mut().enumerate() {
        for peer in (1..=count).filter(|peer| usize::from(*peer) != index + 1) {
            if !silent.contains(&peer) {
                balancer.handle(at(now), Event::Roster(host(peer), gossip(1, &[], 1)));
            }
        }
        balancer.handle(at(now), Event::Roster(FAR_BALANCER, far_roster()));
        let word = announcement(1 + now, State::Ready, Load::default());
        balancer.handle(at(now), Event::Announced(host(99), word));
    }
}

/// The times at which a far balancer hears of the agent, in milliseconds, from `from_ms` on.
fn heard(balancers: &mut [Balancer], from_ms: u64, until_ms: u64, silent: &[u8]) -> Vec<u64> {
    let mut times = Vec::new();
    for now in (from_ms..=until_ms).step_by(50) {
        for (index, balancer) in balancers.iter_mut().enumerate() {
            let is_silent = silent.iter().any(|number| usize::from(*number) == index + 1);
            let sent = summaries(&balancer.handle(at(now), Event::Tick));
            let to_far = sent.iter().any(|(to, summary)| {
                *to == FAR_BALANCER && summary.reports.iter().any(|one| one.agent == host(99))
            });
            if to_far && !is_silent {
                times.push(now);
            }
        }
        if now.is_multiple_of(500) {
            tell(balancers, now, silent);
        }
    }
    times
}

fn longest_gap(times: &[u64]) -> u64 {
    times.windows(2).map(|pair| pair[1] - pair[0]).max().expect("several times")
}

#[test]
fn a_failure_domain_is_told_of_with_each_beat() {
    let mut balancers = domain(12);

    let times = heard(&mut balancers, 50, 8_000, &[]);

    assert!(longest_gap(&times) <= 350, "{times:?}");
    assert!(times.len() <= 2 * 8_000 / 300 + 4, "{times:?}");
}

/// The agents of a failure domain are out of sight for others, because the balancer whose turn it was has
/// died. The next one in turn is enough.
#[test]
fn a_dead_balancer_misses_its_turn_and_no_more() {
    let mut balancers = domain(12);

    let times = heard(&mut balancers, 50, 8_000, &[5]);

    assert!(longest_gap(&times) <= 350, "{times:?}");
}

/// Half of a domain's balancers are killed at once. The others go on within a second, before anybody takes
/// the agents there for out of sight for long.
#[test]
fn the_rest_of_a_failure_domain_goes_on_telling() {
    let mut balancers = domain(12);

    let times = heard(&mut balancers, 50, 8_000, &[1, 3, 5, 7, 9, 11]);

    assert!(longest_gap(&times) <= 650, "{times:?}");
}

/// Openings go to a dead host of another failure domain with their last copies too, and their clients lose a
/// try: nobody there knew of its silence before the next summary.
#[test]
fn a_late_agent_is_told_of_at_once() {
    let mut balancers = domain(2);

    let told: Vec<u64> = (50..=1_500)
        .step_by(50)
        .filter(|now| {
            let actions: Vec<Action> = balancers
                .iter_mut()
                .flat_map(|balancer| balancer.handle(at(*now), Event::Tick))
                .collect();
            let of_late = |summary: &Summary| summary.reports.iter().any(|one| one.age_ms > 700);
            let told = summaries(&actions);
            told.iter().any(|(to, one)| *to == FAR_BALANCER && one.passed_on && of_late(one))
        })
        .collect();

    assert_eq!(told, vec![750]);
}

#[test]
fn a_summary_is_passed_on_at_home_once() {
    let mut balancers = domain(3);

    let heard = Event::Summary(summary(vec![report(1, 10)]));
    let first = summaries(&balancers[0].handle(at(10), heard));
    let again = summaries(&balancers[1].handle(at(11), Event::Summary(first[0].1.clone())));

    assert_eq!(first.iter().map(|(to, _)| *to).collect::<Vec<_>>(), vec![host(2), host(3)]);
    assert_eq!(again, Vec::new());
}

/// Numbers of the reports that a balancer passes on to one other at home, if it does.
fn passed_on(balancer: &mut Balancer, now: u64, reports: Vec<Report>) -> Vec<u64> {
    let sent = summaries(&balancer.handle(at(now), Event::Summary(summary(reports))));
    let to_one = sent.iter().filter(|(to, _)| *to == host(2));
    to_one.flat_map(|(_, one)| one.reports.iter().map(|report| report.number)).collect()
}

/// Guards against links of a large failure domain that are filled by what two speakers of one slot both tell, and
/// against an agent that passes for out of sight because what is told of it does not change.
#[test]
fn what_was_told_a_moment_ago_is_not_passed_on() {
    let mut balancers = domain(3);
    let balancer = &mut balancers[0];
    let other = Report { agent: host(9), ..report(7, 10) };

    let first = passed_on(balancer, 10, vec![report(1, 10), other.clone()]);
    let repeated = passed_on(balancer, 30, vec![report(1, 30), other.clone()]);
    let newer = passed_on(balancer, 40, vec![report(2, 0), other.clone()]);
    let next_slot = passed_on(balancer, 310, vec![report(2, 270), other]);

    assert_eq!(first, [1, 7]);
    assert_eq!(repeated, Vec::<u64>::new());
    assert_eq!(newer, [2]);
    assert_eq!(next_slot, [2, 7]);
}

/// A balancer that is being stopped still carries flows of other failure domains, and must go on hearing of
/// their agents; it tells nobody of its own any more.
#[test]
fn a_leaving_balancer_goes_on_hearing_of_others() {
    let mut balancers = domain(3);
    let leaving = Roster { leaving: true, ..gossip(1, &[], 1) };
    balancers[0].handle(at(10), Event::Roster(host(2), leaving));

    let passed = balancers[0].handle(at(20), Event::Summary(summary(vec![report(1, 10)])));
    let listed = balancers[0].handle(at(30), Event::Roster(host(3), gossip(1, &[host(2)], 1)));

    let to: Vec<_> = summaries(&passed).into_iter().map(|(to, _)| to).collect();
    assert_eq!(to, vec![host(2), host(3)]);
    assert!(!listed.iter().any(|action| matches!(action, Action::Send(to, _) if *to == host(2))));
}

/// All balancers of a failure domain are being stopped at once, which may take as long as downloads do. Their
/// agents must not pass for dead meanwhile.
#[test]
fn a_leaving_balancer_goes_on_telling_of_its_agents() {
    let mut balancers = domain(2);
    for balancer in &mut balancers {
        balancer.handle(at(10), Event::Leave);
    }

    let times = heard(&mut balancers, 50, 4_000, &[]);

    assert!(longest_gap(&times) <= 350, "{times:?}");
}

#[test]
fn a_leaving_balancer_says_so_until_it_ends() {
    let mut balancers = domain(3);
    balancers[0].handle(at(10), Event::Leave);

    let actions = balancers[0].handle(at(510), Event::Tick);

    let is_leaving =
        |action: &&Action| matches!(action, Action::Send(_, Message::Roster(word)) if word.leaving);
    assert_eq!(actions.iter().filter(is_leaving).count(), 3, "{actions:?}");
}

fn announced_to(actions: &[agent::Action]) -> Vec<Ipv4Addr> {
    let to = |action: &agent::Action| match action {
        agent::Action::Send(to, Message::Announce(_)) => Some(*to),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

/// An agent that a balancer at home and a far one have spoken to.
fn acquainted() -> agent::Agent {
    let mut agent = agent();
    agent.handle(at(1), agent::Event::Roster(BALANCER, gossip(1, &[], 1)));
    agent.handle(at(1), agent::Event::Roster(FAR_BALANCER, far_roster()));
    agent
}

#[test]
fn an_agent_speaks_to_its_own_failure_domain() {
    let mut agent = acquainted();

    let sent = announced_to(&agent.handle(at(600), agent::Event::Tick));

    assert_eq!(sent, vec![BALANCER]);
}

/// A far balancer must hear at once that a server takes no more flows, or takes some again.
#[test]
fn a_change_is_told_to_all() {
    let mut agent = acquainted();

    let sent = announced_to(&agent.handle(at(600), agent::Event::Heartbeat(heartbeat("a", 1))));

    assert_eq!(sent, vec![BALANCER, FAR_BALANCER]);
}

/// Flows of a whole failure domain are reset: all of its balancers are gone, and nobody hears its agents
/// any more, though balancers elsewhere carry their flows.
#[test]
fn an_agent_without_balancers_at_home_speaks_to_all() {
    let mut agent = acquainted();
    agent.handle(at(3_000), agent::Event::Roster(FAR_BALANCER, far_roster()));

    let sent = announced_to(&agent.handle(at(3_000), agent::Event::Tick));

    assert_eq!(sent, vec![BALANCER, FAR_BALANCER]);
}
