//! Stand-ins for the platform's store, and what the cases share: messages, the gateway's processes,
//! the record of a run. Standard library only.

pub mod engine;
pub mod gateway;
pub mod http;
pub mod json;
pub mod pieces;
pub mod record;
pub mod store;

/// Returns whether the case runs with its disruption: `TROUBLE=0` runs it without.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process with a case's result: 1 if the rule was broken, 0 if it held, 2 if the case
/// couldn't run.
pub fn finish(result: Result<bool, String>, record: &record::Record) -> ! {
    let code = match result {
        Ok(true) => {
            record.line("RESULT: the rule was broken");
            1
        }
        Ok(false) => {
            record.line("RESULT: the rule held");
            0
        }
        Err(reason) => {
            record.line(&format!("RESULT: the case couldn't run: {reason}"));
            2
        }
    };
    std::process::exit(code)
}
