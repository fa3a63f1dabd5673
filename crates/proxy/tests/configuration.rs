//! The configuration file: errors at start-up, and the reload at SIGHUP.

mod support;

use serde_json::{json, Value};
use support::*;

/// Guards against two failures. Without a handler, SIGHUP would end the process. With a handler
/// that does not reload the file, the proxy would go on polling the old discovery address for ever.
/// In addition, an invalid file must change nothing, and SIGHUP must not disturb a shutdown.
#[test]
fn sighup_switches_polling_to_the_new_discovery_address() {
    let a = FakeBackend::responding_ok("a");
    let b = FakeBackend::responding_ok("b");
    let first = FakeDiscovery::start();
    let second = FakeDiscovery::start();
    let third = FakeDiscovery::start();
    let mut config = proxy_config(first.address, &[ready("a", a.address)]);
    let mut proxy = ProxyProcess::start(&config);
    assert_served_by(&proxy, b"a");
    config["discovery"] = json!(second.address.to_string());
    config["limits"]["sockets"] = json!(512);
    proxy.reload(&config.to_string());
    second.apply_snapshot(&[ready("b", b.address)]);
    assert_served_by(&proxy, b"b");
    let log = proxy.log();
    assert!(
        log.contains("take effect only after a restart: limits.sockets"),
        "the log does not name the changed setting that needs a restart: {log}"
    );
    wait_until(
        "the connections to the first discovery service are closed",
        || first.open_connections() == 0,
    );
    let polls_of_first = first.polls();
    for invalid in ["", &config.to_string()[..200], r#"{"discovery":"nowhere"}"#] {
        assert_reload_is_rejected(&proxy, invalid);
        assert_served_by(&proxy, b"b");
    }
    config["discovery"] = json!(third.address.to_string());
    for _ in 0..3 {
        proxy.reload(&config.to_string());
    }
    third.apply_snapshot(&[ready("a", a.address)]);
    assert_served_by(&proxy, b"a");
    assert_eq!(first.polls(), polls_of_first);
    proxy.terminate();
    proxy.reload(&config.to_string());
    assert!(proxy.wait_for_exit().success());
}

fn assert_served_by(proxy: &ProxyProcess, backend_body: &[u8]) {
    let response = send_request(proxy, &request("read", 7000));
    assert_eq!(response.body, backend_body);
}

fn assert_reload_is_rejected(proxy: &ProxyProcess, config: &str) {
    let rejections = || {
        proxy
            .log()
            .matches("reloading the configuration failed")
            .count()
    };
    let before = rejections();
    proxy.reload(config);
    wait_until("the invalid file is rejected", || rejections() > before);
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line_that_names_the_key() {
    for case in invalid_configurations() {
        let mut proxy = ProxyProcess::spawn(&case.config);
        assert!(!proxy.wait_for_exit().success());
        wait_until("the error is logged", || {
            proxy.log().contains(case.expected_error)
        });
        assert_eq!(
            proxy.log().lines().count(),
            1,
            "the error takes more than one line: {}",
            proxy.log()
        );
    }
}

/// A configuration that the proxy rejects, and a part of the error that it reports.
struct InvalidConfiguration {
    config: Value,
    expected_error: &'static str,
}

fn invalid_configurations() -> Vec<InvalidConfiguration> {
    let valid = proxy_config(free_address(), &[]);
    let with = |pointer: &str, value: Value, expected_error| {
        let mut config = valid.clone();
        *config.pointer_mut(pointer).unwrap() = value;
        InvalidConfiguration {
            config,
            expected_error,
        }
    };
    let expected_address = "listen: expected an IP address and a port";
    let expected_seed = "seed: expected up to 16 hex digits";
    let expected_sockets = "limits.sockets: expected at least 64";
    let expected_status = "known.endpoints[0].status: missing";
    let expected_tick = "settings.granularity_us: expected whole microseconds";
    let expected_connect_timeout = "settings.limits.dial_timeout_us";
    let expected_group_size = "settings.group_size: expected at least 1";
    vec![
        with("/listen", json!("nowhere"), expected_address),
        with("/discovery", json!(5), "discovery: expected text"),
        with("/seed", json!("xyz"), expected_seed),
        with("/limits/sockets", json!(3), expected_sockets),
        with("/known/endpoints", json!([{}]), expected_status),
        with("/settings/granularity_us", json!(-1), expected_tick),
        with(
            "/settings/limits/dial_timeout_us",
            json!(null),
            expected_connect_timeout,
        ),
        with("/settings/group_size", json!(0), expected_group_size),
    ]
}
