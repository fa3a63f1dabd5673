//! What a proxy does when it is one of about a hundred: it sees little of any backend, and whatever it does
//! all others do too.

mod common;
use beechworks::*;
use common::{backend, Host};

/// One of a hundred proxies in front of sixty backends in two zones.
fn thin() -> Host {
    let mut host = Host::new(Config { proxies: 100, zones: 2, ..Config::example() }, 5);
    host.members(ListUpdate::Full, (0..60).map(|i| backend(i, i % 2, 0)).collect());
    host
}

/// Requests at 15 a second, each answered 60 ms later, an error by those that are `bad`; tells for each
/// attempt which backend it went to.
fn trickle(host: &mut Host, count: usize, bad: impl Fn(u32) -> Option<Outcome>) -> Vec<u32> {
    let mut seen = Vec::new();
    for _ in 0..count {
        let id = host.arrive(0, 900_000);
        host.advance(60_000);
        let mut no = 0;
        while let Some(to) = host.sent_to(id).get(no).copied() {
            seen.push(to);
            host.end(id, no, bad(to).unwrap_or(Outcome::Ok));
            no += 1;
        }
        host.advance(6_667);
    }
    seen
}

#[test]
fn one_error_puts_a_backend_out_of_use_where_a_proxy_sees_it_every_four_seconds() {
    // Ten of a hundred proxies' first seconds of a fault: each met an ill backend every four seconds, waited
    // for a second error and had it back a second later.
    let mut host = thin();
    trickle(&mut host, 60, |_| None);
    let ill = |to: u32| (to < 6).then_some(Outcome::Error);
    let errors = trickle(&mut host, 300, ill).iter().filter(|to| **to < 6).count();
    assert!((1..=20).contains(&errors), "{errors} of about 300 attempts on a tenth that is ill");
    trickle(&mut host, 150, |_| None);
    let back = trickle(&mut host, 300, |_| None).iter().filter(|to| **to < 6).count();
    assert!(back >= 15, "{back} of 300 after they are well again");
}

#[test]
fn what_a_proxy_holds_for_longer_stays_near_its_part_of_the_hold() {
    // Half of the fleet lost: a hundred proxies, each at its pool's allowance for chance, held twelve requests
    // on every backend that was left, until those choked. Due to each proxy are 4 * 60 / 100 = 2.4.
    let mut host = thin();
    let answer = |host: &mut Host| {
        let late = host.now;
        for (id, no) in host.out() {
            if late - host.requests[&id].tries[no].at >= Micros(100_000) {
                host.end(id, no, Outcome::Ok);
            }
        }
    };
    let (mut most, mut sum) = (0, 0);
    for step in 0..600 {
        host.arrive(0, 900_000);
        host.advance(15_000);
        answer(&mut host);
        most = most.max(host.out().len());
        sum += if step >= 300 { host.out().len() } else { 0 };
    }
    let mean = sum as f64 / 300.0;
    assert!(most >= 5, "a burst of {most} only");
    assert!((2.0..4.2).contains(&mean), "{mean} on average");
}
