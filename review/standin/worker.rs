//! Workers, and proxies that reset channels.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{self, Message};
use crate::store::Store;

/// Answers one request; returns whether the channel stays open.
pub type Answer = dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync;

/// Serves requests at an address with `answer`.
pub fn serve(address: SocketAddr, answer: Arc<Answer>) {
    let listener = TcpListener::bind(address).expect("the worker's port is free");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Ok(request) = http::read_message(&mut stream, &mut buffer) {
                    if !answer(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

/// Registers a worker in the store, again every 1.2 s.
pub fn register(
    store: Arc<Store>,
    name: String,
    service: &'static str,
    slots: usize,
    address: SocketAddr,
) {
    std::thread::spawn(move || {
        for sequence in 1.. {
            let value = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hamilton\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"sequence\":{sequence},\"born\":1700000000000}}"
            );
            store.put("keyed.servers", &name, &value);
            std::thread::sleep(Duration::from_millis(1200));
        }
    });
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

/// A proxy in front of a worker, whose open channels can be reset.
#[derive(Clone, Default)]
pub struct Proxy {
    clients: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(at: SocketAddr, to: SocketAddr) -> Self {
        let proxy = Self::default();
        let clients = proxy.clients.clone();
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
                std::thread::spawn(move || forward(client, server));
                if let (Ok(client), Ok(server)) = pair {
                    std::thread::spawn(move || forward(server, client));
                }
            }
        });
        proxy
    }

    /// Resets all open channels to the caller's side.
    pub fn reset(&self) {
        for client in self.clients.lock().expect("the proxy's lock").drain(..) {
            reset(&client);
        }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// Resets a channel: with a linger time of zero, closing it sends a reset, and the shutdown ends
/// the reads and writes of its other handles.
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
