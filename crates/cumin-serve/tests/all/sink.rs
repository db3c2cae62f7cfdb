//! The log's queue.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cumin_serve::sink::Sink;

/// A reader that takes nothing until it is released.
struct Stuck {
    released: Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // A sender that is gone releases for good.
        let _ = self.released.recv();
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A reader that stops must not stop the process; each line is written or told as dropped.
#[test]
fn flooded() {
    const LINES: u64 = 50_000;
    let (release, released): (Sender<()>, _) = channel();
    let text = Arc::new(Mutex::new(Vec::new()));
    let output = Stuck {
        released,
        text: text.clone(),
    };
    let mut sink = Sink::start(output).unwrap();
    let start = Instant::now();
    for number in 0..LINES {
        // One call a line, as the logger makes it.
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
    let told: u64 = counts.map(|count| count.parse::<u64>().unwrap()).sum();
    let dropped = told + sink.dropped();
    assert!(dropped > 40_000, "{dropped}");
    assert_eq!(written + dropped, LINES);
}

/// The last lines of a process were lost: it ended while the writer still gathered them.
#[test]
fn last_lines() {
    let (release, released): (Sender<()>, _) = channel();
    drop(release);
    let text = Arc::new(Mutex::new(Vec::new()));
    let output = Stuck {
        released,
        text: text.clone(),
    };
    let mut sink = Sink::start(output).unwrap();
    writeln!(sink, "event=stopped").unwrap();
    assert!(sink.drain(Duration::from_secs(5)));
    let text = text.lock().unwrap();
    assert_eq!(String::from_utf8_lossy(&text), "event=stopped\n");
}

/// A process must not hang at its end on a reader that stopped.
#[test]
fn drain_bounded() {
    let (_release, released): (Sender<()>, _) = channel();
    let output = Stuck {
        released,
        text: Arc::default(),
    };
    let mut sink = Sink::start(output).unwrap();
    writeln!(sink, "line").unwrap();
    let start = Instant::now();
    assert!(!sink.drain(Duration::from_millis(200)));
    assert!(start.elapsed() < Duration::from_secs(5));
}
