//! The command line of the scale tests.
#![forbid(unsafe_code)]

use brookstack_scale::args::{Cli, Command, RealArgs};
use brookstack_scale::failure::Failure;
use brookstack_scale::{real, report};
use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    let cli = Cli::parse(); // ends with 2 where the line can't be read
    let ended = match &cli.command {
        Command::Real(args) => run_real(args),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("brookstack-scale: {failure}");
            failure.code()
        }
    }
}

fn run_real(args: &RealArgs) -> Result<(), Failure> {
    let setups = args.setups()?;
    let cells = real::run_all(setups, args.jobs)?;
    print!("{}", report::real_table(&cells));
    args.json.iter().try_for_each(|file| report::write_json(file, &cells))
}
