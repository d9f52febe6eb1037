//! Types that the fernring crates share.
//!
//! - [`clock`]: clocks, and the readings that are passed to decisions.
//! - [`ids`]: identifiers of node incarnations, requests, upstreams and attempts.
//! - [`code`]: the numbered result codes and what each guarantees to the caller.
//! - [`catalog`]: the configuration: pipelines, workspaces, upstreams and events.
//! - [`change`]: the records of the configuration stream, and how a change is applied to the
//!   catalog.
//! - [`claim`]: the records of the claim stream.
//! - [`log`]: the records and pages of the platform's log.
//! - [`orders`]: orders to model engines, and the grants under which they are sent.
//! - [`text`]: log lines, and the rule for names.
//!
//! ```
//! use fernring_core::code::{Class, ResultCode};
//!
//! assert_eq!(ResultCode::QueueFull.class(), Class::NotRun);
//! assert_eq!(ResultCode::from_number(ResultCode::QueueFull.number()), Some(ResultCode::QueueFull));
//! ```

pub mod catalog;
pub mod change;
pub mod claim;
pub mod clock;
pub mod code;
pub mod ids;
pub mod log;
pub mod orders;
pub mod text;
