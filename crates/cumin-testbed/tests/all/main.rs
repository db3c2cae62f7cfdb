//! Tests of the whole system over loopback sockets.

mod scripted;
mod support;

mod actions;
mod configuration;
mod engine_answers;
mod entry_answers;
mod invalid_answers;
mod leaving;
mod log_answers;
mod overload;
mod resumes;
mod retry_after;
mod service_answers;
mod streams;
