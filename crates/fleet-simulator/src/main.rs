//! Entry point of the fleet simulator: runs the command, prints its tables, and writes JSON.

use brookstack_fleet_simulator::args::{
    AllArgs, Cli, Command, CrowdArgs, FleetArgs, RealArgs, SoakArgs,
};
use brookstack_fleet_simulator::crowd::{self, CrowdSetup};
use brookstack_fleet_simulator::failure::Failure;
use brookstack_fleet_simulator::real::cell::Cell;
use brookstack_fleet_simulator::simulated::results::FleetResults;
use brookstack_fleet_simulator::simulated::{self, Cost, FleetRun};
use brookstack_fleet_simulator::soak::{self, SoakSetup};
use brookstack_fleet_simulator::{real, report};
use clap::Parser;
use serde::Serialize;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    // `parse` exits with code 2 if the command line is invalid.
    let cli = Cli::parse();
    let result = match &cli.command {
        Command::Real(args) => run_real(args),
        Command::Crowd(args) => run_crowds(args),
        Command::Fleet(args) => run_fleet(args),
        Command::All(args) => run_all(args),
        Command::Soak(args) => run_soak(args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("brookstack-fleet-simulator: {failure}");
            failure.exit_code()
        }
    }
}

fn run_real(args: &RealArgs) -> Result<(), Failure> {
    let setups = args.setups()?;
    let cells = real::run_all(setups, args.jobs)?;
    print!("{}", report::real_table(&cells));
    print_disturbed_cells(&cells);
    write_results(args.json.as_deref(), &cells)?;
    report_failed_checks(&report::failed_cells(&cells))
}

fn run_crowds(args: &CrowdArgs) -> Result<(), Failure> {
    let setup = CrowdSetup {
        proxy: args.proxy.clone(),
        crowds: crowd::named(&args.crowds)?,
        memory_mb: args.memory_mb.clone(),
        descriptors: args.descriptors.clone(),
        duration: Duration::from_secs_f64(args.secs.max(1.0)),
        kills: args.kill,
    };
    println!("{}", crowd::TABLE_HEAD);
    let runs = crowd::run_all(&setup, &|run| println!("{run}"))?;
    write_results(args.json.as_deref(), &runs)?;
    let failed = runs.iter().filter(|run| !run.is_within_limit());
    let failed: Vec<String> = failed.map(ToString::to_string).collect();
    report_failed_checks(&failed)
}

fn run_fleet(args: &FleetArgs) -> Result<(), Failure> {
    let runs = run_scenarios(args)?;
    print!("{}", report::fleet_table(&runs));
    let results: Vec<&FleetResults> = runs.iter().map(|run| &run.results).collect();
    write_results(args.json.as_deref(), &results)?;
    report_failed_checks(&report::failed_fleets(&runs))
}

fn run_all(args: &AllArgs) -> Result<(), Failure> {
    let real_args = args.real();
    let setups = real_args.setups()?;
    let mut runs = Vec::new();
    for fleet in args.fleets() {
        runs.extend(run_scenarios(&fleet)?);
    }
    let cells = real::run_all(setups, real_args.jobs)?;
    println!(
        "The real proxy, with stand-ins for discovery, backends and clients:\n\n{}",
        report::real_table(&cells)
    );
    print_disturbed_cells(&cells);
    println!(
        "Simulated proxies on a simulated clock:\n\n{}",
        report::fleet_table(&runs)
    );
    let fleets: Vec<&FleetResults> = runs.iter().map(|run| &run.results).collect();
    let costs: Vec<&Cost> = runs.iter().map(|run| &run.cost).collect();
    let results = serde_json::json!({"real": cells, "fleets": fleets, "costs": costs});
    write_results(args.json.as_deref(), &results)?;
    let failed_cells = report::failed_cells(&cells);
    let failed_fleets = report::failed_fleets(&runs);
    report_failed_checks(&[failed_cells, failed_fleets].concat())
}

fn run_soak(args: &SoakArgs) -> Result<(), Failure> {
    let setup = SoakSetup {
        proxy: args.proxy.clone(),
        first_seed: args.first_seed,
        seeds: args.seeds,
        except: args.except.clone(),
        jobs: args.jobs,
    };
    let runs = soak::run(&setup, &|run| print!("{run}"))?;
    write_results(args.json.as_deref(), &runs)?;
    let failed = runs.iter().filter(|run| !run.violations.is_empty());
    let failed: Vec<String> = failed
        .map(|run| format!("seed {}: {}", run.plan.seed, run.command()))
        .collect();
    println!("{} runs, {} failed", runs.len(), failed.len());
    report_failed_checks(&failed)
}

/// Runs the fleet once per scenario.
fn run_scenarios(args: &FleetArgs) -> Result<Vec<FleetRun>, Failure> {
    let mut runs = Vec::new();
    for setup in args.setups()? {
        runs.push(simulated::run(&setup, args.threads)?);
        tracing::info!(
            proxies = setup.proxies,
            backends = setup.backends,
            "fleet run finished: {:?}",
            setup.scenario
        );
    }
    Ok(runs)
}

/// Prints the cells whose times were distorted because other processes used the CPU. They stay in
/// the table.
fn print_disturbed_cells(cells: &[Cell]) {
    for line in report::disturbed_cells(cells) {
        println!("times and stalls distorted by other load on this machine, measure again: {line}");
    }
}

fn write_results(path: Option<&Path>, results: &impl Serialize) -> Result<(), Failure> {
    match path {
        Some(path) => report::write_json(path, results),
        None => Ok(()),
    }
}

/// Prints the failed checks, or for `soak` the failed runs. Returns an error if there are any, so
/// that the command fails.
fn report_failed_checks(failed: &[String]) -> Result<(), Failure> {
    for line in failed {
        println!("check failed: {line}");
    }
    match failed.len() {
        0 => Ok(()),
        count => Err(Failure::ChecksFailed { count }),
    }
}
