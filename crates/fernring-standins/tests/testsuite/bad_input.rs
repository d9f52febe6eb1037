//! Each kind of bad input gets its own code or message and never reaches a log line unescaped.

use {
    crate::builder::{Builder, call, keyed},
    fernring_standins::{
        caller::{Answer, Call},
        process::find_program,
    },
    std::{fs, process::Command},
    tempfile::TempDir,
    uuid::Uuid,
};

#[tokio::test(flavor = "multi_thread")]
async fn every_bad_request_has_its_own_code() {
    let settings = "[limits]\nbody_max_bytes = 2000\n[policy]\nclaim_horizon_ms = 60000\n";
    let cluster = Builder::new().settings(settings).start().await;
    let node = cluster.nodes[0].caller_address;
    let expired_key = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 1_600_000_000, 0));
    let future_key = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 6_000_000_000, 0));
    let with_key = |key: String| Call { key: Some(key), ..call("x") };
    let cases = [
        ("nowhere", call("x"), 2002, "NOT_RUN"),
        ("answer", Call { workspace: "strangers".into(), ..call("x") }, 2003, "NOT_RUN"),
        ("answer", with_key("no key".into()), 2004, "NOT_RUN"),
        ("answer", with_key("9".repeat(500)), 2004, "NOT_RUN"),
        ("letter", with_key(Uuid::from_u128(7).to_string()), 2004, "NOT_RUN"),
        ("letter", call("x"), 2005, "NOT_RUN"),
        ("answer", Call { window_ms: Some(0), ..call("x") }, 2006, "NOT_RUN"),
        ("answer", Call { window_ms: Some(u64::MAX), ..call("x") }, 2006, "NOT_RUN"),
        ("letter", with_key(future_key.to_string()), 2007, "NOT_RUN"),
        ("letter", with_key(expired_key.to_string()), 6004, "UNKNOWN"),
        ("answer", call(&"long ".repeat(1_000)), 2001, "NOT_RUN"),
        ("answer", call("\u{0}\n\" odd but allowed"), 1000, "ANSWERED"),
    ];
    for (pipeline, case, code, class) in cases {
        let answer = cluster.caller.call(node, pipeline, &case).await.unwrap();
        assert_eq!((answer.code, answer.class.as_str()), (code, class), "{case:?}");
    }
    let bodies = ["", "{", "[1]", "{\"workspace\": 7}", "{\"workspace\":\"members\",\"in\":\"x\"}"];
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    for body in bodies {
        let url = format!("http://{node}/v1/pipelines/answer/requests");
        let response = client.post(url).body(body).send().await.unwrap();
        assert_eq!(response.status(), 400, "{body}");
        assert_eq!(response.json::<Answer>().await.unwrap().code, 2000, "{body}");
    }
    let response = client.get(format!("http://{node}/nowhere")).send().await.unwrap();
    assert_eq!(response.status(), 404);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(response.json::<Answer>().await.unwrap().code, 2009);
    assert_eq!(cluster.status(0).await.unwrap().counters["accepted"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn too_long_body_gets_an_answer() {
    let settings = "[limits]\nbody_max_bytes = 2000\n";
    let cluster = Builder::new().settings(settings).start().await;
    let node = cluster.nodes[0].caller_address;
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{node}/v1/pipelines/answer/requests");
    let response = client.post(url).body("x".repeat(10 << 20)).send().await.unwrap();
    assert_eq!(response.status(), 413);
    assert_eq!(response.json::<Answer>().await.unwrap().code, 2001);
}

#[tokio::test(flavor = "multi_thread")]
async fn hostile_text_is_escaped_in_log_lines() {
    let cluster = Builder::new().start().await;
    let node = &cluster.nodes[0];
    let hostile = "members\nevent=accept request=forged";
    let request = Call { workspace: hostile.into(), ..keyed("x") };
    cluster.caller.call(node.caller_address, "answer", &request).await.unwrap();
    let path = "a%0Aevent=accept%20b";
    cluster.caller.call(node.caller_address, path, &call("x")).await.unwrap();
    let line = node.process.wait_line("the refusal", |line| line.contains("forged"));
    assert!(line.contains("event=refuse") && line.contains("\\n"), "{line}");
    assert!(node.process.events("accept").is_empty());
    assert!(node.process.lines().iter().all(|line| line.starts_with("time=")));
}

fn check_settings(directory: &TempDir, text: &str) -> (Option<i32>, String) {
    fs::write(directory.path().join("node.toml"), text).unwrap();
    let mut command = Command::new(find_program("fernring").unwrap());
    let output =
        command.args(["check", "node.toml"]).current_dir(directory.path()).output().unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

const VALID_SETTINGS: &str = "[node]\nfailure_domain = \"a\"\ncaller_address = \"127.0.0.1:0\"\n\
                    peer_address = \"127.0.0.1:0\"\n[platform]\nlog_address = \"127.0.0.1:1\"\n\
                    vm_list_address = \"127.0.0.1:1\"\n";

#[test]
fn settings_errors_name_file_key_and_value() {
    let directory = TempDir::new().unwrap();
    assert_eq!(check_settings(&directory, VALID_SETTINGS).0, Some(0));
    let cases = [
        ("unknown_key", format!("{VALID_SETTINGS}[drain]\nlinger_s = 3\n")),
        ("wrong_type", format!("{VALID_SETTINGS}[limits]\nconnect_timeout_ms = \"5s\"\n")),
        ("not_allowed", format!("{VALID_SETTINGS}[peers]\nheartbeat_ms = 0\n")),
        ("policy", format!("{VALID_SETTINGS}[policy]\nretry_budget_percent = 300\n")),
        ("horizon", VALID_SETTINGS.to_owned() + "log_retention_ms = 1000\n"),
        ("domain", VALID_SETTINGS.replace("\"a\"", "\"A zone\"")),
        ("missing", "[node]\nfailure_domain = \"a\"\n".to_owned()),
    ];
    let mut shown = String::new();
    for (name, text) in cases {
        let (code, error) = check_settings(&directory, &text);
        assert_eq!(code, Some(2), "{name}: {error}");
        shown += &format!("--- {name}\n{error}");
    }
    insta::assert_snapshot!(shown);
}

#[test]
fn help_texts() {
    let mut shown = String::new();
    let fernring = ["", "serve", "gateway", "check", "settings"];
    let fernctl = ["", "plan", "confirm", "publish", "pipelines", "drain", "status", "explain"];
    let all = fernring.iter().map(|sub| ("fernring", *sub));
    for (program, subcommand) in all.chain(fernctl.iter().map(|sub| ("fernctl", *sub))) {
        let mut command = Command::new(find_program(program).unwrap());
        let command = command.args((!subcommand.is_empty()).then_some(subcommand)).arg("--help");
        let output =
            command.env_remove("FERNRING_LOG").env_remove("FERNRING_BOOT").output().unwrap();
        assert!(output.status.success());
        shown += &format!("--- {program} {subcommand}\n");
        shown += &String::from_utf8(output.stdout).unwrap();
    }
    insta::assert_snapshot!(shown);
}
