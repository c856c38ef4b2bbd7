//! The plays of the review's cases: `standins PLAY FOLDER`. Exit code: 1 if the rule was broken, 0
//! if it held, 2 if the play could not run. With `TROUBLE=0` a play leaves out its disruption.

mod endless_lines;
mod kit;
mod sasl_drain;
mod upgrade_drain;
mod xmpp;

use std::path::PathBuf;

fn main() {
    let mut args = std::env::args().skip(1);
    let (play, folder) = (
        args.next().unwrap_or_default(),
        args.next().unwrap_or_default(),
    );
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let result = match play.as_str() {
        "endless-lines" => endless_lines::play(&folder, trouble),
        "sasl-drain" => sasl_drain::play(&folder, trouble),
        "upgrade-drain" => upgrade_drain::play(&folder, trouble),
        other => Err(std::io::Error::other(format!(
            "no play is called '{other}'"
        ))),
    };
    match &result {
        Ok(true) => kit::print_line("the rule held"),
        Ok(false) => kit::print_line("the rule was broken"),
        Err(e) => kit::print_line(&format!("the play could not run: {e}")),
    }
    std::process::exit(match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    });
}
