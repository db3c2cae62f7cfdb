//! Requests without an identifier, whose answers can be told apart by their connection only.

use crate::support::{Endpoint, Entry, Step, answer, body, request, run, send};

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

/// Returns the number of connections that the entry has opened to endpoints.
async fn connections(entry: &Entry) -> u64 {
    let text = crate::support::metrics(entry).await;
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix("cumin_endpoint_connections_total "));
    line.expect(&text).parse().unwrap()
}
