//! Tests of transcripts, runs, replicas and takeover, without sockets.

use cumin_request::{Finish, Replica, Transcript};
use cumin_types::{
    AttemptId, Call, Descriptor, Epoch, Millis, Model, NodeName, Organisation, Outcome, Priority,
    Repeat, RequestId, Service,
};
use uuid::Uuid;

mod epochs;
mod machine;
mod replicas;
mod runs;
mod takeover;
mod transcripts;
mod world;

fn id(number: u128) -> RequestId {
    RequestId(Uuid::from_u128(number))
}

fn attempt(number: u128) -> AttemptId {
    AttemptId(Uuid::from_u128(number))
}

fn node(number: usize) -> NodeName {
    NodeName::from(format!("node-{number}").as_str())
}

fn descriptor(number: u128, once: bool, epoch: u32, owner: usize) -> Descriptor {
    let call = if once {
        Call::Plain {
            method: "POST".into(),
            path: "bookings".into(),
            content_type: None,
            binary: false,
            repeat: Repeat::Once(Uuid::from_u128(number)),
        }
    } else {
        Call::Completion {
            model: Model::from("crumb"),
            chat: true,
            stream: true,
        }
    };
    Descriptor {
        id: id(number),
        org: Organisation::from("bakers"),
        service: Service::from("crumb-assist"),
        call,
        body: "prompt".into(),
        priority: Priority::Normal,
        time_left: Millis(10_000),
        epoch: Epoch(epoch),
        owner: node(owner),
    }
}

fn transcript(tokens: &[&str]) -> Transcript {
    let mut transcript = Transcript::default();
    for token in tokens {
        transcript.push(token);
    }
    transcript
}

fn replica(number: u128, epoch: u32, owner: usize, tokens: &[&str]) -> Replica {
    Replica {
        descriptor: descriptor(number, false, epoch, owner),
        transcript: transcript(tokens),
        finish: None,
        beside: Vec::new(),
    }
}

fn done() -> Finish {
    Finish::without_answer(Outcome::Done, "stop")
}
