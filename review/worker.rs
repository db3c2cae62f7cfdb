//! Workers, and proxies that reset channels.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{self, Message};
use crate::store::Store;

/// Answers one request; returns whether the channel stays open.
pub type Answer = dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync;

/// A worker that serves requests.
pub struct Server {
    address: SocketAddr,
    exited: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Ends the worker as its exit does: open channels end, and new ones are refused.
    pub fn exit(&self) {
        self.exited.store(true, SeqCst);
        for channel in self.channels.lock().expect("the worker's lock").drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        // Ends the wait for the next channel, after which the listener is closed.
        let _ = TcpStream::connect(self.address);
    }
}

/// Serves requests at an address with `answer`.
pub fn serve(address: SocketAddr, answer: Arc<Answer>) -> Server {
    let listener = TcpListener::bind(address).expect("the worker's port is free");
    let (exited, channels) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let server = Server {
        address,
        exited: exited.clone(),
        channels: Arc::clone(&channels),
    };
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            if exited.load(SeqCst) {
                return;
            }
            if let Ok(channel) = stream.try_clone() {
                channels.lock().expect("the worker's lock").push(channel);
            }
            let answer = answer.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Ok(request) = http::read_message(&mut stream, &mut buffer) {
                    if !answer(&request, &mut stream) {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    server
}

/// The registration of a worker.
pub struct Registration {
    store: Arc<Store>,
    name: String,
    /// Whether the worker has left.
    removed: Arc<Mutex<bool>>,
}

impl Registration {
    /// Removes the registration for good.
    pub fn remove(&self) {
        let mut removed = self.removed.lock().expect("the lock of the registration");
        *removed = true;
        self.store.put("keyed.servers", &self.name, "");
    }
}

/// Registers a worker in the store, again every 1.2 s until it is removed.
pub fn register(
    store: Arc<Store>,
    name: String,
    service: &'static str,
    slots: usize,
    address: SocketAddr,
) -> Registration {
    let removed = Arc::new(Mutex::new(false));
    let registration = Registration {
        store: store.clone(),
        name: name.clone(),
        removed: removed.clone(),
    };
    std::thread::spawn(move || {
        for sequence in 1.. {
            let value = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hamilton\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"sequence\":{sequence},\"born\":1700000000000}}"
            );
            let removed = removed.lock().expect("the lock of the registration");
            if *removed {
                return;
            }
            store.put("keyed.servers", &name, &value);
            drop(removed);
            std::thread::sleep(Duration::from_millis(1200));
        }
    });
    registration
}

/// Returns the head of an answer of which the body comes in chunks.
pub fn stream_head(id: &str, worker: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal-{worker}-{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Returns one event as a chunk.
pub fn event(id: &str, number: u64) -> String {
    let text = format!("id: {number}\ndata: {id}-{number}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A proxy whose open channels can be reset, or go silent.
#[derive(Clone, Default)]
pub struct Proxy {
    clients: Arc<Mutex<Vec<TcpStream>>>,
    /// Number of times that the open channels went silent.
    silences: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(at: SocketAddr, to: SocketAddr) -> Self {
        let proxy = Self::default();
        let (clients, silences) = (proxy.clients.clone(), proxy.silences.clone());
        let listener = TcpListener::bind(at).expect("the proxy's port is free");
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let kept = client.try_clone().expect("a second handle");
                clients.lock().expect("the proxy's lock").push(kept);
                let pair = (client.try_clone(), server.try_clone());
                let channel = Channel {
                    silences: silences.clone(),
                    opened: silences.load(SeqCst),
                };
                let back = channel.clone();
                std::thread::spawn(move || channel.forward(client, server));
                if let (Ok(client), Ok(server)) = pair {
                    std::thread::spawn(move || back.forward(server, client));
                }
            }
        });
        proxy
    }

    /// Makes all open channels silent for good: they stay open, but carry nothing any more.
    pub fn silence(&self) {
        self.silences.fetch_add(1, SeqCst);
    }

    /// Resets all open channels to the caller's side.
    pub fn reset(&self) {
        for client in self.clients.lock().expect("the proxy's lock").drain(..) {
            reset(&client);
        }
    }
}

/// A channel through a proxy.
#[derive(Clone)]
struct Channel {
    silences: Arc<AtomicU64>,
    /// Number of silences when it was opened.
    opened: u64,
}

impl Channel {
    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 16 * 1024];
        while let Ok(count) = from.read(&mut bytes) {
            if self.silences.load(SeqCst) != self.opened {
                // Both ends stay open until the process exits.
                std::mem::forget((from, to));
                return;
            }
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Resets a channel, which ends the reads and writes of its other handles.
fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd as _;
    unsafe extern "C" {
        fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    }
    // Connecting to an address of the family AF_UNSPEC aborts the connection with a reset.
    let unspecified = [0_u8; 16];
    // SAFETY: the address is valid for its length, and the socket stays open during the call.
    unsafe {
        connect(stream.as_raw_fd(), unspecified.as_ptr(), 16);
    }
}
