//! Hosts as one process sees them: placement and outlier ejection.
