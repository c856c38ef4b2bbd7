//! The relay's command line.

mod cli;

use argh::FromArgs;
use cli::{cells, check, fleet, policy, serve};
use std::process::ExitCode;

/// Relay for long-lived connections.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(serve::Serve),
    Check(check::Check),
    Cells(cells::CellsCommand),
    Fleet(fleet::FleetCommand),
    Policy(policy::PolicyCommand),
    Version(Version),
}

/// Prints the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let result = match argh::from_env::<Arguments>().command {
        Command::Serve(serve) => serve::run(serve),
        Command::Cells(command) => cells::run(command),
        Command::Check(check) => check::run(check),
        Command::Fleet(command) => fleet::run(command),
        Command::Policy(command) => policy::run(command),
        Command::Version(_) => {
            println!("jaspermoor {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            // Written to standard error directly: most sub-commands start no log.
            eprintln!("jaspermoor: {e}");
            ExitCode::FAILURE
        }
    }
}
