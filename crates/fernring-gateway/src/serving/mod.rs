//! The path of a request: from its caller's connection to an upstream's response and back.
//!
//! [`ingress`] accepts connections and passes requests to [`serve`], which checks and routes them.
//! [`exchange`] holds the state of one request, runs its stages and sends it; [`relay`] forwards a
//! stream. Each module uses only those named after it, and the parts of the node in [`context`].

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
pub mod shutdown;
