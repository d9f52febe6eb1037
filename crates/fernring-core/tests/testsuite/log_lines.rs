//! Log lines take any text without breaking.

use fernring_core::text::{LogLine, is_name};

#[test]
fn values_that_could_forge_a_pair_or_a_line_are_quoted() {
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
fn long_values_are_cut() {
    let line = LogLine::event("refuse").with("long", "x".repeat(10_000)).to_string();
    assert!(line.len() < 300, "{}", line.len());
}

#[test]
fn names_are_plain() {
    for name in ["a", "statement-line", "v1.2_3"] {
        assert!(is_name(name), "{name}");
    }
    for name in ["", "-a", "A", "a b", "a/b", &"a".repeat(65)] {
        assert!(!is_name(name), "{name}");
    }
}
