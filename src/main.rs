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
    Cells(cells::CellsOf),
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
        Command::Cells(asked) => cells::run(asked),
        Command::Check(check) => check::run(check),
        Command::Fleet(asked) => fleet::run(asked),
        Command::Policy(asked) => policy::run(asked),
        Command::Version(_) => {
            println!("jaspermoor {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            // Also where no log has been started.
            eprintln!("jaspermoor: {e}");
            ExitCode::FAILURE
        }
    }
}
