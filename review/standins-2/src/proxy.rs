//! Starts a proxy with the command of the deploy file, and ends it.

use crate::client::Connection;
use crate::discovery::{whole_list, Discovery, Entry};
use crate::record::COULD_NOT_RUN;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long a proxy may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest run of a case. After it the proxies are ended and the case could not run.
const LONGEST_RUN: Duration = Duration::from_secs(110);
/// The process identifier of the proxy, which a watchdog may have to end; 0 if there is none.
static RUNNING: AtomicU32 = AtomicU32::new(0);

/// The classes of a small deployment like the one of `colombo-freight`.
pub const CLASSES: &str = r#"
 {"name":"manifest-read","effect":"free","key_scope":"all","window_us":5000000,"aim_us":600000,"deadline_us":2500000,"gain":2.0,"late_worth":0.0,"stream":false},
 {"name":"slot-hold","effect":"guarded","key_scope":"cell","window_us":1200000,"aim_us":500000,"deadline_us":2000000,"gain":3.0,"late_worth":0.0,"stream":false},
 {"name":"load-confirm","effect":"single_shot","key_scope":"all","window_us":5000000,"aim_us":750000,"deadline_us":2500000,"gain":5.0,"late_worth":0.0,"stream":false}"#;

/// A running proxy. It is killed when it is dropped.
pub struct Proxy {
    /// Where clients connect.
    pub address: SocketAddr,
    process: Child,
    folder: PathBuf,
}

impl Proxy {
    /// Starts a proxy and waits until it is ready.
    pub fn start(discovery: &Discovery, known: &[Entry]) -> Proxy {
        Proxy::start_with(discovery, known, |config| config)
    }

    /// Starts a proxy with a changed configuration and waits until it is ready.
    pub fn start_with(
        discovery: &Discovery,
        known: &[Entry],
        change: impl Fn(String) -> String,
    ) -> Proxy {
        let address = free_address();
        let folder = std::env::temp_dir().join(format!(
            "review-2-{}-{}",
            std::process::id(),
            address.port()
        ));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let config = folder.join("config.json");
        let json = change(config_json(address, discovery.address, known));
        fs::write(&config, json).expect("a config file");
        let log = fs::File::create(folder.join("log.txt")).expect("a log file");
        let process = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("BALANCER_NAME", "n0")
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_DISCOVERY", discovery.address.to_string())
            .env("BALANCER_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the proxy starts");
        RUNNING.store(process.id(), Ordering::SeqCst);
        thread::spawn(end_after_longest_run);
        let proxy = Proxy {
            address,
            process,
            folder,
        };
        proxy.wait_until_ready();
        proxy
    }

    fn wait_until_ready(&self) {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > READY_TIMEOUT {
                eprintln!("the proxy is not ready");
                end_process(self.process.id());
                exit(COULD_NOT_RUN);
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.address) else {
            return false;
        };
        let sent = connection.send(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n");
        sent.is_ok()
            && matches!(connection.read_response(), Ok(Some(answer)) if answer.second_word() == "200")
    }

    /// Sends a signal, such as `TERM`, to the program that `run` started.
    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {id}")])
            .status();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    /// The identifier of the process.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// What the proxy has written to standard error.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn end_process(id: u32) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -KILL {id}")])
        .status();
}

fn end_after_longest_run() {
    thread::sleep(LONGEST_RUN);
    end_process(RUNNING.load(Ordering::SeqCst));
    eprintln!("the case took too long");
    exit(COULD_NOT_RUN);
}

/// The value of `run` in the deploy file.
fn run_command() -> String {
    let deploy = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|error| {
        eprintln!("deploy/balancer.toml: {error}; start the case from the root of the project");
        exit(COULD_NOT_RUN)
    });
    let line = deploy.lines().find(|line| line.starts_with("run ="));
    let command = line.and_then(|line| line.split('"').nth(1));
    command.expect("a run command").to_string()
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

fn config_json(listen: SocketAddr, discovery: SocketAddr, known: &[Entry]) -> String {
    let known = whole_list(1, known);
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{{"group_size":1,"position":0,"my_zone":"a","zones":["a","b"],"discovery":"subscribe",
"granularity_us":5000,"weight_source":"rough","profiles":[{CLASSES}],"customers":[],"over_share_worth":0.1,
"blend":{{"whole":0.75,"worst_class":0.1}},"costs":{{"cross_zone":0.03}},
"limits":{{"cancel":true,"conn_idle_us":60000000,"dial_timeout_us":250000,"max_attempts":6,"open_cap":20000,"parallel_tries":false}},
"rules":{{"answer_slack_us":20000,"cold_from":0.3,"fall_multiple":2.5,"must_ask_in_us":10000000,"ramp_time_us":6800000,"stop_sending_within_us":500000,"tip_after_us":1000000}}}}}}"#
    )
}
