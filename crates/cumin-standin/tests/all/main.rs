//! Tests of the stand-ins over real sockets.

mod append_log;
mod calls;
mod cloud_fleet;
mod engine_orders;
mod plain_effects;
mod prefix_cache;
mod slot_queue;
mod stream_answers;
mod weight_loads;
