//! Tests of the command line: exit codes (2 for invalid input, 1 for a failed check, 0 otherwise),
//! messages and JSON files.

use std::process::Command;

/// The exit code and the output of a run of the program.
struct CommandOutput {
    exit_code: i32,
    /// Standard output, followed by standard error.
    text: String,
}

/// Runs the program with the given arguments.
fn run(arguments: &[&str]) -> CommandOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_brookstack-fleet-simulator"))
        .args(arguments)
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    CommandOutput {
        exit_code: output.status.code().unwrap_or(-1),
        text: text.into_owned(),
    }
}

/// The arguments for a small fleet, which runs in about a second.
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
fn invalid_input_exits_with_2_and_prints_what_was_expected() {
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
            "--proxy: expected the path of the built proxy program, got /nowhere",
        ),
        (
            vec!["real", "--proxy", "/nowhere", "--backends", "0"],
            "--backends: expected 1 to",
        ),
        (vec!["nothing"], "nothing"),
    ] {
        let CommandOutput { exit_code, text } = run(&arguments);
        assert_eq!(exit_code, 2, "{arguments:?}: {text}");
        assert!(text.contains(expected), "{arguments:?}: {text}");
    }
}

#[test]
fn exit_code_is_0_if_all_checks_pass_and_1_if_a_check_fails() {
    let run_with = |options: &[&'static str]| run(&[&SMALL_FLEET[..], options].concat());
    let CommandOutput { exit_code, text } = run_with(&["--rate", "20", "--secs", "6"]);
    assert_eq!(exit_code, 0, "{text}");
    assert!(text.contains("| 3 x 40 | calm |"), "{text}");
    // The rate is much higher than 40 backends can serve, so the check of served requests fails.
    let CommandOutput { exit_code, text } = run_with(&["--rate", "700", "--secs", "6"]);
    assert_eq!(exit_code, 1, "{text}");
    assert!(
        text.contains(
            "check failed: calm, 3 proxies x 40 backends: fraction of requests that were served"
        ),
        "{text}"
    );
}

#[test]
fn json_file_is_identical_for_any_number_of_threads() {
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
        let CommandOutput { exit_code, text } = run(&[&SMALL_FLEET[..], &options].concat());
        assert_eq!(exit_code, 0, "{text}");
        let bytes = std::fs::read(&file).expect("the file was written");
        std::fs::remove_file(&file).expect("the file can be removed");
        bytes
    };
    let first = write("a", "1");
    assert!(!first.is_empty());
    assert_eq!(first, write("b", "4"));
}
