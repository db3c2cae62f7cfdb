//! Non-blocking log output.
//!
//! Lines go through a bounded queue to a thread that writes them to standard output in batches.
//! When the queue is full, lines are dropped, and the next batch starts with their number. Before
//! the process exits, [`Sink::drain`] waits a bounded time for the queued lines.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target};

/// Maximum number of queued lines; at 200 bytes a line they take less than a megabyte.
const QUEUE_LINES: usize = 4096;

/// Time for which the writer collects lines, so that one call writes many.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// A message to the writer thread.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    /// Dropped once everything queued before it was written.
    Barrier(SyncSender<()>),
}

/// Sender of the queue; each write is queued as one line.
#[derive(Clone, Debug)]
pub struct Sink {
    lines: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Starts a thread that writes the queued lines to `output`.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = dropped.clone();
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(output, &queue, &dropped_lines))?;
        Ok(Self { lines, dropped })
    }

    /// Waits until the queued lines are written, for at most `limit`. Returns whether they are.
    #[must_use]
    pub fn drain(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let (barrier, written) = sync_channel(0);
        let mut message = Message::Barrier(barrier);
        while let Err(TrySendError::Full(full)) = self.lines.try_send(message) {
            if Instant::now() >= deadline {
                return false;
            }
            message = full;
            std::thread::sleep(BATCH_DELAY);
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        // The writer never sends on the barrier; it only drops it.
        written.recv_timeout(time_left) == Err(RecvTimeoutError::Disconnected)
    }

    /// Returns the number of dropped lines that no batch has stated yet.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(mut output: impl Write, queue: &Receiver<Message>, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        if matches!(first, Message::Line(_)) {
            std::thread::sleep(BATCH_DELAY);
        }
        let mut batch = Vec::new();
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("event=log_lines_dropped count={lost}\n").as_bytes());
        }
        let mut barriers = Vec::new();
        for message in std::iter::once(first).chain(queue.try_iter().take(QUEUE_LINES)) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Barrier(barrier) => barriers.push(barrier),
            }
        }
        // There is nowhere to report that standard output is closed.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        drop(barriers);
    }
}

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(Message::Line(line.to_vec())) {
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

/// Installs a logger that writes to standard output, at `level` unless `RUST_LOG` is set.
///
/// # Errors
/// The writer thread could not be started, or a logger is already installed.
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
