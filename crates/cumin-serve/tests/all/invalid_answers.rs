//! Answers that callers must not get as complete or at all: those cut off by a reset while a long
//! request is still being sent, and those whose status is none.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::support::{Entry, body, read_request, request, run, send};

const SIGNED: &str = "X-Attempt-Id: abc123\r\nX-Response-Seal: s\r\n";

/// More than the sockets buffer, so that a part is still to be sent when the answer ends.
const LONG: usize = 4_000_000;

/// How an endpoint ends the connection of its answer.
#[derive(Clone, Copy, Debug)]
enum End {
    /// With a reset after so many milliseconds.
    Reset(u64),
    /// By closing it with unread input, which the system turns into a reset.
    Close,
    /// With a regular end of its output, and a reset some milliseconds later.
    Shutdown,
}

const ENDS: [End; 4] = [End::Reset(0), End::Reset(50), End::Close, End::Shutdown];

/// Answer of an endpoint to the request under test.
#[derive(Clone, Default)]
struct Script {
    text: String,
    /// How the connection ends before the request is read; `None` reads the request first.
    end: Option<End>,
    /// Whether a complete answer precedes it on the same connection.
    kept: bool,
}

async fn play(mut stream: TcpStream, script: Script, reused: Rc<Cell<bool>>) {
    if script.kept {
        if read_request(&mut stream).await.is_none() {
            return;
        }
        let event = "id: 1\ndata: first\n\n";
        let whole = format!(
            "HTTP/1.1 200 X\r\n{SIGNED}Content-Type: text/event-stream\r\n\
             Keep-Alive: timeout=60\r\nContent-Length: {}\r\n\r\n{event}",
            event.len()
        );
        let _ = stream.write_all(whole.as_bytes()).await;
    }
    let Some(end) = script.end else {
        if read_request(&mut stream).await.is_some() {
            reused.set(script.kept);
            let _ = stream.write_all(script.text.as_bytes()).await;
            sleep(Duration::from_millis(20)).await;
        }
        return;
    };
    let mut part = vec![0; 300];
    if stream.read(&mut part).await.unwrap_or(0) == 0 {
        return;
    }
    reused.set(script.kept);
    let _ = stream.write_all(script.text.as_bytes()).await;
    match end {
        End::Reset(wait) => {
            sleep(Duration::from_millis(wait)).await;
            let _ = stream.set_zero_linger();
        }
        End::Close => sleep(Duration::from_millis(50)).await,
        End::Shutdown => {
            let _ = stream.shutdown().await;
            sleep(Duration::from_millis(50)).await;
            let _ = stream.set_zero_linger();
        }
    }
}

/// An entry in front of one endpoint, which plays a script on each connection.
struct Site {
    entry: Entry,
    script: Rc<RefCell<Script>>,
    /// Whether the script has reached the answer under test on a reused connection.
    reused: Rc<Cell<bool>>,
}

impl Site {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        // The rest of a long request stays with its sender.
        socket.set_recv_buffer_size(16 * 1024).unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
        let listener = socket.listen(64).unwrap();
        let address = listener.local_addr().unwrap();
        let site = Self {
            entry: Entry::start(&[], &[]).await,
            script: Rc::default(),
            reused: Rc::default(),
        };
        site.entry.register("plain-1", "plain", address);
        site.entry.register("engine-1", "engine", address);
        site.entry.publish_limited(&["key"], LONG + 100);
        let (script, reused) = (site.script.clone(), site.reused.clone());
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let script = script.borrow().clone();
                actix_rt::spawn(play(stream, script, reused.clone()));
            }
        });
        sleep(Duration::from_millis(200)).await;
        site
    }

    /// Returns the entry's answer to an upload.
    async fn call(&self, path: &str, script: Script, chunked: bool, text: &str) -> String {
        let kept = script.kept;
        self.script.replace(script);
        if kept {
            let got = self.entry.call("POST", path, "", "short").await;
            assert!(got.starts_with("HTTP/1.1 200"), "{path}: {got}");
        }
        let got = send(self.entry.callers, &upload(path, chunked, text)).await;
        assert_eq!(self.reused.get(), kept, "{path}: {got}");
        got
    }
}

/// Calls all combinations of a connection and a request body, each at an entry of its own, so that no
/// earlier answer decides whether a connection is reused.
async fn each(path: &str, answer: (&str, Option<End>), text: &str, check: impl Fn(&str, &str)) {
    let combinations = [(false, false), (false, true), (true, false), (true, true)];
    let answers = combinations.map(|(kept, chunked)| async move {
        let script = Script {
            text: answer.0.to_owned(),
            end: answer.1,
            kept,
        };
        let got = Site::start().await.call(path, script, chunked, text).await;
        (
            format!("{path} {answer:?} kept {kept} chunked {chunked}"),
            got,
        )
    });
    for (case, got) in join_all(answers).await {
        check(&case, &got);
    }
}

/// Returns a request whose body has a length, or comes in chunks.
fn upload(path: &str, chunked: bool, text: &str) -> String {
    if !chunked {
        return request("POST", path, "", text);
    }
    let head = request("POST", path, "Transfer-Encoding: chunked\r\n", "");
    format!("{head}{:x}\r\n{text}\r\n0\r\n\r\n", text.len())
}

/// An answer without a length that ended before the request was sent passed for a complete one, if
/// the end of the endpoint's output was read before the reset.
#[test]
fn plain_cut_off() {
    run(async {
        let long = "b".repeat(LONG);
        for end in ENDS {
            let half = format!("HTTP/1.1 200 OK\r\n{SIGNED}\r\nhalf");
            each("/unsafe/x", (&half, Some(end)), &long, |case, got| {
                assert!(got.starts_with("HTTP/1.1 502"), "{case}: {got}");
                assert!(!body(got).contains("half"), "{case}: {got}");
            })
            .await;
        }
    });
}

/// The same for a stream that is cut off after a complete event.
#[test]
fn stream_cut_off() {
    run(async {
        let long = "b".repeat(LONG);
        for end in ENDS {
            let half = format!(
                "HTTP/1.1 200 OK\r\n{SIGNED}Content-Type: text/event-stream\r\n\r\n\
                 id: 1\ndata: t1\n\n"
            );
            each("/stream/x", (&half, Some(end)), &long, |case, got| {
                let complete = got.starts_with("HTTP/1.1 200") && got.ends_with("0\r\n\r\n");
                assert!(!complete, "{case}: {got}");
            })
            .await;
        }
    });
}

/// A status that is not one of three digits from 100 on must not reach the caller.
#[test]
fn statuses() {
    run(async {
        for status in ["000", "099", "1000", "+20", "", "20"] {
            for rest in ["Content-Length: 4\r\n\r\nnone", "\r\nnone"] {
                let text = format!("HTTP/1.1 {status} X\r\n{SIGNED}{rest}");
                for path in ["/unsafe/x", "/stream/x"] {
                    each(path, (&text, None), "book", |case, got| {
                        assert!(got.starts_with("HTTP/1.1 502"), "{case}: {got}");
                        assert!(!body(got).contains("none"), "{case}: {got}");
                    })
                    .await;
                }
            }
        }
    });
}
