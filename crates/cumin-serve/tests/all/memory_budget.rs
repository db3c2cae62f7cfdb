//! The memory of an entry: bodies are read only as far as its budget has room for them.

use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::support::{
    Endpoint, Entry, LIMIT, Step, answer, chunk, eventually, last_chunk, metrics, request, run,
    send, stream_head,
};

/// Maximum size of a body in these tests.
const BODY: usize = 4 << 20;

/// Returns the value of a metric of an entry.
async fn metric(entry: &Entry, name: &str) -> usize {
    let text = metrics(entry).await;
    let line = text.lines().find(|line| line.starts_with(name)).unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

/// Starts an entry that accepts large bodies, in front of a plain service and an engine.
async fn start(plain: &Endpoint, engine: &Endpoint) -> Entry {
    let entry = Entry::start(&[plain], &[engine]).await;
    entry.publish_limited(&["key"], BODY);
    sleep(Duration::from_millis(300)).await;
    entry
}

/// Opens connections that each send a head and a part of a body.
async fn open_bodies(entry: &Entry, count: usize, stated: usize, sent: usize) -> Vec<TcpStream> {
    let extra = format!("Content-Length: {stated}\r\n");
    let text = request("POST", "/unsafe/x", &extra, "") + &"x".repeat(sent);
    let mut streams = Vec::new();
    for _ in 0..count {
        let mut stream = TcpStream::connect(entry.callers).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    streams
}

/// Reads an answer until its connection ends.
async fn read_answer(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = timeout(LIMIT, stream.read_to_end(&mut bytes)).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Callers that send heads of large bodies exceeded the memory of the entry: their bodies were read
/// whatever their number. Those without room are refused as not run before their body is read,
/// and small requests are served meanwhile.
#[test]
fn half_bodies() {
    run(async {
        let plain = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = start(&plain, &plain).await;
        let limit = metric(&entry, "cumin_held_limit_bytes").await;
        let count = 2 * limit / BODY;
        let streams = open_bodies(&entry, count, BODY, 1000).await;
        let small = entry.call("POST", "/unsafe/x", "", "small").await;
        assert!(small.starts_with("HTTP/1.1 200"), "{small:?}");
        let taken = metric(&entry, "cumin_held_bytes").await;
        assert!(taken >= BODY && taken <= limit, "{taken} of {limit}");
        // A request waits for an eighth of its time, which is 2.5 s here.
        sleep(Duration::from_millis(600)).await;
        let mut refused = 0;
        for mut stream in streams {
            let mut bytes = vec![0; 4096];
            let read = timeout(Duration::from_millis(10), stream.read(&mut bytes)).await;
            let Ok(Ok(length @ 1..)) = read else { continue };
            let text = String::from_utf8_lossy(&bytes[..length]);
            assert!(text.starts_with("HTTP/1.1 503"), "{text:?}");
            assert!(text.contains("retry-after: "), "{text:?}");
            assert!(text.contains("memory"), "{text:?}");
            refused += 1;
        }
        assert!(refused >= count / 2, "{refused} of {count}");
        assert_eq!(plain.count(), 1);
        // The callers have left, so their bytes are returned.
        let until = Instant::now() + LIMIT;
        while metric(&entry, "cumin_held_bytes").await > 0 {
            assert!(
                Instant::now() < until,
                "bytes of callers that left are held"
            );
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Large bodies that arrive together are all served: those without room wait until others end.
#[test]
fn bodies_in_turn() {
    run(async {
        let plain = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = start(&plain, &plain).await;
        let limit = metric(&entry, "cumin_held_limit_bytes").await;
        let count = limit / BODY;
        let mut streams = open_bodies(&entry, count, BODY, BODY / 2).await;
        let rest = vec![b'x'; BODY - BODY / 2];
        for stream in &mut streams {
            // A refused caller may find its connection closed.
            let _ = timeout(LIMIT, stream.write_all(&rest)).await;
        }
        let mut served = 0;
        for stream in streams {
            served += usize::from(read_answer(stream).await.starts_with("HTTP/1.1 200"));
        }
        assert_eq!(served, plain.count());
        assert!(served >= count / 2, "{served} of {count}");
        assert_eq!(metric(&entry, "cumin_held_bytes").await, 0);
    });
}

/// A length that no budget has room for is refused at once, and nothing is taken for it.
#[test]
fn huge_length() {
    run(async {
        let plain = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = start(&plain, &plain).await;
        for length in ["9223372036854775808", "18446744073709551615"] {
            let extra = format!("Content-Length: {length}\r\n");
            let text = request("POST", "/unsafe/x", &extra, "");
            let got = send(entry.callers, &text).await;
            assert!(got.starts_with("HTTP/1.1 413"), "{got:?}");
        }
        assert_eq!(metric(&entry, "cumin_held_bytes").await, 0);
        assert_eq!(plain.count(), 0);
    });
}

/// A body without a stated length that arrives byte by byte takes what has arrived, not more.
#[test]
fn trickling_body() {
    run(async {
        let plain = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = start(&plain, &plain).await;
        let extra = "Transfer-Encoding: chunked\r\n";
        let head = request("POST", "/unsafe/x", extra, "");
        let mut stream = TcpStream::connect(entry.callers).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..20 {
            stream.write_all(b"1\r\nx\r\n").await.unwrap();
            sleep(Duration::from_millis(20)).await;
        }
        let taken = metric(&entry, "cumin_held_bytes").await;
        assert!((1..=20).contains(&taken), "{taken}");
        stream.write_all(b"0\r\n\r\n").await.unwrap();
        let got = read_answer(stream).await;
        assert!(got.starts_with("HTTP/1.1 200"), "{got:?}");
    });
}

/// The body of a request that is not sent again is not held while its stream lasts, also if the
/// caller does not read it; a large prompt would take room from others until then.
#[test]
fn unread_stream() {
    run(async {
        let event = chunk("id: 1\ndata: x\n\n");
        let script = vec![stream_head(), event, Step::Wait(1500), last_chunk()];
        let engine = Endpoint::start(vec![script]).await;
        let entry = start(&engine, &engine).await;
        let text = request("POST", "/stream/x", "", &"x".repeat(BODY / 2));
        let mut stream = TcpStream::connect(entry.callers).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        eventually("the request is sent", || engine.count() == 1).await;
        sleep(Duration::from_millis(200)).await;
        assert_eq!(metric(&entry, "cumin_held_bytes").await, 0);
        let got = read_answer(stream).await;
        assert!(got.starts_with("HTTP/1.1 200"), "{got:?}");
        assert!(got.ends_with("0\r\n\r\n"), "{got:?}");
    });
}
