//! The proxies under test, started as separate processes by the `run` command of the deploy file.

use crate::http::read_message;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// What differs between the settings of the cases.
#[derive(Clone, Copy)]
pub struct Site {
    /// `subscribe` or `automatic`.
    pub discovery: &'static str,
    pub cancel: bool,
    pub parallel_tries: bool,
    pub max_attempts: u32,
    pub zones: [&'static str; 2],
}

/// The settings of `colombo-freight`.
pub const COLOMBO_FREIGHT: Site = Site {
    discovery: "subscribe",
    cancel: true,
    parallel_tries: false,
    max_attempts: 6,
    zones: ["colombo", "galle"],
};

/// The settings of `colombo-freight`, with what `deploy/sites/pushed/quay-orders.toml` has otherwise:
/// lists are pushed, attempts may not be called off, copies may run side by side.
pub const QUAY_ORDERS: Site = Site {
    discovery: "automatic",
    cancel: false,
    parallel_tries: true,
    max_attempts: 3,
    zones: ["north", "south"],
};

/// What a proxy is told.
#[derive(Clone)]
pub struct ProxyConfig {
    pub site: Site,
    pub number: usize,
    pub count: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub sockets: u32,
    pub memory_mb: u32,
}

impl ProxyConfig {
    fn json(&self, seed: u64) -> String {
        let ProxyConfig {
            site,
            number,
            count,
            listen,
            discovery,
            known,
            sockets,
            memory_mb,
        } = self;
        let Site {
            discovery: mode,
            cancel,
            parallel_tries,
            max_attempts,
            zones: [first, second],
        } = site;
        let zone = site.zones[number % 2];
        format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},
"settings":{{"blend":{{"whole":0.75,"worst_class":0.1,"worst_tenant":0.0,"worst_window":0.15}},
"callers":{{"marks_retry":true}},
"costs":{{"connection":0.0,"cross_zone":0.03,"discovery":0.02,"handshake":0.0,"late_fail":0.038,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.26}},
"customers":[],"discovery":"{mode}","family":"proxy","family_info":{{"warm_keys":true}},
"granularity_us":5000,"group_size":{count},"kinds":["fast-4","std-4"],"layer":0,
"limits":{{"cancel":{cancel},"conn_idle_us":60000000,"cpu_us_per_request":0.0,"cpu_us_per_s":8000,"dial_timeout_us":250000,"max_attempts":{max_attempts},"max_retry_after_us":2000000,"max_streams":1,"open_cap":20000,"parallel_tries":{parallel_tries},"peers":false,"probes":true,"retry_after":true}},
"my_zone":"{zone}","over_share_worth":0.1,"position":{number},
"profiles":[
{{"aim_us":600000,"deadline_us":2500000,"effect":"free","gain":2.0,"key_scope":"all","late_worth":0.0,"name":"manifest-read","stream":false,"window_us":5000000}},
{{"aim_us":500000,"deadline_us":2000000,"effect":"guarded","gain":3.0,"key_scope":"cell","late_worth":0.0,"name":"slot-hold","stream":false,"window_us":1200000}},
{{"aim_us":750000,"deadline_us":2500000,"effect":"single_shot","gain":5.0,"key_scope":"all","late_worth":0.0,"name":"load-confirm","stream":false,"window_us":5000000}}],
"report":{{"fields":[],"how":"off"}},
"rules":{{"answer_slack_us":20000,"cold_from":0.3,"fall_multiple":2.5,"must_ask_in_us":10000000,"ramp_time_us":6800000,"stop_sending_within_us":500000,"tip_after_us":1000000}},
"tiers":["booking-app"],"value_by":"request","weight_source":"rough","zones":["{first}","{second}"]}}}}"#
        )
    }
}

/// A running proxy. It is killed when it is dropped.
pub struct Proxy {
    child: Child,
    name: String,
    record: Record,
}

impl Proxy {
    /// Starts a proxy. Its configuration and its log go to the temporary folder.
    pub fn start(config: &ProxyConfig, record: &Record) -> Proxy {
        let folder = std::env::var("TMPDIR").unwrap_or_else(|_| "/tmp".into());
        let run = std::env::var("RUN").expect("RUN: the command of the deploy file");
        let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let seed = started.unwrap().as_micros() as u64 ^ (config.number as u64) << 40;
        let config_path = format!("{folder}/n{}-{seed:x}.json", config.number);
        std::fs::write(&config_path, config.json(seed)).unwrap();
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(format!("{folder}/n{}.log", config.number))
            .unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("BALANCER_NAME", format!("n{}", config.number))
            .env("BALANCER_LISTEN", config.listen.to_string())
            .env("BALANCER_DISCOVERY", config.discovery.to_string())
            .env("BALANCER_CONFIG", &config_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let name = format!("n{}", config.number);
        record.line(format!("{name} starts at {}", config.listen));
        Proxy {
            child,
            name,
            record: record.clone(),
        }
    }

    /// Sends SIGKILL.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.record.line(format!("{} is killed", self.name));
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a proxy answers the readiness check with 200; false if it does not within 10 s.
pub fn wait_until_ready(address: SocketAddr) -> bool {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        if readiness(address) == Some(200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

fn readiness(address: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream
        .write_all(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
        .ok()?;
    let response = read_message(&mut BufReader::new(stream)).ok()??;
    Some(response.status())
}

/// A free address. Its port is below the ephemeral ports, so that no connection takes it before the
/// proxy binds it.
pub fn free_address() -> SocketAddr {
    const FIRST_PORT: u64 = 10_000;
    const PORT_COUNT: u64 = 20_000;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let start = u64::from(std::process::id()) * 101;
    loop {
        let offset = start + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset % PORT_COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().unwrap();
        }
    }
}
