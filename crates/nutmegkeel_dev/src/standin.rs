//! Stand-ins for the platform, the fabric and a backend server, and a plain relay as a baseline.

pub mod backend;
pub mod fabric;
pub mod platform;
pub mod relay;
