//! Formats of the data that processes exchange and store, and the keys that protect them.

pub mod checkpoint;
pub mod cid;
pub mod frame;
pub mod key;
pub mod l4;
pub mod packet;
pub mod reset;
