//! Runs the built proxy on the loopback interface, with fake backends, a fake discovery service and
//! real client connections.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file compiles this module separately and uses only a part of it"
)]

mod byte_counter;
mod client;
mod crowd_scenario;
mod fake_backend;
mod fake_discovery;
mod faulty_discovery;
mod http_message;
mod list_scenario;
mod proxy_process;
mod recorded_traffic;
mod recording_backend;
mod response_gate;
mod saturated_listener;
mod settings;
mod tcp_table;
mod wait;

pub use byte_counter::ByteCounter;
pub use client::{
    assert_reads_succeed, close_all, request, send_request, Client, CloseMode, DisconnectCase,
};
pub use crowd_scenario::{run_crowd, single_thread_runtime, start_paced_backends};
pub use fake_backend::{ok_response, rejected_response, FakeBackend, Reply};
pub use fake_discovery::FakeDiscovery;
pub use faulty_discovery::{DiscoveryBehavior, FaultyDiscovery};
pub use http_message::{read_http_message, HttpMessage};
pub use list_scenario::{
    count_between, sleep_until, start_backend, with_status, Arrivals, Scenario, CHANGED, GRACE,
    UNCHANGED,
};
pub use proxy_process::{start_proxy_with, ProxyProcess};
pub use recorded_traffic::{send_traffic, Exchange};
pub use recording_backend::{
    response_body, start_recording_backend, AnnouncedPart, BackendBehavior, Execution,
    ExecutionLog, LagRange, UnsolicitedResponse,
};
pub use response_gate::{GateOpener, ResponseGate};
pub use saturated_listener::SaturatedListener;
pub use settings::{
    draining, endpoint, free_address, proxy_config, proxy_config_without_deadlines, ready, removed,
    CONNECTION_REST,
};
pub use tcp_table::TcpState;
pub use wait::{wait_until, TEST_TIMEOUT};
