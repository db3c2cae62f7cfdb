//! Tests over real sockets: an entry between callers and scripted endpoints, with an in-memory
//! store.

mod answer_framing;
mod answers;
mod crashing_part;
mod early_refusals;
mod endless;
mod endpoint_limit;
mod event_text;
mod invalid_answers;
mod keys;
mod leaving;
mod log_lines;
mod memory_budget;
mod requests;
mod retry_after;
mod rollouts;
mod silent_store;
mod sink;
mod split_input;
mod store_era;
mod streams;
mod support;
mod unframed;
mod unnamed_requests;
mod usage_reports;
mod waiting;
