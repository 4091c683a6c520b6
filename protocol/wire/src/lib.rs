//! Typed messages between callers, endpoints, operators and the processes of the system.

pub mod announce;
pub mod call;
pub mod chat;
pub mod claim;
pub mod control;
pub mod crash;
pub mod endpoint;
pub mod error;
pub mod feed;
pub mod handoff;
pub mod header;
pub mod limits;
pub mod link;
pub mod member;
pub mod pause;
pub mod prefix;
pub mod priority;
pub mod probe;
pub mod prompt_part;
pub mod request_key;
pub mod rollout;
pub mod settings;
pub mod software;
pub mod streams;

pub use announce::{Announcement, Incarnation, Load, Role, Servable};
pub use call::Call;
pub use crash::{AnsweredPart, CompletedRequest, CrashUpdate, EndpointCrash};
pub use error::{ErrorBody, ErrorCode, ErrorDetail};
pub use priority::Priority;
pub use prompt_part::{PartId, SharedParts};
pub use request_key::RequestKey;
pub use software::{Software, SoftwareFilter};
