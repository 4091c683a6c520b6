//! A request's life: claims, attempts, retries, resume and hand-off.

pub mod claims;
