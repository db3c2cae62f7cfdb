//! Stand-in for the platform's store: a log with topics, of which those named `keyed.` keep the
//! newest record of each key.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// Time between two copies of the store, and how many are kept.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
const MAX_COPIES: usize = 60;

#[derive(Clone, Default)]
struct Topic {
    /// Offset of the oldest record that is kept.
    first: u64,
    /// Records with the times of their appends.
    records: VecDeque<(Instant, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, keyed: bool, record: Vec<u8>) {
        if keyed && let Some((length, rest)) = record.split_first() {
            let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (self.end(), value.to_vec()));
            }
        }
        self.records.push_back((Instant::now(), record));
    }

    fn expire(&mut self, keep: Duration) {
        while self
            .records
            .front()
            .is_some_and(|(at, _)| at.elapsed() > keep)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

type Topics = BTreeMap<String, Topic>;

struct State {
    topics: Topics,
    copies: VecDeque<(Instant, Topics)>,
    /// Era that answers state, if any.
    era: Option<u64>,
    /// Whether calls are rejected.
    down: bool,
    /// Time for which records are kept.
    keep: Duration,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    /// Starts the store. `era` is what its answers state in `Store-Era`, if anything.
    pub fn start(address: SocketAddr, era: Option<u64>, keep: Duration) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the store's port");
        let store = Arc::new(Self {
            state: Mutex::new(State {
                topics: Topics::new(),
                copies: VecDeque::new(),
                era,
                down: false,
                keep,
            }),
            changed: Condvar::new(),
            address,
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        if era.is_some() {
            let copied = store.clone();
            thread::spawn(move || {
                loop {
                    copied.keep_copy();
                    thread::sleep(COPY_INTERVAL);
                }
            });
        }
        store
    }

    fn keep_copy(&self) {
        let mut state = self.state.lock().unwrap();
        if state.down {
            return;
        }
        let copy = (Instant::now(), state.topics.clone());
        state.copies.push_back(copy);
        while state.copies.len() > MAX_COPIES {
            state.copies.pop_front();
        }
    }

    /// Writes the record of a key, as the operator and the workers do; an empty value removes it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.push(true, record);
        self.changed.notify_all();
    }

    /// Takes the store away, or brings it back.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.notify_all();
    }

    /// Returns to the newest copy that is at least `age` old, in a new era.
    pub fn restore(&self, age: Duration) {
        let mut state = self.state.lock().unwrap();
        while state
            .copies
            .back()
            .is_some_and(|(at, _)| at.elapsed() < age)
        {
            state.copies.pop_back();
        }
        let copy = state.copies.back().map(|(_, topics)| topics.clone());
        state.topics = copy.expect("a copy of that age");
        state.era = state.era.map(|era| era + 1);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(call)) = http::read_message(&mut stream, &mut buffer) {
            let (status, body) = self.call(&call);
            let era = self.state.lock().unwrap().era;
            let header = era.map_or(String::new(), |era| format!("Store-Era: {era}\r\n"));
            if http::answer(&mut stream, status, &header, &body).is_err() {
                return;
            }
        }
    }

    fn call(&self, call: &Message) -> (u16, Vec<u8>) {
        let topic = call.query("topic").unwrap_or_default().to_owned();
        if self.state.lock().unwrap().down {
            return (503, Vec::new());
        }
        match call.path() {
            "/log-append" => self.append(&topic, call),
            "/log-read" => self.read(&topic, call),
            "/log-newest" => self.listing(&topic),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, name: &str, call: &Message) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let keep = state.keep;
        let topic = state.topics.entry(name.to_owned()).or_default();
        topic.expire(keep);
        let offset = topic.end();
        if call.number("at").is_some_and(|at| at != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut bytes = call.body.as_slice();
        while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
            let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
            topic.push(name.starts_with("keyed."), record.to_vec());
            bytes = rest;
        }
        let end = topic.end();
        self.changed.notify_all();
        (
            200,
            format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
        )
    }

    fn read(&self, name: &str, call: &Message) -> (u16, Vec<u8>) {
        let from = call.number("from").unwrap_or(0);
        let wait = Duration::from_millis(call.number("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if state.down {
                return (503, Vec::new());
            }
            let keep = state.keep;
            let topic = state.topics.entry(name.to_owned()).or_default();
            topic.expire(keep);
            let (first, end) = (topic.first, topic.end());
            if from < first || from > end {
                return (410, format!("{{\"first\":{first}}}").into_bytes());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = [end.to_be_bytes(), first.to_be_bytes()].concat();
                let skip = usize::try_from(from - first).expect("few records");
                for (_, record) in topic.records.iter().skip(skip) {
                    let length = u32::try_from(record.len()).expect("a short record");
                    body.extend_from_slice(&length.to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn listing(&self, name: &str) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let items = topic.newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let end = topic.end();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":false,\"end\":{end}}}",
            items.join(",")
        );
        (200, body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let number = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= group.len() {
                let index = (number >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
