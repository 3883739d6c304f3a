//! Persistent state in the platform's key-value store.

pub mod batch;
pub mod claims;
pub mod classes;
pub mod document;
pub mod etcd;
pub mod http;
pub mod kv;
pub mod lease;
pub mod registration;
