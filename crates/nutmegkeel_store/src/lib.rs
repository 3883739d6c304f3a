//! The platform's key-value service: what lasts, and how the system reads and writes it.

pub mod claims;
pub mod classes;
pub mod document;
pub mod etcd;
pub mod group;
pub mod http;
pub mod kv;
pub mod lease;
pub mod registration;
