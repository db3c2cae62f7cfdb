//! See docs/design.md; the crate has no content yet.
