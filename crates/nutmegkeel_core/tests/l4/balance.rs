//! Demand that differs or shifts between failure domains.

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
use fleet::{Demand, Fleet, hash};

const REMOTE: &str = "tema";

/// Upper bound of a surcharge, in thousandths of a slot.
const MAX_SURCHARGE: u64 = 3_000;

const NO_SURCHARGE: u64 = 0;

fn remote_announcement(number: u64, load: Load) -> Announcement {
    Announcement { domain: REMOTE.into(), ..announcement(number, State::Ready, load) }
}

/// Returns a pool that balances failure domains.
fn pool() -> Pool {
    let mut pool = Pool::default();
    pool.balance_domains(DOMAIN.into());
    pool
}

/// Announces two agents in the own domain and two in another every 300 ms, until `until_ms`.
fn announce_loads(pool: &mut Pool, local: Load, remote: Load, from_ms: u64, until_ms: u64) {
    for now in (from_ms..=until_ms).step_by(100) {
        if now % 300 == 0 {
            for (number, announcement) in [
                (1, announcement(now + 1, State::Ready, local)),
                (2, announcement(now + 1, State::Ready, local)),
                (3, remote_announcement(now + 1, remote)),
                (4, remote_announcement(now + 1, remote)),
            ] {
                pool.announced(at(now), host(number), announcement);
            }
        }
        pool.rebalance(at(now));
    }
}

fn level<'pool>(pool: &'pool Pool, domain: &str) -> &'pool Level {
    pool.levels().find(|level| *level.domain == *domain).expect("the domain has a level")
}

fn chosen(pool: &Pool, now: u64, need: &Need) -> Option<Ipv4Addr> {
    pool.choose(at(now), need).map(|choice| choice.agent)
}

fn local_agents() -> [Ipv4Addr; 2] {
    [host(1), host(2)]
}

/// The servers of the own domain have fewer flows, but these send many requests, which queue.
/// Without a surcharge new long flows still go there, because one flow less weighs as much as one
/// request more.
#[test]
fn long_flows_leave_a_domain_that_queues_with_fewer_flows() {
    let (local, remote) = (load(16, 80), load(4, 90));
    let mut without = Pool::default();
    announce_loads(&mut without, local, remote, 0, 3_000);
    let mut with = pool();
    announce_loads(&mut with, local, remote, 0, 3_000);

    let need = need(flow(1).key(), Kind::Idempotent, &[]);

    assert!(
        local_agents().contains(&chosen(&without, 3_000, &need).expect("all agents are ready"))
    );
    assert!(!local_agents().contains(&chosen(&with, 3_000, &need).expect("all agents are ready")));
}

#[test]
fn domains_with_similar_utilization_have_no_surcharge() {
    let mut pool = pool();

    announce_loads(&mut pool, load(5, 40), load(4, 40), 0, 5_000);

    assert_eq!(
        (level(&pool, DOMAIN).surcharge, level(&pool, REMOTE).surcharge),
        (NO_SURCHARGE, NO_SURCHARGE)
    );
}

/// All domains queue, one of them more than the others. Flows would wait elsewhere too, so moving
/// them gains nothing.
#[test]
fn no_surcharge_while_all_domains_queue() {
    let mut pool = pool();

    announce_loads(&mut pool, load(40, 40), load(9, 40), 0, 5_000);

    assert_eq!(level(&pool, DOMAIN).surcharge, NO_SURCHARGE);
}

#[test]
fn a_download_leaves_its_domain_at_a_higher_surcharge() {
    let mut pool = pool();
    announce_loads(&mut pool, load(5, 0), load(4, 0), 0, 5_000);

    let goes_remote = |kind| {
        let agent = chosen(&pool, 5_000, &need(flow(1).key(), kind, &[]));
        !local_agents().contains(&agent.expect("all agents are ready"))
    };

    assert!(goes_remote(Kind::Once));
    assert!(!goes_remote(Kind::Download));
}

