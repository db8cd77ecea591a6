//! Client that writes HTTP/2 frames itself, to choose when it reads and when it sends updates.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const FRAME_HEAD_BYTES: usize = 9;
/// Setting `SETTINGS_INITIAL_WINDOW_SIZE`.
const INITIAL_WINDOW_SIZE: [u8; 2] = [0, 4];
/// Flow-control window of the connection and of each stream, in bytes.
const WINDOW_BYTES: u32 = 16 << 20;
const END_STREAM_AND_HEADERS: u8 = 0x5;
const END_STREAM: u8 = 0x1;
const ACK: u8 = 0x1;
const STREAM: u32 = 1;

/// Types of the frames that are read or written.
pub mod frame_type {
    pub const DATA: u8 = 0;
    pub const HEADERS: u8 = 1;
    pub const SETTINGS: u8 = 4;
    pub const PING: u8 = 6;
    pub const GO_AWAY: u8 = 7;
    pub const WINDOW_UPDATE: u8 = 8;
}

/// A received frame.
pub struct Frame {
    pub kind: u8,
    pub flags: u8,
    pub payload: Vec<u8>,
}

impl Frame {
    /// Whether this is the last frame of a response.
    pub fn ends_response(&self) -> bool {
        self.kind == frame_type::DATA && self.flags & END_STREAM != 0
    }
}

/// An HTTP/2 connection to a gateway with one request.
pub struct Http2Caller(TcpStream);

impl Http2Caller {
    /// Starts HTTP/2 on a connection with windows that never limit the gateway.
    pub async fn start(mut stream: TcpStream) -> Self {
        let written = stream.write_all(PREFACE).await;
        written.expect("the gateway is connected");
        let mut caller = Self(stream);
        let window = WINDOW_BYTES.to_be_bytes();
        let setting = [&INITIAL_WINDOW_SIZE[..], &window].concat();
        caller.write(frame_type::SETTINGS, 0, 0, &setting).await;
        caller.write(frame_type::WINDOW_UPDATE, 0, 0, &window).await;
        caller
    }

    /// Sends the only request of the connection, a GET.
    pub async fn get(&mut self, path: &str, token: &str) {
        let bearer = format!("Bearer {token}");
        let headers = [
            (":method", "GET"),
            (":scheme", "http"),
            (":path", path),
            (":authority", "gateway"),
            ("authorization", &bearer),
        ];
        let block: Vec<u8> = headers.into_iter().flat_map(literal_header).collect();
        self.write(frame_type::HEADERS, END_STREAM_AND_HEADERS, STREAM, &block)
            .await;
    }

    /// Allows the gateway to send more bytes on the connection. Errors are ignored, because the
    /// gateway may already have closed the connection.
    pub async fn send_window_update(&mut self, bytes: u32) {
        let head = frame_head(frame_type::WINDOW_UPDATE, 0, 0, 4);
        let frame = [&head[..], &bytes.to_be_bytes()].concat();
        let _ = self.0.write_all(&frame).await;
    }

    /// Responds to a ping.
    pub async fn send_pong(&mut self, ping: &Frame) {
        self.write(frame_type::PING, ACK, 0, &ping.payload).await;
    }

    /// Reads the next frame.
    pub async fn read(&mut self) -> std::io::Result<Frame> {
        let mut head = [0; FRAME_HEAD_BYTES];
        self.0.read_exact(&mut head).await?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        let mut payload = vec![0; length as usize];
        self.0.read_exact(&mut payload).await?;
        Ok(Frame {
            kind: head[3],
            flags: head[4],
            payload,
        })
    }

    /// Reads up to the next frame of this type.
    pub async fn read_until(&mut self, kind: u8) -> Frame {
        loop {
            let frame = self.read().await.expect("the connection is open");
            if frame.kind == kind && !(kind == frame_type::PING && frame.flags & ACK != 0) {
                return frame;
            }
        }
    }

    async fn write(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
        let head = frame_head(kind, flags, stream, payload.len());
        let frame = [&head[..], payload].concat();
        let written = self.0.write_all(&frame).await;
        written.expect("the gateway is connected");
    }
}

fn frame_head(kind: u8, flags: u8, stream: u32, length: usize) -> [u8; FRAME_HEAD_BYTES] {
    let [_, l1, l2, l3] = (length as u32).to_be_bytes();
    let [s1, s2, s3, s4] = stream.to_be_bytes();
    [l1, l2, l3, kind, flags, s1, s2, s3, s4]
}

/// A header field in the plain form of HPACK: no index, no Huffman code. Name and value are shorter
/// than 127 bytes.
fn literal_header((name, value): (&str, &str)) -> Vec<u8> {
    let mut field = vec![0];
    for text in [name, value] {
        field.push(text.len() as u8);
        field.extend_from_slice(text.as_bytes());
    }
    field
}
