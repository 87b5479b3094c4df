//! Bytes of the heads of HTTP around a heartbeat, as they are on the wire.

use std::io::Write;
use std::net::SocketAddr;

use http::{Request, header};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use vg_base::prelude::*;

use super::rig::Rig;
use super::size::Size;
use crate::Error;

/// Longest wait for an answer.
const WAIT_MAX: Duration = Duration::from_secs(5);
/// End of a head.
const END: &[u8] = b"\r\n\r\n";
/// A request for the lists, whose reply has the head of any accepted message.
const REQUEST: &[u8] = b"POST /peer/lists HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";

/// Measures the head of a request and that of a reply.
pub(super) fn report(out: &mut impl Write) -> Result<(), Error> {
    let rig = Rig::start(Size { nodes: 1, pools: 1, teams: 3, workers: 1 })?;
    let addr = rig.site.nodes().values().next().map(|node| node.handle.node().peer_addr);
    let heads = rig.block_on(async { Ok((request_head().await?, reply_head(addr).await?)) });
    let (request, reply) = heads.map_err(|e: std::io::Error| failed(&e))?;
    writeln!(out, "heads: {request} bytes of a request, {reply} bytes of a reply")?;
    rig.stop();
    Ok(())
}

/// Returns the bytes of the head that the client sends with a message.
async fn request_head() -> std::io::Result<usize> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let url = format!("http://{}/peer/heartbeat", listener.local_addr()?);
    let request = Request::post(url)
        .header(header::CONTENT_TYPE, "application/msgpack")
        .body(vg_net::full_body(vec![0; 100]))
        .map_err(std::io::Error::other)?;
    let client = vg_net::Client::default();
    // No answer comes: only what is sent matters.
    let sending = tokio::spawn(async move { client.call(request, WAIT_MAX, 100).await.is_ok() });
    let (mut stream, _) = listener.accept().await?;
    let length = head(&mut stream).await;
    sending.abort();
    length
}

/// Returns the bytes of the head that a node replies with.
async fn reply_head(addr: Option<SocketAddr>) -> std::io::Result<usize> {
    let addr = addr.ok_or_else(|| std::io::Error::other("no entry host runs"))?;
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(REQUEST).await?;
    head(&mut stream).await
}

async fn head(stream: &mut TcpStream) -> std::io::Result<usize> {
    let mut bytes = Vec::new();
    loop {
        if let Some(at) = bytes.windows(END.len()).position(|part| part == END) {
            return Ok(at + END.len());
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn failed(error: &std::io::Error) -> Error {
    Error::Site { reason: error.to_string() }
}
