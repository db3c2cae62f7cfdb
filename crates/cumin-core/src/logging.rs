//! Log lines of `key=value` pairs on standard error.

use std::io::Write;

use env_logger::{Builder, Env};
use log::LevelFilter;

/// Starts logging at `level`, else as `RUST_LOG` says, else at `default`.
pub(crate) fn start(level: Option<LevelFilter>, default: &str) {
    let mut builder = Builder::from_env(Env::default().default_filter_or(default));
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
    // A second command in the same process, as in tests, keeps the first one's logger.
    let _ = builder.try_init();
}
