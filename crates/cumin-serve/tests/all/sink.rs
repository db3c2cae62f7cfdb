//! Queue of log lines.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cumin_serve::sink::Sink;

/// Output that blocks until it is released.
struct BlockedOutput {
    released: Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // A dropped sender releases all further writes.
        let _ = self.released.recv();
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A blocked output must not block the process; each line is either written or counted as dropped.
#[test]
fn flooded() {
    const LINES: u64 = 50_000;
    let (release, released): (Sender<()>, _) = channel();
    let text = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput {
        released,
        text: text.clone(),
    };
    let mut sink = Sink::start(output).unwrap();
    let start = Instant::now();
    for number in 0..LINES {
        // One call per line, like the logger.
        sink.write_all(format!("line {number}\n").as_bytes())
            .unwrap();
    }
    assert!(start.elapsed() < Duration::from_secs(5));
    drop(release);
    assert!(sink.drain(Duration::from_secs(10)));
    let text = text.lock().unwrap();
    let text = String::from_utf8_lossy(&text);
    let written = text.lines().filter(|line| line.starts_with("line "));
    let written = written.count() as u64;
    let counts = text
        .lines()
        .filter_map(|line| line.strip_prefix("event=log_lines_dropped count="));
    let reported: u64 = counts.map(|count| count.parse::<u64>().unwrap()).sum();
    let dropped = reported + sink.dropped();
    assert!(dropped > 40_000, "{dropped}");
    assert_eq!(written + dropped, LINES);
}

/// The last lines of a process were lost because it exited while the writer still collected them.
#[test]
fn last_lines() {
    let (release, released): (Sender<()>, _) = channel();
    drop(release);
    let text = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput {
        released,
        text: text.clone(),
    };
    let mut sink = Sink::start(output).unwrap();
    writeln!(sink, "event=stopped").unwrap();
    assert!(sink.drain(Duration::from_secs(5)));
    let text = text.lock().unwrap();
    assert_eq!(String::from_utf8_lossy(&text), "event=stopped\n");
}

/// A blocked output must not prevent the process from exiting.
#[test]
fn drain_bounded() {
    let (_release, released): (Sender<()>, _) = channel();
    let output = BlockedOutput {
        released,
        text: Arc::default(),
    };
    let mut sink = Sink::start(output).unwrap();
    writeln!(sink, "line").unwrap();
    let start = Instant::now();
    assert!(!sink.drain(Duration::from_millis(200)));
    assert!(start.elapsed() < Duration::from_secs(5));
}
