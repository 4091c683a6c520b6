//! Flags, each with an environment variable, checked and reported together.

use std::env;
use std::ffi::OsString;
use std::fmt::Display;
use std::fs;
use std::str::FromStr;

use getopts::{Fail, Matches, Options};
use sill_base::{Findings, Map, Name, Secret};

/// How often a flag may stand, and whether it takes a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlagKind {
    /// One value; the default where none is given.
    One(Option<&'static str>),
    /// Any number of values; its variable holds them separated by commas.
    Many,
    /// No value; its variable holds `true` or `false`.
    Switch,
}

/// One flag.
#[derive(Debug, Clone, Copy)]
pub struct Flag {
    /// The long name, without dashes.
    pub name: &'static str,
    /// How often it may stand.
    pub kind: FlagKind,
    /// What its value looks like.
    pub hint: &'static str,
    /// What it does.
    pub help: &'static str,
}

/// A program or one of its verbs, as `--help` shows it.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// The program's name, with the verb.
    pub name: &'static str,
    /// What it does.
    pub about: &'static str,
    /// Words after the flags, as shown in the usage line.
    pub operands: &'static str,
    /// Its flags.
    pub flags: &'static [Flag],
}

/// What came of reading a command line.
// There is one for each process, so its size doesn't matter.
#[allow(clippy::large_enum_variant)]
#[derive(Debug)]
pub enum Outcome {
    /// `--help` was asked for; this is the text.
    Help(String),
    /// Values to be checked.
    Values(Values),
}

/// Environment variables by name.
pub type Variables = Map<String, OsString>;

/// Values of flags and variables, and what was wrong with them so far.
#[derive(Debug)]
pub struct Values {
    program: Program,
    matches: Matches,
    variables: Variables,
    findings: Findings,
    /// Words that are not flags.
    pub operands: Vec<String>,
}

impl Flag {
    /// Makes a flag with one value that has no default.
    pub const fn one(name: &'static str, hint: &'static str, help: &'static str) -> Self {
        Self { name, kind: FlagKind::One(None), hint, help }
    }

    /// Makes a flag with one value and a default.
    pub const fn with_default(
        name: &'static str,
        hint: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Self { name, kind: FlagKind::One(Some(default)), hint, help }
    }

    /// Makes a flag that may stand more than once.
    pub const fn many(name: &'static str, hint: &'static str, help: &'static str) -> Self {
        Self { name, kind: FlagKind::Many, hint, help }
    }

    /// Makes a flag without a value.
    pub const fn switch(name: &'static str, help: &'static str) -> Self {
        Self { name, kind: FlagKind::Switch, hint: "", help }
    }

    /// Returns the flag's environment variable.
    pub fn variable(&self) -> String {
        format!("SILL_{}", self.name.to_uppercase().replace('-', "_"))
    }

    /// Returns the place of a finding about the flag.
    pub fn place(&self) -> String {
        format!("--{} ({})", self.name, self.variable())
    }
}

impl Program {
    /// Reads the words after the program's name, with the variables of this process.
    ///
    /// # Errors
    ///
    /// Returns findings where nothing could be read at all.
    pub fn parse<I>(&self, words: I) -> Result<Outcome, Findings>
    where
        I: IntoIterator<Item = String>,
    {
        let text_names =
            env::vars_os().filter_map(|(name, value)| Some((name.into_string().ok()?, value)));
        self.parse_with(words, text_names.collect())
    }

    /// Reads the words after the program's name, with the given variables. What is wrong with the
    /// words is kept, to be reported together with what is wrong with the values.
    ///
    /// # Errors
    ///
    /// Returns findings where nothing could be read at all.
    pub fn parse_with<I>(&self, words: I, variables: Variables) -> Result<Outcome, Findings>
    where
        I: IntoIterator<Item = String>,
    {
        let options = self.options();
        let mut words: Vec<String> = words.into_iter().collect();
        let mut findings = Findings::new();
        // The parser stops at the first fault; without the faulty word it goes on to the next.
        let matches = loop {
            match options.parse(&words) {
                Ok(matches) => break matches,
                Err(fault) => {
                    findings.add(self.place_of_fault(&fault), reason(&fault));
                    if !remove_fault(&mut words, &fault) {
                        return Err(findings);
                    }
                }
            }
        };
        if matches.opt_present("help") {
            return Ok(Outcome::Help(self.help()));
        }
        let operands = matches.free.clone();
        Ok(Outcome::Values(Values { program: *self, matches, variables, findings, operands }))
    }

