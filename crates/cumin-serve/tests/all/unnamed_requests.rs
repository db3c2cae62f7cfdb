//! Requests without an identifier, whose answers can be told apart by their connection only.

use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::support::{Endpoint, Entry, Step, answer, body, read_request, request, run, send};

fn unnamed(body: &str) -> String {
    request("POST", "/unsafe/x", "", body).replace("X-Attempt-Id: abc123\r\n", "")
}

fn bare(ids: &str, body: &str) -> Step {
    let length = body.len();
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\n{ids}X-Response-Seal: s\r\nContent-Length: {length}\r\n\r\n{body}"
    ))
}

/// An answer that bears an identifier belongs to another request.
#[test]
fn other_identifier() {
    run(async {
        for ids in [
            "X-Attempt-Id: other\r\n",
            "X-Attempt-Id: a\r\nX-Attempt-Id: b\r\n",
            "X-Attempt-Id: \u{e4}\r\n",
        ] {
            let script = vec![bare(ids, "wrong"), bare("", "mine")];
            let endpoint = Endpoint::start(vec![script]).await;
            let entry = Entry::start(&[&endpoint], &[]).await;
            let got = send(entry.callers, &unnamed("book")).await;
            assert_eq!(body(&got), "mine", "{ids:?}: {got}");
        }
    });
}

/// A late copy without an identifier of an earlier answer must not be taken for the answer, so such
/// a request needs a connection on which no earlier answer can be due.
#[test]
fn late_copy() {
    run(async {
        let first = vec![answer(200, "first")];
        let late = vec![bare("", "wrong"), Step::Wait(30), bare("", "second")];
        // On a new connection the endpoint sends no copy.
        let sound = vec![bare("", "third")];
        for scripts in [vec![first, late], vec![vec![bare("", "first")], sound]] {
            let endpoint = Endpoint::start(scripts).await;
            let entry = Entry::start(&[&endpoint], &[]).await;
            entry.call("POST", "/unsafe/x", "", "book").await;
            let before = connections(&entry).await;
            send(entry.callers, &unnamed("book")).await;
            assert_eq!(connections(&entry).await, before + 1);
        }
    });
}

/// An endpoint sends a copy of its first answer again when the next request on that connection
/// arrives; a request without an identifier would take it for its answer.
#[test]
fn copy_on_reuse() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let entry = Entry::start(&[], &[]).await;
        entry.register("plain-1", "plain", listener.local_addr().unwrap());
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                actix_rt::spawn(async move {
                    let mut copy = None;
                    while let Some(received) = read_request(&mut stream).await {
                        let body = String::from_utf8(received.body).unwrap();
                        let text = copy.get_or_insert(format!(
                            "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        ));
                        stream.write_all(text.as_bytes()).await.unwrap();
                    }
                });
            }
        });
        sleep(Duration::from_millis(200)).await;
        for expected in ["first", "second", "third"] {
            let got = send(entry.callers, &unnamed(expected)).await;
            assert_eq!(body(&got), expected, "{got}");
        }
    });
}

/// Returns the number of connections that the entry has opened to endpoints.
async fn connections(entry: &Entry) -> u64 {
    let text = crate::support::metrics(entry).await;
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix("cumin_endpoint_connections_total "));
    line.expect(&text).parse().unwrap()
}