/// The first sample of a balancer that has just started shows a full domain. Its surcharge must not
/// jump to the value that other balancers reached step by step.
#[test]
fn a_surcharge_rises_and_falls_gradually() {
    let mut pool = pool();
    let mut last = NO_SURCHARGE;
    announce_loads(&mut pool, load(60, 40), load(1, 40), 0, 0);
    for now in (100..=8_000).step_by(100) {
        let local = if now < 3_000 { load(60, 40) } else { load(1, 40) };
        announce_loads(&mut pool, local, load(1, 40), now, now);
        let surcharge = level(&pool, DOMAIN).surcharge;
        assert!(
            surcharge.abs_diff(last) <= 200 && surcharge <= MAX_SURCHARGE,
            "{last} to {surcharge}"
        );
        last = surcharge;
    }

    assert_eq!(last, NO_SURCHARGE);
}

/// Reports from a full domain stop. Its last utilization is out of date, so it must have no effect
/// on its own surcharge or on that of others.
#[test]
fn a_domain_without_reports_has_no_surcharge() {
    let mut pool = pool();
    announce_loads(&mut pool, load(1, 40), load(30, 40), 0, 3_000);
    let full = level(&pool, REMOTE).surcharge;

    for now in (3_100..=6_000).step_by(100) {
        for number in [1, 2] {
            pool.announced(at(now), host(number), announcement(now, State::Ready, load(20, 40)));
        }
        pool.rebalance(at(now));
    }

    assert!(full > 0);
    assert_eq!(level(&pool, REMOTE).utilization, None);
    assert_eq!(
        (level(&pool, REMOTE).surcharge, level(&pool, DOMAIN).surcharge),
        (NO_SURCHARGE, NO_SURCHARGE)
    );
}

/// An agent reports an implausible load. Its domain must still get flows.
#[test]
fn an_implausible_report_counts_as_a_full_server() {
    let mut pool = pool();
    announce_loads(&mut pool, load(2, 40), load(2, 40), 0, 900);
    for now in (900..=3_000).step_by(100) {
        announce_loads(&mut pool, load(2, 40), load(2, 40), now, now);
        let implausible =
            Announcement { slots: 0, ..remote_announcement(9_000 + now, load(u16::MAX, 0)) };
        pool.announced(at(now), host(4), implausible);
    }

    let utilization = level(&pool, REMOTE).utilization.expect("the utilization is known");

    assert!(utilization <= 4_000, "{utilization}");
}

/// The own domain is far fuller than an evacuated one, but its flows must not move there.
#[test]
fn evacuation_takes_precedence_over_balance() {
    let mut pool = pool();
    pool.set_evacuated(BTreeSet::from([REMOTE.into()]));
    announce_loads(&mut pool, load(40, 40), load(0, 0), 0, 3_000);

    let agent = chosen(&pool, 3_000, &need(flow(1).key(), Kind::Idempotent, &[]));

    assert!(local_agents().contains(&agent.expect("the own domain accepts flows")));
    assert_eq!(level(&pool, DOMAIN).elsewhere, None);
}

/// A route may use one region only, whose servers are far fuller than those of another region.
#[test]
fn regions_take_precedence_over_balance() {
    let mut pool = pool();
    let regions = [(DOMAIN, "here"), (REMOTE, "there")];
    pool.set_regions(regions.map(|(domain, region)| (domain.into(), region.into())).into());
    announce_loads(&mut pool, load(40, 40), load(0, 0), 0, 3_000);
    let regions = BTreeSet::from(["here".into()]);

    let bound = Need { regions: &regions, ..need(flow(1).key(), Kind::Idempotent, &[]) };

    assert!(
        local_agents().contains(&chosen(&pool, 3_000, &bound).expect("the region accepts flows"))
    );
}

/// The servers of an empty domain are cold and have no room left.
#[test]
fn budgets_of_cold_servers_take_precedence_over_balance() {
    let mut pool = pool();
    announce_loads(&mut pool, load(40, 40), load(0, 0), 0, 3_000);
    for number in [3, 4] {
        pool.room_exhausted(host(number));
    }

    let agent = chosen(&pool, 3_000, &need(flow(1).key(), Kind::Idempotent, &[]));

    assert!(local_agents().contains(&agent.expect("the own domain accepts flows")));
}

/// An agent restarts on the host of a server with 80 flows and first reports five of them. Without
/// the inherited flows, all balancers would send it their new flows in addition to the 80.
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

