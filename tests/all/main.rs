//! Tests of nodes that run as processes of the `cuminladder` binary, against stand-ins in the test
//! process.

mod booking_effects;
mod chat_streams;
mod cluster;
mod cluster_loss;
mod event_stream;
mod node_kill;
mod node_pause;
mod planned_stop;
