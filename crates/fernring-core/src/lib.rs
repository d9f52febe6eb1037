//! Types that every fernring crate shares.
//!
//! - [`clock`]: the time that decisions are given, and the interface they get it through.
//! - [`ids`]: incarnations, request keys and attempt identities.
//! - [`code`]: the numbered result codes and what each promises to the caller.
//! - [`catalog`]: the configuration in force: pipelines, workspaces, upstreams, events.
//! - [`change`]: the records of the configuration stream and how they apply to a catalog.
//! - [`claim`]: the records of the claim stream.
//! - [`log`]: records and pages of the platform's log.
//! - [`orders`]: orders to model engines and the grants they are sent under.
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
