//! The fleet model in its hard cases, at sizes that take moments.

use jaspermoor_lab::fleet::days::Day;
use jaspermoor_lab::fleet::experiment::{figure, Experiment, Row};
use jaspermoor_lab::fleet::stats::FIGURES;
use std::path::{Path, PathBuf};

/// A file of its own beside the program's days, so that their site is found.
fn file(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("fleet-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::copy(Day::folder().join("site.toml"), folder.join("site.toml")).unwrap();
    let path = folder.join(format!("{name}.toml"));
    std::fs::write(&path, text).unwrap();
    path
}

fn experiment(name: &str, variants: &str) -> Experiment {
    let text = format!(
        "name = \"{name}\"\ndays = [\"herd\", \"roll\"]\nseeds = 2\n[[size]]\nrelays = 8\nbackends = 9\n{variants}"
    );
    Experiment::load(&file(name, &text)).unwrap()
}

fn rows(experiment: &Experiment, jobs: usize) -> Vec<Row> {
    let mut rows = Vec::new();
    experiment.run(&experiment.cells(), jobs, |row| {
        rows.push(Row {
            seconds: 0.0,
            ..row
        });
        true
    });
    rows.sort_by(|a, b| a.cell.cmp(&b.cell));
    rows
}

const TWO: &str =
    "[[variant]]\nname = \"now\"\n[[variant]]\nname = \"still\"\nset = { move_share = 0.0 }\n";
const TURNED: &str =
    "[[variant]]\nname = \"still\"\nset = { move_share = 0.0 }\n[[variant]]\nname = \"now\"\n";

#[test]
fn a_run_is_the_same_for_any_number_of_jobs_and_order_of_variants() {
    let one = rows(&experiment("jobs", TWO), 1);
    assert_eq!(one.len(), 8);
    for (jobs, variants) in [(2, TWO), (8, TWO), (3, TURNED)] {
        assert_eq!(
            rows(&experiment("jobs", variants), jobs),
            one,
            "{jobs} jobs"
        );
    }
    // The seeds and the variants do differ, or equal rows would mean nothing.
    let digests: std::collections::BTreeSet<u64> = one.iter().map(|row| row.digest).collect();
    assert!(digests.len() > 4, "{digests:?}");
}

/// A fleet whose backends all go at once, one without any, and one of a single relay end their day with whole books.
#[test]
fn a_day_without_backends_and_one_that_dies_to_one_relay_have_whole_books() {
    let day = "about = \"all die\"\nsite = \"site.toml\"\nlength-s = 12.0\n[[trouble]]\n\
               crash = { at-s = 4.0, length-s = 4.0, share = 1.0 }\n[[trouble]]\n\
               kill-relays = { at-s = 2.0, share = 0.9, back-s = 30.0 }\n";
    let path = file("dies", day);
    for (relays, backends) in [(5, 0), (1, 4), (10, 8)] {
        let text = format!(
            "name = \"x\"\ndays = [\"{}\"]\nseeds = 1\n[[size]]\nrelays = {relays}\nbackends = {backends}\n",
            path.display()
        );
        let experiment = Experiment::load(&file("sizes", &text)).unwrap();
        let rows = rows(&experiment, 1);
        assert_eq!(rows[0].size, (relays, backends));
        assert_eq!(rows[0].figures.len(), FIGURES.len());
        let whole = rows[0].figures[figure("whole").unwrap()];
        assert!(
            rows[0].figures.iter().all(|x| x.is_finite()) && (0.0..=1.0).contains(&whole),
            "{whole}"
        );
        // Nothing can have been served where there was nobody.
        assert!(backends > 0 || whole == 1.0 || whole == 0.0, "{whole}");
    }
}

/// Every key of a day and of an experiment is refused by its name where it is wrong.
#[test]
fn bad_files_are_refused_with_the_line_and_the_key() {
    let sound = "about = \"x\"\nsite = \"site.toml\"\nlength-s = 9.0\n";
    for (text, parts) in [
        ("about = \"x\"\nsite = \"site.toml\"\n", vec!["length-s"]),
        (
            "about = \"x\"\nsite = \"site.toml\"\nlength-s = [9.0, 3.0]\n",
            vec!["line 3", "no range"],
        ),
        (
            "about = \"x\"\nsite = \"site.toml\"\nlength-s = \"9\"\n",
            vec!["line 3", "a number, or a range"],
        ),
        (
            "about = \"x\"\nsite = \"none.toml\"\nlength-s = 9.0\n",
            vec!["none.toml"],
        ),
        (&format!("{sound}lenght = 3\n"), vec!["line 4", "lenght"]),
        (
            &format!("{sound}[[trouble]]\nfire = {{ at-s = 1.0 }}\n"),
            vec!["line 5", "fire"],
        ),
        (
            &format!("{sound}[[trouble]]\ncut-zone = {{ at-s = 1.0 }}\n"),
            vec!["length-s"],
        ),
        (
            &format!("{sound}[[trouble]]\ncut-zone = {{ at-s = 1.0, length-s = 1.0, x = 1 }}\n"),
            vec!["line 5", "x"],
        ),
    ] {
        let said = Day::load(&file("bad", text).to_string_lossy())
            .unwrap_err()
            .to_string();
        parts
            .iter()
            .for_each(|part| assert!(said.contains(part), "{text}\n{said}"));
    }
    assert!(Day::load("monday")
        .unwrap_err()
        .to_string()
        .contains("calm"));
    let head = "name = \"x\"\ndays = [\"calm\"]\nseeds = 1\n";
    for (text, part) in [
        (
            format!("{head}[[variant]]\nname = \"a\"\nset = {{ soften = 1.0 }}\n"),
            "soften",
        ),
        (
            format!("{head}[[variant]]\nname = \"a\"\nset = {{ look_at = -1.0 }}\n"),
            "look_at",
        ),
        (
            format!("{head}[[variant]]\nname = \"a\"\n[[variant]]\nname = \"a\"\n"),
            "two of this name",
        ),
        (
            format!("{head}[[variant]]\nname = \"a\"\npolicy = \"best\"\n"),
            "best",
        ),
        (format!("{head}sizes = 3\n"), "sizes"),
        ("name = \"x\"\ndays = []\nseeds = 1\n".to_string(), "days"),
    ] {
        let said = Experiment::load(&file("exp", &text))
            .unwrap_err()
            .to_string();
        assert!(said.contains(part), "{text}\n{said}");
    }
}

/// Chance is what a day is held against: the relay's decisions must be better on a calm one.
#[test]
fn the_decisions_beat_chance_on_a_calm_day() {
    let text =
        "name = \"x\"\ndays = [\"calm\"]\nseeds = [3]\n[[size]]\nrelays = 30\nbackends = 12\n\
                [[variant]]\nname = \"now\"\n[[variant]]\nname = \"chance\"\npolicy = \"chance\"\n";
    let rows = rows(&Experiment::load(&file("chance", text)).unwrap(), 2);
    let g = |name: &str| {
        rows.iter()
            .find(|r| r.cell.variant == name)
            .unwrap()
            .figures[figure("G").unwrap()]
    };
    assert!(g("now") > g("chance"), "{} {}", g("now"), g("chance"));
    assert!(Path::new(&Day::folder()).join("site.toml").exists());
}
