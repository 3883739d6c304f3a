use std::collections::BTreeSet;

use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::decision::Decision;
use nutmegkeel_core::l4::message::{Announcement, Load, State};
use nutmegkeel_core::l4::placement::{Pool, Verdict};
use nutmegkeel_core::l4::policy::{Condition, Mechanism, Policy};
use nutmegkeel_core::l4::route::Kind;

use crate::fixture::{BALANCER, announcement, at, flow, host, identity, load, need};
use crate::uneven_fleet::{Fleet, Random, SERVERS};

/// Servers of one service: their numbers, beginning with one, and their times.
fn announce(pool: &mut Pool, now: u64, times: &[u16]) {
    for (number, service_ms) in (1..).zip(times) {
        let load = Load { service_ms: *service_ms, ..load(1, 10) };
        pool.announced(at(now), host(number), announcement(now + 1, State::Ready, load));
    }
}

fn judged(now: u64, times: &[u16]) -> Pool {
    let mut pool = Pool::default();
    announce(&mut pool, now, times);
    pool.compare_speeds(at(now));
    pool
}

fn slow(pool: &Pool) -> Vec<u8> {
    pool.slow().keys().map(|agent| agent.octets()[3]).collect()
}

fn slowed_down(fleet: &mut Fleet, step: usize, percent: u64) {
    (0..SERVERS).step_by(step).for_each(|server| fleet.set_percent(server, percent));
}

/// One server in five becomes 7.5 times slower at second 8 and says that it is well. Its clients wait, and new
/// flows went on coming to it, because it has no more of them than its peers. Compared with its peers, it gets
/// what it can do, and requests of new flows are late hardly more often than among even servers.
#[test]
fn new_flows_go_to_servers_that_are_not_slow() {
    let late = |compares, percent| {
        let mut fleet = Fleet::open(1, 25, compares);
        fleet.run(8_000);
        slowed_down(&mut fleet, 5, percent);
        fleet.run(20_000);
        fleet.late_per_mille(9..16)
    };

    let (even, before, after) = (late(true, 100), late(false, 750), late(true, 750));

    println!("late of 1000 requests of new flows: {even} even, {before} before, {after} after");
    assert!(before > even + 30);
    assert!(after <= even + 10);
}

