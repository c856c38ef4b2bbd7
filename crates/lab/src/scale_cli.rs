//! `jaspermoor-lab scale`: runs of a whole fleet, and what follows from their figures, from the command line.

use argh::FromArgs;
use jaspermoor_lab::scale::error::ScaleError;
use jaspermoor_lab::scale::fit::page::Page;
use jaspermoor_lab::scale::fit::{read_all, tables};
use std::error::Error;
use std::path::PathBuf;

type Failure = Box<dyn Error>;

/// Runs a fleet at the size of an installation, and fits lines through the figures of such runs.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
pub struct Scale {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Fit(Fit),
}

/// Fits lines through results, and writes the tables of the page on capacity.
#[derive(FromArgs)]
#[argh(subcommand, name = "fit")]
struct Fit {
    /// files with results, as lines of JSON
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// where the tables go (default: the standard output)
    #[argh(option)]
    markdown: Option<PathBuf>,
    /// a page whose part between the markers is replaced by the tables
    #[argh(option)]
    page: Option<PathBuf>,
    /// replace nothing: exit code 1 where the page's part differs from the tables
    #[argh(switch)]
    check: bool,
}

/// Runs it; false where a check has found something.
pub fn run(scale: Scale) -> Result<bool, Failure> {
    match scale.command {
        Command::Fit(fit) => run_fit(&fit),
    }
}

fn run_fit(fit: &Fit) -> Result<bool, Failure> {
    let refuse = |option, what: &str| Err(ScaleError::Option { option, what: what.into() }.into());
    if fit.files.is_empty() {
        return refuse("FILE", "at least one file with results is wanted");
    }
    if fit.check && fit.page.is_none() {
        return refuse("--check", "--page must say what is compared");
    }
    let text = tables::markdown(&read_all(&fit.files)?);
    if let Some(file) = &fit.markdown {
        std::fs::write(file, &text).map_err(|e| ScaleError::File {
            file: file.clone(),
            line: None,
            what: format!("cannot be written: {e}"),
        })?;
    }
    match &fit.page {
        Some(file) => {
            let page = Page::read(file)?;
            if fit.check {
                return Ok(check(&page, file, &text));
            }
            page.replace(&text)?;
        }
        None if fit.markdown.is_none() => print!("{text}"),
        None => {}
    }
    Ok(true)
}

fn check(page: &Page, file: &std::path::Path, text: &str) -> bool {
    let same = page.is(text);
    if !same {
        eprintln!(
            "jaspermoor-lab: {}: its part between the markers is not what the results say",
            file.display()
        );
    }
    same
}
