//! Measurements of the decisions against baselines.
