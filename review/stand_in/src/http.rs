//! A minimal HTTP/1.1 server and client over blocking sockets.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A received request.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    /// Headers by name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }

    pub fn query_number(&self, name: &str) -> u64 {
        self.query(name).parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Serves requests in one thread a connection. The handler returns a status and a JSON body, or
/// `None` to end the connection without an answer.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request) -> Option<(u16, String)> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Option<(u16, String)>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else { return };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (headers, body) = read_rest(reader)?;
    Some(Request { method, path: path.to_owned(), query: query.to_owned(), headers, body })
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}

fn read_rest(reader: &mut impl BufRead) -> Option<(BTreeMap<String, String>, String)> {
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, String::from_utf8(body).ok()?))
}

/// What a client sees of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Status(u16, String),
    /// No connection could be made.
    NotConnected,
    /// The connection ended without a complete response.
    Broken,
    /// No response came in time.
    TimedOut,
}

impl Answer {
    pub fn status(&self) -> Option<u16> {
        if let Answer::Status(status, _) = self { Some(*status) } else { None }
    }
}

/// Sends a request on a new connection and waits for the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Answer {
    let end = Instant::now() + timeout;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else {
        return Answer::NotConnected;
    };
    let _ = stream.set_nodelay(true);
    let request = format!(
        "{method} {path} HTTP/1.1\r\n{headers}content-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    if stream.write_all(request.as_bytes()).is_err() {
        return Answer::Broken;
    }
    let mut reader = BufReader::new(Timed { stream, timed_out: false });
    let answer = (|| {
        let line = read_line(&mut reader)?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let (_, body) = read_rest(&mut reader)?;
        Some(Answer::Status(status, body))
    })();
    let timed_out = reader.get_ref().timed_out;
    answer.unwrap_or(if timed_out { Answer::TimedOut } else { Answer::Broken })
}

/// A stream that notes whether a read timed out.
struct Timed {
    stream: TcpStream,
    timed_out: bool,
}

impl Read for Timed {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        self.stream.read(buffer).inspect_err(|error| {
            self.timed_out |= matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
        })
    }
}
