//! The errors of the commands and their exit codes.

use brookstack_balancer::settings::InvalidValue;
use brookstack_balancer::ConfigError;
use std::error::Error as StdError;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// The exit code if a check failed or a measurement could not be made.
const EXIT_FAILED: u8 = 1;
/// The exit code for invalid input.
const EXIT_INVALID_INPUT: u8 = 2;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// The input is invalid.
    #[error("invalid input: {0}")]
    Input(#[from] InputError),
    /// A measurement could not be made.
    #[error(transparent)]
    Measurement(#[from] MeasurementError),
    /// The command ran to its end, but some of the checks on its results failed.
    #[error("{count} checks failed")]
    ChecksFailed {
        /// The number of failed checks. For `soak`, the number of runs that broke a rule.
        count: usize,
    },
}

impl Failure {
    /// The exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Input(_) => EXIT_INVALID_INPUT,
            Failure::Measurement(_) | Failure::ChecksFailed { .. } => EXIT_FAILED,
        })
    }

    /// Returns a function for `map_err` that adds to an error the step in which it occurred.
    pub fn in_step<E>(step: &'static str) -> impl FnOnce(E) -> Failure
    where
        E: Into<Box<dyn StdError + Send + Sync>>,
    {
        move |source| {
            let source = source.into();
            Failure::Measurement(MeasurementError::Step { step, source })
        }
    }
}

/// Why the input is invalid.
#[derive(Debug, Error)]
pub enum InputError {
    /// The value of an option is invalid.
    #[error("--{option}: expected {expected}, got {got}")]
    Option {
        /// The name of the option, without the leading dashes.
        option: &'static str,
        /// The values that are allowed.
        expected: String,
        /// The value that was given.
        got: String,
    },
    /// The list of scenarios is empty.
    #[error("--scenario: expected at least one scenario")]
    NoScenario,
    /// There is no Poisson process with this rate.
    #[error("cannot generate requests at a rate of {per_second} per second: {source}")]
    ArrivalRate {
        /// The rate, in requests per second.
        per_second: f64,
        /// The cause.
        source: rand_distr::ExpError,
    },
    /// The settings document that was built from the options can't be read.
    #[error(transparent)]
    Settings(#[from] InvalidValue),
    /// The balancer rejected the configuration that was built from the options.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The names of two backends hash to the same id.
    #[error("with {backends} backends, the names of two backends have the same id")]
    BackendIdCollision {
        /// The number of backends.
        backends: usize,
    },
    /// The proxy program could not be started.
    #[error("cannot start the proxy program {}: {source}", program.display())]
    StartProxy {
        /// The path of the program.
        program: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The JSON file with the results could not be written.
    #[error("--json: cannot write {}: {source}", path.display())]
    WriteResults {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

impl InputError {
    /// The error for a `--proxy` that is not the path of a file.
    pub fn proxy_is_not_a_file(program: &Path) -> InputError {
        InputError::Option {
            option: "proxy",
            expected: "the path of the built proxy program".into(),
            got: format!(
                "{}, which is not a file; build the proxy first",
                program.display()
            ),
        }
    }
}

/// Why a measurement could not be made.
#[derive(Debug, Error)]
pub enum MeasurementError {
    /// One of its steps failed.
    #[error("measurement failed ({step}): {source}")]
    Step {
        /// The step that failed.
        step: &'static str,
        /// The cause.
        source: Box<dyn StdError + Send + Sync>,
    },
    /// The balancer of a restarting simulated proxy rejected its configuration.
    #[error("cannot restart a simulated proxy: {0}")]
    RestartProxy(#[source] ConfigError),
    /// The proxy process exited during a measurement.
    #[error("the proxy process exited during the measurement")]
    ProxyExited,
    /// The proxy process exited before it was ready, each time that it was started.
    #[error("the proxy process exited before it was ready, in each of {attempts} starts")]
    ProxyExitedAtStart {
        /// How many times it was started.
        attempts: usize,
    },
    /// The proxy did not report that it was ready in time.
    #[error("the proxy was not ready within {within:?}")]
    NotReady {
        /// The time limit.
        within: Duration,
    },
    /// The command received SIGINT.
    #[error("interrupted by SIGINT")]
    Interrupted,
    /// The command received SIGTERM.
    #[error("terminated by SIGTERM")]
    Terminated,
}
