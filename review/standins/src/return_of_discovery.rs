//! Case: backends drain while discovery is down, and discovery returns.

use crate::backend::{sound_response, Work};
use crate::deployment::{self, backend_name, Deployment};
use crate::drain::{self, Traffic, DRAINING};
use crate::proxy::{free_address, wait_until_ready, Proxy, ProxyConfig, QUAY_ORDERS};
use crate::record::Record;
use crate::Verdict;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROXIES: usize = 3;
/// The proxies start one after the other.
const START_SPREAD: Duration = Duration::from_millis(1_200);
/// How long discovery is down.
const OUTAGE: Duration = Duration::from_secs(8);
/// How long before the return of discovery the backends begin to drain.
const DRAINS_BEFORE_RETURN: Duration = Duration::from_secs(1);
/// How long the backends drain before their processes end.
const DRAIN_TIME: Duration = Duration::from_millis(2_200);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let work = Work::default();
    let respond = Arc::new(|_: &_, body: &[u8]| sound_response(body));
    let Deployment { discovery, backends } = deployment::start(QUAY_ORDERS.zones, &work, record, respond);
    let addresses: Vec<SocketAddr> = (0..PROXIES).map(|_| free_address()).collect();
    let mut proxies = Vec::new();
    for (number, listen) in addresses.iter().enumerate() {
        let config = ProxyConfig {
            site: QUAY_ORDERS,
            number,
            count: PROXIES,
            listen: *listen,
            discovery: discovery.address,
            known: discovery.list(),
            sockets: 512,
            memory_mb: 128,
        };
        proxies.push(Proxy::start(&config, record));
        if !wait_until_ready(*listen) {
            return Verdict::CouldNotRun("a proxy is not ready".into());
        }
        std::thread::sleep(START_SPREAD);
    }
    let traffic = Traffic::start(&addresses, record);
    std::thread::sleep(Duration::from_secs(3));
    if has_trouble {
        discovery.set_down(true);
    }
    std::thread::sleep(OUTAGE - DRAINS_BEFORE_RETURN);
    for index in DRAINING {
        discovery.set_status(&backend_name(index), "draining");
    }
    let mut told_at = Instant::now();
    let drained_at = told_at;
    if has_trouble {
        std::thread::sleep(DRAINS_BEFORE_RETURN);
        discovery.set_down(false);
        told_at = Instant::now();
    }
    drain::end_drained(&backends, drained_at + DRAIN_TIME);
    std::thread::sleep(Duration::from_secs(2));
    let outcomes = traffic.end();
    if proxies.iter_mut().any(Proxy::has_exited) {
        return Verdict::Broken("a proxy has exited".into());
    }
    drain::judge(&outcomes, &work, &[told_at; PROXIES], record)
}
