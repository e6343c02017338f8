//! A small HTTP/1.1 server and client, one thread for each connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    /// Value of `X-Expect-Instance`.
    pub instance: String,
    pub body: String,
}

impl Request {
    /// Returns a decoded parameter of the query.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value);
        decode(value)
    }
}

/// Answer of a server: a status and a body. `None` leaves the request unanswered.
pub type Answer = Option<(u16, String)>;

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        let code = after.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A running server.
#[derive(Clone, Debug)]
pub struct Server {
    pub address: SocketAddr,
    is_down: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves requests on a free port of an address until the process ends.
    pub fn start(ip: &str, handle: impl Fn(Request) -> Answer + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address has a free port");
        let address = listener.local_addr().expect("a bound listener has an address");
        let server = Server { address, is_down: Arc::default(), streams: Arc::default() };
        let serving = server.clone();
        thread::spawn(move || serving.accept(listener, Arc::new(handle)));
        server
    }

    fn accept(
        &self,
        listener: TcpListener,
        handle: Arc<impl Fn(Request) -> Answer + Send + Sync + 'static>,
    ) {
        let mut listener = Some(listener);
        loop {
            if self.is_down.load(Ordering::Relaxed) {
                listener = None;
                for stream in self.streams.lock().unwrap().drain(..) {
                    // The peer may have closed it before.
                    let _ = stream.shutdown(Shutdown::Both);
                }
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let accepted = listener.as_ref().and_then(|listener| {
                listener.set_nonblocking(true).ok()?;
                listener.accept().ok()
            });
            let Some((stream, _)) = accepted else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let Ok(kept) = stream.set_nonblocking(false).and_then(|()| stream.try_clone()) else {
                continue;
            };
            self.streams.lock().unwrap().push(kept);
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    }

    /// Closes all connections and refuses new ones, as a process that has ended.
    pub fn stop(&self) {
        self.is_down.store(true, Ordering::Relaxed);
    }

    /// Accepts connections again at the same address.
    pub fn resume(&self) {
        self.is_down.store(false, Ordering::Relaxed);
    }
}

/// Answers the requests on a connection until one of them stays unanswered or the peer closes it.
fn serve_connection(stream: TcpStream, handle: &dyn Fn(Request) -> Answer) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let request = read_request(&mut reader)?;
        let Some((status, body)) = handle(request) else {
            // Silent until the peer gives up.
            let _ = reader.read_to_end(&mut Vec::new());
            return None;
        };
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let first = read_line(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (mut instance, mut length) = (String::new(), 0);
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        match name.to_ascii_lowercase().as_str() {
            "x-expect-instance" => instance = value.trim().to_owned(),
            "content-length" => length = value.trim().parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        instance,
        body: String::from_utf8(body).ok()?,
    })
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
}

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Status(u16, String),
    /// The connection could not be made, or was refused.
    Refused,
    /// The connection ended without a complete answer.
    Broken,
    /// No answer in the client's time.
    TimedOut,
}

/// A client's connection.
#[derive(Debug)]
pub struct Connection(TcpStream);

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection(stream))
    }

    /// Sends a request and waits for its answer for `wait`, which is also sent as its deadline.
    pub fn send(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        body: &str,
        wait: Duration,
    ) -> Reply {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-deadline-ms: {}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            wait.as_millis(),
            body.len()
        );
        if self.0.write_all(request.as_bytes()).is_err() {
            return Reply::Broken;
        }
        self.receive(wait)
    }

    fn receive(&mut self, wait: Duration) -> Reply {
        let end = Instant::now() + wait;
        let mut bytes = Vec::new();
        loop {
            if let Some(reply) = parse_reply(&bytes) {
                return reply;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || self.0.set_read_timeout(Some(left)).is_err() {
                return Reply::TimedOut;
            }
            let mut chunk = [0; 4_096];
            match self.0.read(&mut chunk) {
                Ok(0) => return Reply::Broken,
                Ok(read) => bytes.extend_from_slice(&chunk[..read]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    return Reply::TimedOut;
                }
                Err(_) => return Reply::Broken,
            }
        }
    }
}

/// Returns the answer once it is complete.
fn parse_reply(bytes: &[u8]) -> Option<Reply> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    (body.len() >= length.unwrap_or(0)).then(|| Reply::Status(status, body.to_owned()))
}

/// Sends a request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> Reply {
    match Connection::open(address) {
        Some(mut connection) => connection.send(method, host, path, body, wait),
        None => Reply::Refused,
    }
}
