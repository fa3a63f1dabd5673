//! The input of a simulation: proxies and backends, their traffic, and a fault after which backends
//! are in slow start.

use brookstack_balancer::*;

/// The time at which the simulation starts; the backends have been up for long by then.
pub const START: Time = Time(1_000_000_000);
/// The time of the fault; the balancers know all rates and speeds by then.
pub const FAULT_AT: Time = Time(START.0 + 8_000_000);
/// Time after its restart within which a backend reaches its full capacity.
pub const SLOW_START_DURATION: Micros = Micros(6_800_000);
/// The time over which the work sent to a backend is compared with its capacity.
pub const OVERLOAD_WINDOW: Micros = Micros(1_000_000);
/// Duration of the burst after the fault.
const BURST_DURATION: Micros = Micros(2_000_000);
/// The least traffic of a proxy, as a multiple of the mean over all proxies.
const MIN_TRAFFIC: f64 = 0.05;

/// Proxies and backends, their traffic, and a fault in which backends restart.
///
/// The endpoint list begins with the backends that restart, followed by the removed and then the
/// faulty ones.
pub struct Scenario {
    /// The seed of all random number generators.
    pub seed: u64,
    /// Number of proxies that share the traffic.
    pub proxy_count: u32,
    /// Number of backends before the fault.
    pub backend_count: u32,
    /// Requests per second that a backend can serve after its slow start.
    pub capacity_per_s: f64,
    /// Traffic before the fault, as a fraction of the capacity of all backends.
    pub load: f64,
    /// Traffic in the burst after the fault, as a multiple of the traffic before it.
    pub burst: f64,
    /// Traffic of the busiest proxies, as a multiple of the mean over all proxies; the other
    /// proxies have less. With 1, all proxies have the same traffic.
    pub busiest_proxy_traffic: f64,
    /// Number of backends that restart.
    pub restarted_backends: u32,
    /// Number of backends that are removed and do not return.
    pub removed_backends: u32,
    /// Number of backends that fail three of four attempts from the fault on.
    pub faulty_backends: u32,
    /// A restarted backend rejects attempts immediately while it has this many in flight. The
    /// rejected attempts also count as work sent to it.
    pub restarted_backend_concurrency: f64,
    /// Fraction of the requests that are in a class with six times the work of the other class.
    pub heavy_fraction: f64,
    /// Seconds after the fault at which all proxies restart; `None` if they do not restart.
    pub proxies_restart_after_s: Option<f64>,
    /// Number of zones that the proxies and backends are distributed over.
    pub zone_count: u32,
    /// Fraction of its capacity that a backend has at its restart.
    pub slow_start_floor: f64,
    /// A backend in slow start fails if it is sent more than this multiple of its current capacity.
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
            restarted_backend_concurrency: f64::INFINITY,
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

    /// Creates a proxy's balancer. Each generation of proxy processes has different random numbers.
    pub fn balancer(&self, proxy: usize, generation: u32) -> Balancer {
        let seed = self.seed * 1_000_003 + proxy as u64 * 17 + u64::from(generation) * 7919;
        Balancer::new(self.config(proxy as u32), seed).expect("the configuration is valid")
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

    /// Requests per second of a proxy at the given time.
    pub fn request_rate(&self, proxy: usize, now: Time) -> f64 {
        let mean = self.load * self.capacity_per_s * f64::from(self.backend_count)
            / f64::from(self.proxy_count);
        let in_burst = (FAULT_AT..FAULT_AT + BURST_DURATION).contains(&now);
        let burst = if in_burst { self.burst } else { 1.0 };
        mean * self.relative_traffic(proxy) * burst
    }

    /// A proxy's traffic as a multiple of the mean over all proxies. Unless all proxies have the
    /// same traffic, one in ten is among the busiest, one in three has the least traffic, and the
    /// others share the remaining traffic.
    fn relative_traffic(&self, proxy: usize) -> f64 {
        if self.busiest_proxy_traffic <= 1.0 {
            return 1.0;
        }
        let proxies = self.proxy_count as usize;
        let busiest = proxies.div_ceil(10);
        let least_busy = proxies / 3;
        let others = proxies - busiest - least_busy;
        let assigned = [
            busiest as f64 * self.busiest_proxy_traffic,
            least_busy as f64 * MIN_TRAFFIC,
        ];
        let remaining = (f64::from(self.proxy_count) - assigned[0] - assigned[1]) / others as f64;
        match proxy % proxies {
            index if index < busiest => self.busiest_proxy_traffic,
            index if index < busiest + least_busy => MIN_TRAFFIC,
            _ => remaining.max(MIN_TRAFFIC),
        }
    }

    /// Whether a backend has restarted by the given time.
    pub fn has_restarted(&self, backend: usize, now: Time) -> bool {
        now >= FAULT_AT && backend < self.restarted_backends as usize
    }

    /// Whether a backend fails three of four attempts.
    pub fn is_faulty(&self, backend: usize, now: Time) -> bool {
        let first = (self.restarted_backends + self.removed_backends) as usize;
        let faulty = first..first + self.faulty_backends as usize;
        now >= FAULT_AT && faulty.contains(&backend)
    }

    /// Fraction of its capacity that a backend has at the given time after its restart.
    pub fn warmup_fraction(&self, age: Micros) -> f64 {
        let progress = (age.0 as f64 / SLOW_START_DURATION.0 as f64).min(1.0);
        self.slow_start_floor + (1.0 - self.slow_start_floor) * progress
    }

    /// The work that a backend may be sent in an overload window at the given time after its
    /// restart, in multiples of a mean request.
    pub fn overload_limit(&self, age: Micros) -> f64 {
        self.overload_multiple
            * self.warmup_fraction(age)
            * self.capacity_per_s
            * OVERLOAD_WINDOW.secs()
    }
}
