//! Tests of the escaping of log values and of the rule for names.

use fernring_core::text::{LogLine, is_name};

#[test]
fn unsafe_values_are_quoted_and_escaped() {
    let line = LogLine::event("refuse")
        .with("plain", "members-1")
        .with("space", "a b")
        .with("equals", "a=b")
        .with("line", "a\nevent=b")
        .with("quote", "a\"b")
        .with("empty", "")
        .with_some("none", None::<u64>);
    assert_eq!(
        line.to_string(),
        "event=refuse plain=members-1 space=\"a b\" equals=\"a=b\" \
         line=\"a\\nevent=b\" quote=\"a\\\"b\" empty=\"\""
    );
}

#[test]
fn long_values_are_truncated() {
    let line = LogLine::event("refuse").with("long", "x".repeat(10_000)).to_string();
    assert!(line.len() < 300, "the line has {} bytes", line.len());
}

#[test]
fn only_plain_names_are_valid() {
    for name in ["a", "statement-line", "v1.2_3"] {
        assert!(is_name(name), "{name:?} should be valid");
    }
    for name in ["", "-a", "A", "a b", "a/b", &"a".repeat(65)] {
        assert!(!is_name(name), "{name:?} should not be valid");
    }
}
