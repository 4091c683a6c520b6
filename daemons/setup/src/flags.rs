//! Parses flags and their environment variables, and reports all findings together.

use std::env;
use std::ffi::OsString;
use std::fmt::Display;
use std::fs;
use std::str::FromStr;

use getopts::{Fail, Matches, Options};
use sill_base::{Findings, Map, Name, Secret};

/// How often a flag may be given, and whether it takes a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlagKind {
    /// At most one value; the default applies if none is given.
    One(Option<&'static str>),
    /// Any number of values; the environment variable holds them separated by commas.
    Many,
    /// No value; the environment variable holds `true` or `false`.
    Switch,
}

/// The declaration of a flag.
#[derive(Debug, Clone, Copy)]
pub struct Flag {
    /// The long name, without dashes.
    pub name: &'static str,
    /// How often the flag may be given, and whether it takes a value.
    pub kind: FlagKind,
    /// The form of the value, as shown by `--help` and in findings; empty for a switch.
    pub hint: &'static str,
    /// The description shown by `--help`.
    pub help: &'static str,
}

/// The command line of a program or of one of its verbs.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// The program's name, with the verb if there is one.
    pub name: &'static str,
    /// The description shown by `--help`.
    pub about: &'static str,
    /// The arguments after the flags, as shown in the usage line.
    pub operands: &'static str,
    /// All flags besides `--help`.
    pub flags: &'static [Flag],
}

/// The result of parsing a command line.
// A process has only one, so its size doesn't matter.
#[allow(clippy::large_enum_variant)]
#[derive(Debug)]
pub enum Outcome {
    /// `--help` was given; contains the text to print.
    Help(String),
    /// The values given, which are not checked yet.
    Values(Values),
}

/// Environment variables by name.
pub type Variables = Map<String, OsString>;

/// The values of flags and environment variables, and the findings so far.
#[derive(Debug)]
pub struct Values {
    program: Program,
    matches: Matches,
    variables: Variables,
    findings: Findings,
    /// The arguments that are not flags.
    pub operands: Vec<String>,
}

impl Flag {
    /// Declares a flag with one value and no default.
    pub const fn one(name: &'static str, hint: &'static str, help: &'static str) -> Self {
        Self { name, kind: FlagKind::One(None), hint, help }
    }

    /// Declares a flag with one value and a default.
    pub const fn with_default(
        name: &'static str,
        hint: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Self { name, kind: FlagKind::One(Some(default)), hint, help }
    }

    /// Declares a flag that may be given more than once.
    pub const fn many(name: &'static str, hint: &'static str, help: &'static str) -> Self {
        Self { name, kind: FlagKind::Many, hint, help }
    }

    /// Declares a flag without a value.
    pub const fn switch(name: &'static str, help: &'static str) -> Self {
        Self { name, kind: FlagKind::Switch, hint: "", help }
    }

    /// Returns the name of the flag's environment variable, for example `SILL_KEY_FILE`.
    pub fn variable(&self) -> String {
        format!("SILL_{}", self.name.to_uppercase().replace('-', "_"))
    }

    /// Returns the place that findings about the flag state: the flag and its variable.
    pub fn place(&self) -> String {
        format!("--{} ({})", self.name, self.variable())
    }
}

impl Program {
    /// Parses the arguments after the program's name, with the environment of this process.
    ///
    /// # Errors
    ///
    /// Returns findings if the arguments can't be parsed even without those at fault.
    pub fn parse<I>(&self, args: I) -> Result<Outcome, Findings>
    where
        I: IntoIterator<Item = String>,
    {
        let text_names =
            env::vars_os().filter_map(|(name, value)| Some((name.into_string().ok()?, value)));
        self.parse_with(args, text_names.collect())
    }

