//! Tests of the stand-ins over real sockets.

mod calls;
mod stream_answers;
