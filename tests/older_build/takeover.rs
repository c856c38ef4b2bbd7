//! Data that the processes of one relay exchange: handover packets, and the files of manually
//! ejected backends.

use super::data;
use jaspermoor::ops::manual_ejections::ManualEjections;
use jaspermoor::platform::takeover::Handover;

const HANDOVERS: &str = include_str!("../data/older_build/handovers.txt");
const EJECTED: &str = include_str!("../data/older_build/ejected_backends.txt");

fn handover(asked_ms: Option<u64>) -> Handover {
    Handover {
        name: "9b".into(),
        class: "a \"class\"".into(),
        backend: "s-1".into(),
        key: u64::MAX,
        group: 5,
        attempts: 2,
        age_ms: 7_000,
        asked_ms,
        heard_ms: None,
        seen: 3,
        up: b"half\xff\n".to_vec(),
        down: b"M\r\n\nrest".to_vec(),
    }
}

#[test]
fn handover_packets_of_an_older_build_are_decoded_and_encoded_alike() {
    let mut checked = 0;
    for fields in data::records(HANDOVERS) {
        let expected = match fields[0] {
            "asked" => handover(Some(300)),
            "never-asked" => handover(None),
            name => panic!("packet {name}"),
        };
        let packet = data::bytes(fields[1]);
        assert_eq!(
            Handover::decode(&packet).as_ref(),
            Ok(&expected),
            "{fields:?}"
        );
        assert_eq!(expected.encode(), packet, "{fields:?}");
        checked += 1;
    }
    assert_eq!(checked, 2);
}

/// The backend ids whose file names the data has.
const IDS: [&str; 4] = ["../s/2", "b\u{e9}", "s-1", "zone a:3%"];

fn files_of_older_build() -> Vec<&'static str> {
    data::records(EJECTED).map(|fields| fields[0]).collect()
}

#[test]
fn ejections_of_an_older_build_are_in_force_and_can_be_lifted() {
    let shared = tempfile::tempdir().unwrap();
    let files = shared.path().join("jaspermoor-offline");
    std::fs::create_dir(&files).unwrap();
    for name in files_of_older_build() {
        std::fs::write(files.join(name), b"").unwrap();
    }
    let mut ejected = ManualEjections::new(Some(shared.path().to_path_buf()));
    assert_eq!(ejected.take_changes(), IDS.map(|id| (id.to_string(), true)));
    for id in IDS {
        ejected.set(id, false).unwrap();
    }
    assert_eq!(std::fs::read_dir(&files).unwrap().count(), 0);
}

#[test]
fn ejections_are_stored_under_the_names_of_an_older_build() {
    let shared = tempfile::tempdir().unwrap();
    let mut ejected = ManualEjections::new(Some(shared.path().to_path_buf()));
    for id in IDS {
        ejected.set(id, true).unwrap();
    }
    let files = std::fs::read_dir(shared.path().join("jaspermoor-offline")).unwrap();
    let mut names: Vec<String> = files
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    assert_eq!(names, files_of_older_build());
}
