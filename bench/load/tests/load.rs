//! The load generator against a stand-in endpoint: the requests it sends and the checks it makes.

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
    run(cfg).expect("the load runs")
}

fn endpoint(slots: u32) -> Endpoint {
    let cfg = EndpointCfg { slots, decode: Millis(1), ..EndpointCfg::default() };
    Endpoint::start(cfg).expect("the endpoint starts")
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

/// With a slow endpoint, a load generator that waits for each answer before it sends the next
/// request sees few slow answers. At a fixed rate, each request that had to wait must be sent and
/// counted.
#[test]
fn a_fixed_rate_is_kept_while_answers_are_late() {
    let report = load(&endpoint(1), Pace::Rate(100.0), "m");
    assert_eq!(report.counts.sent, 30, "300 ms at 100 a second: {report:?}");
    assert_eq!(report.counts.whole, 30);
}

#[test]
fn the_same_number_gives_the_same_request_and_kinds_follow_their_weights() {
    let mix = Mix::read(MIX).expect("the mix is valid");
    let plain = |number: &u64| matches!(mix.request(1, *number).content, Content::Plain { .. });
    let calls = (0..4000).filter(plain).count();
    assert!((800..1200).contains(&calls), "a quarter of 4000: {calls}");
    let (first, again) = (mix.request(1, 7), mix.request(1, 7));
    assert_eq!(format!("{first:?}"), format!("{again:?}"));
    let number = (0..).find(plain).expect("a quarter of the requests are calls");
    let names = mix.request(1, number).headers.into_iter().map(|header| header.name);
    assert_eq!(names.collect::<Vec<_>>(), ["idempotency-key", "sill-idempotent"]);
}

#[test]
fn an_invalid_mix_is_rejected() {
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
fn a_report_is_plotted() {
    let report = load(&endpoint(8), Pace::Concurrency(2), "m");
    let file = std::env::temp_dir().join(format!("sill-plot-{}.svg", std::process::id()));
    plot::draw(&report, &file).expect("the plot can be written");
    let svg = std::fs::read_to_string(&file).expect("the plot can be read");
    std::fs::remove_file(&file).expect("the plot can be removed");
    assert!(svg.contains("<svg") && svg.contains("time to first token"));
}

/// The network may split a stream anywhere, even within a character; a reader that expects whole
/// events or characters would lose data.
#[test]
fn events_are_read_from_chunks_of_any_size() {
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
        let (mut remaining, mut sizes) = (stream.as_bytes(), sizes.iter().cycle());
        while !remaining.is_empty() {
            let (chunk, after) = remaining.split_at(
                (*sizes.next().expect("the list of sizes is not empty")).min(remaining.len()),
            );
            read.extend(reader.feed(chunk));
            remaining = after;
        }
        prop_assert_eq!(read, events);
        Ok(())
    });
    run.expect("every stream is read completely");
}
