//! A fernring node: the process between callers and upstreams on an entry VM.
//!
//! All decisions are made by `fernring-policy`; this crate does the I/O: it passes events to the
//! dispatcher and executes the actions that the dispatcher returns:
//!
//! - [`settings`]: the settings that a process needs to start, loaded and checked in one place;
//! - [`node`]: the shared state, the execution of actions, and the background loops that read
//!   the log, exchange heartbeats, poll reports and send orders;
//! - [`http`]: the interface to callers and operators;
//! - [`upstream`] and [`peer`]: the clients for upstreams and for other nodes, each a trait with
//!   one implementation;
//! - [`logs`] and [`log_queue`]: writing log lines to standard output;
//! - [`cmd`]: the subcommands.
//!
//! A request arrives at [`http`] and becomes an event for the dispatcher in [`node`]. The actions
//! that the dispatcher returns call [`upstream`]; the parts of the answer and the final answer reach
//! the caller through the request's waiter. Settings are checked before anything starts:
//!
//! ```
//! let settings = fernring::settings::parse("[node]\nfailure_domain = \"a\"", "node.toml");
//! let problem = settings.unwrap_err().to_string();
//! assert!(problem.starts_with("node.toml"), "{problem}");
//! ```

pub mod cmd;
pub mod http;
pub mod log_queue;
pub mod logs;
pub mod node;
mod part_reader;
pub mod peer;
pub mod settings;
pub mod upstream;
