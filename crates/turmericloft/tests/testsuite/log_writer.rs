//! The log writer: lines are written before a flush returns, and blocked output does not block it.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

use turmericloft::util::log_writer::LogWriter;

#[derive(Clone, Default)]
struct SharedBuf(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuf {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Output that blocks until the other end of the channel is dropped.
struct BlockedOutput(mpsc::Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // An error means that the test dropped the sender.
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A process logs its stop in its last line, which was lost if the process exited first.
#[test]
fn flush_waits_until_queued_lines_are_written() {
    for _ in 0..200 {
        let buf = SharedBuf::default();
        let writer = LogWriter::start(buf.clone()).expect("a thread");
        writer.write("first".to_owned());
        writer.write("last".to_owned());
        writer.flush();
        let bytes = buf.0.lock().expect("not poisoned").clone();
        assert_eq!(bytes, b"first\nlast\n");
    }
}

#[test]
fn write_and_flush_return_when_output_is_blocked() {
    let (tx, rx) = mpsc::channel();
    let writer = LogWriter::start(BlockedOutput(rx)).expect("a thread");
    for i in 0..5_000 {
        writer.write(i.to_string());
    }
    writer.flush();
    drop(tx);
}
