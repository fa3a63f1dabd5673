//! Runs the compiled adapter on batches of simulator messages, and checks its replies and the
//! errors for lines that it rejects.

use std::io::Write;
use std::process::{Command, Stdio};

/// Valid settings of an instance. [`create`] removes the line breaks, because a message is a single
/// line.
const SETTINGS: &str = include_str!("settings.json");

/// Returns the message that creates the instance `proxy-3`.
fn create(settings: &str) -> String {
    format!(
        "[\"CREATE\",\"proxy-3\",99,{}]\n",
        settings.replace('\n', "")
    )
}

/// The messages that store a list of one ready endpoint and notify the instance of it.
const ENDPOINT_LIST: &str = r#"["SNAPSHOT_ROWS",0,[["east",0,"big","10.0.0.1:80","IN",1,null]]]
["VIEW","proxy-3",0,4,"warm_copy"]
"#;

/// The output of the adapter and whether it exited successfully.
struct Run {
    output: String,
    errors: String,
    success: bool,
}

/// Runs the adapter on `input` until it exits.
fn run(input: &str) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_brookstack-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    // The write fails if the adapter has already rejected a line and exited.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let finished = child.wait_with_output().unwrap();
    Run {
        output: String::from_utf8(finished.stdout).unwrap(),
        errors: String::from_utf8(finished.stderr).unwrap(),
        success: finished.status.success(),
    }
}

