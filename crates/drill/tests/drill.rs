//! The adapter as a process: replies to batches, and errors for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn drill(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cloverhollow-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the process starts");
    // A process that has ended on an error no longer reads.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the process ends")
}

const BEGIN: &str = r#"{"verb":"begin-batch","clock":1000.5}"#;
const END: &str = r#"{"verb":"eob"}"#;
const POWER_ON: &str = r#"{"verb":"power-on","manager-id":"manager_3","prng":7,"setup":{"balancers":1,"news":[1],
"discovery":"pushed","domain":{"class-live":[false],"class-top":[1],"floor-by-class":[0],"join":1.0,
"ladder-worth":[0.3,1.0],"level-kb":[200.0,1000.0],"link-unit-kb":4000.0,"places":2,"places-by-kind":[20],
"scale-by-class":[1.0],"seats":[0],"shelves":0},"grades":[{"aim":1000.0,"deadline":3000.0,
"effect":"idempotent","importance":1.0,"name":"clip"}],"invariants":{"cold":1000.0},"kinds":["k"],
"limits":{"most-tries":2,"retry-after":true,"max-retry-after":700.0},"weights":"none"}}"#;
const POOL: &str = r#"{"verb":"pool","page":0,"hosts":[{"server":5,"az":"a","class-of-host":"k","slot-no":1,"mode":"SERVING","nominal":1}]}"#;
const LIST: &str =
    r#"{"verb":"membership","manager-id":"manager_3","mode":"stale_copy","version":1,"page":0}"#;
const CALL: &str = r#"{"verb":"call","manager-id":"manager_3","ref":42,"top-rung":1,"from-cell":1,"cells-in-row":1,"valid-until":4000.5,"programme":9,"class":"clip","extra":{}}"#;

fn batch(lines: &[&str]) -> String {
    let mut all = vec![BEGIN.to_string()];
    all.extend(lines.iter().map(|l| l.replace('\n', "")));
    all.push(END.into());
    all.join("\n") + "\n"
}

#[test]
fn batches_are_answered_with_the_expected_lines() {
    let full = r#"{"verb":"attempt-end","manager-id":"manager_3","ref":42,"hop":0,"server":5,"how":"full","cost-time":1.0,"gauge":{"x0":1.4,"concurrent":3}}"#;
    let input = batch(&[]) + &batch(&[POWER_ON, POOL, LIST, CALL]) + &batch(&[full]) + &batch(&[]);
    let out = drill(&input);
    let expected = [
        r#"{"verb":"ok"}"#,
        r#"{"manager-id":"manager_3","ref":42,"tier-no":1,"verb":"step-to"}"#,
        r#"{"manager-id":"manager_3","ref":42,"server":5,"verb":"pass-on","within":500.0}"#,
        r#"{"verb":"ok"}"#,
        r#"{"hold-off":700.0,"manager-id":"manager_3","ref":42,"verb":"refuse"}"#,
        r#"{"verb":"ok"}"#,
        r#"{"verb":"ok"}"#,
    ];
    assert_eq!(String::from_utf8_lossy(&out.stdout).lines().collect::<Vec<_>>(), expected);
    assert!(out.status.success());
}

#[test]
fn a_killed_instance_loses_its_state_and_can_be_started_again() {
    let kill = r#"{"verb":"kill","manager-id":"manager_3"}"#;
    let out = drill(&batch(&[POWER_ON, POOL, LIST, CALL, kill, POWER_ON, LIST, CALL]));
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert_eq!(text.matches("pass-on").count(), 1, "{text}");
}

#[test]
fn malformed_input_ends_the_process_with_an_error_naming_line_and_cause() {
    let cases = [
        (batch(&["{nonsense"]), "line 2:", "key must be a string"),
        (batch(&["[1]"]), "line 2:", "not an object"),
        (
            batch(&[POWER_ON, r#"{"verb":"dance","manager-id":"manager_3"}"#]),
            "line 3:",
            "unknown verb `dance`",
        ),
        (batch(&[POWER_ON, r#"{"verb":"ring","manager-id":"manager_3"}"#]), "line 3:", "no `token`"),
        (batch(&[POWER_ON, &CALL.replace("\"ref\":42,", "")]), "line 3:", "missing field `ref`"),
        (batch(&[POWER_ON, &CALL.replace("clip", "clop")]), "line 3:", "unknown class `clop`"),
        (batch(&[POWER_ON, LIST]), "line 3:", "no pool 0"),
        (batch(&[CALL]), "line 2:", "is not running"),
        (format!("{END}\n"), "line 1:", "outside a batch"),
        (format!("{BEGIN}\n"), "", "ended inside a batch"),
    ];
    for (input, line, cause) in cases {
        let out = drill(&input);
        let error = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success(), "{input}");
        assert!(error.contains(line) && error.contains(cause) && !error.contains("panicked"), "{error}");
        assert!(out.stdout.is_empty(), "a partial reply was written");
    }
}
