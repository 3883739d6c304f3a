//! Demand that moves between failure domains.

mod fleet;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use nutmegkeel_core::l4::agent;
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::decision::Decision;
use nutmegkeel_core::l4::flow::Head;
use nutmegkeel_core::l4::message::{Announcement, Load, State};
use nutmegkeel_core::l4::placement::{Level, Need, Pool};
use nutmegkeel_core::l4::policy::{Condition, Mechanism, Policy};
use nutmegkeel_core::l4::route::Kind;

use crate::fixture::{
    BALANCER, DOMAIN, agent_with, announcement, at, data, default_service, flow, heartbeat, host,
    identity, load, need, send_data,
};
use fleet::{Demand, Fleet, scatter};

const FAR: &str = "tema";

/// The highest surcharge, in thousandths of a slot.
const MOST: u64 = 3_000;

const NONE: u64 = 0;

fn far_word(number: u64, load: Load) -> Announcement {
    Announcement { domain: FAR.into(), ..announcement(number, State::Ready, load) }
}

/// A pool that reckons how full its failure domains are.
fn pool() -> Pool {
    let mut pool = Pool::default();
    pool.balance_domains(DOMAIN.into());
    pool
}

/// Hears of two agents in the own domain and two in another each 300 ms, until `until_ms`.
fn hear(pool: &mut Pool, near: Load, far: Load, from_ms: u64, until_ms: u64) {
    for now in (from_ms..=until_ms).step_by(100) {
        if now % 300 == 0 {
            for (number, word) in [
                (1, announcement(now + 1, State::Ready, near)),
                (2, announcement(now + 1, State::Ready, near)),
                (3, far_word(now + 1, far)),
                (4, far_word(now + 1, far)),
            ] {
                pool.announced(at(now), host(number), word);
            }
        }
        pool.rebalance(at(now));
    }
}

fn level<'pool>(pool: &'pool Pool, domain: &str) -> &'pool Level {
    pool.levels().find(|level| *level.domain == *domain).expect("it was heard of")
}

fn chosen(pool: &Pool, now: u64, need: &Need) -> Option<Ipv4Addr> {
    pool.choose(at(now), need).map(|choice| choice.agent)
}

fn near_agents() -> [Ipv4Addr; 2] {
    [host(1), host(2)]
}

/// The servers of the own domain have fewer flows, which ask much, and queue. New long flows go on coming,
/// because a flow less weighs as much as a request more.
#[test]
fn long_flows_leave_a_domain_that_queues_though_it_holds_fewer() {
    let (near, far) = (load(16, 80), load(4, 90));
    let mut without = Pool::default();
    hear(&mut without, near, far, 0, 3_000);
    let mut with = pool();
    hear(&mut with, near, far, 0, 3_000);

    let need = need(flow(1).key(), Kind::Idempotent, &[]);

    assert!(near_agents().contains(&chosen(&without, 3_000, &need).expect("all are open")));
    assert!(!near_agents().contains(&chosen(&with, 3_000, &need).expect("all are open")));
}

#[test]
fn alike_domains_keep_the_fixed_weight() {
    let mut pool = pool();

    hear(&mut pool, load(5, 40), load(4, 40), 0, 5_000);

    assert_eq!((level(&pool, DOMAIN).surcharge, level(&pool, FAR).surcharge), (NONE, NONE));
}

/// All domains queue, one of them more. Its flows would wait elsewhere too, and the others' for them.
#[test]
fn nothing_moves_while_there_is_no_room_anywhere() {
    let mut pool = pool();

    hear(&mut pool, load(40, 40), load(9, 40), 0, 5_000);

    assert_eq!(level(&pool, DOMAIN).surcharge, NONE);
}

#[test]
fn a_download_leaves_later_than_a_small_answer() {
    let mut pool = pool();
    hear(&mut pool, load(5, 0), load(4, 0), 0, 5_000);

    let goes_far = |kind| {
        let agent = chosen(&pool, 5_000, &need(flow(1).key(), kind, &[]));
        !near_agents().contains(&agent.expect("all are open"))
    };

    assert!(goes_far(Kind::Once));
    assert!(!goes_far(Kind::Download));
}

