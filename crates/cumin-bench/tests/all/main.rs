//! Tests of the policy benchmark: bounds on its counts, set from the targets in docs/design.md.

mod targets;
