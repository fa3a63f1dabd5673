//! Hosts instances of the balancer for a simulator: JSON lines on standard input and output.
//!
//! The program only translates. Every decision is made by a [`brookstack_balancer::Balancer`], one
//! per simulated proxy.
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
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// Starts every line that this program writes to standard error.
const PROGRAM_NAME: &str = env!("CARGO_PKG_NAME");

fn main() -> ExitCode {
    let input = std::io::stdin().lock();
    let output = std::io::stdout().lock();
    match run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM_NAME}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches of messages until the input ends; a reply is written when its batch is complete.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut reply = Vec::new();
    let mut text = String::new();
    let mut line = 0;
    loop {
        text.clear();
        line += 1;
        let length = input
            .read_line(&mut text)
            .map_err(|source| AdapterError::Read { line, source })?;
        if length == 0 {
            return Ok(());
        }
        let batch = host
            .handle_line(text.trim_end(), &mut reply)
            .map_err(|source| AdapterError::Message { line, source })?;
        if batch == BatchState::Complete {
            output
                .write_all(&reply)
                .and_then(|()| output.flush())
                .map_err(|source| AdapterError::Write { line, source })?;
            reply.clear();
        }
    }
}
