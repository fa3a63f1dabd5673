//! Case: proxies are killed in a release while backends drain, and discovery is down into its start.

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
/// The proxies that are killed: two of three.
const KILLED: [usize; 2] = [0, 1];
/// How long a killed proxy stays down.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// How long discovery is down.
const OUTAGE: Duration = Duration::from_secs(8);
/// How long the backends drain before their processes end.
const DRAIN_TIME: Duration = Duration::from_secs(5);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let work = Work::default();
    let respond = Arc::new(|_: &_, body: &[u8]| sound_response(body));
    let Deployment { discovery, backends } = deployment::start(QUAY_ORDERS.zones, &work, record, respond);
    let config = |number: usize, listen: SocketAddr, known: &str| ProxyConfig {
        site: QUAY_ORDERS,
        number,
        count: PROXIES,
        listen,
        discovery: discovery.address,
        known: known.to_string(),
        sockets: 512,
        memory_mb: 128,
    };
    let first_list = discovery.list();
    let addresses: Vec<SocketAddr> = (0..PROXIES).map(|_| free_address()).collect();
    let mut proxies: Vec<Option<Proxy>> = (0..PROXIES)
        .map(|number| Some(Proxy::start(&config(number, addresses[number], &first_list), record)))
        .collect();
    if !addresses.iter().all(|address| wait_until_ready(*address)) {
        return Verdict::CouldNotRun("a proxy is not ready".into());
    }
    std::thread::sleep(Duration::from_millis(500));
    let traffic = Traffic::start(&addresses, record);
    std::thread::sleep(Duration::from_secs(3));

    // The list that the killed proxies had last.
    let known = discovery.list();
    if has_trouble {
        for number in KILLED {
            traffic.set_open(number, false);
            proxies[number].take().unwrap().kill();
        }
    }
    std::thread::sleep(Duration::from_millis(300));
    for index in DRAINING {
        discovery.set_status(&backend_name(index), "draining");
    }
    let drained_at = Instant::now();
    // When each proxy counts as told that the backends drain.
    let mut told_at = [drained_at; PROXIES];
    std::thread::sleep(Duration::from_millis(300));
    if has_trouble {
        discovery.set_down(true);
        let back_at = Instant::now() + OUTAGE;
        std::thread::sleep(DOWN_TIME - Duration::from_millis(600));
        for number in KILLED {
            let config = config(number, addresses[number], &known);
            proxies[number] = Some(Proxy::start(&config, record));
        }
        for number in KILLED {
            if !wait_until_ready(addresses[number]) {
                return Verdict::CouldNotRun("a restarted proxy is not ready".into());
            }
            // A new process counts as told from its first moment; the time when it is ready is later.
            told_at[number] = Instant::now();
            traffic.set_open(number, true);
            record.line(format!("n{number} is ready"));
        }
        drain::end_drained(&backends, drained_at + DRAIN_TIME);
        std::thread::sleep(back_at.saturating_duration_since(Instant::now()));
        discovery.set_down(false);
    } else {
        drain::end_drained(&backends, drained_at + DRAIN_TIME);
    }
    std::thread::sleep(Duration::from_secs(3));
    let outcomes = traffic.end();
    if proxies.iter_mut().flatten().any(Proxy::has_exited) {
        return Verdict::Broken("a proxy has exited".into());
    }
    drain::judge(&outcomes, &work, &told_at, record)
}
