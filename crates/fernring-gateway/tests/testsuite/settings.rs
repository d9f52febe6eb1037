//! Parsing and checking of the settings file.

use fernring_gateway::settings::parse;

const MINIMAL: &str = r#"
[node]
name = "front-a-1"
failure_domain = "a"
caller_address = "10.0.0.1:80"
ready_address = "10.0.0.1:81"
peer_address = "10.0.0.1:82"

[store]
address = "10.9.0.1:90"
"#;

#[test]
fn omitted_keys_get_defaults() {
    let settings = parse(MINIMAL, "node.toml").unwrap();
    assert!(settings.node.seeds.is_empty());
    assert!(settings.shutdown.leave_s < settings.shutdown.grace_s);
    assert_eq!(settings.node.link_bytes_per_s(), 1_250_000.0);
}

#[test]
fn errors_name_file_and_key() {
    let invalid = [
        ("[retries]\nratio = -1", "retries.ratio"),
        ("[retries]\nslack = nan", "retries.slack"),
        ("[retries]\nwindow_s = 0", "retries.window_s"),
        ("[cold]\noverage = 0.5", "cold.overage"),
        ("[cold]\nslack = -1", "cold.slack"),
        ("[configuration]\nwithin_ms = 500", "configuration.within_ms"),
        ("[evacuation]\nwithin_ms = 500", "evacuation.within_ms"),
        ("[evacuation]\nwithin_ms = nan", "evacuation.within_ms"),
        ("[shutdown]\ngrace_s = -1", "shutdown.grace_s"),
        ("[shutdown]\ngrace_s = 1\nleave_s = 2", "shutdown.leave_s"),
        ("[shutdown]\ngrase_s = 1", "grase_s"),
        ("[log]\nbytes_per_s = \"many\"", "bytes_per_s"),
    ];
    for link in ["0", "-1", "nan", "\"fast\""] {
        let text = MINIMAL.replace("[store]", &format!("link_mbps = {link}\n[store]"));
        let error = parse(&text, "node.toml").unwrap_err().to_string();
        assert!(error.starts_with("node.toml") && error.contains("link_mbps"), "{error}");
    }
    for (text, key) in invalid {
        let error = parse(&format!("{MINIMAL}{text}"), "node.toml").unwrap_err().to_string();
        assert!(error.starts_with("node.toml"), "{error}");
        assert!(error.contains(key), "{text}: {error}");
    }
}
