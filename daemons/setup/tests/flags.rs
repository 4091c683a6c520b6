//! Wrong flags and variables are all reported, each with its flag and variable.

use std::net::SocketAddr;

use sill_base::Findings;
use sill_setup::{Flag, Outcome, Program, Values, Variables};

const PROGRAM: Program = Program {
    name: "test",
    about: "a program for tests",
    operands: "",
    flags: &[
        Flag::one("name", "NAME", "a name"),
        Flag::one("listen", "IP:PORT", "an address"),
        Flag::many("peer", "IP:PORT", "addresses"),
        Flag::one("key-file", "FILE", "a secret"),
        Flag::with_default("workers", "N", "2", "a count"),
        Flag::switch("fast", "a switch"),
    ],
};

const SOUND: [&str; 6] = ["--name", "n1", "--listen", "127.0.0.1:1", "--key-file", "Cargo.toml"];

/// What is added to sound words, and every finding that follows.
struct Case {
    name: &'static str,
    words: &'static [&'static str],
    variables: &'static [(&'static str, &'static str)],
    without: &'static [&'static str],
    findings: &'static [&'static str],
}

const CASES: [Case; 16] = [
    Case { name: "nothing wrong", words: &[], variables: &[], without: &[], findings: &[] },
    Case {
        name: "missing",
        words: &[],
        variables: &[],
        without: &["--name"],
        findings: &["--name (SILL_NAME): missing"],
    },
    Case {
        name: "by variable",
        words: &[],
        variables: &[("SILL_NAME", "n2")],
        without: &["--name"],
        findings: &[],
    },
    Case {
        name: "empty variable",
        words: &[],
        variables: &[("SILL_NAME", "")],
        without: &["--name"],
        findings: &["--name (SILL_NAME): the variable is set but empty"],
    },
    Case {
        name: "empty variable of a flag with a default",
        words: &[],
        variables: &[("SILL_WORKERS", "")],
        without: &[],
        findings: &["--workers (SILL_WORKERS): the variable is set but empty"],
    },
    Case {
        name: "empty variable of a switch",
        words: &[],
        variables: &[("SILL_FAST", "")],
        without: &[],
        findings: &["--fast (SILL_FAST): the variable is set but empty"],
    },
    Case {
        name: "empty word",
        words: &["--workers", ""],
        variables: &[],
        without: &[],
        findings: &["--workers (SILL_WORKERS): empty"],
    },
    Case {
        name: "repeated single flag",
        words: &["--name", "n2"],
        variables: &[],
        without: &[],
        findings: &["--name (SILL_NAME): stands more than once"],
    },
    Case {
        name: "port out of range",
        words: &["--listen", "127.0.0.1:65536"],
        variables: &[],
        without: &["--listen"],
        findings: &[
            "--listen (SILL_LISTEN): \"127.0.0.1:65536\": invalid socket address syntax; expected IP:PORT",
        ],
    },
    Case {
        name: "one bad address out of a list",
        words: &[],
        variables: &[("SILL_PEER", "127.0.0.1:1,127.0.0.1")],
        without: &[],
        findings: &[
            "--peer (SILL_PEER): \"127.0.0.1\": invalid socket address syntax; expected IP:PORT",
        ],
    },
    Case {
        name: "unreadable file",
        words: &["--key-file", "no/such/file"],
        variables: &[],
        without: &["--key-file"],
        findings: &[
            "--key-file (SILL_KEY_FILE): no/such/file: No such file or directory (os error 2)",
        ],
    },
    Case {
        name: "bad name",
        words: &["--name", "a b"],
        variables: &[],
        without: &["--name"],
        findings: &["--name (SILL_NAME): \"a b\": expected 1 to 64 of letters, digits, `-_.`"],
    },
    Case {
        name: "switch with another word",
        words: &[],
        variables: &[("SILL_FAST", "yes")],
        without: &[],
        findings: &[
            "--fast (SILL_FAST): \"yes\": provided string was not `true` or `false`; expected true or false",
        ],
    },
    Case {
        name: "switch with a value",
        words: &["--fast=yes"],
        variables: &[],
        without: &[],
        findings: &["--fast (SILL_FAST): takes no value"],
    },
    Case {
        name: "value missing at the end",
        words: &["--workers"],
        variables: &[],
        without: &[],
        findings: &["--workers (SILL_WORKERS): the value is missing"],
    },
    Case {
        name: "everything at once",
        words: &["--nam", "x", "-z", "--name", "n2", "--workers", "many", "--listen", "here"],
        variables: &[("SILL_PEER", ""), ("SILL_FAST", "1")],
        without: &["--listen", "--key-file"],
        findings: &[
            "--nam: unknown flag",
            "--z: unknown flag",
            "--name (SILL_NAME): stands more than once",
            "--listen (SILL_LISTEN): \"here\": invalid socket address syntax; expected IP:PORT",
            "--peer (SILL_PEER): the variable is set but empty",
            "--key-file (SILL_KEY_FILE): missing",
            "--workers (SILL_WORKERS): \"many\": invalid digit found in string; expected N",
            "--fast (SILL_FAST): \"1\": provided string was not `true` or `false`; expected true or false",
        ],
    },
];

fn check(case: &Case) -> Result<(), Findings> {
    let sound = SOUND.chunks(2).filter(|pair| !case.without.contains(&pair[0])).flatten();
    let words = sound.chain(case.words).map(|word| (*word).to_owned());
    let variables =
        case.variables.iter().map(|(name, value)| ((*name).to_owned(), (*value).into()));
    let variables: Variables = variables.collect();
    let Outcome::Values(mut values) = PROGRAM.parse_with(words, variables)? else {
        panic!("{}: no help was asked for", case.name);
    };
    read_all(&mut values)
}

fn read_all(values: &mut Values) -> Result<(), Findings> {
    let _ = values.name("name");
    let _ = values.required::<SocketAddr>("listen");
    let _ = values.many::<SocketAddr>("peer");
    let _ = values.secret("key-file");
    let _ = values.required::<u32>("workers");
    let _ = values.switch("fast");
    values.finish()
}

#[test]
fn every_fault_is_reported_with_its_flag_and_variable() {
    for case in &CASES {
        let found = check(case).err().unwrap_or_default().to_string();
        assert_eq!(found, case.findings.join("\n"), "{}", case.name);
    }
}

#[test]
fn help_names_every_flag_and_variable() {
    let Ok(Outcome::Help(text)) = PROGRAM.parse_with(["--help".to_owned()], Variables::default())
    else {
        panic!("help was asked for");
    };
    for flag in PROGRAM.flags {
        assert!(text.contains(flag.name) && text.contains(&flag.variable()), "{text}");
    }
}
