//! Parses JSON text and reports duplicate names within one object.
//!
//! JSON libraries keep the last of two equal names. A settings file that contains an account twice
//! would silently lose one of them, and its callers would be rejected.

use std::cell::RefCell;
use std::fmt::{self, Formatter};

use serde::Deserializer;
use serde::de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use sill_base::Findings;

use crate::object::Place;

/// Parses the JSON text of a subtree's document.
///
/// # Errors
///
/// Returns a finding for each duplicate name, and one if the text is not valid JSON.
pub fn read_json(path: &str, text: &[u8]) -> Result<Value, Findings> {
    let place = Place::top(path);
    let findings = RefCell::new(Findings::new());
    let reader = Reader { place, findings: &findings };
    let mut source = serde_json::Deserializer::from_slice(text);
    let result = reader.deserialize(&mut source).and_then(|value| source.end().map(|()| value));
    let mut findings = findings.into_inner();
    match result {
        Ok(value) => findings.into_result(value),
        Err(err) => {
            findings.add(place.text(), format!("not JSON: {err}"));
            Err(findings)
        }
    }
}

/// Parses one value and collects findings with its place.
struct Reader<'a> {
    place: Place<'a>,
    findings: &'a RefCell<Findings>,
}

impl<'de> DeserializeSeed<'de> for Reader<'_> {
    type Value = Value;

    fn deserialize<D>(self, source: D) -> Result<Value, D::Error>
    where
        D: Deserializer<'de>,
    {
        source.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Reader<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E>
    where
        E: Error,
    {
        let number = Number::from_f64(value).ok_or_else(|| E::custom("number out of range"))?;
        Ok(Value::Number(number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_seq<A>(self, mut elements: A) -> Result<Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut list = Vec::new();
        loop {
            let reader = Reader { place: self.place.element(list.len()), findings: self.findings };
            match elements.next_element_seed(reader)? {
                Some(element) => list.push(element),
                None => return Ok(Value::Array(list)),
            }
        }
    }

    fn visit_map<A>(self, mut fields: A) -> Result<Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut map = Map::new();
        while let Some(name) = fields.next_key::<String>()? {
            let place = self.place.field(&name);
            if map.contains_key(&name) {
                self.findings.borrow_mut().add(place.text(), "the name stands twice");
            }
            let value = fields.next_value_seed(Reader { place, findings: self.findings })?;
            map.insert(name, value);
        }
        Ok(Value::Object(map))
    }
}