fn assert_clean_run(input: &str, expected_output: &str) {
    let run = run(input);
    assert_eq!(run.output, expected_output);
    assert_eq!(run.errors, "");
    assert!(run.success);
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_end_of_input_exits_cleanly() {
    assert_clean_run("[\"TICK\",5]\n[\"END\"]\n", "[\"YIELD\"]\n");
    assert_clean_run("", "");
}

#[test]
fn a_request_is_dispatched_once_and_completed_by_its_response() {
    let arrival = r#"["JOB_IN","proxy-3","00000000000000ab",null,900000,null,"north",0,"read"]"#;
    let load_report = r#"{"active":3,"new":1}"#;
    let response = format!(
        r#"["RETURNED","proxy-3","00000000000000ab",0,"10.0.0.1:80",1,900,true,{load_report}]"#
    );
    let create = create(SETTINGS);
    let input = format!(
        "[\"TICK\",1000]\n{create}{ENDPOINT_LIST}[\"END\"]\n\
         [\"TICK\",2000]\n{arrival}\n[\"END\"]\n\
         [\"TICK\",3000]\n{response}\n[\"END\"]\n"
    );
    let run = run(&input);
    assert!(run.success, "{}", run.errors);
    let dispatch = "[\"HAND_OFF\",\"proxy-3\",\"00000000000000ab\",\"10.0.0.1:80\",0]";
    assert_eq!(run.output.matches(dispatch).count(), 1, "{}", run.output);
    let replies = run
        .output
        .lines()
        .filter(|line| *line == "[\"YIELD\"]")
        .count();
    assert_eq!(replies, 3);
}

#[test]
fn the_log_line_of_an_ejection_follows_the_failed_attempt_and_names_the_address() {
    let arrival = r#"["JOB_IN","proxy-3","00000000000000ab",null,900000,null,"north",0,"pay"]"#;
    let connect_failed =
        r#"["RETURNED","proxy-3","00000000000000ab",0,"10.0.0.1:80",4,900,false,null]"#;
    let create = create(SETTINGS);
    let input = format!(
        "[\"TICK\",1000]\n{create}{ENDPOINT_LIST}[\"END\"]\n\
         [\"TICK\",6000]\n{arrival}\n[\"END\"]\n\
         [\"TICK\",11000]\n{connect_failed}\n[\"END\"]\n"
    );
    let run = run(&input);
    assert!(run.success, "{}", run.errors);
    let log_line = r#"["WRITE_LOG","proxy-3","backend 10.0.0.1:80 ejected: ConnectFailed"]"#;
    let last_reply = run.output.rsplit("[\"YIELD\"]\n").nth(1).unwrap();
    assert!(last_reply.starts_with(log_line), "{}", run.output);
}

#[test]
fn a_request_without_a_ready_backend_is_rejected_before_its_deadline() {
    let arrival = r#"["JOB_IN","proxy-3","00000000000000ab",null,900000,null,"north",0,"pay"]"#;
    let create = create(SETTINGS);
    let mut input = format!("[\"TICK\",1000]\n{create}{arrival}\n[\"END\"]\n");
    for token in 1..200 {
        let now = 1000 + token * 5000;
        let tick =
            format!("[\"TICK\",{now}]\n[\"TIMEOUT_FIRED\",\"proxy-3\",{token}]\n[\"END\"]\n");
        input.push_str(&tick);
    }
    let run = run(&input);
    assert!(run.success, "{}", run.errors);
    let rejection = "[\"BOUNCE\",\"proxy-3\",\"00000000000000ab\",0]";
    assert_eq!(run.output.matches(rejection).count(), 1, "{}", run.output);
}

#[test]
fn messages_for_a_removed_instance_are_rejected_until_it_is_created_again() {
    let create = create(SETTINGS);
    let remove = "[\"KILLED\",\"proxy-3\"]\n";
    let recreated = run(&format!(
        "[\"TICK\",5]\n{create}{remove}{create}{ENDPOINT_LIST}[\"END\"]\n"
    ));
    assert!(recreated.success, "{}", recreated.output);
    assert!(
        recreated.output.ends_with("[\"YIELD\"]\n"),
        "{}",
        recreated.output
    );
    let removed = run(&format!(
        "[\"TICK\",5]\n{create}{remove}{ENDPOINT_LIST}[\"END\"]\n"
    ));
    assert!(!removed.success, "{}", removed.errors);
    assert!(
        removed.errors.contains("known instance"),
        "{}",
        removed.errors
    );
}

/// The error reports the line number and what was expected.
#[test]
fn malformed_lines_are_reported_and_end_the_process() {
    let create = create(SETTINGS);
    let malformed = [
        malformed_messages(),
        malformed_endpoint_lists(),
        malformed_events(),
    ];
    for case in malformed.into_iter().flatten() {
        let line = case.line;
        let run = run(&format!(
            "[\"TICK\",1]\n{create}{ENDPOINT_LIST}{line}\n[\"END\"]\n"
        ));
        assert!(!run.success, "accepted {line}");
        assert!(run.errors.contains("line 5:"), "{line}: {}", run.errors);
        assert!(
            run.errors.contains(case.expected_error),
            "{line}: {}",
            run.errors
        );
        assert!(!run.errors.contains("panicked"), "{}", run.errors);
    }
    let without_clock = run("[\"END\"]\n");
    assert!(!without_clock.success, "{}", without_clock.errors);
    assert!(
        without_clock
            .errors
            .contains("TICK as the first message of a batch"),
        "{}",
        without_clock.errors
    );
}

/// A line that the adapter must reject, and a part of the expected error text.
struct MalformedLine {
    line: String,
    expected_error: &'static str,
}

fn malformed(line: impl Into<String>, expected_error: &'static str) -> MalformedLine {
    let line = line.into();
    MalformedLine {
        line,
        expected_error,
    }
}

fn malformed_messages() -> Vec<MalformedLine> {
    vec![
        malformed("no json", "JSON"),
        malformed(r#"{"TICK":1}"#, "array"),
        malformed("[]", "name"),
        malformed(r#"["HELLO",1]"#, "unknown message HELLO"),
        malformed(r#"["VIEW","proxy-3",0]"#, "4 values"),
        malformed(r#"["CREATE","proxy-x",1,{}]"#, "proxy-3"),
    ]
}

fn malformed_endpoint_lists() -> Vec<MalformedLine> {
    let unknown_state = r#"["SNAPSHOT_ROWS",1,[["east",0,"big","a:1","UP",1,null]]]"#;
    let short_row = r#"["SNAPSHOT_ROWS",1,[["east",0]]]"#;
    vec![
        malformed(
            r#"["VIEW","proxy-3",9,1,"incr"]"#,
            "known endpoint list number",
        ),
        malformed(r#"["VIEW","proxy-3",0,1,"odd"]"#, "incr, total"),
        malformed(r#"["VIEW","proxy-9",0,1,"incr"]"#, "known instance"),
        malformed(r#"["SNAPSHOT_ROWS",16,[]]"#, "0 to 15"),
        malformed(short_row, "7 values"),
        malformed(unknown_state, "IN, LAME or OUT"),
    ]
}

fn malformed_events() -> Vec<MalformedLine> {
    let arrival = |values: &str| format!(r#"["JOB_IN","proxy-3",{values}]"#);
    let invalid_id = arrival(r#""xyz",null,900,null,null,0,"read""#);
    let negative_time_left = arrival(r#""00000000000000ab",null,-4,null,null,0,"read""#);
    let unknown_class = arrival(r#""00000000000000ab",null,900,null,null,0,"none""#);
    let unknown_tenant = arrival(r#""00000000000000ab",null,900,null,"none",0,"read""#);
    let end = |values: &str| {
        format!(r#"["RETURNED","proxy-3","00000000000000ab",0,"10.0.0.1:80",{values}]"#)
    };
    vec![
        malformed(r#"["TIMEOUT_FIRED","proxy-3","7"]"#, "token"),
        malformed(invalid_id, "16 lower-case hex"),
        malformed(negative_time_left, "time left"),
        malformed(unknown_class, "known class"),
        malformed(unknown_tenant, "known tenant"),
        malformed(end("8,1,true,null"), "0 to 7"),
        malformed(end("1,1,1,null"), "true or false"),
    ]
}

#[test]
fn invalid_settings_are_reported_for_their_instance_with_the_invalid_key() {
    let cases = [
        ("\"group_size\":1,", "", "group_size"),
        ("\"group_size\":1,", "\"group_size\":0,", "group_size"),
        (
            "\"granularity_us\":5000",
            "\"granularity_us\":-5",
            "granularity_us",
        ),
        ("\"my_zone\":\"east\"", "\"my_zone\":\"north\"", "my_zone"),
        ("\"free\"", "\"odd\"", "profiles[0].effect"),
        ("\"key_scope\":\"zone\",", "", "profiles[2].key_scope"),
        (
            "\"max_attempts\":3",
            "\"max_attempts\":\"3\"",
            "limits.max_attempts",
        ),
        ("\"cold_from\":0.3", "\"cold_from\":1.3", "cold_from"),
        ("\"aim_us\":300000", "\"aim_us\":1300000", "aim_us"),
        ("\"name\":\"pay\"", "\"name\":\"read\"", "profiles[1].name"),
    ];
    for (valid, invalid, key) in cases {
        assert!(SETTINGS.contains(valid));
        let create = create(&SETTINGS.replacen(valid, invalid, 1));
        let run = run(&format!("[\"TICK\",1]\n{create}{ENDPOINT_LIST}[\"END\"]\n"));
        assert!(run.success, "{}", run.errors);
        assert!(
            run.output.starts_with("[\"BROKEN\",\"proxy-3\","),
            "{invalid}: {}",
            run.output
        );
        assert!(run.output.contains(key), "{invalid}: {}", run.output);
    }
}

/// The name and the number of values are still checked, and so is whether the clock is set.
#[test]
fn an_event_for_an_instance_with_invalid_settings_is_skipped_without_checking_its_values() {
    let create = "[\"CREATE\",\"proxy-3\",99,{}]\n";
    let event = r#"["JOB_IN","proxy-3",null,null,null,null,null,null,null]"#;
    let skipped = run(&format!("[\"TICK\",1]\n{create}{event}\n[\"END\"]\n"));
    assert!(skipped.success, "{}", skipped.errors);
    let replies: Vec<&str> = skipped.output.lines().collect();
    assert_eq!(replies.len(), 2, "{}", skipped.output);
    assert!(replies[0].starts_with("[\"BROKEN\",\"proxy-3\","));
    assert_eq!(replies[1], "[\"YIELD\"]");

    let short_event = r#"["JOB_IN","proxy-3"]"#;
    let rejected = run(&format!("[\"TICK\",1]\n{create}{short_event}\n"));
    assert!(!rejected.success);
    let expected_error = "line 3: JOB_IN: expected 8 values after the name, got 1";
    assert!(
        rejected.errors.contains(expected_error),
        "{}",
        rejected.errors
    );

    let without_clock = run(&format!("{event}\n"));
    assert!(!without_clock.success);
    let expected_error = "line 1: JOB_IN: expected TICK as the first message of a batch";
    assert!(
        without_clock.errors.contains(expected_error),
        "{}",
        without_clock.errors
    );
}
