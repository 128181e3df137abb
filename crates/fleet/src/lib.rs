//! The hosts in the view of one process: placement and outlier ejection.

pub mod health;
pub mod placement;
pub mod view;

pub use health::Health;
pub use view::View;
