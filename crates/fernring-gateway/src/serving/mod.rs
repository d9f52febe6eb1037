//! A request's way: from its caller's connection to an upstream's answer and back.
//!
//! [`ingress`] takes connections and hands requests to [`serve`], which checks and routes them; [`exchange`] keeps one request's
//! account, has its stages made and sends it; [`relay`] passes a stream on. Each uses only those named after it, and the parts of
//! the node that [`context`] holds.

pub mod caller_body;
pub mod context;
pub mod deadline_timer;
pub mod events;
pub mod exchange;
pub mod fingerprint;
pub mod ingress;
pub mod refusal;
pub mod relay;
pub mod serve;
