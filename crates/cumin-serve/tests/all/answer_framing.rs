//! Framing of the answers that callers get: no byte follows a complete answer, and a truncated one
//! does not look complete.

use std::io;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::{
    Endpoint, Entry, LIMIT, Step, answer, body, chunk, last_chunk, request, run, send, stream_head,
};

const SIGNED: &str = "X-Attempt-Id: ID\r\nX-Response-Seal: s\r\n";

fn signed(status: u16, rest: &str) -> Step {
    Step::Write(format!("HTTP/1.1 {status} X\r\n{SIGNED}{rest}"))
}

/// Returns a request after which the caller keeps its connection.
fn kept(method: &str, path: &str, body: &str) -> String {
    request(method, path, "", body).replace("Connection: close\r\n", "")
}

/// A status that has no body must not be followed by bytes of a body, not even on a route of
/// streams, whose answers come in chunks.
#[test]
fn bodiless_status() {
    run(async {
        for (path, rest) in [
            ("/stream/x", "\r\n"),
            ("/stream/x", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            ("/unsafe/x", "\r\n"),
            ("/unsafe/x", "Content-Length: 5\r\n\r\nwrong"),
            (
                "/unsafe/x",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
            ),
        ] {
            let endpoint = Endpoint::start(vec![vec![signed(204, rest)]]).await;
            let entry = Entry::start(&[&endpoint], &[&endpoint]).await;
            let got = entry.call("POST", path, "", "book").await;
            assert!(got.starts_with("HTTP/1.1 204"), "{path} {rest:?}: {got}");
            assert_eq!(body(&got), "", "{path} {rest:?}: {got:?}");
        }
    });
}

/// A 304 may state the length of the body that it leaves out; the entry must not wait for it.
#[test]
fn not_modified() {
    run(async {
        let head = signed(304, "Content-Length: 10\r\n\r\n");
        let endpoint = Endpoint::start(vec![vec![head], vec![answer(200, "next")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let got = entry.call("GET", "/safe/x", "", "").await;
        assert!(got.starts_with("HTTP/1.1 304"), "{got}");
        assert_eq!(body(&got), "", "{got}");
        let got = entry.call("GET", "/safe/x", "", "").await;
        assert_eq!(body(&got), "next", "{got}");
    });
}

/// Answers to HEAD have no body, whoever writes them; the next answer follows the head at once.
#[test]
fn head_requests() {
    run(async {
        let head = signed(200, "Content-Length: 10\r\n\r\n");
        let endpoint = Endpoint::start(vec![vec![head]]).await;
        let entry = Entry::start(&[&endpoint], &[&endpoint]).await;
        let calls = [
            (entry.callers, "/safe/x", "200"),
            (entry.callers, "/stream/x", "200"),
            (entry.callers, "/nowhere", "404"),
            (entry.directory, "/resolve?name=h", "200"),
            (entry.directory, "/nowhere", "404"),
        ];
        for (address, path, status) in calls {
            let text = kept("HEAD", path, "") + &request("HEAD", path, "", "");
            let got = send(address, &text).await;
            let heads: Vec<&str> = got.split_terminator("\r\n\r\n").collect();
            assert_eq!(heads.len(), 2, "{path}: {got:?}");
            for head in heads {
                assert!(
                    head.starts_with(&format!("HTTP/1.1 {status}")),
                    "{path}: {got:?}"
                );
            }
        }
    });
}

/// The refusal of a request that can't be read must be whole also after a HEAD request on the same
/// connection.
#[test]
fn refused_after_head() {
    run(async {
        let head = signed(200, "Content-Length: 10\r\n\r\n");
        let endpoint = Endpoint::start(vec![vec![head]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let text = kept("HEAD", "/safe/x", "") + "no request\r\n\r\n";
        let got = send(entry.callers, &text).await;
        let at = got.find("HTTP/1.1 400").expect(&got);
        let refusal = &got[at..];
        let length = format!("content-length: {}\r\n", body(refusal).len());
        assert!(
            refusal.contains(&length) && !body(refusal).is_empty(),
            "{got:?}"
        );
    });
}

/// Reads an answer and the way in which its connection ends.
async fn read_answer(address: std::net::SocketAddr, text: &str) -> (String, io::Result<usize>) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let end = timeout(LIMIT, stream.read_to_end(&mut bytes)).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    (text, end.expect("the connection ends"))
}

/// A caller that speaks HTTP/1.0 knows no chunks: its stream ends with the connection, so a
/// truncated one must be reset.
#[test]
fn old_caller() {
    run(async {
        let events = "id: 1\ndata: t1\n\n";
        let whole = vec![stream_head(), chunk(events), Step::Wait(20), last_chunk()];
        let broken = vec![stream_head(), chunk(events), Step::Wait(20), Step::Reset];
        let stalled = vec![stream_head(), chunk(events), Step::Hold];
        for (script, complete) in [(whole, true), (broken, false), (stalled, false)] {
            let endpoint = Endpoint::start(vec![script]).await;
            let entry = Entry::start(&[], &[&endpoint]).await;
            for connection in ["close", "keep-alive"] {
                let text = request("POST", "/stream/x", "", "prompt")
                    .replace("HTTP/1.1", "HTTP/1.0")
                    .replace("2500", "600")
                    .replace("Connection: close", &format!("Connection: {connection}"));
                let (got, end) = read_answer(entry.callers, &text).await;
                assert!(got.starts_with("HTTP/1.0 200"), "{got:?}");
                assert_eq!(body(&got), events, "{got:?}");
                assert!(!got.to_lowercase().contains("transfer-encoding"), "{got:?}");
                assert_eq!(end.is_ok(), complete, "{connection}: {got:?}");
            }
        }
    });
}

/// Headers of an endpoint that concern its own connection must not contradict the framing of the
/// forwarded answer.
#[test]
fn endpoint_framing() {
    run(async {
        let head = signed(
            200,
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\
             Keep-Alive: timeout=5\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Twice: a\r\nX-Twice: b\r\n\r\n",
        );
        let events = "id: 1\ndata: t1\n\n";
        let end = Step::Write("0\r\nX-Sum: 1\r\n\r\n".into());
        let endpoint = Endpoint::start(vec![vec![head, chunk(events), end]]).await;
        let entry = Entry::start(&[&endpoint], &[&endpoint]).await;
        let got = entry
            .call("POST", "/stream/x", "", "prompt")
            .await
            .to_lowercase();
        assert_eq!(
            got.matches("transfer-encoding: chunked").count(),
            1,
            "{got}"
        );
        for absent in ["content-length", "trailer", "x-hop", "x-sum", "keep-alive"] {
            assert!(!got.contains(absent), "{absent}: {got}");
        }
        assert!(
            got.contains("x-twice: a\r\n") && got.contains("x-twice: b\r\n"),
            "{got}"
        );
        assert!(got.ends_with("0\r\n\r\n"), "{got}");
        let got = entry
            .call("POST", "/unsafe/x", "", "book")
            .await
            .to_lowercase();
        assert!(got.contains("content-length: 16\r\n"), "{got}");
        assert_eq!(got.matches("content-length").count(), 1, "{got}");
        assert!(!got.contains("transfer-encoding"), "{got}");
    });
}

/// A head that can be read in two ways is no answer.
#[test]
fn ambiguous_heads() {
    run(async {
        for rest in [
            "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
            "Content-Length: 2\r\nX-Folded: a\r\n HTTP/1.1 200 X\r\n\r\nok",
            "Content-Length: 2\r\nX-Split: a\rHTTP/1.1 200 X\r\n\r\nok",
            "Content-Length: 2\r\nX-Nul: \0\r\n\r\nok",
            "Content-Length: 2\r\nX Name: a\r\n\r\nok",
        ] {
            let endpoint = Endpoint::start(vec![vec![signed(200, rest), Step::Close]]).await;
            let entry = Entry::start(&[&endpoint], &[]).await;
            let got = entry.call("POST", "/unsafe/x", "", "book").await;
            assert!(got.starts_with("HTTP/1.1 502"), "{rest:?}: {got:?}");
        }
    });
}

/// A `Connection` header must not remove the headers that tell whose answer, and whose request, a
/// message is.
#[test]
fn listed_headers() {
    run(async {
        let listing = "Connection: X-Response-Seal, X-Attempt-Id\r\nContent-Length: 2\r\n\r\nok";
        let endpoint = Endpoint::start(vec![vec![signed(200, listing)]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let extra = "Connection: X-Attempt-Id, X-Model, X-Token-Count, X-Prompt-Prefix\r\n\
                     X-Model: m\r\nX-Token-Count: 1,1\r\nX-Prompt-Prefix: 1:1\r\n";
        let got = entry.call("POST", "/unsafe/x", extra, "book").await;
        assert!(got.contains("x-response-seal: s\r\n"), "{got}");
        assert!(got.contains("x-attempt-id: abc123\r\n"), "{got}");
        let received = endpoint.received.borrow();
        for name in [
            "x-attempt-id",
            "x-model",
            "x-token-count",
            "x-prompt-prefix",
        ] {
            assert!(
                received[0].header(name).is_some(),
                "{name}: {}",
                received[0].head
            );
        }
    });
}
