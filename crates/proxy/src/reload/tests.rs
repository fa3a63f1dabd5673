use super::*;
use serde_json::json;

#[test]
fn every_changed_key_except_discovery_requires_a_restart() {
    let running = json!({
        "discovery": "a",
        "seed": "1",
        "limits": {"sockets": 1, "cores": 2},
        "name": null,
    });
    let reloaded = json!({
        "discovery": "b",
        "seed": "2",
        "limits": {"sockets": 3, "cores": 2, "memory_mb": 4},
    });
    assert_eq!(
        keys_requiring_restart(&running, &reloaded),
        ["limits.sockets", "limits.memory_mb", "seed"]
    );
    assert!(keys_requiring_restart(&running, &running).is_empty());
}
