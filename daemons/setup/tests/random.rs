//! Random command lines and random log values.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sill_base::event::push_pair;
use sill_base::random::{cases, seed};
use sill_setup::{Flag, Outcome, Program, Variables};

const PROGRAM: Program = Program {
    name: "test",
    about: "a program for tests",
    operands: "",
    flags: &[
        Flag::one("name", "NAME", "a name"),
        Flag::many("peer", "N", "numbers"),
        Flag::switch("fast", "a switch"),
    ],
};

fn runner() -> TestRunner {
    let mut bytes = [5; 32];
    bytes[..8].copy_from_slice(&seed(1).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(Config { cases: cases(2000), ..Config::default() }, rng)
}

#[test]
fn a_random_command_line_never_panics() {
    let known_args =
        vec!["--name", "--name=x", "--peer", "1", "--fast", "--fast=1", "-h", "--", "-xyz", "-"];
    let arg =
        prop_oneof![3 => prop::sample::select(known_args).prop_map(str::to_owned), 1 => ".{0,8}"];
    let variables = (".{0,4}", ".{0,4}");
    let result = runner().run(&(vec(arg, 0..8), variables), |(args, (name, peer))| {
        let variables: Variables =
            [("SILL_NAME".to_owned(), name.into()), ("SILL_PEER".to_owned(), peer.into())]
                .into_iter()
                .collect();
        if let Ok(Outcome::Values(mut values)) = PROGRAM.parse_with(args, variables) {
            let _ = values.name("name");
            let _ = values.many::<u32>("peer");
            let _ = values.switch("fast");
            let _ = values.finish();
        }
        Ok(())
    });
    result.expect("no command line fails");
}

/// A caller puts a line break, quotes or `key=value` into a model's name. The log must still
/// contain one line, with the caller's text as one of its values.
#[test]
fn no_value_forges_a_log_line_or_pair() {
    let text = prop_oneof!["(?s).{0,24}", "[ =\"\\\\\\n\\ra-c]{0,24}"];
    let result = runner().run(&vec(text, 1..4), |values| {
        let mut line = String::from("event=x");
        for value in &values {
            push_pair(&mut line, "key", value);
        }
        prop_assert!(!line.chars().any(|c| c.is_control()), "{line:?}");
        prop_assert_eq!(parse_values(&line), values);
        Ok(())
    });
    result.expect("no values fail");
}

/// Parses the values of a line as a log reader does: up to the next space, or a quoted text.
fn parse_values(line: &str) -> Vec<String> {
    let mut remainder = line.strip_prefix("event=x").expect("the line starts with the event");
    let mut values = Vec::new();
    while !remainder.is_empty() {
        remainder = remainder.strip_prefix(" key=").expect("another pair follows");
        let end = match remainder.strip_prefix('"') {
            Some(quoted) => 1 + quoted_end(quoted),
            None => remainder.find(' ').unwrap_or(remainder.len()),
        };
        values.push(unquote(&remainder[..end]));
        remainder = &remainder[end..];
    }
    values
}

/// Returns the length of a quoted text up to and including its closing quote.
fn quoted_end(text: &str) -> usize {
    let mut escaped = false;
    for (i, c) in text.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return i + 1,
            _ => {}
        }
    }
    panic!("no closing quote: {text}");
}

fn unquote(text: &str) -> String {
    let Some(inner) = text.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')) else {
        return text.to_owned();
    };
    let mut plain = String::new();
    let mut chars = inner.chars();
    while let Some(c) = chars.next() {
        if c != '\\' {
            plain.push(c);
            continue;
        }
        match chars.next().expect("a character follows the backslash") {
            'n' => plain.push('\n'),
            'r' => plain.push('\r'),
            't' => plain.push('\t'),
            '0' => plain.push('\0'),
            'u' => {
                let code: String = chars.by_ref().skip(1).take_while(|c| *c != '}').collect();
                let code = u32::from_str_radix(&code, 16).expect("a hexadecimal code point");
                plain.push(char::from_u32(code).expect("a valid code point"));
            }
            other => plain.push(other),
        }
    }
    plain
}
