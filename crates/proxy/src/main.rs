//! The proxy's executable. It writes the log to standard error and runs the proxy. It exits with 0
//! after a graceful shutdown. If the proxy cannot start, it writes one line to standard error and
//! exits with 1.

use std::process::ExitCode;

/// The environment variable that sets the log level: error, warn, info, debug or trace. If it is
/// not set or holds another value, the level is info.
const LOG_LEVEL_VARIABLE: &str = "BROOKSTACK_LOG";

fn main() -> ExitCode {
    start_logging();
    match brookstack_proxy::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("brookstack-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start_logging() {
    let requested = std::env::var(LOG_LEVEL_VARIABLE)
        .ok()
        .and_then(|level| level.parse().ok());
    let level = requested.unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
}
