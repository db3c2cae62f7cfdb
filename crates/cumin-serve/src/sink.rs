//! Log lines on standard output, without waiting for its reader.
//!
//! Lines go through a bounded queue to a thread that writes what has gathered in one call. A full
//! queue drops lines; how many is written before the next line that fits. Before a process ends,
//! [`Sink::drain`] waits a bounded time for what is queued.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target};

/// Lines that wait for the writer; at 200 bytes a line this is under a megabyte.
const QUEUE: usize = 4096;

/// Time in which lines gather, so that one call writes many.
const GATHER: Duration = Duration::from_millis(50);

/// What goes through the queue.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Everything before it was written when this is dropped.
    Mark(SyncSender<()>),
}

/// The sending side of a queue of lines.
#[derive(Clone, Debug)]
pub struct Sink {
    lines: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Starts a thread that writes lines to `output`.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let lost = dropped.clone();
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(output, &waiting, &lost))?;
        Ok(Self { lines, dropped })
    }

    /// Waits until the lines that are queued are written, for at most `limit`. Returns whether
    /// they are.
    #[must_use]
    pub fn drain(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let (mark, written) = sync_channel(0);
        let mut item = Item::Mark(mark);
        while let Err(TrySendError::Full(full)) = self.lines.try_send(item) {
            if Instant::now() >= until {
                return false;
            }
            item = full;
            std::thread::sleep(GATHER);
        }
        let left = until.saturating_duration_since(Instant::now());
        // The writer drops its end of the mark without sending.
        written.recv_timeout(left) == Err(RecvTimeoutError::Disconnected)
    }

    /// Returns the number of lines dropped since the last that was written.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(mut output: impl Write, waiting: &Receiver<Item>, dropped: &AtomicU64) {
    while let Ok(first) = waiting.recv() {
        if matches!(first, Item::Line(_)) {
            std::thread::sleep(GATHER);
        }
        let mut text = Vec::new();
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.extend_from_slice(format!("event=log_lines_dropped count={lost}\n").as_bytes());
        }
        let mut marks = Vec::new();
        for item in std::iter::once(first).chain(waiting.try_iter().take(QUEUE)) {
            match item {
                Item::Line(line) => text.extend_from_slice(&line),
                Item::Mark(mark) => marks.push(mark),
            }
        }
        // Nobody can be told when standard output is closed.
        let _ = output.write_all(&text).and_then(|()| output.flush());
        drop(marks);
    }
}

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(Item::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sends the process's log lines to standard output.
///
/// # Errors
/// The writer can't be started.
pub fn init(level: &str) -> io::Result<Sink> {
    let sink = Sink::start(io::stdout())?;
    Builder::from_env(Env::default().default_filter_or(level))
        .target(Target::Pipe(Box::new(sink.clone())))
        .format(|buffer, record| {
            let time = buffer.timestamp_millis();
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(buffer, "time={time} level={level} {}", record.args())
        })
        .try_init()
        .map_err(io::Error::other)?;
    Ok(sink)
}
