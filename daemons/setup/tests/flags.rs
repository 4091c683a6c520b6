//! All invalid flags and variables are reported together, each with its flag and variable.

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

const VALID_ARGS: [&str; 6] =
    ["--name", "n1", "--listen", "127.0.0.1:1", "--key-file", "Cargo.toml"];

/// Changes to valid arguments, and all findings that result.
struct Case {
    name: &'static str,
    args: &'static [&'static str],
    variables: &'static [(&'static str, &'static str)],
    without: &'static [&'static str],
    findings: &'static [&'static str],
}

const CASES: [Case; 16] = [
    Case { name: "valid", args: &[], variables: &[], without: &[], findings: &[] },
    Case {
        name: "missing",
        args: &[],
        variables: &[],
        without: &["--name"],
        findings: &["--name (SILL_NAME): missing"],
    },
    Case {
        name: "by variable",
        args: &[],
        variables: &[("SILL_NAME", "n2")],
        without: &["--name"],
        findings: &[],
    },
    Case {
        name: "empty variable",
        args: &[],
        variables: &[("SILL_NAME", "")],
        without: &["--name"],
        findings: &["--name (SILL_NAME): the variable is set but empty"],
    },
    Case {
        name: "empty variable of a flag with a default",
        args: &[],
        variables: &[("SILL_WORKERS", "")],
        without: &[],
        findings: &["--workers (SILL_WORKERS): the variable is set but empty"],
    },
    Case {
        name: "empty variable of a switch",
        args: &[],
        variables: &[("SILL_FAST", "")],
        without: &[],
        findings: &["--fast (SILL_FAST): the variable is set but empty"],
    },
    Case {
        name: "empty value",
        args: &["--workers", ""],
        variables: &[],
        without: &[],
        findings: &["--workers (SILL_WORKERS): empty"],
    },
    Case {
        name: "repeated single flag",
        args: &["--name", "n2"],
        variables: &[],
        without: &[],
        findings: &["--name (SILL_NAME): given more than once"],
    },
    Case {
        name: "port out of range",
        args: &["--listen", "127.0.0.1:65536"],
        variables: &[],
        without: &["--listen"],
        findings: &[
            "--listen (SILL_LISTEN): \"127.0.0.1:65536\": invalid socket address syntax; expected IP:PORT",
        ],
    },
    Case {
        name: "one invalid address in a list",
        args: &[],
        variables: &[("SILL_PEER", "127.0.0.1:1,127.0.0.1")],
        without: &[],
        findings: &[
            "--peer (SILL_PEER): \"127.0.0.1\": invalid socket address syntax; expected IP:PORT",
        ],
    },
    Case {
        name: "missing file",
        args: &["--key-file", "no/such/file"],
        variables: &[],
        without: &["--key-file"],
        findings: &[
            "--key-file (SILL_KEY_FILE): no/such/file: No such file or directory (os error 2)",
        ],
    },
    Case {
        name: "malformed name",
        args: &["--name", "a b"],
        variables: &[],
        without: &["--name"],
        findings: &["--name (SILL_NAME): \"a b\": expected 1 to 64 of letters, digits, `-_.`"],
    },
    Case {
        name: "switch with an invalid value",
        args: &[],
        variables: &[("SILL_FAST", "yes")],
        without: &[],
        findings: &[
            "--fast (SILL_FAST): \"yes\": provided string was not `true` or `false`; expected true or false",
        ],
    },
    Case {
        name: "switch with a value",
        args: &["--fast=yes"],
        variables: &[],
        without: &[],
        findings: &["--fast (SILL_FAST): takes no value"],
    },
    Case {
        name: "value missing at the end",
        args: &["--workers"],
        variables: &[],
        without: &[],
        findings: &["--workers (SILL_WORKERS): the value is missing"],
    },
    Case {
        name: "all faults at once",
        args: &["--nam", "x", "-z", "--name", "n2", "--workers", "many", "--listen", "here"],
        variables: &[("SILL_PEER", ""), ("SILL_FAST", "1")],
        without: &["--listen", "--key-file"],
        findings: &[
            "--nam: unknown flag",
            "--z: unknown flag",
            "--name (SILL_NAME): given more than once",
            "--listen (SILL_LISTEN): \"here\": invalid socket address syntax; expected IP:PORT",
            "--peer (SILL_PEER): the variable is set but empty",
            "--key-file (SILL_KEY_FILE): missing",
            "--workers (SILL_WORKERS): \"many\": invalid digit found in string; expected N",
            "--fast (SILL_FAST): \"1\": provided string was not `true` or `false`; expected true or false",
        ],
    },
];

fn check(case: &Case) -> Result<(), Findings> {
    let valid_args = VALID_ARGS.chunks(2).filter(|pair| !case.without.contains(&pair[0])).flatten();
    let args = valid_args.chain(case.args).map(|arg| (*arg).to_owned());
    let variables =
        case.variables.iter().map(|(name, value)| ((*name).to_owned(), (*value).into()));
    let variables: Variables = variables.collect();
    let Outcome::Values(mut values) = PROGRAM.parse_with(args, variables)? else {
        panic!("{}: help without --help", case.name);
    };
    check_values(&mut values)
}

fn check_values(values: &mut Values) -> Result<(), Findings> {
    let _ = values.name("name");
    let _ = values.required::<SocketAddr>("listen");
    let _ = values.many::<SocketAddr>("peer");
    let _ = values.secret("key-file");
    let _ = values.required::<u32>("workers");
    let _ = values.switch("fast");
    values.finish()
}

#[test]
fn every_finding_is_reported_with_its_flag_and_variable() {
    for case in &CASES {
        let findings = check(case).err().unwrap_or_default().to_string();
        assert_eq!(findings, case.findings.join("\n"), "{}", case.name);
    }
}

#[test]
fn help_names_every_flag_and_variable() {
    let Ok(Outcome::Help(text)) = PROGRAM.parse_with(["--help".to_owned()], Variables::default())
    else {
        panic!("no help for --help");
    };
    for flag in PROGRAM.flags {
        assert!(text.contains(flag.name) && text.contains(&flag.variable()), "{text}");
    }
}
