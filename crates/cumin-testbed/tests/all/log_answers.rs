//! Answers of the log that come late, through a proxy in front of the testbed's log.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_client::{Client, PlainCall};
use cumin_config::{Secret, Settings};
use cumin_node::Node;
use cumin_testbed::{Options, SECRET, Testbed};
use cumin_types::Outcome;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use uuid::Uuid;

use crate::support::{KEY, document, testbed};

/// Starts a proxy to the log that repeats each answer on its connection when the next request
/// arrives there; returns the number of repeated answers. It relays one request at a time; a pause of 20 ms ends an answer.
async fn repeating_proxy(bed: &Testbed) -> (SocketAddr, Rc<Cell<u32>>) {
    let log = bed.log.address();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let repeated = Rc::new(Cell::new(0));
    let count = Rc::clone(&repeated);
    actix_rt::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            let count = Rc::clone(&count);
            actix_rt::spawn(async move {
                let mut log = TcpStream::connect(log).await.expect("the log");
                let mut copy = Vec::new();
                let mut request = Vec::new();
                while caller
                    .read_buf(&mut request)
                    .await
                    .is_ok_and(|read| read > 0)
                {
                    if caller.write_all(&copy).await.is_err()
                        || log.write_all(&request).await.is_err()
                    {
                        return;
                    }
                    count.set(count.get() + u32::from(!copy.is_empty()));
                    request.clear();
                    copy.clear();
                    let pause = Duration::from_millis(20);
                    while let Ok(Ok(1..)) =
                        actix_rt::time::timeout(pause, log.read_buf(&mut copy)).await
                    {
                    }
                    if caller.write_all(&copy).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, repeated)
}

/// Guards against a booking that runs again because a node took a late copy of the log's answer for
/// the answer to its next read.
#[actix_rt::test]
async fn late_copy() {
    let bed = testbed(Options {
        node_count: 1,
        ..Options::default()
    })
    .await;
    let mut made = Vec::new();
    for _ in 0..12 {
        let call = PlainCall {
            method: "POST".into(),
            service: "oven-desk".into(),
            path: "bookings".into(),
            key: Some(Uuid::now_v7()),
            body: "{}".into(),
        };
        let first = bed.client(KEY).call(&call).await.expect("an answer");
        assert_eq!(first.outcome, Some(Outcome::Done), "{first:?}");
        made.push((call, first));
    }
    bed.crash_node(0);
    let (log_address, repeated) = repeating_proxy(&bed).await;
    let local = ([127, 0, 0, 1], 0).into();
    let document = document();
    let (place, spec) = document.places.iter().next().expect("a place");
    let settings = Settings {
        name: "behind-proxy".into(),
        place: place.clone(),
        region: spec.region.clone(),
        environment: document.environment.name.clone(),
        listen: local,
        peer_listen: local,
        log_address,
        cloud_address: bed.cloud.address(),
        secret: Some(Secret::new(SECRET)),
        ..Settings::default()
    };
    let node =
        Node::start(settings, Some(document), cumin_node::Options::default()).expect("a node");
    let client = Client::new(cumin_client::Options {
        key: KEY.into(),
        entries: vec![node.address()],
        max_wait: Duration::from_secs(2),
        ..cumin_client::Options::default()
    });
    for (call, first) in &made {
        let again = client.call(call).await.expect("an answer");
        assert_eq!((again.outcome, &again.body), (first.outcome, &first.body));
        let key = call.key.expect("a key").to_string();
        assert_eq!(bed.effect_count(&key), 1);
    }
    assert!(repeated.get() > 0, "no connection to the log was reused");
    node.stop().await;
}
