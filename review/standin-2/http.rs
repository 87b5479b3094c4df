//! HTTP/1.1 with bodies of known length: a server with a thread for each connection, and a
//! client with one connection for each call.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(each, _)| each == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(each, _)| each == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A response: status and JSON text.
pub type Response = (u16, String);

/// Serves requests on a listener until the process ends.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> Response + Clone + Send + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: impl Fn(Request) -> Response) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buffer) {
        let Some(request) = parse_request(&head, body) else { return };
        let (status, body) = handler(request);
        let text = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a message: its head and its body.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = content_length(&head);
            if buffer.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        let mut part = [0; 16384];
        match stream.read(&mut part) {
            Ok(count) if count > 0 => buffer.extend(&part[..count]),
            _ => return None,
        }
    }
}

fn content_length(head: &str) -> usize {
    let lines = head.lines().map(|line| line.to_ascii_lowercase());
    let mut lengths = lines.filter_map(|line| {
        line.strip_prefix("content-length:").and_then(|value| value.trim().parse().ok())
    });
    lengths.next().unwrap_or(0)
}

fn parse_request(head: &str, body: String) -> Option<Request> {
    let mut lines = head.lines();
    let mut words = lines.next()?.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|each| each.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers =
        headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Makes a call. Returns status and body, or `None` if there was no complete answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    let left = until.checked_duration_since(Instant::now())?;
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    let (head, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
