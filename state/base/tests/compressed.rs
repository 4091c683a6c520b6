//! Packed texts come back as they were, and damaged ones are noticed.

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
fn texts_come_back_as_they_were() {
    let cases = ["", "a", "{\"a\":1}", "ä€\u{0}\"\\", &"route ".repeat(100_000)];
    for text in cases {
        assert_eq!(CompressedText::new(text).decompress().as_deref(), Ok(text));
        let message = Message { text: text.into() };
        let json = serde_json::to_string(&message).expect("it can be written");
        assert!(
            json.len() < COMPRESSION_THRESHOLD.max(text.len() / 10) + 100,
            "{} bytes",
            json.len()
        );
        assert_eq!(serde_json::from_str::<Message>(&json).expect("it can be read"), message);
    }
}

#[test]
fn a_damaged_text_is_an_error_and_no_panic() {
    // A piece of settings is damaged on its way, or written by something else. Whoever reads it must
    // notice; a text that claims to be huge must not take the memory of a small instance.
    struct Case {
        name: &'static str,
        packed: String,
    }
    let json =
        |text: &str| serde_json::to_string(&CompressedText::new(text)).expect("it can be written");
    let whole = json(&"abc".repeat(1000));
    let huge = json(&"\0".repeat((64 << 20) + 1));
    let cases = [
        Case { name: "empty", packed: "\"\"".to_owned() },
        Case { name: "not base64", packed: "\"~~~\"".to_owned() },
        Case { name: "not compressed", packed: "\"YWJj\"".to_owned() },
        Case { name: "cut", packed: format!("{}\"", &whole[..whole.len() / 2]) },
        Case { name: "huge", packed: huge },
    ];
    for Case { name, packed } in cases {
        let packed: CompressedText = serde_json::from_str(&packed).expect("a string");
        assert!(packed.decompress().is_err(), "{name}");
    }
}
