//! The proxy's executable. It writes the log to standard error and runs the proxy. It exits with 0
//! after a graceful shutdown. If the proxy cannot start, it writes one line to standard error and
//! exits with 1.

use std::process::ExitCode;
use tracing_subscriber::filter::{EnvFilter, ParseError};

/// The environment variable that holds the directives of the log filter, separated by commas: a
/// level (error, warn, info, debug or trace) or a level for a target, such as `attempt=trace`.
const LOG_FILTER_VARIABLE: &str = "BROOKSTACK_LOG";
/// The directive that applies if the variable is not set or its value is invalid.
const DEFAULT_LOG_DIRECTIVE: &str = "info";

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
    let directives = std::env::var(LOG_FILTER_VARIABLE);
    let directives = directives.as_deref().unwrap_or(DEFAULT_LOG_DIRECTIVE);
    let parsed = EnvFilter::try_new(directives);
    let error = parsed.as_ref().err().map(ParseError::to_string);
    let filter = parsed.unwrap_or_else(|_| EnvFilter::new(DEFAULT_LOG_DIRECTIVE));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    if let Some(error) = error {
        tracing::warn!(
            "{LOG_FILTER_VARIABLE} is invalid, so the filter is {DEFAULT_LOG_DIRECTIVE}: {error}"
        );
    }
}