/// After an agent's restart, flows end without another packet. The server must get new flows again
/// within seconds.
#[test]
fn inherited_flows_are_forgotten_within_seconds() {
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

/// A server is replaced by one of another service, or an agent dies without notice together with
/// its server. The empty server must get flows at once.
#[test]
fn only_an_announced_restart_leaves_inherited_flows() {
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

/// An agent restarts on the host of a server that holds flows. It knows a flow only after the
/// server's answer, so it reported no request in progress while requests on these flows filled the
/// server's queue.
#[test]
fn a_restarted_agent_reports_requests_on_unknown_flows() {
    let busy_of = |policy: Policy| {
        let mut agent = agent_with(policy);
        agent.handle(at(0), agent::Event::Heartbeat(heartbeat("one", 9)));
        for port in 1..=6 {
            send_data(&mut agent, 10, flow(port), 1_001);
            let ack = Head { len: 0, ..data(flow(10 + port), 1_001, 501) };
            agent.handle(at(10), agent::Event::Carry { from: BALANCER, head: ack, known: true });
        }
        let requests = agent.load().busy;
        for port in 1..=4 {
            agent.handle(at(60), agent::Event::FromServer(data(flow(port), 501, 1_101)));
        }
        (requests, agent.load().busy)
    };

    assert_eq!(busy_of(Policy::default()), (0, 0));
    assert_eq!(busy_of(Policy::default().under([Condition::HiddenFaults])), (6, 2));
}

/// For any reports, the surcharge stays within its bounds and ends seconds after domains are even.
#[test]
fn surcharges_are_bounded_and_end_for_random_reports() {
    for seed in 0..200 {
        let random = |step: u64, most: u64| hash(seed << 32 | step) % most;
        let mut pool = pool();
        for now in (0..10_000).step_by(100) {
            let busy =
                |which| u16::try_from(random(now * 7 + which, 90)).expect("a value below 90");
            if random(now, 4) > 0 {
                announce_loads(&mut pool, load(busy(1), 9), load(busy(2), 9), now, now);
            } else {
                pool.rebalance(at(now));
            }
            assert!(
                pool.levels().all(|level| level.surcharge <= MAX_SURCHARGE),
                "seed {seed} at {now}"
            );
        }

        announce_loads(&mut pool, load(3, 9), load(3, 9), 10_200, 16_000);

        assert!(pool.levels().all(|level| level.surcharge == NO_SURCHARGE), "seed {seed}");
    }
}

/// Callers of one domain send 1.9 times as many requests for 6 s, also on open flows, while the
/// other domains have room. Answers are late if new flows still go to the full servers.
#[test]
fn a_burst_in_one_domain_makes_few_answers_late() {
    for domains in [2, 4, 5] {
        let even = Demand::even(domains);
        let burst = Demand { from_ms: 8_000, until_ms: 14_000, requests_per_mille: 1_900, ..even };

        let unbalanced = Fleet::open(domains, false).simulate(20_000, &burst);
        let balanced = Fleet::open(domains, true).simulate(20_000, &burst);

        println!(
            "burst in one of {domains} domains, late: \
             {unbalanced:?} without balance, {balanced:?} with"
        );
        assert!(balanced.late * 100 < balanced.requests * 3, "{balanced:?}");
        assert!(balanced.late < unbalanced.late, "{unbalanced:?} to {balanced:?}");
        assert!(balanced.oscillations <= 1, "{balanced:?}");
    }
}

/// Half of the callers of one domain move to another within half a second. If balancers overreact
/// to the same reports, the new flows of all domains alternate between full and empty servers.
#[test]
fn surcharges_do_not_oscillate_when_callers_move() {
    for domains in [2, 4, 5] {
        let moved = Demand { from_ms: 8_000, until_ms: 20_000, ..Demand::moved(domains) };

        let unbalanced = Fleet::open(domains, false).simulate(24_000, &moved);
        let balanced = Fleet::open(domains, true).simulate(24_000, &moved);

        println!(
            "callers moved, {domains} domains, late: \
             {unbalanced:?} without balance, {balanced:?} with"
        );
        assert!(balanced.oscillations <= 1, "{balanced:?}");
        assert!(
            balanced.late * 200 <= unbalanced.late * 200 + balanced.requests,
            "{unbalanced:?} to {balanced:?}"
        );
    }
}

/// Twice as many clients of one domain open flows of one request each. Placement by requests in
/// progress already evens out the domains, and a surcharge on top must not cause oscillation.
#[test]
fn surcharges_do_not_oscillate_for_short_flows() {
    for domains in [2, 5] {
        let mut more = Demand { from_ms: 8_000, until_ms: 14_000, ..Demand::even(domains) };
        more.openings_per_mille[0] = 1_900;

        let unbalanced = Fleet::of_short_flows(domains, false).simulate(20_000, &more);
        let balanced = Fleet::of_short_flows(domains, true).simulate(20_000, &more);

        println!(
            "short flows, {domains} domains, late: \
             {unbalanced:?} without balance, {balanced:?} with"
        );
        assert!(balanced.oscillations <= 1, "{balanced:?}");
        assert!(
            balanced.late * 200 <= unbalanced.late * 200 + balanced.requests,
            "{unbalanced:?} to {balanced:?}"
        );
    }
}

/// A whole domain fails. The others are short of room together, and the last reports of the failed
/// domain must not count for them.
#[test]
fn a_failed_domain_has_no_surcharge() {
    let mut fleet = Fleet::open(4, true);
    fleet.cut_off(1, 8_000);

    let balanced = fleet.simulate(16_000, &Demand::even(4));

    println!("failed domain, late: {balanced:?}");
    assert!(balanced.oscillations <= 1, "{balanced:?}");
    assert!(fleet.surcharges_of(1).iter().all(|surcharge| *surcharge == NO_SURCHARGE));
}

/// Copies of a flow's packets reach several balancers, which receive the reports of an agent at
/// different times. Their surcharges must agree during a burst.
#[test]
fn reports_of_different_ages_lead_to_similar_surcharges() {
    let mut fleet = Fleet::open(4, true);
    let burst =
        Demand { from_ms: 4_000, until_ms: 9_000, requests_per_mille: 2_500, ..Demand::even(4) };

    fleet.simulate(7_500, &burst);

    let of_full: Vec<u64> = fleet.surcharges_of(0);
    let (least, most) = (of_full.iter().min(), of_full.iter().max());
    assert!(
        most.zip(least).is_some_and(|(most, least)| *most > 0 && most - least <= 700),
        "{of_full:?}"
    );
}

/// Lets a balancer's domain queue from 3 s to 6 s while another one is idle. Returns when it
/// reports the domain as spared or no longer spared.
fn spared_changes(policy: Policy) -> Vec<(u64, bool)> {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, policy), &[]);
    let mut spared_changes = Vec::new();
    for now in (0..12_000).step_by(100) {
        let busy = if (3_000..6_000).contains(&now) { 30 } else { 2 };
        for announcement in [
            announcement(now + 1, State::Ready, load(busy, 40)),
            remote_announcement(now + 1, load(2, 40)),
        ] {
            let agent = if *announcement.domain == *DOMAIN { host(1) } else { host(3) };
            let actions = balancer.handle(at(now), Event::Announced(agent, announcement));
            spared_changes.extend(actions.into_iter().filter_map(|action| match action {
                Action::Log(Decision::Spared { level, .. }) => Some((now, level.is_spared)),
                _ => None,
            }));
        }
    }
    spared_changes
}

#[test]
fn each_start_and_end_of_sparing_a_domain_is_logged_once() {
    let spared_changes = spared_changes(Policy::default().under([Condition::HiddenFaults]));

    let spared: Vec<bool> = spared_changes.iter().map(|(_, spared)| *spared).collect();
    assert_eq!(spared, [true, false]);
    assert!(
        (3_000..4_500).contains(&spared_changes[0].0) && spared_changes[1].0 < 10_000,
        "{spared_changes:?}"
    );
}

#[test]
fn no_balance_unless_enabled_by_condition_and_mechanism() {
    let off = Policy::without([Mechanism::DomainBalance]).under([Condition::HiddenFaults]);

    assert_eq!(spared_changes(Policy::default()), []);
    assert_eq!(spared_changes(off), []);
}
