//! Logging to standard error, in lines of `key=value` pairs.

use std::io::Write;

use env_logger::{Builder, Env};
use log::LevelFilter;

/// Starts logging at `level`, or as `RUST_LOG` says, or at `default_level` when neither is set.
pub(crate) fn start(level: Option<LevelFilter>, default_level: &str) {
    let mut builder = Builder::from_env(Env::default().default_filter_or(default_level));
    if let Some(level) = level {
        builder.filter_level(level);
    }
    builder.format(|buffer, record| {
        let time = buffer.timestamp_millis();
        let level = record.level().as_str().to_ascii_lowercase();
        let target = record.target();
        writeln!(
            buffer,
            "time={time} level={level} target={target} {}",
            record.args()
        )
    });
    // Fails when the process, such as a test, has started a command before; its logger stays.
    let _ = builder.try_init();
}
