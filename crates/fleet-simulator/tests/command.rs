//! The command line: exit codes (2 for unusable input, 1 for a failed check, 0 otherwise), messages
//! and JSON files.

use std::process::Command;

/// What a run of the program ended with.
struct Ended {
    exit_code: i32,
    /// Standard output, followed by standard error.
    text: String,
}

/// Runs the program.
fn run(arguments: &[&str]) -> Ended {
    let output = Command::new(env!("CARGO_BIN_EXE_brookstack-fleet-simulator"))
        .args(arguments)
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    Ended {
        exit_code: output.status.code().unwrap_or(-1),
        text: text.into_owned(),
    }
}

/// A fleet that runs in about a second.
const SMALL_FLEET: [&str; 9] = [
    "fleet",
    "--scenario",
    "calm",
    "--proxies",
    "3",
    "--backends",
    "40",
    "--churn",
    "0",
];

#[test]
fn unusable_input_exits_with_2_and_states_what_was_expected() {
    for (arguments, expected) in [
        (
            vec!["fleet", "--proxies", "0"],
            "--proxies: expected 1 to 5000, got 0",
        ),
        (
            vec!["fleet", "--backends", "7"],
            "--backends: expected 8 to",
        ),
        (vec!["fleet", "--secs", "5"], "--secs: expected"),
        (vec!["fleet", "--rate=-1"], "--rate: expected over 0"),
        (
            vec!["fleet", "--skew", "NaN"],
            "--skew: expected 1 to 1000, got NaN",
        ),
        (vec!["fleet", "--scenario", "storm"], "storm"),
        (
            vec!["real", "--proxy", "/nowhere"],
            "--proxy: expected the built proxy, got /nowhere",
        ),
        (
            vec!["real", "--proxy", "/nowhere", "--backends", "0"],
            "--backends: expected 1 to",
        ),
        (vec!["nothing"], "nothing"),
    ] {
        let Ended { exit_code, text } = run(&arguments);
        assert_eq!(exit_code, 2, "{arguments:?}: {text}");
        assert!(text.contains(expected), "{arguments:?}: {text}");
    }
}

#[test]
fn a_passing_fleet_exits_with_0_and_a_failed_check_with_1() {
    let run_with = |options: &[&'static str]| run(&[&SMALL_FLEET[..], options].concat());
    let Ended { exit_code, text } = run_with(&["--rate", "20", "--secs", "6"]);
    assert_eq!(exit_code, 0, "{text}");
    assert!(text.contains("| 3 x 40 | calm |"), "{text}");
    // Many more requests than 40 backends can serve.
    let Ended { exit_code, text } = run_with(&["--rate", "700", "--secs", "6"]);
    assert_eq!(exit_code, 1, "{text}");
    assert!(
        text.contains("check failed: calm, 3 x 40: fraction of requests that were served"),
        "{text}"
    );
}

#[test]
fn the_json_file_is_identical_for_any_number_of_threads() {
    let write = |name: &str, threads: &str| {
        let file = std::env::temp_dir().join(format!(
            "brookstack-fleet-simulator-test-{}-{name}",
            std::process::id()
        ));
        let path = file.to_str().expect("a path in UTF-8").to_string();
        let options = [
            "--rate",
            "20",
            "--secs",
            "6",
            "--threads",
            threads,
            "--json",
            &path,
        ];
        let Ended { exit_code, text } = run(&[&SMALL_FLEET[..], &options].concat());
        assert_eq!(exit_code, 0, "{text}");
        let bytes = std::fs::read(&file).expect("the file was written");
        std::fs::remove_file(&file).expect("the file can be removed");
        bytes
    };
    let first = write("a", "1");
    assert!(!first.is_empty());
    assert_eq!(first, write("b", "4"));
}
