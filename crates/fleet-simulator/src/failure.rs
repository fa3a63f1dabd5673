//! Why a command did not succeed, and the exit code that says so.

use brookstack_balancer::settings::InvalidValue;
use brookstack_balancer::ConfigError;
use std::error::Error as StdError;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// The exit code where a check failed or a measurement could not be made.
const EXIT_FAILED: u8 = 1;
/// The exit code for input that can't be used.
const EXIT_UNUSABLE_INPUT: u8 = 2;

/// Why a command did not succeed.
#[derive(Debug, Error)]
pub enum Failure {
    /// The input can't be used.
    #[error("unusable input: {0}")]
    Input(#[from] InputError),
    /// A measurement could not be made.
    #[error(transparent)]
    Measurement(#[from] MeasurementError),
    /// Everything ran, and checks of the figures failed.
    #[error("{count} checks failed")]
    ChecksFailed {
        /// How many.
        count: usize,
    },
}

impl Failure {
    /// The code that the process exits with.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Input(_) => EXIT_UNUSABLE_INPUT,
            Failure::Measurement(_) | Failure::ChecksFailed { .. } => EXIT_FAILED,
        })
    }

    /// Wraps the error of a step that a measurement needs.
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

/// Why the input can't be used.
#[derive(Debug, Error)]
pub enum InputError {
    /// The value of an option is not one of those expected.
    #[error("--{option}: expected {expected}, got {got}")]
    Option {
        /// The option, without its dashes.
        option: &'static str,
        /// The values that it takes.
        expected: String,
        /// The value that was given.
        got: String,
    },
    /// The list of scenarios is empty.
    #[error("--scenario: expected one at least")]
    NoScenario,
    /// No Poisson process has this rate.
    #[error("rate {per_second}: {source}")]
    ArrivalRate {
        /// Requests a second.
        per_second: f64,
        /// The cause.
        source: rand_distr::ExpError,
    },
    /// The balancer can't read the settings that were made from the options.
    #[error(transparent)]
    Settings(#[from] InvalidValue),
    /// The balancer does not accept the configuration that was made from the options.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The names of two backends have the same id.
    #[error("{backends} backends: two names have one number")]
    BackendIdCollision {
        /// How many backends there are.
        backends: usize,
    },
    /// The proxy's program could not be started.
    #[error("proxy {}: {source}", program.display())]
    StartProxy {
        /// The program.
        program: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file for the figures could not be written.
    #[error("--json {}: {source}", path.display())]
    WriteFigures {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

/// Why a measurement could not be made.
#[derive(Debug, Error)]
pub enum MeasurementError {
    /// One of its steps failed.
    #[error("{step}: {source}")]
    Step {
        /// The step that failed.
        step: &'static str,
        /// The cause.
        source: Box<dyn StdError + Send + Sync>,
    },
    /// A simulated proxy could not be restarted.
    #[error(transparent)]
    RestartProxy(ConfigError),
    /// The proxy's process exited in the middle of a measurement.
    #[error("the proxy ended by itself")]
    ProxyExited,
    /// The proxy's process exited at each start.
    #[error("the proxy ended at each of {attempts} starts")]
    ProxyExitedAtStart {
        /// How often it was started.
        attempts: usize,
    },
    /// The proxy did not become ready.
    #[error("not ready within {within:?}")]
    NotReady {
        /// The time that it had.
        within: Duration,
    },
    /// The command received SIGINT.
    #[error("interrupted")]
    Interrupted,
    /// The command received SIGTERM.
    #[error("terminated")]
    Terminated,
}
