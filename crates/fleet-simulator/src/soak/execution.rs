//! Executes a run: starts the stand-ins and the proxies, and waits until all of them have ended.

use super::backends::Backend;
use super::clients::{Client, RESPONSE_GRACE_SECS, SOCKET_SLACK_SECS};
use super::discovery::Discovery;
use super::plan::{Plan, PlannedCrowd, Span, PROXIES, RUN_SECS};
use super::proxies::{check_program, FrontLoadBalancer, Proxy};
use super::records::{Recorder, Records, RunClock};
use crate::failure::Failure;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The lowest port that a proxy listens on.
const FIRST_PORT: u16 = 10_000;
/// The number of ports, from [`FIRST_PORT`] on, that proxies may listen on.
const PORT_COUNT: u32 = 20_000;
/// The first port depends on the process id times this number, so that two soak tests that run at
/// the same time start from different ports.
const PORTS_PER_PROCESS: u32 = 101;
/// The number of ports that this process has tried so far.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);
/// How long proxies are monitored after the latest time at which a client may get its response, s.
const MONITOR_AFTER_CLIENTS_SECS: f64 = 0.3;

/// Executes a run with the proxy's executable file `program`, and returns its records.
pub async fn run(program: &Path, plan: &Plan) -> Result<Records, Failure> {
    check_program(program)?;
    let clock = RunClock::start();
    let recorder = Recorder::default();
    let load_balancer = FrontLoadBalancer::new(free_addresses()?);
    let proxies = start_proxies(program, plan, &load_balancer, clock, &recorder).await?;
    let clients = start_clients(plan, &load_balancer, clock, &recorder);
    if let Some(span) = plan.descriptor_exhaustion {
        for proxy in 0..PROXIES {
            let count = plan.limits.descriptors;
            tokio::spawn(hold_idle_connections(
                load_balancer.address(proxy),
                count,
                span,
                clock,
            ));
        }
    }
    if let Some(crowd) = plan.limits.client_crowd {
        for proxy in 0..PROXIES {
            start_crowd(crowd, load_balancer.address(proxy), clock)?;
        }
    }
    for client in clients {
        client.await.map_err(Failure::in_step("running a client"))?;
    }
    for proxy in proxies {
        proxy.await.map_err(Failure::in_step("running a proxy"))??;
    }
    Ok(recorder.take())
}

/// Starts the backends, then discovery, then the proxies, which need the addresses of both.
async fn start_proxies(
    program: &Path,
    plan: &Plan,
    load_balancer: &FrontLoadBalancer,
    clock: RunClock,
    recorder: &Recorder,
) -> Result<Vec<JoinHandle<Result<(), Failure>>>, Failure> {
    let backends = Backend::start_all(plan, clock, recorder).await?;
    let (discovery, addresses) = Discovery::start(plan, backends, clock, recorder).await?;
    let end = RUN_SECS
        + plan.deadline_secs
        + RESPONSE_GRACE_SECS
        + SOCKET_SLACK_SECS
        + MONITOR_AFTER_CLIENTS_SECS;
    let start = |(number, discovery_addresses)| {
        let proxy = Proxy {
            number,
            program: program.to_path_buf(),
            plan: plan.clone(),
            discovery_addresses,
            discovery: discovery.clone(),
            load_balancer: load_balancer.clone(),
            clock,
            recorder: recorder.clone(),
        };
        tokio::spawn(proxy.run(end))
    };
    Ok(addresses.into_iter().enumerate().map(start).collect())
}

fn start_clients(
    plan: &Plan,
    load_balancer: &FrontLoadBalancer,
    clock: RunClock,
    recorder: &Recorder,
) -> Vec<JoinHandle<()>> {
    let start = |number| {
        let client = Client {
            number,
            plan: plan.clone(),
            load_balancer: load_balancer.clone(),
            clock,
            recorder: recorder.clone(),
        };
        tokio::spawn(client.run())
    };
    (0..plan.clients).map(start).collect()
}

/// Opens as many idle connections to a proxy as it may have file descriptors, and keeps them open
/// for the span.
async fn hold_idle_connections(address: SocketAddr, count: usize, span: Span, clock: RunClock) {
    clock.sleep_until(span.from).await;
    let mut connections = Vec::new();
    for _ in 0..count {
        connections.extend(TcpStream::connect(address).await.ok());
    }
    clock.sleep_until(span.to).await;
}

/// Runs a crowd at one proxy during its span, on a thread of its own: the other stand-ins must not
/// hold it up, nor be held up by it.
fn start_crowd(planned: PlannedCrowd, address: SocketAddr, clock: RunClock) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Failure::in_step("starting the thread of a crowd"))?;
    std::thread::spawn(move || {
        runtime.block_on(async {
            clock.sleep_until(planned.span.from).await;
            let duration = Duration::from_secs_f64(planned.span.to - planned.span.from);
            planned.crowd().run(address, duration).await;
        });
    });
    Ok(())
}

/// Returns free addresses, all of them different. Their ports are below the ephemeral range of the
/// operating system. An ephemeral port could be taken by an outgoing connection before the proxy
/// listens on it, or while the proxy is restarted.
fn free_addresses() -> Result<[SocketAddr; PROXIES], Failure> {
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); PROXIES];
    let mut count = 0;
    while count < PROXIES {
        let number = PORTS_TRIED.fetch_add(1, Relaxed) + std::process::id() * PORTS_PER_PROCESS;
        let port = FIRST_PORT + (number % PORT_COUNT) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        match TcpListener::bind(address) {
            Ok(_) => {
                addresses[count] = address;
                count += 1;
            }
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            Err(error) => return Err(Failure::in_step("searching for a free port")(error)),
        }
    }
    Ok(addresses)
}
