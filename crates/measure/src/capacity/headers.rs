//! Measures the size of the HTTP headers of messages between entry hosts, as sent.

use std::io::Write;
use std::net::SocketAddr;

use http::{Request, header};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use vg_base::prelude::*;

use super::measured_site::MeasuredSite;
use super::size::Size;
use crate::Error;

/// Time limit for the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The bytes that end the headers.
const HEADER_END: &[u8] = b"\r\n\r\n";
/// A request for the lists. The headers of its response are the same as those of any accepted
/// message.
const REQUEST: &[u8] = b"POST /peer/lists HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";

/// Measures the headers of a request and of a response, each with its first line, and prints
/// their sizes.
pub(super) fn report(out: &mut impl Write) -> Result<(), Error> {
    let measured = MeasuredSite::start(Size { nodes: 1, pools: 1, teams: 3, workers: 1 })?;
    let addr = measured.site.nodes().values().next().map(|node| node.handle.node().peer_addr);
    let sizes = measured
        .block_on(async { Ok((request_header_size().await?, response_header_size(addr).await?)) });
    let (request, response) = sizes.map_err(|e: std::io::Error| site_error(&e))?;
    writeln!(out, "headers: {request} bytes of a request, {response} bytes of a response")?;
    measured.stop();
    Ok(())
}

/// Returns the size in bytes of the headers that the client sends with a message.
async fn request_header_size() -> std::io::Result<usize> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let url = format!("http://{}/peer/heartbeat", listener.local_addr()?);
    let request = Request::post(url)
        .header(header::CONTENT_TYPE, "application/msgpack")
        .body(vg_net::full_body(vec![0; 100]))
        .map_err(std::io::Error::other)?;
    let client = vg_net::Client::default();
    // No response is sent, because only the request is measured.
    let sending =
        tokio::spawn(async move { client.call(request, RESPONSE_TIMEOUT, 100).await.is_ok() });
    let (mut stream, _) = listener.accept().await?;
    let length = read_headers(&mut stream).await;
    sending.abort();
    length
}

/// Returns the size in bytes of the headers of a node's response.
async fn response_header_size(addr: Option<SocketAddr>) -> std::io::Result<usize> {
    let addr = addr.ok_or_else(|| std::io::Error::other("no entry host runs"))?;
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(REQUEST).await?;
    read_headers(&mut stream).await
}

/// Reads up to the end of the headers and returns their size in bytes.
async fn read_headers(stream: &mut TcpStream) -> std::io::Result<usize> {
    let mut bytes = Vec::new();
    loop {
        if let Some(at) = bytes.windows(HEADER_END.len()).position(|part| part == HEADER_END) {
            return Ok(at + HEADER_END.len());
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn site_error(error: &std::io::Error) -> Error {
    Error::Site { reason: error.to_string() }
}
