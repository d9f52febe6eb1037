//! The table of result codes in the docs is the code's own.

use {
    fernring_core::code::{Class, ResultCode},
    std::collections::BTreeSet,
};

fn table() -> String {
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
fn the_docs_hold_the_same_table() {
    let docs = include_str!("../../../../docs/result-codes.md");
    assert!(docs.contains(&table()), "put this into docs/result-codes.md:\n{}", table());
}

#[test]
fn numbers_are_unique_and_every_refusal_says_what_to_do() {
    let numbers: BTreeSet<_> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
        assert_eq!(code.advice().is_none(), code.class() == Class::Answered, "{code:?}");
    }
}
