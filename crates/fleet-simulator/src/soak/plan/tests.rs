use super::*;

#[test]
fn a_seed_always_draws_the_same_plan() {
    let text = |seed| serde_json::to_string(&Plan::draw(seed)).expect("JSON");
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}

#[test]
fn plans_cover_every_fault_every_signal_and_descriptor_exhaustion() {
    let plans: Vec<Plan> = (0..200).map(Plan::draw).collect();
    let mut seen: Vec<String> = Vec::new();
    for plan in &plans {
        seen.extend(plan.discovery_fault.map(|(fault, _)| format!("{fault:?}")));
        seen.extend(plan.backend_faults.iter().map(|f| format!("{:?}", f.fault)));
        seen.extend(plan.signals.iter().map(|s| format!("{:?}", s.signal)));
        seen.extend(
            plan.descriptor_exhaustion
                .map(|_| "DescriptorExhaustion".to_string()),
        );
        seen.extend(plan.response_fault.map(|f| format!("{:?}", f.fault)));
        seen.extend(plan.limits.client_crowd.map(|c| format!("{:?}", c.kind)));
        seen.push(format!("{} MiB", plan.limits.memory_mb));
        seen.push(format!("{} descriptors", plan.limits.descriptors));
        assert!(plan.backend_faults.iter().all(|f| f.backend > 0));
        assert!(plan.signals.iter().all(|s| s.at < RUN_SECS));
    }
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 41, "{seen:?}");
}