/// The first sample of a balancer that has just started shows a full domain: it must not swing at once to
/// what others reached step by step.
#[test]
fn a_surcharge_grows_by_steps_and_falls_by_steps() {
    let mut pool = pool();
    let mut last = NONE;
    hear(&mut pool, load(60, 40), load(1, 40), 0, 0);
    for now in (100..=8_000).step_by(100) {
        let near = if now < 3_000 { load(60, 40) } else { load(1, 40) };
        hear(&mut pool, near, load(1, 40), now, now);
        let surcharge = level(&pool, DOMAIN).surcharge;
        assert!(surcharge.abs_diff(last) <= 200 && surcharge <= MOST, "{last} to {surcharge}");
        last = surcharge;
    }

    assert_eq!(last, NONE);
}

/// Reports of the full domain stop: what it did seconds ago says nothing of now, and others must not be
/// judged by it either.
#[test]
fn a_domain_that_is_cut_off_goes_back_to_the_fixed_weight() {
    let mut pool = pool();
    hear(&mut pool, load(1, 40), load(30, 40), 0, 3_000);
    let full = level(&pool, FAR).surcharge;

    for now in (3_100..=6_000).step_by(100) {
        for number in [1, 2] {
            pool.announced(at(now), host(number), announcement(now, State::Ready, load(20, 40)));
        }
        pool.rebalance(at(now));
    }

    assert!(full > 0);
    assert_eq!(level(&pool, FAR).utilization, None);
    assert_eq!((level(&pool, FAR).surcharge, level(&pool, DOMAIN).surcharge), (NONE, NONE));
}

/// An agent tells of counts that cannot be: its domain must not be starved for it.
#[test]
fn an_absurd_report_counts_for_a_full_server() {
    let mut pool = pool();
    hear(&mut pool, load(2, 40), load(2, 40), 0, 900);
    for now in (900..=3_000).step_by(100) {
        hear(&mut pool, load(2, 40), load(2, 40), now, now);
        let absurd = Announcement { slots: 0, ..far_word(9_000 + now, load(u16::MAX, 0)) };
        pool.announced(at(now), host(4), absurd);
    }

    let utilization = level(&pool, FAR).utilization.expect("it is heard of");

    assert!(utilization <= 4_000, "{utilization}");
}

/// The own domain is far fuller than an evacuated one: its flows stay all the same.
#[test]
fn evacuation_goes_before_balance() {
    let mut pool = pool();
    pool.set_evacuated(BTreeSet::from([FAR.into()]));
    hear(&mut pool, load(40, 40), load(0, 0), 0, 3_000);

    let agent = chosen(&pool, 3_000, &need(flow(1).key(), Kind::Idempotent, &[]));

    assert!(near_agents().contains(&agent.expect("the own domain is open")));
    assert_eq!(level(&pool, DOMAIN).elsewhere, None);
}

/// A route may use one region only; its servers are far fuller than those of another region.
#[test]
fn regions_go_before_balance() {
    let mut pool = pool();
    let regions = [(DOMAIN, "here"), (FAR, "there")];
    pool.set_regions(regions.map(|(domain, region)| (domain.into(), region.into())).into());
    hear(&mut pool, load(40, 40), load(0, 0), 0, 3_000);
    let regions = BTreeSet::from(["here".into()]);

    let bound = Need { regions: &regions, ..need(flow(1).key(), Kind::Idempotent, &[]) };

    assert!(near_agents().contains(&chosen(&pool, 3_000, &bound).expect("the region is open")));
}

/// The servers of an empty domain are cold and have been given what they bear.
#[test]
fn budgets_of_cold_servers_go_before_balance() {
    let mut pool = pool();
    hear(&mut pool, load(40, 40), load(0, 0), 0, 3_000);
    for number in [3, 4] {
        pool.filled(host(number));
    }

    let agent = chosen(&pool, 3_000, &need(flow(1).key(), Kind::Idempotent, &[]));

    assert!(near_agents().contains(&agent.expect("the own domain is open")));
}

/// An agent restarts beside a server with 80 flows, and knows five of them when it is back. All balancers
/// would send it their new flows, on top of the 80.
#[test]
fn a_restarted_agent_counts_with_the_flows_it_inherits() {
    let agent_of = |is_balanced: bool| {
        let mut pool = if is_balanced { pool() } else { Pool::default() };
        pool.announced(at(0), host(1), announcement(1, State::Ready, load(2, 80)));
        pool.announced(at(0), host(2), announcement(1, State::Ready, load(2, 78)));
        pool.announced(at(300), host(1), announcement(2, State::Restarting, load(2, 80)));
        let back = |number, service, load| Announcement {
            incarnation: 2,
            service,
            ..announcement(number, State::Ready, load)
        };
        pool.announced(at(900), host(1), back(1, None, load(0, 0)));
        pool.announced(at(1_000), host(1), back(2, Some(default_service()), load(2, 5)));
        pool.announced(at(1_000), host(2), announcement(2, State::Ready, load(2, 78)));
        chosen(&pool, 1_000, &need(flow(1).key(), Kind::Idempotent, &[]))
    };

    assert_eq!(agent_of(false), Some(host(1)));
    assert_eq!(agent_of(true), Some(host(2)));
}

