//! Stand-ins for the systems that fernring depends on, and helpers shared by tests and
//! measurements.
//!
//! Nothing here is part of a release. The programs are in `examples/`, the tests in
//! `tests/testsuite`.
//!
//! - [`platform`]: the append-only log and the VM list, with outages, lost and late responses;
//! - [`store`]: the keyed store that the gateway reads, with outages and lost history;
//! - [`message`]: raw HTTP messages read from a socket;
//! - [`server`]: the HTTP server of a stand-in;
//! - [`upstream`]: engines and plain services that keep their own record of what they ran;
//! - [`link`]: a TCP link between nodes that can be partitioned by source address;
//! - [`ports`]: free ports for programs that read their addresses from a settings file;
//! - [`process`]: starts the real programs and reads their log lines;
//! - [`cluster`]: a complete deployment of processes, for tests and examples;
//! - [`deployment`]: configurations modelled on the two deployments that fernring serves today;
//! - [`caller`]: a caller of the HTTP interface;
//! - [`burst`]: an open-loop load driver.

pub mod burst;
pub mod caller;
pub mod cluster;
pub mod deployment;
pub mod link;
pub mod message;
pub mod platform;
pub mod ports;
pub mod process;
pub mod server;
pub mod store;
pub mod upstream;
