//! Stand-ins for the platform's store, engines and clients, and the cases that use them.

mod deployment;
mod end_of_grace;
mod engines;
mod extra_answer;
mod http;
mod json;
mod silent_store;
mod slow_engine;
mod store;
mod uploads;

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        deployment::cannot_run("arguments: CASE FOLDER");
    };
    let code = match &**case {
        "extra-answer" => extra_answer::run(folder),
        "end-of-grace" => end_of_grace::run(folder),
        "uploads" => uploads::run(folder),
        "slow-engine" => slow_engine::run(folder),
        "silent-store" => silent_store::run(folder),
        _ => deployment::cannot_run("no such case"),
    };
    std::process::exit(code);
}
