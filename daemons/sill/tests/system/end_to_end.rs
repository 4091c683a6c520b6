//! The path of a request through caller, entry instance and endpoint, and settings changes by
//! `sill`.

use crate::harness::{
    CALLER_KEY, Folder, call, free_addresses, hash_key, http, run_sill, wait_until,
};

/// A new cluster has no settings. Settings that are accepted but don't reach the entry instance
/// leave callers refused; removed ones that stay in force let a removed key in. The entry
/// instance's recorded traces must replay with the same outcomes.
#[test]
fn a_request_is_served_after_a_settings_change_and_refused_after_its_removal() {
    let folder = Folder::new("thin");
    let addresses = free_addresses(4);
    let [operator_address, control_address, entry_address, _] = addresses[..] else {
        unreachable!()
    };
    let address_texts = addresses.iter().map(ToString::to_string).collect::<Vec<_>>();
    let (cluster_key, join_token) = (folder.file("cluster-key"), folder.file("join-token"));
    let root_token = folder.file("root-token");
    let voter = format!("c1@a@{control_address}");

    let _control = folder.start(
        "control.log",
        &[
            "control",
            "--name",
            "c1",
            "--domain",
            "a",
            "--listen",
            &address_texts[0],
            "--listen-peer",
            &address_texts[1],
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
            &address_texts[2],
            "--listen-peer",
            &address_texts[3],
            "--control",
            &address_texts[1],
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
            &address_texts[2],
            "--join-token-file",
            &join_token,
            "--decode-ms",
            "1",
        ],
    );

    wait_until("the entry answers", || http(entry_address, "GET", "/livez", &[], "").is_some());
    let ready = http(entry_address, "GET", "/readyz", &[], "").expect("an answer");
    assert_eq!(ready.status, 503, "an entry without settings reports that it is ready");

    let key = hash_key(CALLER_KEY);
    let document = format!(
        r#"{{"services":{{"desk-7b":{{"kind":"model"}}}},"accounts":{{"clerks":{{"keys":["{key}"]}}}}}}"#
    );
    let file = folder.write("ga.json", &document);
    let apply = |file: &str| {
        let operator_address = operator_address.to_string();
        let args =
            ["apply", "--control", &operator_address, "--token-file", &root_token, "ga", file];
        run_sill(&args, "")
    };
    wait_until("the change is accepted", || apply(&file).status.success());

    let body = r#"{"model":"desk-7b","max_tokens":5,"messages":[{"role":"user","content":"hi"}]}"#;
    let send_request = || call(entry_address, "/v1/chat/completions", &[], body);
    wait_until("the request is served", || send_request().is_some_and(|a| a.status == 200));
    let answer = send_request().expect("an answer");
    assert!(answer.head.contains("sill-request-id: "), "{answer:?}");
    assert!(answer.body.contains("\"completion_tokens\":5"), "{answer:?}");
    let streamed = body.replacen('{', r#"{"stream":true,"#, 1);
    let streamed = call(entry_address, "/v1/chat/completions", &[], &streamed).expect("an answer");
    assert!(streamed.body.trim_end().ends_with("data: [DONE]"), "{streamed:?}");

    let file = folder.write("none.json", "{}");
    assert!(apply(&file).status.success());
    wait_until("the removed key is refused", || send_request().is_some_and(|a| a.status == 401));

    let recorded = (0..8).map(|shard| folder.file(&format!("trace.{shard}")));
    for trace in recorded {
        let replayed = run_sill(&["replay", &trace], "");
        assert!(replayed.status.success(), "{}", String::from_utf8_lossy(&replayed.stderr));
    }
}
