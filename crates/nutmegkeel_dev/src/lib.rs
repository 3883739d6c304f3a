//! Stand-ins for what surrounds the product, the demo over all of it, and measurements.

pub mod body;
pub mod caller;
pub mod compare;
pub mod demo;
pub mod measure;
pub mod model;
pub mod port;
pub mod process;
pub mod soak;
pub mod standin;
