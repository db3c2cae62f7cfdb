use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{Request, Response};
use cumin_http::{Handler, Options, Server};
use futures_util::FutureExt;

fn slow() -> Handler {
    Rc::new(|_: Request| {
        async {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            Response::ok().set_body("whole".to_string().boxed())
        }
        .boxed_local()
    })
}

fn start(options: Options, handler: Handler) -> Server {
    Server::bind("127.0.0.1:0".parse().expect("an address"), options, handler).expect("bound")
}

async fn get(server: &Server) -> Result<String, awc::error::SendRequestError> {
    let mut answer = awc::Client::new()
        .get(format!("http://{}/", server.address()))
        .send()
        .await?;
    let body = answer.body().await.expect("a body");
    Ok(String::from_utf8(body.to_vec()).expect("text"))
}

/// Guards against a stop that cuts off an answer in flight.
#[actix_rt::test]
async fn refusing_finishes_answers() {
    let server = start(Options::default(), slow());
    let call = get(&server);
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        server.stop_accepting();
    };
    let (answer, ()) = futures_util::future::join(call, stop).await;
    assert_eq!(answer.expect("an answer"), "whole");
    assert!(get(&server).await.is_err(), "a new connection was accepted");
}

/// Guards against a crash in tests that leaves connections alive.
#[actix_rt::test]
async fn aborting_closes_connections() {
    let server = start(Options::default(), slow());
    let call = get(&server);
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        server.abort();
    };
    let (answer, ()) = futures_util::future::join(call, stop).await;
    assert!(answer.is_err());
    server.wait_closed().await;
}

/// Guards against an unbounded number of connections.
#[actix_rt::test]
async fn connections_are_bounded() {
    let server = start(
        Options {
            max_connections: 1,
            ..Options::default()
        },
        slow(),
    );
    let (first, second) = futures_util::future::join(get(&server), async {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
        get(&server).await
    })
    .await;
    assert_eq!(first.expect("an answer"), "whole");
    assert!(second.is_err(), "the second connection was served");
}
