//! Small stand-ins for the platform, the fabric and a backend server.

pub mod backend;
pub mod fabric;
pub mod platform;
pub mod relay;