/// Flows end without another packet after an agent's restart: its server must not wait for ever for new ones.
#[test]
fn what_an_agent_inherits_is_forgotten_within_seconds() {
    let mut pool = pool();
    pool.announced(at(0), host(1), announcement(1, State::Restarting, load(2, 80)));
    for now in (0..=9_000).step_by(300) {
        let back =
            Announcement { incarnation: 2, ..announcement(now + 1, State::Ready, load(2, 5)) };
        pool.announced(at(now), host(1), back);
        pool.announced(at(now), host(2), announcement(now + 1, State::Ready, load(2, 30)));
    }

    let agent = chosen(&pool, 9_000, &need(flow(1).key(), Kind::Idempotent, &[]));

    assert_eq!(agent, Some(host(1)));
}

/// A server is replaced by one of another service, or an agent dies without a word and its server with it:
/// the empty server must get flows at once.
#[test]
fn only_an_agent_that_restarts_leaves_flows() {
    for last in [State::Ready, State::Closed] {
        let mut pool = pool();
        pool.announced(at(0), host(1), announcement(1, last, load(2, 80)));
        pool.announced(at(0), host(2), announcement(1, State::Ready, load(2, 30)));
        let back = Announcement { incarnation: 2, ..announcement(1, State::Ready, load(0, 0)) };
        pool.announced(at(600), host(1), back);

        let agent = chosen(&pool, 600, &need(flow(1).key(), Kind::Idempotent, &[]));

        assert_eq!(agent, Some(host(1)));
    }
}

/// An agent is back beside a server that holds flows. Requests come on all of them, fill the server's queue, and the
/// agent reports nothing in progress, because it knows a flow only after the server's answer.
#[test]
fn a_restarted_agent_reports_requests_on_flows_that_it_does_not_know() {
    let busy_of = |policy: Policy| {
        let mut agent = agent_with(policy);
        agent.handle(at(0), agent::Event::Heartbeat(heartbeat("one", 9)));
        for port in 1..=6 {
            send_data(&mut agent, 10, flow(port), 1_001);
            let ack = Head { len: 0, ..data(flow(10 + port), 1_001, 501) };
            agent.handle(at(10), agent::Event::Carry { from: BALANCER, head: ack, known: true });
        }
        let asked = agent.load().busy;
        for port in 1..=4 {
            agent.handle(at(60), agent::Event::FromServer(data(flow(port), 501, 1_101)));
        }
        (asked, agent.load().busy)
    };

    assert_eq!(busy_of(Policy::default()), (0, 0));
    assert_eq!(busy_of(Policy::default().under([Condition::HiddenFaults])), (6, 2));
}

/// Whatever agents report: the surcharge stays within its bounds, and is gone some seconds after evenness.
#[test]
fn surcharges_are_bounded_and_end_whatever_agents_report() {
    for seed in 0..200 {
        let random = |step: u64, most: u64| scatter(seed << 32 | step) % most;
        let mut pool = pool();
        for now in (0..10_000).step_by(100) {
            let busy = |which| u16::try_from(random(now * 7 + which, 90)).expect("it is small");
            if random(now, 4) > 0 {
                hear(&mut pool, load(busy(1), 9), load(busy(2), 9), now, now);
            } else {
                pool.rebalance(at(now));
            }
            assert!(pool.levels().all(|level| level.surcharge <= MOST), "seed {seed} at {now}");
        }

        hear(&mut pool, load(3, 9), load(3, 9), 10_200, 16_000);

        assert!(pool.levels().all(|level| level.surcharge == NONE), "seed {seed}");
    }
}

/// Callers of one domain ask 1.9 times as much for 6 s, on flows that were open before too, while the other domains
/// have room. Their answers come late, because new flows still go to the full servers.
#[test]
fn a_burst_in_one_domain_makes_few_answers_late() {
    for domains in [2, 4, 5] {
        let even = Demand::even(domains);
        let burst = Demand { from_ms: 8_000, until_ms: 14_000, times: 1_900, ..even };

        let before = Fleet::open(domains, false).play(20_000, &burst);
        let after = Fleet::open(domains, true).play(20_000, &burst);

        println!("burst in one of {domains}, late: {before:?} to {after:?}");
        assert!(after.late * 100 < after.asked * 3, "{after:?}");
        assert!(after.late < before.late, "{before:?} to {after:?}");
        assert!(after.swings <= 1, "{after:?}");
    }
}

