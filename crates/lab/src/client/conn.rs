//! One connection of clients.

use super::*;
use crate::viewer::CONNECT;
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

impl Clients {
    /// Opens a connection.
    pub(super) async fn connect(self: &Arc<Self>, front: usize, shared: bool) -> Option<u64> {
        let address = self.fronts.address(front);
        let stream = timeout(CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (out, queue) = mpsc::unbounded_channel();
        let id = {
            let mut side = self.side(front);
            side.next += 1;
            let id = side.next;
            let idle_since = self.log.now();
            side.conns.insert(id, Conn { out, shared, sessions: 0, idle_since });
            id
        };
        tokio::spawn(serve(self.clone(), front, id, stream, queue));
        Some(id)
    }
}

async fn serve(
    clients: Arc<Clients>,
    front: usize,
    id: u64,
    mut stream: TcpStream,
    mut queue: mpsc::UnboundedReceiver<Out>,
) {
    let mut buf = BytesMut::new();
    loop {
        tokio::select! {
            out = queue.recv() => match out {
                Some(Out::Write(bytes)) => if stream.write_all(&bytes).await.is_err() { break },
                Some(Out::Close) | None => break,
            },
            read = stream.read_buf(&mut buf) => {
                if !matches!(read, Ok(n) if n > 0) {
                    break;
                }
                while let Ok(Some(message)) = rtsp::decode(&mut buf) {
                    clients.came(front, id, message);
                }
            }
        }
    }
    clients.ended(front, id);
}
