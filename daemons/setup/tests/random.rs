//! Random command lines and log values.

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
fn any_command_line_is_read_without_a_panic() {
    let known =
        vec!["--name", "--name=x", "--peer", "1", "--fast", "--fast=1", "-h", "--", "-xyz", "-"];
    let word = prop_oneof![3 => prop::sample::select(known).prop_map(str::to_owned), 1 => ".{0,8}"];
    let variables = (".{0,4}", ".{0,4}");
    let run = runner().run(&(vec(word, 0..8), variables), |(words, (name, peer))| {
        let variables: Variables =
            [("SILL_NAME".to_owned(), name.into()), ("SILL_PEER".to_owned(), peer.into())]
                .into_iter()
                .collect();
        if let Ok(Outcome::Values(mut values)) = PROGRAM.parse_with(words, variables) {
            let _ = values.name("name");
            let _ = values.many::<u32>("peer");
            let _ = values.switch("fast");
            let _ = values.finish();
        }
        Ok(())
    });
    run.expect("every command line");
}

/// A caller puts a line break, quotes or `key=value` into a model's name. Who reads the log must
/// see one line, and the caller's text as one value of it.
#[test]
fn no_value_forges_a_line_or_a_pair() {
    let text = prop_oneof!["(?s).{0,24}", "[ =\"\\\\\\n\\ra-c]{0,24}"];
    let run = runner().run(&vec(text, 1..4), |values| {
        let mut line = String::from("event=x");
        for value in &values {
            push_pair(&mut line, "key", value);
        }
        prop_assert!(!line.chars().any(|c| c.is_control()), "{line:?}");
        prop_assert_eq!(pairs(&line), values);
        Ok(())
    });
    run.expect("every value");
}

/// Reads the values of a line back as a log reader does: up to the next space, or a quoted text.
fn pairs(line: &str) -> Vec<String> {
    let mut rest = line.strip_prefix("event=x").expect("the event");
    let mut values = Vec::new();
    while !rest.is_empty() {
        rest = rest.strip_prefix(" key=").expect("a pair");
        let end = match rest.strip_prefix('"') {
            Some(quoted) => 1 + quoted_end(quoted),
            None => rest.find(' ').unwrap_or(rest.len()),
        };
        values.push(unquote(&rest[..end]));
        rest = &rest[end..];
    }
    values
}

/// Returns the length of a quoted text with its closing quote.
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
        match chars.next().expect("an escaped character") {
            'n' => plain.push('\n'),
            'r' => plain.push('\r'),
            't' => plain.push('\t'),
            '0' => plain.push('\0'),
            'u' => {
                let code: String = chars.by_ref().skip(1).take_while(|c| *c != '}').collect();
                let code = u32::from_str_radix(&code, 16).expect("a code point");
                plain.push(char::from_u32(code).expect("a character"));
            }
            other => plain.push(other),
        }
    }
    plain
}
