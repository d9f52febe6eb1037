//! Stand-ins for what fernring runs beside, and what tests and measurements share.
//!
//! Nothing here ships. The programs are `examples/`; the tests are `tests/testsuite`.
//!
//! - [`platform`]: the append-only log and the VM list, with outages, lost and late answers;
//! - [`upstream`]: engines and plain services that keep their own record of what they ran;
//! - [`link`]: a TCP link between nodes that can be cut by source address;
//! - [`process`]: starting the real programs and reading their log lines;
//! - [`cluster`]: a whole deployment of processes, for tests and examples;
//! - [`deployment`]: configurations shaped on the two deployments that fernring serves today;
//! - [`caller`]: a caller of the HTTP interface;
//! - [`burst`]: an open-loop load driver.

pub mod burst;
pub mod caller;
pub mod cluster;
pub mod deployment;
pub mod link;
pub mod message;
pub mod platform;
pub mod process;
pub mod server;
pub mod store;
pub mod upstream;
