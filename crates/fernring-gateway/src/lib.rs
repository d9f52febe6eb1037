//! The serving path of fernring between callers and upstreams.
//!
//! A caller's request enters at [`ingress`], is checked and routed by [`serve`], gets the results of
//! its stages from their owners ([`stages`], [`owner`]), and is sent to an upstream by
//! [`exchange`]; streams are passed on by [`relay`].
//!
//! Decisions stand in modules without I/O: [`admission`] (who is taken on), [`attempts`], [`backlog`] and [`backlogs`]
//! (what waits where), [`batching`] (the queue of a stage and its calls), [`budget`], [`cold`] (what a cold upstream is sent), [`come_back`], [`config`], [`directory`],
//! [`evacuations`] (where nothing new is sent), [`events`], [`flow`], [`following`] (what peers pass on), [`freshness`], [`makers`], [`members`], [`pools`] (which makers an owner works with), [`reading`], [`selection`] (which upstream), [`stage_plan`],
//! [`endings`] (has an upstream ended?) and [`suspects`] (under which requests?). [`blame`] gathers the signs for these two. A
//! platform's formats and calls are behind the traits of [`wire`]. Everything runs on one thread.
//!
//! ```
//! use fernring_gateway::{attempts::{Attempts, SendEnd}, model::Repeat};
//!
//! let mut attempts = Attempts::new(Repeat::Never, 2);
//! attempts.ended(SendEnd::Refused);
//! assert!(attempts.may_send(), "a refused request has not run");
//! attempts.ended(SendEnd::Unknown);
//! assert!(!attempts.may_send() && attempts.not_run().is_none());
//! ```

pub mod admission;
pub mod alarm;
pub mod attempts;
pub mod backlog;
pub mod backlogs;
pub mod barred;
pub mod batching;
pub mod blame;
pub mod budget;
pub mod cold;
pub mod come_back;
pub mod config;
pub mod connections;
pub mod content;
pub mod delegates;
pub mod directory;
pub mod endings;
pub mod evacuations;
pub mod events;
pub mod exchange;
pub mod flow;
pub mod following;
pub mod freshness;
pub mod ingress;
pub mod log;
pub mod makers;
mod measures;
pub mod members;
pub mod model;
pub mod node;
pub mod owner;
pub mod peers;
pub mod pools;
pub mod position;
pub mod reading;
mod records;
pub mod refusal;
pub mod relay;
pub mod retries;
pub mod selection;
pub mod serve;
pub mod settings;
pub mod stage_plan;
pub mod stages;
pub mod stillness;
pub mod store_loops;
pub mod suspects;
pub mod upstreams;
pub mod wire;
