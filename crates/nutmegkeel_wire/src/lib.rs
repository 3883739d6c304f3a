//! What travels between the processes of the system, and the keys that protect it.

pub mod checkpoint;
pub mod cid;
pub mod frame;
pub mod key;
pub mod l4;
pub mod packet;
pub mod reset;
