//! Runs instances of the balancer for a simulator, which sends JSON lines to standard input and
//! reads JSON lines from standard output.
//!
//! The program only translates between lines and the balancer's events and actions. Each simulated
//! proxy is an instance with its own [`brookstack_balancer::Balancer`], which makes all decisions.
//!
//! The simulator sends its messages in batches. `TICK` starts a batch and sets its clock, `END`
//! ends it. The program then writes the reply to the batch, whose last line is `YIELD`.
//!
//! Modules:
//!
//! - [`message`] decodes a line, except for the values of an event.
//! - [`host`] owns the instances and the clock, and handles each message.
//! - [`event`] decodes the values of an event into the balancer's event.
//! - [`endpoint_lists`] owns the endpoint lists, which all instances share.
//! - [`encode`] writes the balancer's actions as reply lines.
#![forbid(unsafe_code)]

mod encode;
mod endpoint_lists;
mod error;
mod event;
mod host;
mod message;

use crate::error::AdapterError;
use crate::host::{BatchState, Host};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Prefix of every line on standard error.
const PROGRAM_NAME: &str = env!("CARGO_PKG_NAME");

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = io::stdout().lock();
    match run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM_NAME}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Handles each line of the input until its end, and writes the reply to each batch as soon as the
/// batch is complete.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut reply = Vec::new();
    let mut line = String::new();
    // Line numbers start at 1.
    let mut line_number = 0;
    loop {
        line_number += 1;
        line.clear();
        let length = input
            .read_line(&mut line)
            .map_err(|source| AdapterError::Read {
                line_number,
                source,
            })?;
        let is_end_of_input = length == 0;
        if is_end_of_input {
            return Ok(());
        }
        let batch = host
            .handle_line(line.trim_end(), &mut reply)
            .map_err(|source| AdapterError::Message {
                line_number,
                source,
            })?;
        if batch == BatchState::Complete {
            write_reply(&mut output, &reply).map_err(|source| AdapterError::Write {
                line_number,
                source,
            })?;
            reply.clear();
        }
    }
}

fn write_reply(output: &mut impl Write, reply: &[u8]) -> io::Result<()> {
    output.write_all(reply)?;
    output.flush()
}
