//! The decoder of chunks reads the same from each input as that of `actix-http`, wherever it is cut.

use actix_codec::Decoder as _;
use actix_http::ServiceConfig;
use actix_http::h1::ClientCodec;
use bytes::{Bytes, BytesMut};
use cumin_http::chunks::{ChunkDecoder, Piece};
use proptest::collection::vec;
use proptest::prelude::*;

/// Data of a body, how it ended, and the bytes after its end.
#[derive(Debug, PartialEq, Eq)]
struct Reading {
    data: Vec<u8>,
    end: End,
    rest: Vec<u8>,
}

#[derive(Debug, PartialEq, Eq)]
enum End {
    Complete,
    Incomplete,
    Malformed,
}

/// Reads a body with the decoder of `actix-http`.
fn reference(config: &ServiceConfig, body: &[u8]) -> Reading {
    let mut codec = ClientCodec::new(config.clone());
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut input = BytesMut::from(head);
    codec.decode(&mut input).unwrap().unwrap();
    let mut codec = codec.into_payload_codec();
    input.extend_from_slice(body);
    let mut data = Vec::new();
    let end = loop {
        match codec.decode(&mut input) {
            Ok(Some(Some(bytes))) => data.extend_from_slice(&bytes),
            Ok(Some(None)) => break End::Complete,
            Ok(None) => break End::Incomplete,
            Err(_) => break End::Malformed,
        }
    };
    let rest = if end == End::Complete {
        input.to_vec()
    } else {
        Vec::new()
    };
    Reading { data, end, rest }
}

/// Reads a body that arrives in pieces.
fn reading(pieces: &[&[u8]]) -> Reading {
    let mut decoder = ChunkDecoder::default();
    let mut input = BytesMut::new();
    let mut data = Vec::new();
    let mut end = End::Incomplete;
    for piece in pieces {
        input.extend_from_slice(piece);
        while end == End::Incomplete {
            match decoder.decode(&mut input) {
                Ok(Piece::Data(bytes)) => data.extend_from_slice(&bytes),
                Ok(Piece::End) => end = End::Complete,
                Ok(Piece::Incomplete) => break,
                Err(_) => end = End::Malformed,
            }
        }
    }
    let rest = if end == End::Complete {
        input.to_vec()
    } else {
        Vec::new()
    };
    Reading { data, end, rest }
}

const PARTS: &[&str] = &[
    "4\r\ndata\r\n",
    "4\r\ndata\r\n",
    "a\r\n0123456789\r\n",
    "00B;x=\"y\"\r\nhello chunk\r\n",
    "1 \t\r\n\n\r\n",
    "3;\r\nabc\r\n",
    "0\r\n\r\n",
    "0\r\nX-Trailer: 1\r\n\r\n",
    "fffffffffffffffff\r\n",
    "ffffffffffffffff\r\nmuch",
    "4\r\ndata",
    "4\n",
    "\r\n",
    "after",
];

fn bodies() -> impl Strategy<Value = Vec<u8>> {
    let part = prop_oneof![
        12 => (0..PARTS.len()).prop_map(|index| PARTS[index].as_bytes().to_vec()),
        1 => vec(any::<u8>(), 1..4),
    ];
    vec(part, 0..8).prop_map(|parts| parts.concat())
}

/// Guards against data that are lost, framing that becomes data, and an end that is seen too early
/// or too late.
#[actix_rt::test]
async fn same_reading() {
    let service = ServiceConfig::default();
    let config = ProptestConfig {
        cases: 10_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    proptest!(config, |(body in bodies(), cut in any::<prop::sample::Index>())| {
        let expected = reference(&service, &body);
        prop_assert_eq!(&reading(&[&body]), &expected);
        let (first, second) = body.split_at(cut.index(body.len() + 1));
        prop_assert_eq!(&reading(&[first, second]), &expected);
        let single: Vec<&[u8]> = body.chunks(1).collect();
        // Bytes after the end are then not read.
        if expected.rest.is_empty() {
            prop_assert_eq!(&reading(&single), &expected);
        }
    });
}

/// The data of all chunks that were received come at once, and those before a fault come first.
#[test]
fn joined() {
    let mut decoder = ChunkDecoder::default();
    let mut input = BytesMut::from("4\r\nsome\r\n5\r\n data\r\n3\r\n..");
    let data = |text: &'static str| Ok(Piece::Data(Bytes::from(text)));
    assert_eq!(decoder.decode(&mut input), data("some data.."));
    assert_eq!(decoder.decode(&mut input), Ok(Piece::Incomplete));
    input.extend_from_slice(b".\r\nx");
    assert_eq!(decoder.decode(&mut input), data("."));
    assert!(decoder.decode(&mut input).is_err());
    assert!(decoder.decode(&mut input).is_err());
}
