//! Developer tools: stand-ins for the systems around the product, the demo, measurements, soak
//! tests, comparisons and model checks.

pub mod body;
pub mod caller;
pub mod compare;
pub mod demo;
pub mod measure;
pub mod model;
pub mod port;
pub mod soak;
pub mod standin;