/// Half of the callers of one domain go to another within half a second. If balancers answer the same reports by too
/// much, the new flows of all domains go to and fro between full and empty servers.
#[test]
fn balancers_do_not_swing_when_callers_move() {
    for domains in [2, 4, 5] {
        let moved = Demand { from_ms: 8_000, until_ms: 20_000, ..Demand::moved(domains) };

        let before = Fleet::open(domains, false).play(24_000, &moved);
        let after = Fleet::open(domains, true).play(24_000, &moved);

        println!("moved over {domains}, late: {before:?} to {after:?}");
        assert!(after.swings <= 1, "{after:?}");
        assert!(after.late * 200 <= before.late * 200 + after.asked, "{before:?} to {after:?}");
    }
}

/// Twice as many clients of one domain open flows of one request each. These follow what is in progress now, so the
/// domains are even already, and a surcharge on top must not make them swing.
#[test]
fn short_flows_do_not_swing() {
    for domains in [2, 5] {
        let mut more = Demand { from_ms: 8_000, until_ms: 14_000, ..Demand::even(domains) };
        more.openings[0] = 1_900;

        let before = Fleet::of_short_flows(domains, false).play(20_000, &more);
        let after = Fleet::of_short_flows(domains, true).play(20_000, &more);

        println!("short flows, one of {domains}, late: {before:?} to {after:?}");
        assert!(after.swings <= 1, "{after:?}");
        assert!(after.late * 200 <= before.late * 200 + after.asked, "{before:?} to {after:?}");
    }
}

/// A whole domain loses power. The others are short of room together; what the lost one reported last must not
/// count for them.
#[test]
fn a_lost_domain_neither_counts_nor_is_spared() {
    let mut fleet = Fleet::open(4, true);
    fleet.lose(1, 8_000);

    let after = fleet.play(16_000, &Demand::even(4));

    println!("lost, late: {after:?}");
    assert!(after.swings <= 1, "{after:?}");
    assert!(fleet.surcharges_of(1).iter().all(|surcharge| *surcharge == NONE));
}

/// A flow's copies reach several balancers, which hear of each agent at different moments: they must answer a
/// burst alike.
#[test]
fn reports_of_different_ages_lead_to_alike_surcharges() {
    let mut fleet = Fleet::open(4, true);
    let burst = Demand { from_ms: 4_000, until_ms: 9_000, times: 2_500, ..Demand::even(4) };

    fleet.play(7_500, &burst);

    let of_full: Vec<u64> = fleet.surcharges_of(0);
    let (least, most) = (of_full.iter().min(), of_full.iter().max());
    assert!(
        most.zip(least).is_some_and(|(most, least)| *most > 0 && most - least <= 700),
        "{of_full:?}"
    );
}

/// Lets a balancer's domain queue from 3 s to 6 s while another one is idle; returns what it notes of that.
fn notes(policy: Policy) -> Vec<(u64, bool)> {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, policy), &[]);
    let mut notes = Vec::new();
    for now in (0..12_000).step_by(100) {
        let busy = if (3_000..6_000).contains(&now) { 30 } else { 2 };
        for word in
            [announcement(now + 1, State::Ready, load(busy, 40)), far_word(now + 1, load(2, 40))]
        {
            let agent = if *word.domain == *DOMAIN { host(1) } else { host(3) };
            let actions = balancer.handle(at(now), Event::Announced(agent, word));
            notes.extend(actions.into_iter().filter_map(|action| match action {
                Action::Log(Decision::Spared { level, .. }) => Some((now, level.is_spared)),
                _ => None,
            }));
        }
    }
    notes
}

#[test]
fn operators_are_told_once_when_a_domain_is_spared_and_once_when_not() {
    let notes = notes(Policy::default().under([Condition::HiddenFaults]));

    let spared: Vec<bool> = notes.iter().map(|(_, spared)| *spared).collect();
    assert_eq!(spared, [true, false]);
    assert!((3_000..4_500).contains(&notes[0].0) && notes[1].0 < 10_000, "{notes:?}");
}

#[test]
fn nothing_is_reckoned_where_it_is_not_called_for_or_switched_off() {
    let off = Policy::without([Mechanism::DomainBalance]).under([Condition::HiddenFaults]);

    assert_eq!(notes(Policy::default()), []);
    assert_eq!(notes(off), []);
}
