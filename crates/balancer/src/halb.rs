//! HALB: the optimal split of traffic between machine types of different speed.

/// Loads below this fraction of the total speed count as none.
const MIN_LOAD: f64 = 1e-6;

/// Backends of one machine type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineGroup {
    /// How many of them are ready; one that is only partly ready counts as a fraction.
    pub ready_backends: f64,
    /// Requests per second that one of them can serve.
    pub speed: f64,
}

/// The clamped M/G/1/PS optimum: the fraction of the traffic for each machine type, given the
/// arrival rate in requests per second. All are zero when no backend is ready. Without a rate, the
/// traffic is split evenly over the backends.
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
        if rate <= total_speed * MIN_LOAD || total_speed <= 0.0 {
            // The limit of the optimum: the fastest machine type takes all.
            let fastest = fastest_ready(&used);
            return split_evenly(groups, |speed| speed == fastest);
        }
        let flows = optimal_flows(&used, rate, total_speed);
        if flows.iter().all(|flow| *flow >= 0.0) {
            return flows.iter().map(|flow| flow / rate).collect();
        }
        // Machine types too slow to be of use at this rate drop out.
        for (group, flow) in used.iter_mut().zip(&flows) {
            if *flow <= 0.0 {
                group.ready_backends = 0.0;
            }
        }
    }
}

/// The flow to each machine type, requests per second, by the unclamped formula: negative for those
/// that are too slow to be of use.
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

/// The speed of the fastest machine type with a ready backend; 0 if there is none.
fn fastest_ready(groups: &[MachineGroup]) -> f64 {
    let ready = groups.iter().filter(|group| group.ready_backends > 0.0);
    ready.map(|group| group.speed).fold(0.0, f64::max)
}

/// Splits the traffic evenly over the backends of the machine types whose speed is chosen.
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
