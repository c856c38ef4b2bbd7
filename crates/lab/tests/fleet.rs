//! Tests of the fleet emulator: reproducibility, degenerate fleets, invalid files and the
//! baseline.

use jaspermoor_lab::fleet::days::Day;
use jaspermoor_lab::fleet::experiment::{metric_index, Experiment, Row};
use jaspermoor_lab::fleet::stats::METRIC_NAMES;
use std::path::{Path, PathBuf};

/// Writes a file into a directory of its own, next to a copy of the built-in `site.toml`.
fn write_file(name: &str, text: &str) -> PathBuf {
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
    Experiment::load(&write_file(name, &text)).unwrap()
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

const TWO_VARIANTS: &str =
    "[[variant]]\nname = \"now\"\n[[variant]]\nname = \"still\"\nset = { move_share = 0.0 }\n";
const REVERSED_VARIANTS: &str =
    "[[variant]]\nname = \"still\"\nset = { move_share = 0.0 }\n[[variant]]\nname = \"now\"\n";

#[test]
fn results_do_not_depend_on_the_number_of_threads_or_the_order_of_variants() {
    let single_threaded = rows(&experiment("jobs", TWO_VARIANTS), 1);
    assert_eq!(single_threaded.len(), 8);
    for (jobs, variants) in [(2, TWO_VARIANTS), (8, TWO_VARIANTS), (3, REVERSED_VARIANTS)] {
        assert_eq!(
            rows(&experiment("jobs", variants), jobs),
            single_threaded,
            "{jobs} jobs"
        );
    }
    // Seeds and variants must give different runs; otherwise equal rows would prove nothing.
    let digests: std::collections::BTreeSet<u64> =
        single_threaded.iter().map(|row| row.digest).collect();
    assert!(digests.len() > 4, "{digests:?}");
}

/// Fleets without backends, with a single relay, or whose backends all crash at once still give
/// complete and finite metrics.
#[test]
fn degenerate_fleets_give_complete_and_finite_metrics() {
    let day = "about = \"all die\"\nsite = \"site.toml\"\nlength-s = 12.0\n[[trouble]]\n\
               crash = { at-s = 4.0, length-s = 4.0, share = 1.0 }\n[[trouble]]\n\
               kill-relays = { at-s = 2.0, share = 0.9, back-s = 30.0 }\n";
    let path = write_file("dies", day);
    for (relays, backends) in [(5, 0), (1, 4), (10, 8)] {
        let text = format!(
            "name = \"x\"\ndays = [\"{}\"]\nseeds = 1\n[[size]]\nrelays = {relays}\nbackends = {backends}\n",
            path.display()
        );
        let experiment = Experiment::load(&write_file("sizes", &text)).unwrap();
        let rows = rows(&experiment, 1);
        assert_eq!(rows[0].size, (relays, backends));
        assert_eq!(rows[0].metrics.len(), METRIC_NAMES.len());
        let whole = rows[0].metrics[metric_index("whole").unwrap()];
        assert!(
            rows[0].metrics.iter().all(|x| x.is_finite()) && (0.0..=1.0).contains(&whole),
            "{whole}"
        );
        // Without backends nothing can have been served.
        assert!(backends > 0 || whole == 1.0 || whole == 0.0, "{whole}");
    }
}

/// The error for an invalid day or experiment names the wrong key, and the line where it is known.
#[test]
fn errors_of_invalid_files_name_the_line_and_the_key() {
    let valid = "about = \"x\"\nsite = \"site.toml\"\nlength-s = 9.0\n";
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
        (&format!("{valid}lenght = 3\n"), vec!["line 4", "lenght"]),
        (
            &format!("{valid}[[trouble]]\nfire = {{ at-s = 1.0 }}\n"),
            vec!["line 5", "fire"],
        ),
        (
            &format!("{valid}[[trouble]]\ncut-zone = {{ at-s = 1.0 }}\n"),
            vec!["length-s"],
        ),
        (
            &format!("{valid}[[trouble]]\ncut-zone = {{ at-s = 1.0, length-s = 1.0, x = 1 }}\n"),
            vec!["line 5", "x"],
        ),
    ] {
        let error = Day::load(&write_file("bad", text).to_string_lossy())
            .unwrap_err()
            .to_string();
        parts
            .iter()
            .for_each(|part| assert!(error.contains(part), "{text}\n{error}"));
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
        let error = Experiment::load(&write_file("exp", &text))
            .unwrap_err()
            .to_string();
        assert!(error.contains(part), "{text}\n{error}");
    }
}

/// Random placement is the baseline: on a calm day the relay's decisions must score better.
#[test]
fn decisions_score_better_than_random_placement_on_a_calm_day() {
    let text =
        "name = \"x\"\ndays = [\"calm\"]\nseeds = [3]\n[[size]]\nrelays = 30\nbackends = 12\n\
                [[variant]]\nname = \"now\"\n[[variant]]\nname = \"chance\"\npolicy = \"chance\"\n";
    let rows = rows(&Experiment::load(&write_file("chance", text)).unwrap(), 2);
    let score = |name: &str| {
        rows.iter()
            .find(|r| r.cell.variant == name)
            .unwrap()
            .metrics[metric_index("G").unwrap()]
    };
    assert!(
        score("now") > score("chance"),
        "{} {}",
        score("now"),
        score("chance")
    );
    assert!(Path::new(&Day::folder()).join("site.toml").exists());
}
