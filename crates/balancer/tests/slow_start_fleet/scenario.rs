//! What a simulation of warming backends is given: the fleet, its traffic and what goes wrong.

use brookstack_balancer::*;

/// The clock at the start; by then the fleet has been up for long.
pub const START: Time = Time(1_000_000_000);
/// When the fault occurs: all rates and speeds are known by then.
pub const FAULT_AT: Time = Time(START.0 + 8_000_000);
/// Within this time after its restart a backend reaches its full capacity.
pub const SLOW_START_DURATION: Micros = Micros(6_800_000);
/// The time over which a backend's overload is measured.
pub const OVERLOAD_WINDOW: Micros = Micros(1_000_000);
/// How long the burst after the fault lasts.
const BURST_DURATION: Micros = Micros(2_000_000);
/// The least traffic of a proxy, as a multiple of the mean.
const MIN_TRAFFIC: f64 = 0.05;

/// A fleet, its traffic, and a fault in which backends restart.
///
/// The backends that restart come first in the endpoint list, then those that are removed, then the
/// faulty ones.
pub struct Scenario {
    /// The seed of all random generators.
    pub seed: u64,
    /// How many proxies share the traffic.
    pub proxy_count: u32,
    /// How many backends there are before the fault.
    pub backend_count: u32,
    /// Requests a second that a warm backend can serve.
    pub capacity_per_s: f64,
    /// Traffic before the fault, as a fraction of the whole capacity.
    pub load: f64,
    /// Traffic in the burst after the fault, as a multiple of the traffic before it.
    pub burst: f64,
    /// The busiest proxies' traffic as a multiple of the mean; the others make up for it. 1 means
    /// even traffic.
    pub busiest_proxy_traffic: f64,
    /// Backends that restart.
    pub restarted_backends: u32,
    /// Backends that are removed for good.
    pub removed_backends: u32,
    /// Backends that fail three of four attempts from the fault on.
    pub faulty_backends: u32,
    /// A warming backend rejects at once what arrives while it has so many requests in flight;
    /// these attempts count towards its overload too.
    pub warming_backend_concurrency: f64,
    /// Fraction of the requests that are of a class with six times the others' work.
    pub heavy_fraction: f64,
    /// All proxies restart so many seconds after the fault.
    pub proxies_restart_after_s: Option<f64>,
    /// How many zones the proxies and backends are in.
    pub zone_count: u32,
    /// Fraction of its capacity that a backend has at its restart.
    pub slow_start_floor: f64,
    /// A warming backend fails if it is sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            seed: 1,
            proxy_count: 30,
            backend_count: 60,
            capacity_per_s: 60.0,
            load: 0.6,
            burst: 1.0,
            busiest_proxy_traffic: 1.0,
            restarted_backends: 1,
            removed_backends: 0,
            faulty_backends: 0,
            warming_backend_concurrency: f64::INFINITY,
            heavy_fraction: 0.0,
            proxies_restart_after_s: None,
            zone_count: 1,
            slow_start_floor: 0.1,
            overload_multiple: 2.0,
        }
    }
}

impl Scenario {
    /// The configuration of a proxy.
    pub fn config(&self, proxy_index: u32) -> Config {
        let class = Config::example().classes[0].clone();
        Config {
            classes: vec![class.clone(), class],
            proxy_count: self.proxy_count,
            proxy_index,
            zone: ZoneId(u64::from(proxy_index % self.zone_count)),
            zone_count: self.zone_count,
            cross_zone_cost: 0.03,
            max_attempts: 6,
            hedging_allowed: false,
            slow_start_floor: self.slow_start_floor,
            slow_start_duration: SLOW_START_DURATION,
            overload_multiple: self.overload_multiple,
            overload_window: OVERLOAD_WINDOW,
            ..Config::example()
        }
    }

    /// A proxy's balancer; each generation of processes has other random numbers.
    pub fn balancer(&self, proxy: usize, generation: u32) -> Balancer {
        let seed = self.seed * 1_000_003 + proxy as u64 * 17 + u64::from(generation) * 7919;
        Balancer::new(self.config(proxy as u32), seed).expect("a valid configuration")
    }

    /// The endpoint list before the fault.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let endpoint = |id: u64| Endpoint {
            id: BackendId(id),
            zone: ZoneId(id % u64::from(self.zone_count)),
            state: BackendState::Ready,
            weight: 1.0,
            ..Endpoint::default()
        };
        (0..u64::from(self.backend_count)).map(endpoint).collect()
    }

    /// A proxy's requests a second at this time.
    pub fn request_rate(&self, proxy: usize, now: Time) -> f64 {
        let mean = self.load * self.capacity_per_s * f64::from(self.backend_count)
            / f64::from(self.proxy_count);
        let in_burst = (FAULT_AT..FAULT_AT + BURST_DURATION).contains(&now);
        let burst = if in_burst { self.burst } else { 1.0 };
        mean * self.traffic_of(proxy) * burst
    }

    /// A proxy's traffic as a multiple of the mean: one proxy in ten is busiest, one in three has
    /// next to none, and the others share the rest.
    fn traffic_of(&self, proxy: usize) -> f64 {
        if self.busiest_proxy_traffic <= 1.0 {
            return 1.0;
        }
        let proxies = self.proxy_count as usize;
        let busiest = proxies.div_ceil(10);
        let idle = proxies / 3;
        let others = proxies - busiest - idle;
        let taken = [
            busiest as f64 * self.busiest_proxy_traffic,
            idle as f64 * MIN_TRAFFIC,
        ];
        let left = (f64::from(self.proxy_count) - taken[0] - taken[1]) / others as f64;
        match proxy % proxies {
            index if index < busiest => self.busiest_proxy_traffic,
            index if index < busiest + idle => MIN_TRAFFIC,
            _ => left.max(MIN_TRAFFIC),
        }
    }

    /// Whether a backend is warming up.
    pub fn is_warming(&self, backend: usize, now: Time) -> bool {
        now >= FAULT_AT && backend < self.restarted_backends as usize
    }

    /// Whether a backend fails most of its attempts.
    pub fn is_faulty(&self, backend: usize, now: Time) -> bool {
        let first = (self.restarted_backends + self.removed_backends) as usize;
        let faulty = first..first + self.faulty_backends as usize;
        now >= FAULT_AT && faulty.contains(&backend)
    }

    /// Fraction of its capacity that a backend has at this age.
    pub fn warmup_fraction(&self, age: Micros) -> f64 {
        let progress = (age.0 as f64 / SLOW_START_DURATION.0 as f64).min(1.0);
        self.slow_start_floor + (1.0 - self.slow_start_floor) * progress
    }

    /// What a backend of this age may be sent in an overload window, in requests of mean work.
    pub fn overload_limit(&self, age: Micros) -> f64 {
        self.overload_multiple
            * self.warmup_fraction(age)
            * self.capacity_per_s
            * OVERLOAD_WINDOW.secs()
    }
}
