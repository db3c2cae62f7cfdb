//! Tests of whole command lines.

mod bad_input;
mod demo_promises;
mod documents;
mod load_report;
mod operate;
mod support;
