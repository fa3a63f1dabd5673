//! Tests of the report on the real proxy's cells: failed checks, disturbed cells, tables and JSON.

use brookstack_fleet_simulator::deployment::DiscoveryMode;
use brookstack_fleet_simulator::real::cell::{
    AddedLatency, Cell, CpuUsage, DiscoveryTraffic, MemoryUsage, RequestStatistics, StallsByEvent,
};
use brookstack_fleet_simulator::real::load::NotServed;
use brookstack_fleet_simulator::real::stall::Stall;
use brookstack_fleet_simulator::report::{disturbed_cells, failed_cells, real_table, Table};

/// A cell that passes all checks and is not disturbed.
fn passing_cell() -> Cell {
    let stall = Stall {
        median_ms: 1.0,
        longest_ms: 2.0,
    };
    Cell {
        backends: 200,
        tenants: 7,
        discovery_mode: DiscoveryMode::Automatic,
        list_is_known: false,
        requests_per_second: 70.0,
        ready_secs: 0.1,
        memory: passing_memory(),
        cpu: passing_cpu(),
        discovery: DiscoveryTraffic {
            list_bytes: 26_080,
            idle_bytes_per_s: 30.0,
            change_bytes: 250.0,
            discovery_calls: 40,
        },
        requests: passing_requests(),
        latency: passing_latency(),
        stalls: StallsByEvent {
            without_event: stall,
            change: stall,
            snapshot: stall,
            probes: [2_000; 3],
        },
    }
}

fn passing_memory() -> MemoryUsage {
    MemoryUsage {
        rss_start_mb: 4.0,
        hwm_start_mb: 4.0,
        rss_load_mb: 8.0,
        hwm_load_mb: 8.0,
        hwm_end_mb: 9.0,
    }
}

fn passing_cpu() -> CpuUsage {
    CpuUsage {
        cpu_idle_percent: 0.1,
        idle_secs: 20.0,
        cpu_load_percent: 2.0,
        load_secs: 120.0,
        cpu_wait_percent: [0.0, 0.4, 0.9],
    }
}

fn passing_requests() -> RequestStatistics {
    RequestStatistics {
        forwarded: 8_400,
        not_served: NotServed {
            rejected: 3,
            failed: 2,
            no_response: 0,
        },
        new_connections_per_request: [0.1, 0.0],
    }
}

fn passing_latency() -> AddedLatency {
    AddedLatency {
        added_p50_ms: 1.0,
        added_p99_ms: 6.0,
        added_max_ms: 9.0,
        before_backend_ms: [0.8, 5.5],
        after_backend_ms: [0.2, 0.5],
    }
}

#[test]
fn late_readiness_and_requests_without_response_fail_the_checks_of_a_cell() {
    assert_eq!(failed_cells(&[passing_cell()]), Vec::<String>::new());
    let late = Cell {
        ready_secs: 10.5,
        ..passing_cell()
    };
    assert_eq!(
        failed_cells(&[passing_cell(), late]),
        ["200 backends x 7 tenants: ready after 10.50 s, limit 10 s"]
    );
    let mut without_response = passing_cell();
    without_response.requests.not_served = NotServed {
        no_response: 1,
        ..NotServed::default()
    };
    assert_eq!(
        failed_cells(&[without_response]),
        ["200 backends x 7 tenants: requests without a response: 1"]
    );
}

#[test]
fn a_cell_with_a_long_cpu_wait_is_listed_as_disturbed() {
    assert_eq!(disturbed_cells(&[passing_cell()]), Vec::<String>::new());
    let mut busy = passing_cell();
    busy.cpu.cpu_wait_percent = [0.0, 2.5, 0.0];
    let line = "200 backends x 7 tenants: CPU wait when idle / under load / under probes: \
                0.00 / 2.50 / 0.00 % of the time";
    assert_eq!(disturbed_cells(&[passing_cell(), busy]), [line]);
}

#[test]
fn a_table_is_formatted_as_markdown() {
    let mut table = Table::new(&["a", "b"]);
    table.row(vec!["1".into(), "2".into()]);
    assert_eq!(table.to_string(), "| a | b |\n| --- | --- |\n| 1 | 2 |\n");
}

/// The values in one row of a markdown table.
fn row_values(line: &str) -> Vec<&str> {
    line.trim_matches(['|', ' ']).split(" | ").collect()
}

#[test]
fn the_table_of_the_real_proxy_shows_each_measurement_under_its_title() {
    let table = real_table(&[passing_cell()]).to_string();
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 3);
    let titles = row_values(lines[0]).into_iter();
    let columns: Vec<_> = titles.zip(row_values(lines[2])).collect();
    let expected = [
        ("backends", "200"),
        ("tenants", "7"),
        ("time until ready, s", "0.10"),
        ("resident memory at start (peak), MB", "4.0 (4.0)"),
        (
            "resident memory after load (peak; peak after further snapshots), MB",
            "8.0 (8.0; 9.0)",
        ),
        ("CPU when idle, % of a core", "0.10"),
        ("CPU under load, % of a core", "2.00"),
        ("endpoint list, bytes", "26080"),
        ("delta of one endpoint, bytes", "250"),
        ("discovery when idle, bytes/s", "30"),
        ("new connections per request (1st, 2nd half)", "0.10, 0.00"),
        ("added latency p50 / p99 / max, ms", "1.00 / 6.00 / 9.0"),
        (
            "added latency before and after the backend: p50 / p99, p50 / p99, ms",
            "0.80 / 5.50, 0.20 / 0.50",
        ),
        (
            "data path stall without event / on delta / on snapshot: median of 5 (max), ms",
            "1.0 (2.0) / 1.0 (2.0) / 1.0 (2.0)",
        ),
        (
            "requests forwarded; rejected / failed / without response",
            "8400; 3 / 2 / 0",
        ),
        (
            "CPU wait when idle / under load / under probes, % of the time",
            "0.00 / 0.40 / 0.90",
        ),
    ];
    assert_eq!(columns, expected);
}

#[test]
fn the_json_of_a_cell_keeps_its_keys_and_their_order() {
    let json = serde_json::to_string(&passing_cell()).expect("JSON");
    let expected = concat!(
        r#"{"backends":200,"tenants":7,"mode":"automatic","known":false,"per_s":70.0,"#,
        r#""ready_secs":0.1,"rss_start_mb":4.0,"hwm_start_mb":4.0,"rss_load_mb":8.0,"#,
        r#""hwm_load_mb":8.0,"hwm_end_mb":9.0,"cpu_idle_percent":0.1,"idle_secs":20.0,"#,
        r#""cpu_load_percent":2.0,"load_secs":120.0,"waited_percent":[0.0,0.4,0.9],"#,
        r#""list_bytes":26080,"idle_bytes_per_s":30.0,"change_bytes":250.0,"#,
        r#""discovery_calls":40,"requests":8400,"#,
        r#""not_served":{"refused":3,"failed":2,"broken":0},"new_connections":[0.1,0.0],"#,
        r#""added_p50_ms":1.0,"added_p99_ms":6.0,"added_max_ms":9.0,"#,
        r#""before_ms":[0.8,5.5],"after_ms":[0.2,0.5],"#,
        r#""stall_plain":{"median_ms":1.0,"longest_ms":2.0},"#,
        r#""stall_change":{"median_ms":1.0,"longest_ms":2.0},"#,
        r#""stall_whole":{"median_ms":1.0,"longest_ms":2.0},"probes":[2000,2000,2000]}"#,
    );
    assert_eq!(json, expected);
}
