//! The load tool against a stand-in endpoint: what it sends, and what it notices.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sill_base::random::{cases, seed};
use sill_base::{Millis, Secret};
use sill_load::exchange::Content;
use sill_load::mix::{Chat, Mix};
use sill_load::plot;
use sill_load::report::Report;
use sill_load::run::{LoadCfg, Pace, run};
use sill_load::sse::SseReader;
use sill_standin::endpoint::{Endpoint, EndpointCfg};

const MIX: &str = r#"{"kinds":[
    {"weight":3,"ask":{"of":"chat","max_tokens":4,"prompt_words":9}},
    {"weight":1,"ask":{"of":"plain","service":"cases","method":"POST","path":"/n/"},"keyed":true,"idempotent":false}
]}"#;

fn load(entry: &Endpoint, pace: Pace, model: &str) -> Report {
    let chat = Chat { model: model.to_owned(), max_tokens: 3, ..Chat::default() };
    let cfg = LoadCfg {
        entries: vec![entry.address],
        key: Secret::new("any"),
        pace,
        length: Millis(300),
        mix: Mix::halves(&chat),
        threads: 2,
    };
    run(cfg).expect("a report")
}

fn endpoint(slots: u32) -> Endpoint {
    let cfg = EndpointCfg { slots, decode: Millis(1), ..EndpointCfg::default() };
    Endpoint::start(cfg).expect("an endpoint")
}

#[test]
fn every_answer_is_counted_and_checked() {
    let endpoint = endpoint(64);
    for pace in [Pace::Concurrency(4), Pace::Rate(200.0)] {
        let report = load(&endpoint, pace, "m");
        let counts = report.counts;
        assert!(counts.whole > 0 && counts.whole == counts.sent, "{pace:?}: {report:?}");
        assert_eq!(counts.tokens, 3 * counts.whole);
        assert!(report.ttft.count > 0 && report.total.count == counts.whole);
    }
}

/// An endpoint is slow, and a tool that waits for each answer before it sends the next one would
/// see few slow answers. At a fixed rate each request that had to wait is sent and counted.
#[test]
fn a_fixed_rate_goes_on_while_answers_are_late() {
    let report = load(&endpoint(1), Pace::Rate(100.0), "m");
    assert_eq!(report.counts.sent, 30, "300 ms at 100 a second: {report:?}");
    assert_eq!(report.counts.whole, 30);
}

#[test]
fn a_mix_is_the_same_for_the_same_number_and_follows_its_weights() {
    let mix = Mix::read(MIX).expect("a mix");
    let plain = |number: &u64| matches!(mix.request(1, *number).content, Content::Plain { .. });
    let calls = (0..4000).filter(plain).count();
    assert!((800..1200).contains(&calls), "a quarter of 4000: {calls}");
    let (first, again) = (mix.request(1, 7), mix.request(1, 7));
    assert_eq!(format!("{first:?}"), format!("{again:?}"));
    let number = (0..).find(plain).expect("a call");
    let names = mix.request(1, number).headers.into_iter().map(|header| header.name);
    assert_eq!(names.collect::<Vec<_>>(), ["idempotency-key", "sill-idempotent"]);
}

#[test]
fn a_wrong_mix_is_refused() {
    let cases = [
        ("{}", "missing field `kinds`"),
        (r#"{"kinds":[]}"#, "at least one with a weight"),
        (r#"{"kinds":[{"wait":1}]}"#, "unknown field `wait`"),
        (
            r#"{"kinds":[{"ask":{"of":"plain","service":"s","method":"A B","path":"/"}}]}"#,
            "unknown method",
        ),
    ];
    for (text, reason) in cases {
        let findings = Mix::read(text).expect_err(text).to_string();
        assert!(findings.contains(reason), "{text}: {findings}");
    }
}

#[test]
fn a_report_is_drawn() {
    let report = load(&endpoint(8), Pace::Concurrency(2), "m");
    let file = std::env::temp_dir().join(format!("sill-plot-{}.svg", std::process::id()));
    plot::draw(&report, &file).expect("a picture");
    let picture = std::fs::read_to_string(&file).expect("a file");
    std::fs::remove_file(&file).expect("our own file");
    assert!(picture.contains("<svg") && picture.contains("time to first token"));
}

/// The network cuts a stream into pieces anywhere, also within a character.
#[test]
fn events_are_read_from_pieces_of_any_size() {
    let mut bytes = [3; 32];
    bytes[..8].copy_from_slice(&seed(1).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let cfg = Config { cases: cases(500), ..Config::default() };
    let strategy =
        (vec("[^\\r\\n\\x0b\\x0c\u{85}\u{2028}\u{2029}]{0,12}", 0..6), vec(1..9_usize, 1..9));
    let run = TestRunner::new_with_rng(cfg, rng).run(&strategy, |(events, sizes)| {
        let stream: String = events.iter().map(|data| format!("id: 1\ndata: {data}\n\n")).collect();
        let mut reader = SseReader::default();
        let mut read = Vec::new();
        let (mut rest, mut sizes) = (stream.as_bytes(), sizes.iter().cycle());
        while !rest.is_empty() {
            let (piece, after) = rest.split_at((*sizes.next().expect("a size")).min(rest.len()));
            read.extend(reader.feed(piece));
            rest = after;
        }
        prop_assert_eq!(read, events);
        Ok(())
    });
    run.expect("every stream");
}
