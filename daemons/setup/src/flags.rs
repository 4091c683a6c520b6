//! Flags, each with an environment variable, checked and reported together.

use std::env;
use std::fmt::Display;
use std::fs;
use std::str::FromStr;

use getopts::{Matches, Options};
use sill_base::{Findings, Name, Secret};

/// How often a flag may stand, and whether it takes a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
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
    pub kind: Kind,
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
#[derive(Debug)]
pub enum Outcome {
    /// `--help` was asked for; this is the text.
    Help(String),
    /// Values to be checked.
    Values(Values),
}

/// Values of flags and variables, and what was wrong with them so far.
#[derive(Debug)]
pub struct Values {
    program: Program,
    matches: Matches,
    findings: Findings,
    /// Words that are not flags.
    pub operands: Vec<String>,
}

impl Flag {
    /// Makes a flag with one value that has no default.
    pub const fn one(name: &'static str, hint: &'static str, help: &'static str) -> Self {
        Self { name, kind: Kind::One(None), hint, help }
    }

    /// Makes a flag with one value and a default.
    pub const fn with_default(
        name: &'static str,
        hint: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Self { name, kind: Kind::One(Some(default)), hint, help }
    }

    /// Makes a flag that may stand more than once.
    pub const fn many(name: &'static str, hint: &'static str, help: &'static str) -> Self {
        Self { name, kind: Kind::Many, hint, help }
    }

    /// Makes a flag without a value.
    pub const fn switch(name: &'static str, help: &'static str) -> Self {
        Self { name, kind: Kind::Switch, hint: "", help }
    }

    /// Returns the flag's environment variable.
    pub fn variable(&self) -> String {
        format!("SILL_{}", self.name.to_uppercase().replace('-', "_"))
    }
}

impl Program {
    /// Reads the words after the program's name.
    ///
    /// # Errors
    ///
    /// Returns a finding for a flag that is unknown, stands twice or lacks its value.
    pub fn read<I>(&self, words: I) -> Result<Outcome, Findings>
    where
        I: IntoIterator<Item = String>,
    {
        let mut options = Options::new();
        options.optflag("h", "help", "show this text");
        for flag in self.flags {
            match flag.kind {
                Kind::One(_) => options.optopt("", flag.name, flag.help, flag.hint),
                Kind::Many => options.optmulti("", flag.name, flag.help, flag.hint),
                Kind::Switch => options.optflag("", flag.name, flag.help),
            };
        }
        let matches =
            options.parse(words).map_err(|err| Findings::one("command line", err.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Outcome::Help(self.help()));
        }
        let operands = matches.free.clone();
        Ok(Outcome::Values(Values { program: *self, matches, findings: Findings::new(), operands }))
    }

    /// Returns the text of `--help`.
    pub fn help(&self) -> String {
        let mut text = format!(
            "{}: {}\n\nUsage: {} [FLAGS] {}\n",
            self.name, self.about, self.name, self.operands
        );
        text.push_str("\nFlags, each with its environment variable:\n");
        for flag in self.flags {
            let repeat = if flag.kind == Kind::Many { " (may be repeated)" } else { "" };
            let default = match flag.kind {
                Kind::One(Some(default)) => format!(" [default: {default}]"),
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
        let (place, text) = self.one(name)?;
        self.parse(&place, &text)
    }

    /// Returns a value that must be given or has a default; notes a finding otherwise.
    ///
    /// The result is `Some` whenever [`Values::finish`] succeeds.
    pub fn required<T>(&mut self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.one(name) {
            Some((place, text)) => self.parse(&place, &text),
            None => {
                let place = self.place(name);
                self.findings.add(place, "missing");
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
        let mut texts = self.matches.opt_strs(name);
        if texts.is_empty() {
            let listed = env::var(self.flag(name).variable()).unwrap_or_default();
            texts = listed.split(',').filter(|t| !t.is_empty()).map(str::to_owned).collect();
        }
        let place = self.place(name);
        texts.iter().filter_map(|text| self.parse(&place, text)).collect()
    }

    /// Returns whether a switch is on.
    pub fn switch(&mut self, name: &str) -> bool {
        if self.matches.opt_present(name) {
            return true;
        }
        let place = self.place(name);
        match env::var(self.flag(name).variable()) {
            Ok(text) => self.parse(&place, &text).unwrap_or(false),
            Err(_) => false,
        }
    }

    /// Returns a well-formed name.
    pub fn name(&mut self, name: &str) -> Option<Name> {
        let text: String = self.required(name)?;
        if Name::is_well_formed(&text) {
            return Some(text.into());
        }
        let place = self.place(name);
        self.findings.add(place, format!("{text:?}: expected 1 to 64 of letters, digits, `-_.`"));
        None
    }

    /// Returns the secret that stands in the file a flag names.
    pub fn secret(&mut self, name: &str) -> Option<Secret> {
        let path: String = self.required(name)?;
        let place = self.place(name);
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
    pub fn finding(&mut self, name: &str, reason: impl Into<String>) {
        let place = self.place(name);
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

    fn place(&self, name: &str) -> String {
        format!("--{name} ({})", self.flag(name).variable())
    }

    fn one(&self, name: &str) -> Option<(String, String)> {
        let flag = self.flag(name);
        let given = self.matches.opt_str(name).or_else(|| env::var(flag.variable()).ok());
        let text = match flag.kind {
            Kind::One(default) => given.or(default.map(str::to_owned)),
            _ => given,
        };
        text.map(|text| (self.place(name), text))
    }

    fn parse<T>(&mut self, place: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(err) => {
                self.findings.add(place, format!("{text:?}: {err}"));
                None
            }
        }
    }
}
