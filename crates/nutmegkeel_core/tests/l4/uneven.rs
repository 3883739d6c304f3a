use std::collections::BTreeSet;

use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::decision::Decision;
use nutmegkeel_core::l4::message::{Announcement, Load, State};
use nutmegkeel_core::l4::placement::{Pool, Verdict};
use nutmegkeel_core::l4::policy::{Condition, Mechanism, Policy};
use nutmegkeel_core::l4::route::Kind;

use crate::fixture::{BALANCER, announcement, at, flow, host, identity, load, need};
use crate::uneven_fleet::{Fleet, Random, SERVERS};

/// Announces servers of one service, numbered from one, with these service times.
fn announce(pool: &mut Pool, now: u64, times: &[u16]) {
    for (number, service_ms) in (1..).zip(times) {
        let load = Load { service_ms: *service_ms, ..load(1, 10) };
        pool.announced(at(now), host(number), announcement(now + 1, State::Ready, load));
    }
}

fn compared_pool(now: u64, times: &[u16]) -> Pool {
    let mut pool = Pool::default();
    announce(&mut pool, now, times);
    pool.compare_speeds(at(now));
    pool
}

fn slow_agents(pool: &Pool) -> Vec<u8> {
    pool.slow().keys().map(|agent| agent.octets()[3]).collect()
}

fn slow_down(fleet: &mut Fleet, step: usize, percent: u64) {
    (0..SERVERS).step_by(step).for_each(|server| fleet.set_percent(server, percent));
}

/// One server in five becomes 7.5 times slower at second 8 and reports that it is healthy.
/// Placement by number of flows still sends it new ones, and their requests are late. With the
/// comparison, these are late hardly more often than among even servers.
#[test]
fn new_flows_go_to_servers_that_are_not_slow() {
    let late = |compares_speeds, percent| {
        let mut fleet = Fleet::open(1, 25, compares_speeds);
        fleet.run(8_000);
        slow_down(&mut fleet, 5, percent);
        fleet.run(20_000);
        fleet.late_per_mille(9..16)
    };

    let (even, not_compared, compared) = (late(true, 100), late(false, 750), late(true, 750));

    println!(
        "late per 1000 requests: {even} even, {not_compared} not compared, {compared} compared"
    );
    assert!(not_compared > even + 30);
    assert!(compared <= even + 10);
}

/// Slow servers recover at second 16, when they have almost no flows left. The few requests that
/// they still get must show it soon; otherwise a fifth of the servers stays idle.
#[test]
fn a_recovered_server_counts_in_full_within_seconds() {
    let mut fleet = Fleet::open(1, 25, true);
    fleet.run(8_000);
    slow_down(&mut fleet, 5, 750);
    fleet.run(16_000);
    let before = fleet.slow();
    assert!(
        fleet.verdicts.iter().all(|(_, verdict)| verdict.is_slow),
        "no server recovers before second 16"
    );
    slow_down(&mut fleet, 5, 100);

    fleet.run(18_000);
    let after_two = fleet.slow();
    fleet.run(20_000);
    let after_four = fleet.slow();
    fleet.run(22_000);

    println!("slow: {before} at second 16, {after_two} at 18, {after_four} at 20");
    assert_eq!(before, 11);
    assert!(after_two < before && after_four <= 2);
    assert_eq!(fleet.slow(), 0);
}

/// One service has two classes of requests, and a few percent of them take seven times as long. A
/// healthy server must not count as slow because of a random run of these.
#[test]
fn a_healthy_server_with_mixed_requests_is_not_slow() {
    let mut fleet = Fleet::open(3, 1, true);

    fleet.run(500_000);

    let slow: Vec<_> = fleet.verdicts.iter().filter(|(_, verdict)| verdict.is_slow).collect();
    println!("10,000 comparisons of {SERVERS} servers: {} false verdicts", slow.len());
    assert!(slow.is_empty(), "{slow:?}");
}

/// The service times of a slow server vary widely, and some are as short as a usual server's. If a
/// few of these cleared it, it would attract flows while it is slow.
#[test]
fn a_slow_server_is_not_cleared_by_a_few_fast_answers() {
    let mut fleet = Fleet::open(1, 4, true);
    fleet.work_ms = Random::broad_work_ms;
    fleet.run(8_000);
    slow_down(&mut fleet, 5, 750);

    fleet.run(16_000);

    assert_eq!(fleet.slow(), 11);
    assert!(fleet.verdicts.iter().all(|(_, verdict)| verdict.is_slow));
}

#[test]
fn no_server_is_slow_where_all_are_slower() {
    let mut fleet = Fleet::open(4, 1, true);
    fleet.run(8_000);
    slow_down(&mut fleet, 1, 400);

    fleet.run(12_000);

    assert_eq!(fleet.slow(), 0);
}

/// Half of the servers become slow. The others cannot take the load of all of them.
#[test]
fn at_most_the_slowest_third_counts_as_slow() {
    let times = [60, 60, 60, 60, 60, 400, 300, 500, 200];

    let pool = compared_pool(0, &times);

    assert_eq!(slow_agents(&pool), [6, 7, 8]);
}