    /// Parses the arguments after the program's name, with the given environment variables.
    /// Findings about the arguments are kept and reported together with those about the values.
    ///
    /// # Errors
    ///
    /// Returns findings if the arguments can't be parsed even without those at fault.
    pub fn parse_with<I>(&self, args: I, variables: Variables) -> Result<Outcome, Findings>
    where
        I: IntoIterator<Item = String>,
    {
        let options = self.options();
        let mut args: Vec<String> = args.into_iter().collect();
        let mut findings = Findings::new();
        // The parser stops at the first fault. Without the argument at fault it reaches the next
        // one.
        let matches = loop {
            match options.parse(&args) {
                Ok(matches) => break matches,
                Err(fail) => {
                    findings.add(self.failure_place(&fail), failure_reason(&fail));
                    if !remove_failed_arg(&mut args, &fail) {
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

    /// Parses the arguments after the program's name. Prints the help text and returns `None` if
    /// `--help` is among them.
    ///
    /// # Errors
    ///
    /// Returns findings if the arguments can't be parsed even without those at fault.
    pub fn values_or_help<I>(&self, args: I) -> Result<Option<Values>, Findings>
    where
        I: IntoIterator<Item = String>,
    {
        match self.parse(args)? {
            Outcome::Help(text) => {
                print!("{text}");
                Ok(None)
            }
            Outcome::Values(values) => Ok(Some(values)),
        }
    }

    fn options(&self) -> Options {
        let mut options = Options::new();
        options.optflag("h", "help", "print this help");
        for flag in self.flags {
            match flag.kind {
                FlagKind::One(_) => options.optopt("", flag.name, flag.help, flag.hint),
                FlagKind::Many => options.optmulti("", flag.name, flag.help, flag.hint),
                FlagKind::Switch => options.optflag("", flag.name, flag.help),
            };
        }
        options
    }

    fn failure_place(&self, fail: &Fail) -> String {
        let name = flag_name(fail);
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
    /// Returns the value of an optional flag without a default.
    pub fn optional<T>(&mut self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.single_text(name)?;
        self.parse(self.flag(name), &text)
    }

    /// Returns the value of a flag that must be given or has a default; adds a finding otherwise.
    ///
    /// The result is `Some` whenever [`Values::finish`] succeeds.
    pub fn required<T>(&mut self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let flag = self.flag(name);
        let finding_count = self.findings.len();
        match self.single_text(name) {
            Some(text) => self.parse(flag, &text),
            None => {
                if self.findings.len() == finding_count {
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
            let list = self.variable(flag).unwrap_or_default();
            texts = list.split(',').filter(|t| !t.is_empty()).map(str::to_owned).collect();
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

    /// Returns the value of a required flag that is a well-formed name; adds a finding otherwise.
    pub fn name(&mut self, name: &str) -> Option<Name> {
        let text: String = self.required(name)?;
        if Name::is_well_formed(&text) {
            return Some(text.into());
        }
        let place = self.flag(name).place();
        self.findings.add(place, format!("{text:?}: expected 1 to 64 of letters, digits, `-_.`"));
        None
    }

    /// Returns the secret in the file that a required flag names, without surrounding whitespace.
    pub fn secret(&mut self, name: &str) -> Option<Secret> {
        let path: String = self.required(name)?;
        self.read_secret(name, path)
    }

    /// Returns the secret in the file that an optional flag names, without surrounding whitespace.
    pub fn optional_secret(&mut self, name: &str) -> Option<Secret> {
        let path: String = self.optional(name)?;
        self.read_secret(name, path)
    }

    fn read_secret(&mut self, name: &str, path: String) -> Option<Secret> {
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

    /// Adds a finding about a flag.
    pub fn add_finding(&mut self, name: &str, reason: impl Into<String>) {
        let place = self.flag(name).place();
        self.findings.add(place, reason);
    }

    /// Completes the check of all values.
    ///
    /// # Errors
    ///
    /// Returns all findings so far, each with its flag and variable.
    pub fn finish(&mut self) -> Result<(), Findings> {
        std::mem::take(&mut self.findings).into_result(())
    }

    fn flag(&self, name: &str) -> Flag {
        let flag = self.program.flags.iter().find(|f| f.name == name);
        *flag.unwrap_or_else(|| panic!("flag --{name} is not declared"))
    }

    /// Returns the text of a flag, of its variable or of its default, in this order.
    fn single_text(&mut self, name: &str) -> Option<String> {
        let flag = self.flag(name);
        let finding_count = self.findings.len();
        let text = self.matches.opt_str(name).or_else(|| self.variable(flag));
        match flag.kind {
            FlagKind::One(Some(default)) if self.findings.len() == finding_count => {
                Some(text.unwrap_or_else(|| default.to_owned()))
            }
            _ => text,
        }
    }

    /// Returns the text of a flag's environment variable. A variable that is set but empty is a
    /// finding and does not count as unset: most often a script's own variable was never assigned.
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

/// Returns the name of the flag at which the parser stopped, without dashes.
fn flag_name(fail: &Fail) -> &str {
    match fail {
        Fail::ArgumentMissing(name)
        | Fail::UnrecognizedOption(name)
        | Fail::OptionMissing(name)
        | Fail::OptionDuplicated(name)
        | Fail::UnexpectedArgument(name) => name,
    }
}

/// Describes a fault without the value, which may be a secret.
fn failure_reason(fail: &Fail) -> &'static str {
    match fail {
        Fail::ArgumentMissing(_) => "the value is missing",
        Fail::UnrecognizedOption(_) => "unknown flag",
        Fail::OptionMissing(_) => "missing",
        Fail::OptionDuplicated(_) => "given more than once",
        Fail::UnexpectedArgument(_) => "takes no value",
    }
}

/// Removes the argument at which the parser stopped, and its value if the flag was given more than
/// once; returns whether such an argument was found.
fn remove_failed_arg(args: &mut Vec<String>, fail: &Fail) -> bool {
    let name = flag_name(fail);
    let has_name = |arg: &String| {
        let arg = arg.trim_start_matches('-');
        arg == name || arg.strip_prefix(name).is_some_and(|rest| rest.starts_with('='))
    };
    let is_flag = |arg: &String| arg.starts_with('-') && has_name(arg);
    let index = match fail {
        // A short flag can be one letter of an argument that combines several.
        Fail::UnrecognizedOption(letter) if letter.chars().count() == 1 => {
            args.iter().position(|arg| is_flag(arg) || has_short_flag(arg, letter))
        }
        _ => args.iter().rposition(is_flag),
    };
    let Some(index) = index else {
        return false;
    };
    let arg = args.remove(index);
    let may_have_value_arg = matches!(fail, Fail::OptionDuplicated(_)) && !arg.contains('=');
    if may_have_value_arg && args.get(index).is_some_and(|next| !next.starts_with('-')) {
        args.remove(index);
    }
    true
}

fn has_short_flag(arg: &str, letter: &str) -> bool {
    arg.starts_with('-') && !arg.starts_with("--") && arg.contains(letter)
}
