//! The operators' verbs against a running system.

use std::process::Output;

use crate::harness::{Folder, http, sill, wait_until};
use crate::product::Try;

/// A verb with its words, and what it must print.
struct Case {
    words: &'static [&'static str],
    code: i32,
    stdout: &'static [&'static str],
    stderr: &'static [&'static str],
}

const SOUND: &str = r#"{"services":{"lookup":{"kind":"plain"}},"accounts":{"vans":{"weight":2}}}"#;

const FAULTY: &str =
    r#"{"deadline_ms":"2s","services":{"lookup":{"kind":"plan"}},"accounts":{},"accounts":{}}"#;

const CASES: [Case; 17] = [
    Case { words: &["check", "sound.json"], code: 0, stdout: &["sound"], stderr: &[] },
    Case {
        words: &["check", "faulty.json", "nothing.json"],
        code: 2,
        stdout: &[],
        stderr: &[
            "faulty.json: faulty: accounts: the name stands twice",
            "nothing.json: No such file",
        ],
    },
    Case {
        words: &["diff", "waitaha", "sound.json"],
        code: 0,
        stdout: &["accounts.vans.weight", "services.lookup.kind", "\"plain\""],
        stderr: &[],
    },
    Case {
        words: &[
            "apply",
            "waitaha",
            "sound.json",
            "--if-match",
            "0",
            "--change-id",
            "one",
            "--wait",
        ],
        code: 0,
        stdout: &["waitaha: revision 3, in force everywhere"],
        stderr: &[],
    },
    // The answer was lost, and the operator's script sends the same change again.
    Case {
        words: &["apply", "waitaha", "sound.json", "--if-match", "0", "--change-id", "one"],
        code: 0,
        stdout: &["waitaha: revision 3"],
        stderr: &[],
    },
    // Another operator read the same revision and comes second.
    Case {
        words: &["apply", "waitaha", "sound.json", "--if-match", "0"],
        code: 1,
        stdout: &[],
        stderr: &["conflict", "revision 3, by root"],
    },
    Case {
        words: &["apply", "waitaha", "units.json"],
        code: 2,
        stdout: &[],
        stderr: &["units.json: waitaha: deadline_ms: expected a whole number of milliseconds"],
    },
    Case {
        words: &["diff", "waitaha", "sound.json"],
        code: 0,
        stdout: &["nothing would"],
        stderr: &[],
    },
    Case { words: &["get", "waitaha"], code: 0, stdout: &["\"lookup\""], stderr: &[] },
    Case { words: &["get", "nowhere"], code: 1, stdout: &[], stderr: &["not_found"] },
    Case {
        words: &["get", "waitaha", "--json"],
        code: 0,
        stdout: &["\"revision\":3"],
        stderr: &[],
    },
    Case {
        words: &["watch", "waitaha", "--count", "1"],
        code: 0,
        stdout: &["waitaha: revision 3 by root"],
        stderr: &[],
    },
    Case {
        words: &["status"],
        code: 0,
        stdout: &["entry-a", "entry-b", "current", "every entry instance runs the newest"],
        stderr: &[],
    },
    Case {
        words: &["audit", "waitaha"],
        code: 0,
        stdout: &["AUTHOR", "change", "refused", "root"],
        stderr: &[],
    },
    Case {
        words: &["drain", "model-a0"],
        code: 0,
        stdout: &["model-a0: noted", "not told yet"],
        stderr: &[],
    },
    Case { words: &["audit", "model-a0", "--json"], code: 0, stdout: &["\"drain\""], stderr: &[] },
    Case { words: &["no-such-verb"], code: 1, stdout: &[], stderr: &["unknown verb"] },
];

#[test]
fn verbs_tell_what_they_did_and_every_finding() {
    let system = Try::start("verbs");
    let files = Folder::new("verbs-files");
    for (name, text) in
        [("sound.json", SOUND), ("faulty.json", FAULTY), ("units.json", r#"{"deadline_ms":"2s"}"#)]
    {
        files.write(name, text);
    }
    for case in CASES {
        let output = run(&system, &files, case.words);
        let (stdout, stderr) =
            (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        let shown = format!("{:?}\n{stdout}\n{stderr}", case.words);
        assert_eq!(output.status.code(), Some(case.code), "{shown}");
        assert!(case.stdout.iter().all(|part| stdout.contains(part)), "{shown}");
        assert!(case.stderr.iter().all(|part| stderr.contains(part)), "{shown}");
    }
}

/// Entry instances report the endpoints of their failure domains every few seconds; an operator sees
/// the endpoints of all of them in one place.
#[test]
fn status_lists_the_endpoints_of_every_failure_domain() {
    let system = Try::start("status");
    let files = Folder::new("status-files");
    let shown = || {
        let output = run(&system, &files, &["status"]);
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    wait_until("both domains are reported", || {
        let text = shown();
        text.contains("model-a0") && text.contains("model-b1") && text.contains("ready")
    });
}

/// A caller asks what became of its request, by the name in the answer's headers.
#[test]
fn a_request_is_explained_to_its_caller_and_to_nobody_else() {
    let system = Try::start("explain");
    let key = format!("authorization: Bearer {}", system.text("caller_key"));
    let body = r#"{"model":"desk-7b","max_tokens":2,"messages":[{"role":"user","content":"x"}]}"#;
    let entries = system.addresses("entries");
    let answer =
        http(entries[1], "POST", "/v1/chat/completions", &[&key], body).expect("an answer");
    let id = answer.head.lines().find_map(|line| line.strip_prefix("sill-request-id: "));
    let id = id.expect("a name").trim().to_owned();
    let asked: Vec<String> = entries.iter().map(ToString::to_string).collect();
    let words = ["explain", &id, "--entry", &asked[0], "--entry", &asked[1], "--key-file"];
    let explain = |file: &str| sill(&[&words[..], &[file]].concat(), "");
    let own = explain(&system.folder.file("data/caller-key"));
    let text = String::from_utf8_lossy(&own.stdout).into_owned();
    assert_eq!(own.status.code(), Some(0), "{text}{}", String::from_utf8_lossy(&own.stderr));
    assert!(text.contains("ga/desk/clerks") && text.contains("model-"), "{text}");
    let other = explain(&system.folder.file("data/operator-token"));
    assert_eq!(other.status.code(), Some(1), "{}", String::from_utf8_lossy(&other.stdout));
}

/// A script puts a document with an account twice by HTTP, without `sill` and its checks.
#[test]
fn a_name_that_stands_twice_is_refused_by_the_control_instance_too() {
    let system = Try::start("twice");
    let control = system.text("control").parse().expect("an address");
    let token = format!("authorization: Bearer {}", system.text("operator_token"));
    let body = r#"{"accounts":{"a":{"weight":1},"a":{"weight":2}},"x":1}"#;
    let answer = http(control, "PUT", "/tree/waitaha", &[&token], body).expect("an answer");
    assert_eq!(answer.status, 400, "{answer:?}");
    assert!(answer.body.contains("waitaha: accounts.a"), "{answer:?}");
}

fn run(system: &Try, files: &Folder, words: &[&str]) -> Output {
    let control = system.text("control");
    let token = system.folder.file("data/operator-token");
    let mut all: Vec<String> = words
        .iter()
        .map(|word| if word.ends_with(".json") { files.file(word) } else { (*word).to_owned() })
        .collect();
    if !["check", "no-such-verb"].contains(&words[0]) {
        all.extend(["--control", control, "--token-file", &token].map(str::to_owned));
    }
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    sill(&all, "")
}
