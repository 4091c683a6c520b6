//! The verbs for operators and callers, run against `sill try`.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Output;
use std::thread;

use crate::harness::{Folder, http, run_sill, wait_until};
use crate::product::Try;

/// The arguments of a command, and the exit code and parts of its output that it must give.
struct Case {
    args: &'static [&'static str],
    code: i32,
    stdout: &'static [&'static str],
    stderr: &'static [&'static str],
}

const VALID_DOCUMENT: &str =
    r#"{"services":{"lookup":{"kind":"plain"}},"accounts":{"vans":{"weight":2}}}"#;

const INVALID_DOCUMENT: &str =
    r#"{"deadline_ms":"2s","services":{"lookup":{"kind":"plan"}},"accounts":{},"accounts":{}}"#;

const CASES: [Case; 17] = [
    Case { args: &["check", "sound.json"], code: 0, stdout: &["sound"], stderr: &[] },
    Case {
        args: &["check", "faulty.json", "nothing.json"],
        code: 2,
        stdout: &[],
        stderr: &[
            "faulty.json: faulty: accounts: the name stands twice",
            "nothing.json: No such file",
        ],
    },
    Case {
        args: &["diff", "waitaha", "sound.json"],
        code: 0,
        stdout: &["accounts.vans.weight", "services.lookup.kind", "\"plain\""],
        stderr: &[],
    },
    Case {
        args: &[
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
    // The operator's script lost the answer and sends the same change again.
    Case {
        args: &["apply", "waitaha", "sound.json", "--if-match", "0", "--change-id", "one"],
        code: 0,
        stdout: &["waitaha: revision 3"],
        stderr: &[],
    },
    // Another operator has read the same revision and changes it later.
    Case {
        args: &["apply", "waitaha", "sound.json", "--if-match", "0"],
        code: 1,
        stdout: &[],
        stderr: &["conflict", "revision 3, by root"],
    },
    Case {
        args: &["apply", "waitaha", "units.json"],
        code: 2,
        stdout: &[],
        stderr: &["units.json: waitaha: deadline_ms: expected a whole number of milliseconds"],
    },
    Case {
        args: &["diff", "waitaha", "sound.json"],
        code: 0,
        stdout: &["nothing would"],
        stderr: &[],
    },
    Case { args: &["get", "waitaha"], code: 0, stdout: &["\"lookup\""], stderr: &[] },
    Case { args: &["get", "nowhere"], code: 1, stdout: &[], stderr: &["not_found"] },
    Case { args: &["get", "waitaha", "--json"], code: 0, stdout: &["\"revision\":3"], stderr: &[] },
    Case {
        args: &["watch", "waitaha", "--count", "1"],
        code: 0,
        stdout: &["waitaha: revision 3 by root"],
        stderr: &[],
    },
    Case {
        args: &["status"],
        code: 0,
        stdout: &["entry-a", "entry-b", "current", "every entry instance runs the newest"],
        stderr: &[],
    },
    Case {
        args: &["audit", "waitaha"],
        code: 0,
        stdout: &["AUTHOR", "change", "refused", "root"],
        stderr: &[],
    },
    Case {
        args: &["drain", "model-a0"],
        code: 0,
        stdout: &["model-a0: noted", "not told yet"],
        stderr: &[],
    },
    Case { args: &["audit", "model-a0", "--json"], code: 0, stdout: &["\"drain\""], stderr: &[] },
    Case { args: &["no-such-verb"], code: 1, stdout: &[], stderr: &["unknown verb"] },
];

/// Operators' scripts rely on the exit codes, and operators on the messages: a retried change must
/// give its first revision, a conflict must name the newer one, and an invalid document every
/// fault.
#[test]
fn verbs_report_their_results_and_every_finding() {
    let system = Try::start("verbs");
    let files = Folder::new("verbs-files");
    for (name, text) in [
        ("sound.json", VALID_DOCUMENT),
        ("faulty.json", INVALID_DOCUMENT),
        ("units.json", r#"{"deadline_ms":"2s"}"#),
    ] {
        files.write(name, text);
    }
    for case in CASES {
        let output = run(&system, &files, case.args);
        let (stdout, stderr) =
            (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        let output_text = format!("{:?}\n{stdout}\n{stderr}", case.args);
        assert_eq!(output.status.code(), Some(case.code), "{output_text}");
        assert!(case.stdout.iter().all(|part| stdout.contains(part)), "{output_text}");
        assert!(case.stderr.iter().all(|part| stderr.contains(part)), "{output_text}");
    }
}

/// Entry instances report the endpoints of their failure domains every few seconds. If reports are
/// dropped or overwrite each other, `sill status` lists the endpoints of one failure domain only.
#[test]
fn status_lists_the_endpoints_of_every_failure_domain() {
    let system = Try::start("status");
    let files = Folder::new("status-files");
    let output_text = || {
        let output = run(&system, &files, &["status"]);
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    wait_until("the endpoints of both failure domains are listed", || {
        let text = output_text();
        text.contains("model-a0") && text.contains("model-b1") && text.contains("ready")
    });
}

/// A caller asks with its key for the history of a request, by the request id in the answer's
/// headers. Without a check of the key, others could read it too.
#[test]
fn a_request_is_explained_to_its_caller_only() {
    let system = Try::start("explain");
    let key = format!("authorization: Bearer {}", system.string("caller_key"));
    let body = r#"{"model":"desk-7b","max_tokens":2,"messages":[{"role":"user","content":"x"}]}"#;
    let entries = system.addresses("entries");
    let answer =
        http(entries[1], "POST", "/v1/chat/completions", &[&key], body).expect("an answer");
    let id = answer.head.lines().find_map(|line| line.strip_prefix("sill-request-id: "));
    let id = id.expect("the answer has a request id").trim().to_owned();
    let entry_addresses: Vec<String> = entries.iter().map(ToString::to_string).collect();
    let args = [
        "explain",
        &id,
        "--entry",
        &entry_addresses[0],
        "--entry",
        &entry_addresses[1],
        "--key-file",
    ];
    let explain = |file: &str| run_sill(&[&args[..], &[file]].concat(), "");
    let by_caller = explain(&system.folder.file("data/caller-key"));
    let text = String::from_utf8_lossy(&by_caller.stdout).into_owned();
    assert_eq!(
        by_caller.status.code(),
        Some(0),
        "{text}{}",
        String::from_utf8_lossy(&by_caller.stderr)
    );
    assert!(text.contains("ga/desk/clerks") && text.contains("model-"), "{text}");
    let by_operator = explain(&system.folder.file("data/operator-token"));
    assert_eq!(
        by_operator.status.code(),
        Some(1),
        "{}",
        String::from_utf8_lossy(&by_operator.stdout)
    );
}

/// A script sends a document with a duplicate account by HTTP, without the checks of `sill`. A JSON
/// parser that keeps the last one would drop the settings of the first.
#[test]
fn duplicate_names_are_refused_by_the_control_instance_too() {
    let system = Try::start("twice");
    let control = system.string("control").parse().expect("an address");
    let token = format!("authorization: Bearer {}", system.string("operator_token"));
    let body = r#"{"accounts":{"a":{"weight":1},"a":{"weight":2}},"x":1}"#;
    let answer = http(control, "PUT", "/tree/waitaha", &[&token], body).expect("an answer");
    assert_eq!(answer.status, 400, "{answer:?}");
    assert!(answer.body.contains("waitaha: accounts.a"), "{answer:?}");
}

/// Runs `sill` with the control address and operator token of the system, where the verb takes
/// them.
fn run(system: &Try, files: &Folder, args: &[&str]) -> Output {
    let control = system.string("control");
    let token = system.folder.file("data/operator-token");
    let mut full_args: Vec<String> = args
        .iter()
        .map(|arg| if arg.ends_with(".json") { files.file(arg) } else { (*arg).to_owned() })
        .collect();
    if !["check", "no-such-verb"].contains(&args[0]) {
        full_args.extend(["--control", control, "--token-file", &token].map(str::to_owned));
    }
    let full_args: Vec<&str> = full_args.iter().map(String::as_str).collect();
    run_sill(&full_args, "")
}

/// Starts a control instance that gives the same answer to each request; returns its address.
fn answer_always(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address.to_string()
}

/// A failing control instance sends a malformed head. The operator must not take it for a
/// refusal.
#[test]
fn a_watch_goes_on_after_a_malformed_answer() {
    let folder = Folder::new("watch-malformed");
    let token = folder.write("token", "t");
    let body = r#"{"path":"ga","revision":7,"author":"ops","document":{}}"#;
    let sound =
        answer_always(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()));
    for head in ["404 x\r\ntransfer-encoding: identity", "600 x\r\ncontent-length: 0", "404 x"] {
        let malformed = answer_always(format!("HTTP/1.1 {head}\r\n\r\n"));
        let output = run_sill(
            &[
                "watch",
                "ga",
                "--count",
                "1",
                "--token-file",
                &token,
                "--control",
                &malformed,
                "--control",
                &sound,
            ],
            "",
        );
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{head}: {}", String::from_utf8_lossy(&output.stderr));
        assert!(text.contains("ga: revision 7 by ops"), "{head}: {text}");
    }
}
