//! Tests of complete command lines, run in the test process.

mod bad_input;
mod demo_promises;
mod documents;
mod load_report;
mod operate;
mod support;
mod validate;