#[test]
fn of_two_servers_none_is_slow() {
    assert!(slow_agents(&compared_pool(0, &[60, 600])).is_empty());
}

/// Twice the usual service time is still in time, and a multiple of a few milliseconds is
/// insignificant.
#[test]
fn a_small_difference_makes_no_server_slow() {
    assert!(slow_agents(&compared_pool(0, &[60, 60, 60, 140])).is_empty());
    assert!(slow_agents(&compared_pool(0, &[1, 1, 1, 5])).is_empty());
    assert_eq!(slow_agents(&compared_pool(0, &[60, 60, 60, 150])), [4]);
}

/// A service time that varies about the bound would move the new flows of all balancers back and
/// forth.
#[test]
fn a_slow_server_stays_slow_until_it_is_near_its_peers() {
    let mut pool = compared_pool(0, &[60, 60, 60, 160]);

    for (now, service_ms) in (300..).step_by(300).zip([140, 155, 120, 149, 100]) {
        announce(&mut pool, now, &[60, 60, 60, service_ms]);
        assert!(pool.compare_speeds(at(now)).is_empty());
        assert_eq!(slow_agents(&pool), [4]);
    }

    announce(&mut pool, 3_000, &[60, 60, 60, 80]);
    pool.compare_speeds(at(3_000));
    assert!(slow_agents(&pool).is_empty());
}

/// One of four servers may count as slow. Two are, and each is at times the slower one.
#[test]
fn two_slow_servers_do_not_alternate() {
    let mut pool = compared_pool(0, &[60, 60, 300, 310]);

    for now in (300..6_000).step_by(300) {
        let variation = if now % 600 == 0 { 60 } else { 0 };
        announce(&mut pool, now, &[60, 60, 340, 310 + variation]);
        assert!(pool.compare_speeds(at(now)).is_empty());
    }

    assert_eq!(slow_agents(&pool), [4]);
}

/// Reports are lost for two seconds. A server that was slow may still be slow, and one that was not
/// is not judged by an old report.
#[test]
fn a_stale_report_neither_makes_nor_clears_a_slow_server() {
    let mut pool = compared_pool(0, &[60, 60, 60, 60, 300, 60]);
    let usual = |pool: &mut Pool, now| announce(pool, now, &[60, 60, 60]);
    let load = Load { service_ms: 400, ..load(1, 10) };
    pool.announced(at(100), host(6), announcement(200, State::Ready, load));
    usual(&mut pool, 1_500);

    let verdicts = pool.compare_speeds(at(1_500));

    assert!(verdicts.is_empty());
    assert_eq!(slow_agents(&pool), [5]);
}

/// A report of no service time, or of hours, must neither attract flows nor keep them from others.
#[test]
fn an_implausible_report_changes_nothing() {
    let pool = compared_pool(0, &[60, 60, 60, 0, u16::MAX]);

    assert!(slow_agents(&pool).is_empty());
}

/// A slow server that reports no slots must still get some requests.
#[test]
fn a_slow_server_without_slots_still_gets_flows() {
    let mut pool = Pool::default();
    for number in 1..=3 {
        let load = Load { service_ms: 60, ..load(1, 100) };
        pool.announced(at(0), host(number), announcement(1, State::Ready, load));
    }
    let load = Load { service_ms: 600, ..load(0, 0) };
    let announcement = Announcement { slots: 0, ..announcement(1, State::Ready, load) };
    pool.announced(at(0), host(4), announcement);
    pool.compare_speeds(at(0));

    let chosen: BTreeSet<_> = (0..50)
        .filter_map(|port| pool.choose(at(1), &need(flow(port).key(), Kind::Idempotent, &[])))
        .map(|choice| choice.agent)
        .collect();

    assert_eq!(slow_agents(&pool), [4]);
    assert!(chosen.contains(&host(4)));
}

/// The agent of a slow server restarts and reports no service time yet. Its server may be another
/// one.
#[test]
fn a_new_agent_does_not_inherit_the_slow_state() {
    let mut pool = compared_pool(0, &[60, 60, 60, 300]);
    let announcement =
        Announcement { incarnation: 2, ..announcement(1, State::Ready, load(0, 10)) };
    pool.announced(at(300), host(4), announcement);

    pool.compare_speeds(at(300));

    assert!(slow_agents(&pool).is_empty());
}

/// A server is slow for some seconds after its start. It reports that it is cold and its room is
/// limited.
#[test]
fn a_cold_server_is_not_slow() {
    let mut pool = Pool::default();
    announce(&mut pool, 0, &[60, 60, 60]);
    let load = Load { service_ms: 300, ..load(0, 0) };
    let announcement = Announcement { cold: true, ..announcement(1, State::Ready, load) };
    pool.announced(at(0), host(4), announcement);

    pool.compare_speeds(at(0));

    assert!(slow_agents(&pool).is_empty());
}

