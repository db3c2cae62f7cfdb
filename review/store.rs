//! The platform's store: a log with topics of one partition, and conditional appends.

use std::collections::{BTreeMap, HashMap};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind(address).expect("the store's port is free");
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record to a keyed topic, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let length = u8::try_from(key.len()).expect("a short key");
        let record = [&[length], key.as_bytes(), value.as_bytes()].concat();
        let mut topics = self.topics.lock().expect("the store's lock");
        topics.entry(topic.to_owned()).or_default().push(record);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(call) = http::read_message(&mut stream, &mut buffer) {
            let answer = match call.path() {
                "/log-append" => self.append(&call),
                "/log-read" => self.read(&call),
                "/log-newest" => self.newest(&call),
                _ => http::answer(404, "", b""),
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn append(&self, call: &Message) -> Vec<u8> {
        let mut topics = self.topics.lock().expect("the store's lock");
        let name = call.query("topic").unwrap_or_default();
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.len();
        if let Some(at) = call.query("at")
            && at.parse() != Ok(offset)
        {
            return http::answer(412, "", format!("{{\"end\":{offset}}}").as_bytes());
        }
        let mut bytes = call.body.as_slice();
        while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
            let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
            topic.push(record.to_vec());
            bytes = rest;
        }
        let body = format!("{{\"offset\":{offset},\"end\":{}}}", topic.len());
        self.changed.notify_all();
        http::answer(200, "", body.as_bytes())
    }

    fn read(&self, call: &Message) -> Vec<u8> {
        let number = |name| call.query(name).and_then(|text| text.parse().ok());
        let from = number("from").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
        let until = Instant::now() + wait;
        let name = call.query("topic").unwrap_or_default();
        let mut topics = self.topics.lock().expect("the store's lock");
        loop {
            let records = topics.get(name).map(Vec::as_slice).unwrap_or_default();
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = [records.len() as u64, 0].map(u64::to_be_bytes).concat();
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return http::answer(200, "", &body);
            }
            let waited = self.changed.wait_timeout(topics, left);
            topics = waited.expect("the store's lock").0;
        }
    }

    fn newest(&self, call: &Message) -> Vec<u8> {
        let topics = self.topics.lock().expect("the store's lock");
        let name = call.query("topic").unwrap_or_default();
        let records = topics.get(name).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let items = newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let (items, end) = (items.join(","), records.len());
        let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}");
        http::answer(200, "", body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index > group.len() {
                '='
            } else {
                char::from(digit)
            });
        }
    }
    text
}
