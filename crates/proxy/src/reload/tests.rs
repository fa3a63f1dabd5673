use super::*;
use serde_json::json;

#[test]
fn changed_keys_but_discovery_wait_for_a_restart() {
    let running = json!({
        "discovery": "a",
        "seed": "1",
        "limits": {"sockets": 1, "cores": 2},
        "name": null,
    });
    let newer = json!({
        "discovery": "b",
        "seed": "2",
        "limits": {"sockets": 3, "cores": 2, "memory_mb": 4},
    });
    assert_eq!(
        keys_waiting_for_restart(&running, &newer),
        ["limits.sockets", "limits.memory_mb", "seed"]
    );
    assert!(keys_waiting_for_restart(&running, &running).is_empty());
}
