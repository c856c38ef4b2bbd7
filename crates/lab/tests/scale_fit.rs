//! The fit: on points that were made up, so that each value is known.

use jaspermoor_lab::scale::error::ScaleError;
use jaspermoor_lab::scale::fit::figures::STEADY;
use jaspermoor_lab::scale::fit::line::Line;
use jaspermoor_lab::scale::fit::page::{Page, BEGIN, END};
use jaspermoor_lab::scale::fit::tables::{foretell, markdown};
use jaspermoor_lab::scale::record::{
    append, read, Amount, MemberFigures, Record, ScaleRecord, StandingRecord,
};

/// A run whose mean relay has 200 bytes a second and one more for each two relays, times a factor.
fn run(relays: usize, jobs: usize, factor: f64) -> ScaleRecord {
    let mut record = ScaleRecord::default();
    (record.plan.relays, record.plan.jobs) = (relays, jobs);
    record.origin.label = "made up".into();
    let bytes = (200.0 + 0.5 * relays as f64) * factor;
    let mut mean = MemberFigures::default();
    mean.per_second.sent.insert(
        "renew".into(),
        Amount {
            messages: 2.0,
            bytes: bytes / 2.0,
        },
    );
    mean.per_second.received.insert(
        "reply".into(),
        Amount {
            messages: 2.0,
            bytes: bytes / 2.0,
        },
    );
    (mean.control_core, mean.memory_bytes) = (0.001, 4e6);
    record.steady.voters.push(MemberFigures {
        control_core: relays as f64 * 1e-4,
        ..mean.clone()
    });
    (record.steady.hollow_mean, record.steady.hollow_busiest) = (mean.clone(), mean);
    record
}

fn traffic_of_mean_relay(runs: &[&ScaleRecord]) -> jaspermoor_lab::scale::fit::tables::Foretold {
    foretell(runs, &STEADY[0]).unwrap()
}

#[test]
fn a_line_has_a_fixed_part_a_slope_and_its_worst_residual() {
    let line = Line::through(&[(50.0, 225.0), (150.0, 275.0), (300.0, 350.0)]).unwrap();
    assert!(
        (line.fixed - 200.0).abs() < 1e-6 && (line.slope - 0.5).abs() < 1e-9,
        "{line:?}"
    );
    assert!(line.worst_residual < 1e-9 && (line.at(550.0) - 475.0).abs() < 1e-6);
    // One point lies 10 above the line of the others: the least of them is missed by two and a half times its value.
    let line = Line::through(&[(0.0, 1.0), (1.0, 12.0), (2.0, 3.0), (1.0, 2.0)]).unwrap();
    assert!((line.worst_residual - 2.5).abs() < 1e-6, "{line:?}");
    assert_eq!(Line::through(&[]), None);
    assert_eq!(
        Line::through(&[(5.0, 1.0), (5.0, 2.0)]),
        None,
        "one driver has no slope"
    );
}

#[test]
fn small_fleets_foretell_the_large_one_and_the_error_is_told() {
    let (small, large) = (
        [run(50, 6, 1.0), run(150, 6, 1.0), run(300, 6, 1.0)],
        run(550, 6, 1.25),
    );
    let runs: Vec<&ScaleRecord> = small.iter().chain([&large]).collect();
    let foretold = traffic_of_mean_relay(&runs);
    assert!((foretold.foretold - 475.0).abs() < 1e-6 && (foretold.measured - 593.75).abs() < 1e-6);
    assert!(
        (foretold.error() + 0.2).abs() < 1e-9,
        "{}",
        foretold.error()
    );
    // A larger one is not a smaller one.
    let runs: Vec<&ScaleRecord> = small[..1].iter().chain([&large]).collect();
    assert_eq!(foretell(&runs, &STEADY[0]), None);
}

#[test]
fn the_tables_have_the_value_at_the_size_to_reckon_for_with_budget_and_ratio() {
    let runs = [50, 150, 300, 550].map(|relays| Record::Scale(Box::new(run(relays, 6, 1.0))));
    let standing = [0, 1_000, 2_000].map(|connections| {
        Record::Standing(StandingRecord {
            connections,
            memory_bytes: 5_000_000 + connections * 2_000,
            descriptors: 10 + 2 * connections,
            ..StandingRecord::default()
        })
    });
    let text = markdown(&[runs.as_slice(), &standing].concat());
    let row = |name: &str| -> Vec<String> {
        let line = text
            .lines()
            .find(|line| line.starts_with(&format!("| {name} |")));
        let line = line.unwrap_or_else(|| panic!("{name} is not in\n{text}"));
        line.trim_matches('|')
            .split('|')
            .map(|cell| cell.trim().to_string())
            .collect()
    };
    let traffic = row("busiest relay, traffic");
    assert_eq!(
        traffic[1..8],
        ["KB/s", "0.200", "0.000500", "0.0%", "0.475", "4.00", "0.12"]
    );
    assert_eq!(traffic[8..], ["0.475", "0.475", "+0.0%", "15.0%"]);
    assert_eq!(row("mean relay, traffic")[1..8], traffic[1..8]);
    assert_eq!(row("busiest voter, processor")[5], "5.50");
    assert_eq!(row("memory, KB")[1..], ["5000", "2.00", "0.0%", "88600"]);
    assert_eq!(row("descriptors")[4], "83610");
}

#[test]
fn results_are_appended_as_lines_and_a_line_that_is_none_is_named() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("runs.jsonl");
    let records = [
        Record::Scale(Box::new(run(8, 1, 1.0))),
        Record::Standing(StandingRecord::default()),
    ];
    records
        .iter()
        .for_each(|record| append(&file, record).unwrap());
    assert_eq!(read(&file).unwrap(), records);
    std::fs::write(&file, "{\"kind\":\"standing\"}\n").unwrap();
    let said = read(&file).unwrap_err().to_string();
    assert!(
        said.contains("runs.jsonl:1: is not a result of a run"),
        "{said}"
    );
    let missing = read(&dir.path().join("none")).unwrap_err();
    assert!(
        missing.is_input() && missing.to_string().contains("none: cannot be read"),
        "{missing}"
    );
}

#[test]
fn the_part_of_a_page_between_its_markers_is_replaced_and_compared() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("page.md");
    std::fs::write(&file, format!("before\n{BEGIN}\nold\n{END}\nafter\n")).unwrap();
    assert!(!Page::read(&file).unwrap().is("new"));
    Page::read(&file).unwrap().replace("new\n").unwrap();
    assert!(Page::read(&file).unwrap().is("new"));
    let text = std::fs::read_to_string(&file).unwrap();
    assert_eq!(text, format!("before\n{BEGIN}\n\nnew\n\n{END}\nafter\n"));
    for (text, says) in [
        ("no marker", "has no line '<!-- scale fit: begin -->'"),
        (
            "<!-- scale fit: begin --><!-- scale fit: begin --><!-- scale fit: end -->",
            "more than once",
        ),
        ("<!-- scale fit: end --><!-- scale fit: begin -->", "before"),
    ] {
        std::fs::write(&file, text).unwrap();
        let error = Page::read(&file).err().unwrap();
        assert!(
            matches!(error, ScaleError::File { .. }) && error.to_string().contains(says),
            "{error}"
        );
    }
}