/// A slow server with a fifth of its peers' flows is as full as they are.
#[test]
fn a_slow_server_gets_flows_in_proportion_to_its_speed() {
    let chosen_with = |flows| {
        let mut pool = Pool::default();
        announce(&mut pool, 0, &[60, 60, 60]);
        let load = Load { service_ms: 180, ..load(0, flows) };
        pool.announced(at(0), host(4), announcement(1, State::Ready, load));
        pool.compare_speeds(at(0));
        let chosen = (0..100)
            .filter_map(|port| pool.choose(at(1), &need(flow(port).key(), Kind::Idempotent, &[])));
        chosen.filter(|choice| choice.agent == host(4)).count()
    };

    assert!(chosen_with(0) > 0);
    assert_eq!(chosen_with(4), 0);
}

/// The usual servers are full under overload. The free slots of a slow server, which has few flows
/// on purpose, counted as room, and the openings of all balancers went there and were late.
#[test]
fn an_overload_does_not_fill_the_slots_of_a_slow_server() {
    let chosen_with = |busy| {
        let mut pool = Pool::default();
        for number in 1..=3 {
            let full = Load { service_ms: 60, ..load(4, 8) };
            pool.announced(at(0), host(number), announcement(1, State::Ready, full));
        }
        let load = Load { service_ms: 450, ..load(busy, 8) };
        pool.announced(at(0), host(4), announcement(1, State::Ready, load));
        pool.compare_speeds(at(0));
        let need = need(flow(1).key(), Kind::Idempotent, &[]);
        pool.choose_free(at(1), &need).map(|choice| choice.agent)
    };

    assert_eq!(chosen_with(0), Some(host(4)), "one request must show whether it has recovered");
    assert_ne!(chosen_with(1), Some(host(4)));
}

/// A new server has no flows. All balancers place by the number of flows and learn of the others'
/// flows only with the next report, so the first requests of all these flows queued there.
#[test]
fn an_empty_server_fills_up_without_a_queue() {
    let longest = |compares_speeds| {
        let queue = |seed| {
            let mut fleet = Fleet::open(seed, 25, compares_speeds);
            fleet.run(6_000);
            fleet.replace(7);
            let times = (6_050..7_200).step_by(50);
            times
                .map(|now| {
                    fleet.run(now);
                    u64::from(fleet.in_progress(7))
                })
                .max()
        };
        let (seeds, sum) = (8, (1..=8).filter_map(queue).sum::<u64>());
        sum * 10 / seeds
    };

    let (not_compared, compared) = (longest(false), longest(true));

    println!(
        "longest queue of a new server, times 10: {not_compared} not compared, {compared} compared"
    );
    assert!(compared * 5 < not_compared * 4);
}

#[test]
fn an_empty_server_fills_up_within_seconds() {
    let mut fleet = Fleet::open(1, 25, true);
    fleet.run(6_000);
    let peers = fleet.flows(8);
    fleet.replace(7);

    fleet.run(9_000);

    assert!(fleet.flows(7) * 3 > peers * 2, "{} of {peers}", fleet.flows(7));
}

fn balancer_with_a_slow_server(policy: Policy) -> (Balancer, Vec<Verdict>) {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, policy), &[]);
    let mut verdicts = Vec::new();
    for (number, service_ms) in (1..).zip([60, 60, 60, 450]) {
        let load = Load { service_ms, ..load(1, 10) };
        let event = Event::Announced(host(number), announcement(1, State::Ready, load));
        verdicts.extend(balancer.handle(at(100 * u64::from(number)), event));
    }
    let verdicts = verdicts.into_iter().filter_map(|action| match action {
        Action::Log(Decision::Speed(verdict)) => Some(verdict),
        _ => None,
    });
    let verdicts = verdicts.collect();
    (balancer, verdicts)
}

#[test]
fn a_slow_server_is_logged() {
    let policy = Policy::default().under([Condition::HiddenFaults]);

    let (balancer, verdicts) = balancer_with_a_slow_server(policy);

    let logged: Vec<_> = verdicts.iter().map(|one| (one.agent, one.is_slow)).collect();
    assert_eq!(logged, [(host(4), true)]);
    assert_eq!(verdicts[0].times.service_ms, 450);
    assert_eq!(verdicts[0].times.usual_ms, 60);
    assert_eq!(balancer.status(at(400)).slow.into_keys().collect::<Vec<_>>(), [host(4)]);
    let evenness = balancer.evenness(at(400)).into_values().map(|one| (one.mean, one.busiest));
    assert_eq!(evenness.collect::<Vec<_>>(), [(250, 250)]);
}

/// Without the condition of hidden faults, or with the mechanism disabled, no server counts as
/// slow.
#[test]
fn without_the_mechanism_no_server_counts_as_slow() {
    let off = Policy::without([Mechanism::UnevenServers]).under([Condition::HiddenFaults]);
    for policy in [Policy::default(), off] {
        let (balancer, verdicts) = balancer_with_a_slow_server(policy);

        assert!(verdicts.is_empty());
        assert!(balancer.status(at(400)).slow.is_empty());
    }
}
