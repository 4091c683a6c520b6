//! Reads the fields of a JSON object and notes every fault with its place.

use serde_json::{Map, Value};
use sill_base::{Findings, Millis, Name};

/// Where something stands: the subtree's path and the fields down to it. It refers to the place above, as
/// few places are ever written out.
#[derive(Debug, Clone, Copy)]
pub enum Place<'a> {
    /// The top of the document of the subtree with this path.
    Top(&'a str),
    /// A field of what stands above.
    Field(&'a Place<'a>, &'a str),
    /// An element of what stands above.
    Element(&'a Place<'a>, usize),
}

/// An object whose fields are read one after another; those left over are unknown.
#[derive(Debug)]
pub struct Object<'a> {
    fields: &'a Map<String, Value>,
    place: Place<'a>,
    known: Vec<&'static str>,
}

impl<'a> Place<'a> {
    /// The top of a subtree's document.
    pub fn top(path: &'a str) -> Self {
        Self::Top(if path.is_empty() { "/" } else { path })
    }

    /// A field below.
    pub fn field(&'a self, name: &'a str) -> Self {
        Self::Field(self, name)
    }

    /// An element below.
    pub fn element(&'a self, index: usize) -> Self {
        Self::Element(self, index)
    }

    /// Returns the text for a finding.
    pub fn text(&self) -> String {
        match self {
            Self::Top(path) => (*path).to_owned(),
            Self::Field(Self::Top(path), name) => format!("{path}: {name}"),
            Self::Field(above, name) => format!("{}.{name}", above.text()),
            Self::Element(above, index) => format!("{}[{index}]", above.text()),
        }
    }
}

impl<'a> Object<'a> {
    /// Opens a value that has to be an object.
    pub fn open(value: &'a Value, place: Place<'a>, findings: &mut Findings) -> Option<Self> {
        match value {
            Value::Object(fields) => Some(Self { fields, place, known: Vec::new() }),
            other => {
                expected(&place, "an object", other, findings);
                None
            }
        }
    }

    /// Returns the place of a field.
    pub fn place<'b>(&'b self, name: &'b str) -> Place<'b> {
        self.place.field(name)
    }

    /// Returns a field; `null` counts as left out.
    pub fn get(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
        self.fields.get(name).filter(|value| !value.is_null())
    }

    /// Reads a field with a reader of its value.
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

    /// Reads a field that must be there.
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

    /// Reads a list field, empty where left out; every bad element is noted.
    pub fn list<T, F>(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
        mut reader: F,
    ) -> Vec<T>
    where
        F: FnMut(&'a Value, &Place<'_>, &mut Findings) -> Option<T>,
    {
        let above = self.place;
        let place = above.field(name);
        let elements = match self.get(name) {
            None => return Vec::new(),
            Some(Value::Array(elements)) => elements,
            Some(other) => {
                expected(&place, "a list", other, findings);
                return Vec::new();
            }
        };
        let read = |(i, value)| reader(value, &place.element(i), findings);
        elements.iter().enumerate().filter_map(read).collect()
    }

    /// Reads a field that holds one object for each name.
    pub fn entries_by_name<T, F>(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
        mut reader: F,
    ) -> Vec<(Name, T)>
    where
        F: FnMut(&'a Value, Place<'_>, &mut Findings) -> Option<T>,
    {
        let above = self.place;
        let place = above.field(name);
        let fields = match self.get(name) {
            None => return Vec::new(),
            Some(Value::Object(fields)) => fields,
            Some(other) => {
                expected(&place, "an object with a field for each name", other, findings);
                return Vec::new();
            }
        };
        let mut read = Vec::new();
        for (key, value) in fields {
            if !Name::is_well_formed(key) {
                findings.add(place.field(key).text(), INVALID_NAME);
            }
            if let Some(value) = reader(value, place.field(key), findings) {
                read.push((Name::from(key.as_str()), value));
            }
        }
        read
    }

    /// Notes every field that was not asked for.
    pub fn reject_unknown_fields(self, findings: &mut Findings) {
        for name in self.fields.keys().filter(|name| !self.known.contains(&name.as_str())) {
            let known = self.known.join(", ");
            findings
                .add(self.place(name).text(), format!("unknown field; expected one of {known}"));
        }
    }
}

/// The reason for a name of the wrong shape.
pub const INVALID_NAME: &str =
    "not a well-formed name; expected 1 to 64 of letters, digits, `-_.`, the first no sign";

/// Reads any text.
pub fn text(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<String> {
    let text = value.as_str().map(str::to_owned);
    if text.is_none() {
        expected(place, "a text", value, findings);
    }
    text
}

/// Reads a well-formed name.
pub fn name(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Name> {
    let text = text(value, place, findings)?;
    if !Name::is_well_formed(&text) {
        findings.add(place.text(), INVALID_NAME);
    }
    Some(text.into())
}

/// Reads true or false.
pub fn boolean(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<bool> {
    if value.as_bool().is_none() {
        expected(place, "true or false", value, findings);
    }
    value.as_bool()
}

/// Reads a whole number.
pub fn integer(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<u64> {
    if value.as_u64().is_none() {
        expected(place, "a whole number", value, findings);
    }
    value.as_u64()
}

/// Reads a whole number that fits 32 bits.
pub fn integer_u32(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<u32> {
    let number = integer(value, place, findings)?;
    let fitting = u32::try_from(number).ok();
    if fitting.is_none() {
        findings.add(place.text(), format!("{number} is more than {}", u32::MAX));
    }
    fitting
}

/// Reads a span of time above zero.
pub fn millis(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Millis> {
    let Some(number) = value.as_u64() else {
        expected(place, "a whole number of milliseconds", value, findings);
        return None;
    };
    if number == 0 {
        findings.add(place.text(), "expected more than 0 milliseconds");
    }
    Some(Millis(number))
}

/// Reads a rate above zero.
pub fn rate(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<f64> {
    let Some(number) = value.as_f64() else {
        expected(place, "a number a second", value, findings);
        return None;
    };
    if number <= 0.0 {
        findings.add(place.text(), format!("expected more than 0, found {number}"));
    }
    Some(number)
}

/// Notes a value of the wrong type.
fn expected(place: &Place<'_>, what: &str, found: &Value, findings: &mut Findings) {
    let found = match found {
        Value::Null => "null".to_owned(),
        Value::Bool(found) => found.to_string(),
        Value::Number(found) => found.to_string(),
        // Texts may be keys that were put where a hash belongs.
        Value::String(_) => "a text".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::Object(_) => "an object".to_owned(),
    };
    findings.add(place.text(), format!("expected {what}, found {found}"));
}
