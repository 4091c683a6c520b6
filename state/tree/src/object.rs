//! Parses the fields of a JSON object and adds a finding with its place for each fault.

use serde_json::{Map, Value};
use sill_base::{Findings, Millis, Name};

/// The location of a value: the path of the subtree and the fields and indexes that lead to it. It
/// borrows the enclosing place instead of building a text, because only the places of findings are
/// printed.
#[derive(Debug, Clone, Copy)]
pub enum Place<'a> {
    /// The whole document of the subtree with this path.
    Top(&'a str),
    /// A field of the object at the enclosing place.
    Field(&'a Place<'a>, &'a str),
    /// An element, by index, of the list at the enclosing place.
    Element(&'a Place<'a>, usize),
}

/// A JSON object whose fields are parsed one by one. Fields that were never requested are unknown.
#[derive(Debug)]
pub struct Object<'a> {
    fields: &'a Map<String, Value>,
    place: Place<'a>,
    /// Names of the fields that were requested so far.
    requested: Vec<&'static str>,
}

impl<'a> Place<'a> {
    /// Returns the place of a subtree's whole document; `/` stands for the root.
    pub fn top(path: &'a str) -> Self {
        Self::Top(if path.is_empty() { "/" } else { path })
    }

    /// Returns the place of a field of the object at this place.
    pub fn field(&'a self, name: &'a str) -> Self {
        Self::Field(self, name)
    }

    /// Returns the place of an element of the list at this place.
    pub fn element(&'a self, index: usize) -> Self {
        Self::Element(self, index)
    }

    /// Returns the place as findings print it, such as `team/a: routes.r.split[0]`.
    pub fn text(&self) -> String {
        match self {
            Self::Top(path) => (*path).to_owned(),
            Self::Field(Self::Top(path), name) => format!("{path}: {name}"),
            Self::Field(parent, name) => format!("{}.{name}", parent.text()),
            Self::Element(parent, index) => format!("{}[{index}]", parent.text()),
        }
    }
}

impl<'a> Object<'a> {
    /// Starts to parse a value that must be an object; adds a finding if it is not.
    pub fn open(value: &'a Value, place: Place<'a>, findings: &mut Findings) -> Option<Self> {
        match value {
            Value::Object(fields) => Some(Self { fields, place, requested: Vec::new() }),
            other => {
                add_type_mismatch(&place, "an object", other, findings);
                None
            }
        }
    }

    /// Returns the place of a field of this object.
    pub fn place<'b>(&'b self, name: &'b str) -> Place<'b> {
        self.place.field(name)
    }

