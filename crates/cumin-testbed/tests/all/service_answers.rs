//! Answers of plain services that come late, twice, in parts or in an unusual framing.

use std::rc::Rc;

use cumin_testbed::{Options, Testbed};
use cumin_types::Outcome;
use cumin_wire::cloud::Kind;

use crate::scripted::{Script, Scripted, Step, answer, chunk, chunked_head};
use crate::support::{bare_desk, booking, call, quote};

/// Starts one node with the scripted service as the only plain one.
async fn scripted(script: Script) -> (Testbed, Scripted) {
    let bed = bare_desk(Options::default()).await;
    let service = Scripted::start(script);
    service.register(&bed, Kind::Plain, "oven-desk", "hamilton");
    (bed, service)
}

/// Guards against a late copy of an answer that is taken for the answer to the next call.
#[actix_rt::test]
async fn late_copy() {
    let script: Script = Rc::new(|_, count| {
        let sent = answer(200, &format!("answer {count}"));
        vec![Step::Send(sent.clone()), Step::SendLate(sent)]
    });
    let (bed, _service) = scripted(script).await;
    for number in 0..4 {
        let quoted = call(&bed, &quote(number)).await;
        assert_eq!(quoted.body, format!("answer {number}"));
    }
    for number in 4..8 {
        let booked = call(&bed, &booking()).await;
        assert_eq!(booked.body, format!("answer {number}"));
    }
}

/// Guards against bytes after an answer that reach the caller of this call or the next one.
#[actix_rt::test]
async fn bytes_after() {
    let script: Script = Rc::new(|_, count| {
        let sent = answer(200, &format!("answer {count}"));
        let after = [&sent[..], b"HTTP/1.1 200 X\r\ncontent-length: 5\r\n\r\nst"].concat();
        vec![Step::Send(after), Step::Send(b"ray".to_vec())]
    });
    let (bed, _service) = scripted(script).await;
    for number in 0..4 {
        let quoted = call(&bed, &quote(number)).await;
        assert_eq!(quoted.body, format!("answer {number}"));
    }
}

/// Guards against an answer that ends early and is reported as a complete one.
#[actix_rt::test]
async fn closed_early() {
    let whole = answer(200, "whole answer");
    let sized = vec![Step::Send(whole[..whole.len() - 7].to_vec()), Step::Close];
    let parts = vec![
        Step::Send(chunked_head()),
        Step::Send(chunk("whole")),
        Step::Close,
    ];
    for steps in [sized, parts] {
        let early = steps.clone();
        let script: Script = Rc::new(move |_, count| match count {
            0 => early.clone(),
            _ => vec![Step::Send(answer(200, "whole answer"))],
        });
        let (bed, service) = scripted(script).await;
        let quoted = call(&bed, &quote(0)).await;
        assert_eq!((quoted.status, &*quoted.body), (200, "whole answer"));
        assert_eq!(service.requests.borrow().len(), 2);

        let early = steps.clone();
        let (bed, service) = scripted(Rc::new(move |_, _| early.clone())).await;
        let booked = call(&bed, &booking()).await;
        assert_eq!(booked.outcome, Some(Outcome::Unknown), "{booked:?}");
        assert!(!booked.body.contains("whole"), "{booked:?}");
        assert_eq!(service.requests.borrow().len(), 1);
    }
}

/// Guards against an answer without a length that is reported as an empty one.
#[actix_rt::test]
async fn without_length() {
    let sent = b"HTTP/1.1 200 X\r\nconnection: close\r\n\r\nbooked".to_vec();
    let script: Script = Rc::new(move |_, _| vec![Step::Send(sent.clone()), Step::Close]);
    let (bed, _service) = scripted(script).await;
    for made in [quote(0), booking()] {
        let answered = call(&bed, &made).await;
        assert_eq!((answered.status, &*answered.body), (200, "booked"));
    }
}

/// Guards against an informational answer that is taken for the answer.
#[actix_rt::test]
async fn informational() {
    for status in [100, 102, 103] {
        let script: Script = Rc::new(move |_, _| {
            let early = format!("HTTP/1.1 {status} X\r\n\r\n").into_bytes();
            vec![Step::Send(early), Step::Send(answer(200, "booked"))]
        });
        let (bed, service) = scripted(script).await;
        for made in [quote(0), booking()] {
            let answered = call(&bed, &made).await;
            assert_eq!((answered.status, &*answered.body), (200, "booked"));
        }
        assert_eq!(service.requests.borrow().len(), 2);
    }
}

/// Guards against an answer without a body whose caller waits for one or gets that of another.
#[actix_rt::test]
async fn no_content() {
    let script: Script = Rc::new(move |_, count| {
        let empty = b"HTTP/1.1 204 X\r\n\r\n".to_vec();
        let next = answer(200, &format!("answer {count}"));
        vec![Step::Send(if count % 2 == 0 { empty } else { next })]
    });
    let (bed, _service) = scripted(script).await;
    for number in 0..4 {
        let quoted = call(&bed, &quote(number)).await;
        if number % 2 == 0 {
            assert_eq!((quoted.status, &*quoted.body), (204, ""));
        } else {
            assert_eq!(quoted.body, format!("answer {number}"));
        }
    }
}

/// Guards against a booking that is reported as not run, or sent again, after its service answered
/// with bytes that are no answer or closed the connection.
#[actix_rt::test]
async fn spoiled_booking() {
    for sent in [
        "",
        "HTTP/1.1 2",
        "HTTP/1.1 200 X\r\nconte",
        "no answer\r\n\r\n",
    ] {
        let script: Script =
            Rc::new(move |_, _| vec![Step::Send(sent.as_bytes().to_vec()), Step::Close]);
        let (bed, service) = scripted(script).await;
        let made = booking();
        for _ in 0..2 {
            let booked = call(&bed, &made).await;
            assert_eq!(
                booked.outcome,
                Some(Outcome::Unknown),
                "{sent:?}: {booked:?}"
            );
        }
        assert_eq!(service.requests.borrow().len(), 1, "{sent:?}");
    }
}
