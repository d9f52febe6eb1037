//! Checks that the table of result codes in the docs matches the code, and that the codes are
//! consistent.

use {
    fernring_core::code::{Class, ResultCode},
    std::collections::BTreeSet,
};

fn render_table() -> String {
    let mut table = String::from("| code | name | class | HTTP | meaning | advice |\n");
    table += "|---|---|---|---|---|---|\n";
    for code in ResultCode::ALL {
        let advice = match code.advice() {
            Some(advice) => format!("{advice:?}"),
            None => "-".to_owned(),
        };
        table += &format!(
            "| {} | {} | {} | {} | {} | {advice} |\n",
            code.number(),
            code.name(),
            code.class().name(),
            code.http_status(),
            code.meaning()
        );
    }
    table
}

#[test]
fn docs_table_matches_the_code() {
    let docs = include_str!("../../../../docs/result-codes.md");
    assert!(
        docs.contains(&render_table()),
        "the table in docs/result-codes.md must be:\n{}",
        render_table()
    );
}

#[test]
fn numbers_are_unique_and_refusals_have_advice() {
    let numbers: BTreeSet<_> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
        assert_eq!(code.advice().is_none(), code.class() == Class::Answered, "{code:?}");
    }
}