    /// Reads the words after the program's name, or prints the text of `--help` if they ask for it.
    ///
    /// # Errors
    ///
    /// Returns every finding in the words.
    pub fn values_or_help<I>(&self, words: I) -> Result<Option<Values>, Findings>
    where
        I: IntoIterator<Item = String>,
    {
        match self.parse(words)? {
            Outcome::Help(text) => {
                print!("{text}");
                Ok(None)
            }
            Outcome::Values(values) => Ok(Some(values)),
        }
    }

    fn options(&self) -> Options {
        let mut options = Options::new();
        options.optflag("h", "help", "show this text");
        for flag in self.flags {
            match flag.kind {
                FlagKind::One(_) => options.optopt("", flag.name, flag.help, flag.hint),
                FlagKind::Many => options.optmulti("", flag.name, flag.help, flag.hint),
                FlagKind::Switch => options.optflag("", flag.name, flag.help),
            };
        }
        options
    }

    fn place_of_fault(&self, fault: &Fail) -> String {
        let name = flag_of(fault);
        match self.flags.iter().find(|flag| flag.name == name) {
            Some(flag) => flag.place(),
            None => format!("--{name}"),
        }
    }

    /// Returns the text of `--help`.
    pub fn help(&self) -> String {
        let mut text = format!(
            "{}: {}\n\nUsage: {} [FLAGS] {}\n",
            self.name, self.about, self.name, self.operands
        );
        text.push_str("\nFlags, each with its environment variable:\n");
        for flag in self.flags {
            let repeat = if flag.kind == FlagKind::Many { " (may be repeated)" } else { "" };
            let default = match flag.kind {
                FlagKind::One(Some(default)) => format!(" [default: {default}]"),
                _ => String::new(),
            };
            text.push_str(&format!("  --{} {}  ({})\n", flag.name, flag.hint, flag.variable()));
            text.push_str(&format!("        {}{repeat}{default}\n", flag.help));
        }
        text
    }
}

impl Values {
    /// Returns a value that may be left out and has no default.
    pub fn optional<T>(&mut self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.one(name)?;
        self.parse(self.flag(name), &text)
    }

    /// Returns a value that must be given or has a default; notes a finding otherwise.
    ///
    /// The result is `Some` whenever [`Values::finish`] succeeds.
    pub fn required<T>(&mut self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let flag = self.flag(name);
        let faults = self.findings.len();
        match self.one(name) {
            Some(text) => self.parse(flag, &text),
            None => {
                if self.findings.len() == faults {
                    self.findings.add(flag.place(), "missing");
                }
                None
            }
        }
    }

    /// Returns all values of a flag that may be repeated.
    pub fn many<T>(&mut self, name: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let flag = self.flag(name);
        let mut texts = self.matches.opt_strs(name);
        if texts.is_empty() {
            let listed = self.variable(flag).unwrap_or_default();
            texts = listed.split(',').filter(|t| !t.is_empty()).map(str::to_owned).collect();
        }
        texts.iter().filter_map(|text| self.parse(flag, text)).collect()
    }

    /// Returns whether a switch is on.
    pub fn switch(&mut self, name: &str) -> bool {
        if self.matches.opt_present(name) {
            return true;
        }
        let flag = self.flag(name);
        let text = self.variable(flag);
        text.and_then(|text| self.parse(flag, &text)).unwrap_or(false)
    }

    /// Returns a well-formed name.
    pub fn name(&mut self, name: &str) -> Option<Name> {
        let text: String = self.required(name)?;
        if Name::is_well_formed(&text) {
            return Some(text.into());
        }
        let place = self.flag(name).place();
        self.findings.add(place, format!("{text:?}: expected 1 to 64 of letters, digits, `-_.`"));
        None
    }

    /// Returns the secret that stands in the file a flag names.
    pub fn secret(&mut self, name: &str) -> Option<Secret> {
        let path: String = self.required(name)?;
        self.secret_in(name, path)
    }

    /// Returns the secret that stands in the file a flag names, if it is given.
    pub fn optional_secret(&mut self, name: &str) -> Option<Secret> {
        let path: String = self.optional(name)?;
        self.secret_in(name, path)
    }

