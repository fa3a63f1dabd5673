//! HALB, optimal load balancing for heterogeneous servers: the split of the traffic between machine
//! types of different speed.
//!
//! Each backend is modelled as an M/G/1/PS queue, a processor that is shared by its requests. The
//! split minimizes the mean latency over all requests.

/// An arrival rate up to this fraction of the total speed counts as no load.
const MIN_UTILIZATION: f64 = 1e-6;

/// The backends of one machine type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineGroup {
    /// The number of ready backends. A backend that is only partly ready counts as a fraction.
    pub ready_backends: f64,
    /// Requests per second that one backend can serve.
    pub speed: f64,
}

/// Computes the share of the traffic for each machine type, given the arrival rate at the whole
/// fleet in requests per second.
///
/// The shares are the M/G/1/PS optimum without negative flows. All shares are zero if no backend is
/// ready. If the rate is unknown, the traffic is split evenly over the ready backends.
pub fn halb_shares(groups: &[MachineGroup], rate: Option<f64>) -> Vec<f64> {
    let Some(rate) = rate else {
        return split_evenly(groups, |_| true);
    };
    let mut used = groups.to_vec();
    loop {
        let total_speed: f64 = used
            .iter()
            .map(|group| group.ready_backends * group.speed)
            .sum();
        if rate <= total_speed * MIN_UTILIZATION || total_speed <= 0.0 {
            // As the rate approaches 0, the optimum sends all traffic to the fastest type.
            let fastest = fastest_ready(&used);
            return split_evenly(groups, |speed| speed == fastest);
        }
        let flows = optimal_flows(&used, rate, total_speed);
        if flows.iter().all(|flow| *flow >= 0.0) {
            return flows.iter().map(|flow| flow / rate).collect();
        }
        // A negative flow means that the machine type is too slow to be useful at this rate. Such
        // types are excluded, and the rest is solved again.
        for (group, flow) in used.iter_mut().zip(&flows) {
            if *flow <= 0.0 {
                group.ready_backends = 0.0;
            }
        }
    }
}

/// The optimal flow to each machine type, in requests per second. It is negative for machine types
/// that are too slow to be useful at this rate.
///
/// By the formula of the HALB paper, the flow to a type with `n` ready backends of speed `s` is
/// `n * s - n * sqrt(s) * (sum(n * s) - rate) / sum(n * sqrt(s))`, with sums over all types.
fn optimal_flows(groups: &[MachineGroup], rate: f64, total_speed: f64) -> Vec<f64> {
    let roots = groups
        .iter()
        .map(|group| group.ready_backends * group.speed.sqrt());
    let root_sum: f64 = roots.sum();
    let spare_speed = total_speed - rate;
    let mut flows = Vec::with_capacity(groups.len());
    for MachineGroup {
        ready_backends,
        speed,
    } in groups
    {
        let reserve = ready_backends * speed.sqrt() * spare_speed / root_sum;
        flows.push(ready_backends * speed - reserve);
    }
    flows
}

/// The speed of the fastest machine type with a ready backend; 0 if no backend is ready.
fn fastest_ready(groups: &[MachineGroup]) -> f64 {
    let ready = groups.iter().filter(|group| group.ready_backends > 0.0);
    ready.map(|group| group.speed).fold(0.0, f64::max)
}

/// Splits the traffic evenly over the ready backends of the machine types whose speed satisfies
/// `is_chosen`. All shares are zero if there is no such backend.
fn split_evenly(groups: &[MachineGroup], is_chosen: impl Fn(f64) -> bool) -> Vec<f64> {
    let mut chosen = Vec::with_capacity(groups.len());
    for group in groups {
        let is_used = is_chosen(group.speed);
        chosen.push(if is_used { group.ready_backends } else { 0.0 });
    }
    let total: f64 = chosen.iter().sum();
    if total > 0.0 {
        chosen.iter().map(|ready| ready / total).collect()
    } else {
        vec![0.0; groups.len()]
    }
}