    /// Returns the value of a field, or `None` if it is missing or `null`.
    pub fn get(&mut self, name: &'static str) -> Option<&'a Value> {
        self.requested.push(name);
        self.fields.get(name).filter(|value| !value.is_null())
    }

    /// Parses an optional field with `reader`.
    pub fn read<T, F>(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
        reader: F,
    ) -> Option<T>
    where
        F: FnOnce(&'a Value, &Place<'_>, &mut Findings) -> Option<T>,
    {
        let value = self.get(name)?;
        reader(value, &self.place(name), findings)
    }

    /// Parses a required field with `reader`; adds a finding if it is missing.
    pub fn required<T, F>(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
        reader: F,
    ) -> Option<T>
    where
        F: FnOnce(&'a Value, &Place<'_>, &mut Findings) -> Option<T>,
    {
        if self.get(name).is_none() {
            findings.add(self.place(name).text(), "missing");
            return None;
        }
        self.read(name, findings, reader)
    }

    /// Parses each element of an optional list with `reader`. A missing list is empty, and elements
    /// that can't be parsed are left out.
    pub fn list<T, F>(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
        mut reader: F,
    ) -> Vec<T>
    where
        F: FnMut(&'a Value, &Place<'_>, &mut Findings) -> Option<T>,
    {
        let parent = self.place;
        let place = parent.field(name);
        let elements = match self.get(name) {
            None => return Vec::new(),
            Some(Value::Array(elements)) => elements,
            Some(other) => {
                add_type_mismatch(&place, "a list", other, findings);
                return Vec::new();
            }
        };
        let read = |(i, value)| reader(value, &place.element(i), findings);
        elements.iter().enumerate().filter_map(read).collect()
    }

    /// Parses each entry of an optional object whose keys are names. Adds a finding for each key
    /// that is not a valid name.
    pub fn entries_by_name<T, F>(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
        mut reader: F,
    ) -> Vec<(Name, T)>
    where
        F: FnMut(&'a Value, Place<'_>, &mut Findings) -> Option<T>,
    {
        let parent = self.place;
        let place = parent.field(name);
        let fields = match self.get(name) {
            None => return Vec::new(),
            Some(Value::Object(fields)) => fields,
            Some(other) => {
                add_type_mismatch(&place, "an object with a field for each name", other, findings);
                return Vec::new();
            }
        };
        let mut entries = Vec::new();
        for (key, value) in fields {
            if !Name::is_well_formed(key) {
                findings.add(place.field(key).text(), INVALID_NAME);
            }
            if let Some(value) = reader(value, place.field(key), findings) {
                entries.push((Name::from(key.as_str()), value));
            }
        }
        entries
    }

    /// Adds a finding for each field that was not requested before.
    pub fn reject_unknown_fields(self, findings: &mut Findings) {
        for name in self.fields.keys().filter(|name| !self.requested.contains(&name.as_str())) {
            let known = self.requested.join(", ");
            findings
                .add(self.place(name).text(), format!("unknown field; expected one of {known}"));
        }
    }
}

/// Reason of the finding for an invalid name.
pub const INVALID_NAME: &str =
    "not a well-formed name; expected 1 to 64 of letters, digits, `-_.`, the first no sign";

/// Parses a string.
pub fn text(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<String> {
    let text = value.as_str().map(str::to_owned);
    if text.is_none() {
        add_type_mismatch(place, "a text", value, findings);
    }
    text
}

/// Parses a name; adds a finding if it is not well-formed.
pub fn name(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Name> {
    let text = text(value, place, findings)?;
    if !Name::is_well_formed(&text) {
        findings.add(place.text(), INVALID_NAME);
    }
    Some(text.into())
}

/// Parses a boolean.
pub fn boolean(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<bool> {
    if value.as_bool().is_none() {
        add_type_mismatch(place, "true or false", value, findings);
    }
    value.as_bool()
}

/// Parses an integer from 0 to `u64::MAX`.
pub fn integer(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<u64> {
    if value.as_u64().is_none() {
        add_type_mismatch(place, "a whole number", value, findings);
    }
    value.as_u64()
}

/// Parses an integer from 0 to `u32::MAX`.
pub fn integer_u32(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<u32> {
    let number = integer(value, place, findings)?;
    let converted = u32::try_from(number).ok();
    if converted.is_none() {
        findings.add(place.text(), format!("{number} is more than {}", u32::MAX));
    }
    converted
}

/// Parses a duration in milliseconds, which must be above 0.
pub fn millis(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Millis> {
    let Some(number) = value.as_u64() else {
        add_type_mismatch(place, "a whole number of milliseconds", value, findings);
        return None;
    };
    if number == 0 {
        findings.add(place.text(), "expected more than 0 milliseconds");
    }
    Some(Millis(number))
}

/// Parses a rate per second, which must be above 0.
pub fn rate(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<f64> {
    let Some(number) = value.as_f64() else {
        add_type_mismatch(place, "a number a second", value, findings);
        return None;
    };
    if number <= 0.0 {
        findings.add(place.text(), format!("expected more than 0, found {number}"));
    }
    Some(number)
}

/// Adds a finding for a value of the wrong type.
fn add_type_mismatch(place: &Place<'_>, what: &str, found: &Value, findings: &mut Findings) {
    let found = match found {
        Value::Null => "null".to_owned(),
        Value::Bool(found) => found.to_string(),
        Value::Number(found) => found.to_string(),
        // A string may be a secret key in place of its hash, so findings don't repeat it.
        Value::String(_) => "a text".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::Object(_) => "an object".to_owned(),
    };
    findings.add(place.text(), format!("expected {what}, found {found}"));
}