    fn secret_in(&mut self, name: &str, path: String) -> Option<Secret> {
        let place = self.flag(name).place();
        match fs::read_to_string(&path) {
            Ok(text) if !text.trim().is_empty() => Some(Secret::new(text.trim())),
            Ok(_) => {
                self.findings.add(place, format!("{path}: the file is empty"));
                None
            }
            Err(err) => {
                self.findings.add(place, format!("{path}: {err}"));
                None
            }
        }
    }

    /// Notes a finding about a flag.
    pub fn add_finding(&mut self, name: &str, reason: impl Into<String>) {
        let place = self.flag(name).place();
        self.findings.add(place, reason);
    }

    /// Ends the check.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its flag and variable.
    pub fn finish(&mut self) -> Result<(), Findings> {
        std::mem::take(&mut self.findings).into_result(())
    }

    fn flag(&self, name: &str) -> Flag {
        let flag = self.program.flags.iter().find(|f| f.name == name);
        *flag.unwrap_or_else(|| panic!("flag --{name} is not declared"))
    }

    /// Returns the text of a flag or variable, or its default.
    fn one(&mut self, name: &str) -> Option<String> {
        let flag = self.flag(name);
        let faults = self.findings.len();
        let given = self.matches.opt_str(name).or_else(|| self.variable(flag));
        match flag.kind {
            FlagKind::One(Some(default)) if self.findings.len() == faults => {
                Some(given.unwrap_or_else(|| default.to_owned()))
            }
            _ => given,
        }
    }

    /// Returns the text of a flag's variable. One that is set but empty is most often a script's
    /// own variable that was never filled, so it is not taken for "not set".
    fn variable(&mut self, flag: Flag) -> Option<String> {
        let value = self.variables.get(&flag.variable())?;
        match value.to_str() {
            Some("") => {
                self.findings.add(flag.place(), "the variable is set but empty");
                None
            }
            Some(text) => Some(text.to_owned()),
            None => {
                self.findings.add(flag.place(), "the variable is not valid UTF-8");
                None
            }
        }
    }

    fn parse<T>(&mut self, flag: Flag, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if text.is_empty() {
            self.findings.add(flag.place(), "empty");
            return None;
        }
        match text.parse() {
            Ok(value) => Some(value),
            Err(err) => {
                let expected = if flag.hint.is_empty() { "true or false" } else { flag.hint };
                self.findings.add(flag.place(), format!("{text:?}: {err}; expected {expected}"));
                None
            }
        }
    }
}

/// Returns the flag that the parser stopped at, without dashes.
fn flag_of(fault: &Fail) -> &str {
    match fault {
        Fail::ArgumentMissing(name)
        | Fail::UnrecognizedOption(name)
        | Fail::OptionMissing(name)
        | Fail::OptionDuplicated(name)
        | Fail::UnexpectedArgument(name) => name,
    }
}

/// Tells what is wrong, without the value, which may be a secret.
fn reason(fault: &Fail) -> &'static str {
    match fault {
        Fail::ArgumentMissing(_) => "the value is missing",
        Fail::UnrecognizedOption(_) => "unknown flag",
        Fail::OptionMissing(_) => "missing",
        Fail::OptionDuplicated(_) => "stands more than once",
        Fail::UnexpectedArgument(_) => "takes no value",
    }
}

/// Removes the words that the parser stopped at; returns whether there were any.
fn remove_fault(words: &mut Vec<String>, fault: &Fail) -> bool {
    let name = flag_of(fault);
    let is_it = |word: &String| {
        let word = word.trim_start_matches('-');
        word == name || word.strip_prefix(name).is_some_and(|rest| rest.starts_with('='))
    };
    let is_flag = |word: &String| word.starts_with('-') && is_it(word);
    let at = match fault {
        // A short flag can be one letter out of a word of several.
        Fail::UnrecognizedOption(letter) if letter.chars().count() == 1 => {
            words.iter().position(|word| is_flag(word) || is_short_with(word, letter))
        }
        _ => words.iter().rposition(is_flag),
    };
    let Some(at) = at else {
        return false;
    };
    let word = words.remove(at);
    let has_value_after = matches!(fault, Fail::OptionDuplicated(_)) && !word.contains('=');
    if has_value_after && words.get(at).is_some_and(|next| !next.starts_with('-')) {
        words.remove(at);
    }
    true
}

fn is_short_with(word: &str, letter: &str) -> bool {
    word.starts_with('-') && !word.starts_with("--") && word.contains(letter)
}
