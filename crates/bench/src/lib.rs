//! Measurements of decisions, cost and capacity.
