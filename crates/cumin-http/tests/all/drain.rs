use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{Request, Response};
use cumin_http::{Handler, Options, Server};
use futures_util::FutureExt;

fn slow_handler() -> Handler {
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

/// Guards against a graceful stop that aborts an answer in progress.
#[actix_rt::test]
async fn stop_finishes_answers() {
    let server = start(Options::default(), slow_handler());
    let call = get(&server);
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        server.stop_accepting();
    };
    let (answer, ()) = futures_util::future::join(call, stop).await;
    assert_eq!(answer.expect("an answer"), "whole");
    assert!(get(&server).await.is_err(), "a new connection was accepted");
}

/// Guards against an abort, which tests use as a crash, that leaves connections open.
#[actix_rt::test]
async fn abort_closes_connections() {
    let server = start(Options::default(), slow_handler());
    let call = get(&server);
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        server.abort();
    };
    let (answer, ()) = futures_util::future::join(call, stop).await;
    assert!(answer.is_err());
    server.wait_closed().await;
}

/// Guards against a server that accepts more connections than its limit.
#[actix_rt::test]
async fn connections_are_bounded() {
    let server = start(
        Options {
            max_connections: 1,
            ..Options::default()
        },
        slow_handler(),
    );
    let (first, second) = futures_util::future::join(get(&server), async {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
        get(&server).await
    })
    .await;
    assert_eq!(first.expect("an answer"), "whole");
    assert!(second.is_err(), "the second connection was served");
}
