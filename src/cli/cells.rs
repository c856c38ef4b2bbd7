//! `cells`: shows how an operator file divides the configuration's known endpoints into cells.

use super::{env, Failure};
use argh::FromArgs;
use jaspermoor::cells::{group_key, Cells};
use jaspermoor::config::operator::OperatorFile;
use jaspermoor::config::Config;
use jaspermoor::decisions::api::ListedEndpoint;
use std::path::{Path, PathBuf};

/// Shows cells, explains why a site is in its cell, and lists what another file would move.
#[derive(FromArgs)]
#[argh(subcommand, name = "cells")]
pub struct CellsCommand {
    /// the operator file
    #[argh(option)]
    operator: PathBuf,
    /// the configuration with the known endpoints (default: the one that BALANCER_CONFIG names)
    #[argh(option)]
    config: Option<String>,
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Show(Show),
    Explain(Explain),
    Plan(Plan),
}

/// Lists the cells, their servers and their problems.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {}

/// Explains why a site is in its cell.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// the group key in hexadecimal, or the text of an XMPP group
    #[argh(positional)]
    site: String,
}

/// Lists what another operator file would move, before it is applied.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct Plan {
    /// the other operator file
    #[argh(positional)]
    file: PathBuf,
}

fn load_cells(path: &Path) -> Result<Cells, Failure> {
    Ok(Cells::from_operator_file(&OperatorFile::load(path)?)?)
}

/// Runs the sub-command.
pub fn run(command: CellsCommand) -> Result<(), Failure> {
    let config = Config::load(&|key| match (key, &command.config) {
        ("BALANCER_CONFIG", Some(path)) => Some(path.clone()),
        _ => env(key),
    })?;
    let endpoints: Vec<(String, ListedEndpoint)> = config
        .known
        .iter()
        .map(|(address, endpoint)| (address.name.clone(), endpoint.clone()))
        .collect();
    let map = load_cells(&command.operator)?.map;
    let lines = match command.subcommand {
        Subcommand::Show(_) => map.describe(&endpoints),
        Subcommand::Explain(explain) => map.explain(group_key(&explain.site), &endpoints),
        Subcommand::Plan(plan) => map.describe_changes(&load_cells(&plan.file)?.map, &endpoints),
    };
    lines.iter().for_each(|line| println!("{line}"));
    Ok(())
}
