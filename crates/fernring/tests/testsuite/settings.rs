//! Settings: every key is documented, and printed settings can be loaded again.

use fernring::settings::parse;

const MINIMAL_SETTINGS: &str = "[node]\nfailure_domain = \"a\"\ncaller_address = \"127.0.0.1:0\"\n\
                     peer_address = \"127.0.0.1:0\"\n[platform]\nlog_address = \"127.0.0.1:1\"\n\
                     vm_list_address = \"127.0.0.1:1\"\n";

#[test]
fn every_setting_is_documented() {
    let docs = include_str!("../../../../docs/guide/settings.md");
    let settings = parse(MINIMAL_SETTINGS, "node.toml").unwrap();
    let table = toml::Table::try_from(&settings).unwrap();
    let mut missing = Vec::new();
    for (section, keys) in &table {
        for key in keys.as_table().unwrap().keys() {
            let name = format!("`{section}.{key}`");
            if !docs.contains(&name) {
                missing.push(name);
            }
        }
    }
    assert!(missing.is_empty(), "not in docs/guide/settings.md: {missing:?}");
}

#[test]
fn printed_settings_can_be_loaded_again() {
    let settings = parse(MINIMAL_SETTINGS, "node.toml").unwrap();
    let printed = toml::to_string(&settings).unwrap();
    assert_eq!(parse(&printed, "printed").unwrap(), settings);
}
