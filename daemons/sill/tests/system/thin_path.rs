//! The whole path with real processes: caller, entry, endpoint, and a settings change by `sill`.

use crate::harness::{CALLER_KEY, Folder, call, free_addresses, hash, http, sill, wait_until};

#[test]
fn a_settings_change_makes_a_request_served_and_another_one_stops_it() {
    let folder = Folder::new("thin");
    let free = free_addresses(4);
    let [operators, control, callers, _] = free[..] else { unreachable!() };
    let addresses = free.iter().map(ToString::to_string).collect::<Vec<_>>();
    let (cluster_key, join_token) = (folder.file("cluster-key"), folder.file("join-token"));
    let root_token = folder.file("root-token");
    let voter = format!("c1@a@{control}");

    let _control = folder.start(
        "control.log",
        &[
            "control",
            "--name",
            "c1",
            "--domain",
            "a",
            "--listen",
            &addresses[0],
            "--listen-peer",
            &addresses[1],
            "--voter",
            &voter,
            "--data",
            &folder.file("data"),
            "--cluster-key-file",
            &cluster_key,
            "--root-token-file",
            &root_token,
        ],
    );
    let _entry = folder.start(
        "entry.log",
        &[
            "entry",
            "--name",
            "e1",
            "--domain",
            "a",
            "--listen",
            &addresses[2],
            "--listen-peer",
            &addresses[3],
            "--control",
            &addresses[1],
            "--cluster-key-file",
            &cluster_key,
            "--join-token-file",
            &join_token,
            "--record",
            &folder.file("trace"),
        ],
    );
    let _endpoint = folder.start(
        "endpoint.log",
        &[
            "standin",
            "endpoint",
            "--name",
            "m1",
            "--domain",
            "a",
            "--entry",
            &addresses[2],
            "--join-token-file",
            &join_token,
            "--decode-ms",
            "1",
        ],
    );

    wait_until("the entry answers", || http(callers, "GET", "/livez", &[], "").is_some());
    let ready = http(callers, "GET", "/readyz", &[], "").expect("an answer");
    assert_eq!(ready.status, 503, "an entry without settings must not be ready");

    let key = hash(CALLER_KEY);
    let document = format!(
        r#"{{"services":{{"desk-7b":{{"kind":"model"}}}},"accounts":{{"clerks":{{"keys":["{key}"]}}}}}}"#
    );
    let file = folder.write("ga.json", &document);
    let apply = |file: &str| {
        let operators = operators.to_string();
        let words = ["apply", "--control", &operators, "--token-file", &root_token, "ga", file];
        sill(&words, "")
    };
    wait_until("the change is accepted", || apply(&file).status.success());

    let body = r#"{"model":"desk-7b","max_tokens":5,"messages":[{"role":"user","content":"hi"}]}"#;
    let ask = || call(callers, "/v1/chat/completions", &[], body);
    wait_until("the request is served", || ask().is_some_and(|a| a.status == 200));
    let whole = ask().expect("an answer");
    assert!(whole.head.contains("sill-request-id: "), "{whole:?}");
    assert!(whole.body.contains("\"completion_tokens\":5"), "{whole:?}");
    let streamed = body.replacen('{', r#"{"stream":true,"#, 1);
    let streamed = call(callers, "/v1/chat/completions", &[], &streamed).expect("an answer");
    assert!(streamed.body.trim_end().ends_with("data: [DONE]"), "{streamed:?}");

    let file = folder.write("none.json", "{}");
    assert!(apply(&file).status.success());
    wait_until("the key is unknown again", || ask().is_some_and(|a| a.status == 401));

    let recorded = (0..8).map(|shard| folder.file(&format!("trace.{shard}")));
    for trace in recorded {
        let replayed = sill(&["replay", &trace], "");
        assert!(replayed.status.success(), "{}", String::from_utf8_lossy(&replayed.stderr));
    }
}
