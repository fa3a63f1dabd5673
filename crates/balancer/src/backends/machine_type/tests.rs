use super::*;

#[test]
fn a_position_picks_each_backend_in_proportion_to_its_local_share() {
    let mut machine_type = MachineType::default();
    assert_eq!(machine_type.backend_at(0.5), None);
    for (id, share) in [(1, 0.1), (2, 0.3)] {
        machine_type.add_local_share(BackendId(id), share);
    }
    let picked = [0.0, 0.24, 0.26, 0.99].map(|position| machine_type.backend_at(position));
    assert_eq!(picked, [1, 1, 2, 2].map(|id| Some(BackendId(id))));
    machine_type.clear_local_shares();
    assert_eq!(machine_type.backend_at(0.5), None);
}

#[test]
fn the_flow_per_backend_is_the_share_divided_by_the_ready_backends() {
    let mut machine_type = MachineType::default();
    machine_type.set_share(0.5);
    assert_eq!(
        machine_type.flow_per_backend(Some(100.0)),
        0.0,
        "no backend is ready"
    );
    machine_type.add_readiness(4.0);
    assert_eq!(machine_type.flow_per_backend(Some(100.0)), 12.5);
    assert_eq!(machine_type.flow_per_backend(None), 0.0);
}
