//! Compressed texts are restored unchanged, and corrupt ones are detected.

use serde::{Deserialize, Serialize};
use sill_base::CompressedText;
use sill_base::compressed::COMPRESSION_THRESHOLD;
use std::sync::Arc;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Message {
    #[serde(with = "sill_base::compressed::text")]
    text: Arc<str>,
}

#[test]
fn texts_are_restored_unchanged() {
    let cases = ["", "a", "{\"a\":1}", "ä€\u{0}\"\\", &"route ".repeat(100_000)];
    for text in cases {
        assert_eq!(CompressedText::new(text).decompress().as_deref(), Ok(text));
        let message = Message { text: text.into() };
        let json = serde_json::to_string(&message).expect("the message can be serialized");
        assert!(
            json.len() < COMPRESSION_THRESHOLD.max(text.len() / 10) + 100,
            "{} bytes of JSON for a text of {} bytes",
            json.len(),
            text.len()
        );
        assert_eq!(
            serde_json::from_str::<Message>(&json).expect("the JSON can be read back"),
            message
        );
    }
}

/// A piece of settings may be corrupted in transit or written by another program. Its reader must
/// detect that, and a text that expands to a huge size must not exhaust the memory of a small
/// instance.
#[test]
fn a_corrupt_text_is_an_error_and_no_panic() {
    struct Case {
        name: &'static str,
        json: String,
    }
    let compressed = |text: &str| {
        serde_json::to_string(&CompressedText::new(text)).expect("the text can be serialized")
    };
    let intact = compressed(&"abc".repeat(1000));
    let huge = compressed(&"\0".repeat((64 << 20) + 1));
    let cases = [
        Case { name: "empty", json: "\"\"".to_owned() },
        Case { name: "not base64", json: "\"~~~\"".to_owned() },
        Case { name: "not compressed", json: "\"YWJj\"".to_owned() },
        Case { name: "truncated", json: format!("{}\"", &intact[..intact.len() / 2]) },
        Case { name: "huge", json: huge },
    ];
    for Case { name, json } in cases {
        let text: CompressedText = serde_json::from_str(&json).expect("the JSON is a string");
        assert!(text.decompress().is_err(), "case {name:?} was decompressed without an error");
    }
}