/// The slow servers of the day above recover at second 16. They have next to no flows by then, and what they
/// still get must show it soon, or a fifth of the servers would idle for long.
#[test]
fn a_server_that_recovers_counts_in_full_within_seconds() {
    let mut fleet = Fleet::open(1, 25, true);
    fleet.run(8_000);
    slowed_down(&mut fleet, 5, 750);
    fleet.run(16_000);
    let before = fleet.slow();
    assert!(fleet.verdicts.iter().all(|(_, verdict)| verdict.is_slow), "none is cleared before");
    slowed_down(&mut fleet, 5, 100);

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

/// Two classes of work on one service, and a few requests in a hundred take seven times as long. A healthy
/// server that takes a run of those for slowness would lose its flows for nothing.
#[test]
fn a_mix_of_work_makes_no_healthy_server_slow() {
    let mut fleet = Fleet::open(3, 1, true);

    fleet.run(500_000);

    let slow: Vec<_> = fleet.verdicts.iter().filter(|(_, verdict)| verdict.is_slow).collect();
    println!("10,000 judgements of {SERVERS} servers: {} false ones", slow.len());
    assert!(slow.is_empty(), "{slow:?}");
}

/// The times of a slow server spread widely: some of its answers come as fast as a usual server's. Cleared by a few
/// of those, it would draw flows again while it is slow.
#[test]
fn a_few_fast_answers_clear_no_slow_server() {
    let mut fleet = Fleet::open(1, 4, true);
    fleet.work_ms = Random::broad_work_ms;
    fleet.run(8_000);
    slowed_down(&mut fleet, 5, 750);

    fleet.run(16_000);

    assert_eq!(fleet.slow(), 11);
    assert!(fleet.verdicts.iter().all(|(_, verdict)| verdict.is_slow));
}

#[test]
fn where_all_are_slow_none_is() {
    let mut fleet = Fleet::open(4, 1, true);
    fleet.run(8_000);
    slowed_down(&mut fleet, 1, 400);

    fleet.run(12_000);

    assert_eq!(fleet.slow(), 0);
}

/// Half of the servers become slow. The others cannot take the load of all of them.
#[test]
fn at_most_a_third_counts_as_slow_and_those_are_the_slowest() {
    let times = [60, 60, 60, 60, 60, 400, 300, 500, 200];

    let pool = judged(0, &times);

    assert_eq!(slow(&pool), [6, 7, 8]);
}

#[test]
fn of_two_servers_none_is_slow() {
    assert!(slow(&judged(0, &[60, 600])).is_empty());
}

/// Twice the usual time is still in time, and a few times very little is nothing to a client.
#[test]
fn a_server_is_not_slow_for_little() {
    assert!(slow(&judged(0, &[60, 60, 60, 140])).is_empty());
    assert!(slow(&judged(0, &[1, 1, 1, 5])).is_empty());
    assert_eq!(slow(&judged(0, &[60, 60, 60, 150])), [4]);
}

/// A time that wavers about the bound would move the new flows of all balancers to and fro.
#[test]
fn a_slow_server_stays_slow_until_it_is_near_its_peers() {
    let mut pool = judged(0, &[60, 60, 60, 160]);

    for (now, service_ms) in (300..).step_by(300).zip([140, 155, 120, 149, 100]) {
        announce(&mut pool, now, &[60, 60, 60, service_ms]);
        assert!(pool.compare_speeds(at(now)).is_empty());
        assert_eq!(slow(&pool), [4]);
    }

    announce(&mut pool, 3_000, &[60, 60, 60, 80]);
    pool.compare_speeds(at(3_000));
    assert!(slow(&pool).is_empty());
}

/// Of four servers one may count as slow, and two are, by turns the slower one.
#[test]
fn two_slow_ones_do_not_take_turns() {
    let mut pool = judged(0, &[60, 60, 300, 310]);

    for now in (300..6_000).step_by(300) {
        let swing = if now % 600 == 0 { 60 } else { 0 };
        announce(&mut pool, now, &[60, 60, 340, 310 + swing]);
        assert!(pool.compare_speeds(at(now)).is_empty());
    }

    assert_eq!(slow(&pool), [4]);
}

/// Reports are lost for two seconds. A server that was slow may still be, and one that was not is not judged by
/// what it told before.
#[test]
fn a_stale_report_neither_makes_nor_clears_a_slow_server() {
    let mut pool = judged(0, &[60, 60, 60, 60, 300, 60]);
    let usual = |pool: &mut Pool, now| announce(pool, now, &[60, 60, 60]);
    let told = Load { service_ms: 400, ..load(1, 10) };
    pool.announced(at(100), host(6), announcement(200, State::Ready, told));
    usual(&mut pool, 1_500);

    let verdicts = pool.compare_speeds(at(1_500));

    assert!(verdicts.is_empty());
    assert_eq!(slow(&pool), [5]);
}

/// A report of no time, or of hours, must neither draw flows nor starve anybody.
#[test]
fn an_absurd_report_changes_nothing() {
    let pool = judged(0, &[60, 60, 60, 0, u16::MAX]);

    assert!(slow(&pool).is_empty());
}

/// A slow server with no slots is a false report, too: it must go on getting something.
#[test]
fn a_report_without_slots_starves_nobody() {
    let mut pool = Pool::default();
    for number in 1..=3 {
        let told = Load { service_ms: 60, ..load(1, 100) };
        pool.announced(at(0), host(number), announcement(1, State::Ready, told));
    }
    let told = Load { service_ms: 600, ..load(0, 0) };
    let said = Announcement { slots: 0, ..announcement(1, State::Ready, told) };
    pool.announced(at(0), host(4), said);
    pool.compare_speeds(at(0));

    let chosen: BTreeSet<_> = (0..50)
        .filter_map(|port| pool.choose(at(1), &need(flow(port).key(), Kind::Idempotent, &[])))
        .map(|choice| choice.agent)
        .collect();

    assert_eq!(slow(&pool), [4]);
    assert!(chosen.contains(&host(4)));
}

/// The process beside a slow server starts again and knows nothing yet: perhaps another server runs there.
#[test]
fn a_new_agent_is_not_judged_by_what_the_old_one_told() {
    let mut pool = judged(0, &[60, 60, 60, 300]);
    let said = Announcement { incarnation: 2, ..announcement(1, State::Ready, load(0, 10)) };
    pool.announced(at(300), host(4), said);

    pool.compare_speeds(at(300));

    assert!(slow(&pool).is_empty());
}

/// A server that starts is slow for some seconds. It says so, and is given what it bears.
#[test]
fn a_cold_server_is_not_slow() {
    let mut pool = Pool::default();
    announce(&mut pool, 0, &[60, 60, 60]);
    let told = Load { service_ms: 300, ..load(0, 0) };
    let said = Announcement { cold: true, ..announcement(1, State::Ready, told) };
    pool.announced(at(0), host(4), said);

    pool.compare_speeds(at(0));

    assert!(slow(&pool).is_empty());
}

/// A slow server with a fifth of its peers' flows is as full as they are.
#[test]
fn a_slow_server_gets_flows_by_its_speed() {
    let chosen_with = |flows| {
        let mut pool = Pool::default();
        announce(&mut pool, 0, &[60, 60, 60]);
        let told = Load { service_ms: 180, ..load(0, flows) };
        pool.announced(at(0), host(4), announcement(1, State::Ready, told));
        pool.compare_speeds(at(0));
        let chosen = (0..100)
            .filter_map(|port| pool.choose(at(1), &need(flow(port).key(), Kind::Idempotent, &[])));
        chosen.filter(|choice| choice.agent == host(4)).count()
    };

    assert!(chosen_with(0) > 0);
    assert_eq!(chosen_with(4), 0);
}

/// A crowd fills the usual servers. The slots of a slow one, which it has free because it is to have little, passed
/// for room, and the openings of all balancers that found no other went there to be late.
#[test]
fn a_crowd_does_not_fill_the_slots_of_a_slow_server() {
    let chosen_with = |busy| {
        let mut pool = Pool::default();
        for number in 1..=3 {
            let full = Load { service_ms: 60, ..load(4, 8) };
            pool.announced(at(0), host(number), announcement(1, State::Ready, full));
        }
        let told = Load { service_ms: 450, ..load(busy, 8) };
        pool.announced(at(0), host(4), announcement(1, State::Ready, told));
        pool.compare_speeds(at(0));
        let need = need(flow(1).key(), Kind::Idempotent, &[]);
        pool.choose_free(at(1), &need).map(|choice| choice.agent)
    };

    assert_eq!(chosen_with(0), Some(host(4)), "one request shows whether it has recovered");
    assert_ne!(chosen_with(1), Some(host(4)));
}

/// A server that has just come has no flows. All balancers choose by flows, and each learns only with the next
/// report what the others sent: the first requests of all these flows met in its queue.
#[test]
fn an_empty_server_fills_up_without_a_queue() {
    let longest = |compares| {
        let queue = |seed| {
            let mut fleet = Fleet::open(seed, 25, compares);
            fleet.run(6_000);
            fleet.replace(7);
            let moments = (6_050..7_200).step_by(50);
            moments
                .map(|now| {
                    fleet.run(now);
                    u64::from(fleet.at_server(7))
                })
                .max()
        };
        let (seeds, sum) = (8, (1..=8).filter_map(queue).sum::<u64>());
        sum * 10 / seeds
    };

    let (before, after) = (longest(false), longest(true));

    println!("longest queue of ten times an empty server: {before} before, {after} after");
    assert!(after * 5 < before * 4);
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
fn operators_are_told_of_a_slow_server() {
    let policy = Policy::default().under([Condition::HiddenFaults]);

    let (balancer, verdicts) = balancer_with_a_slow_server(policy);

    let told: Vec<_> = verdicts.iter().map(|one| (one.agent, one.is_slow)).collect();
    assert_eq!(told, [(host(4), true)]);
    assert_eq!(verdicts[0].times.service_ms, 450);
    assert_eq!(verdicts[0].times.usual_ms, 60);
    assert_eq!(balancer.status(at(400)).slow.into_keys().collect::<Vec<_>>(), [host(4)]);
    let evenness = balancer.evenness(at(400)).into_values().map(|one| (one.mean, one.busiest));
    assert_eq!(evenness.collect::<Vec<_>>(), [(250, 250)]);
}

/// Where nobody says that servers may become slow in silence, or the mechanism is switched off, nobody is judged.
#[test]
fn without_the_mechanism_nobody_is_judged() {
    let off = Policy::without([Mechanism::UnevenServers]).under([Condition::HiddenFaults]);
    for policy in [Policy::default(), off] {
        let (balancer, verdicts) = balancer_with_a_slow_server(policy);

        assert!(verdicts.is_empty());
        assert!(balancer.status(at(400)).slow.is_empty());
    }
}
