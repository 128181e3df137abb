//! Hosts as one process sees them: placement and outlier ejection.

pub mod health;
pub mod placement;
pub mod view;

pub use health::Health;
pub use view::View;
