//! `cells`: shows the cells that an operator file makes of the list that the configuration knows.

use super::{env, Failure};
use argh::FromArgs;
use jaspermoor::cells::{group_key, Cells};
use jaspermoor::config::operator::OperatorFile;
use jaspermoor::config::Config;
use jaspermoor::decisions::api::ListedEndpoint;
use std::path::{Path, PathBuf};

/// Shows cells, says why a site is where it is, and what another file would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "cells")]
pub struct CellsOf {
    /// the operator file
    #[argh(option)]
    operator: PathBuf,
    /// the configuration whose list is used; without it, the one that BALANCER_CONFIG names
    #[argh(option)]
    config: Option<String>,
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Show(Show),
    Explain(Explain),
    Plan(Plan),
}

/// Lists the cells, their servers and what is wrong with them.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {}

/// Says why a site is where it is.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// the group key in hexadecimal, or the words of an XMPP group
    #[argh(positional)]
    site: String,
}

/// Says what another operator file would move, before it is used.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct Plan {
    /// the other file
    #[argh(positional)]
    file: PathBuf,
}

fn cells(path: &Path) -> Result<Cells, Failure> {
    Ok(Cells::from_operator_file(&OperatorFile::load(path)?)?)
}

/// Runs it.
pub fn run(asked: CellsOf) -> Result<(), Failure> {
    let config = Config::load(&|key| match (key, &asked.config) {
        ("BALANCER_CONFIG", Some(path)) => Some(path.clone()),
        _ => env(key),
    })?;
    let members: Vec<(String, ListedEndpoint)> = config
        .known
        .iter()
        .map(|(endpoint, member)| (endpoint.name.clone(), member.clone()))
        .collect();
    let map = cells(&asked.operator)?.map;
    let lines = match asked.what {
        What::Show(_) => map.describe(&members),
        What::Explain(explain) => map.explain(group_key(&explain.site), &members),
        What::Plan(plan) => map.describe_changes(&cells(&plan.file)?.map, &members),
    };
    lines.iter().for_each(|line| println!("{line}"));
    Ok(())
}
