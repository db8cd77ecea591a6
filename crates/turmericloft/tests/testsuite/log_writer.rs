//! Log lines on their way to standard output.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

use turmericloft::util::log_writer::LogWriter;

#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Takes nothing until the other end of the channel is gone.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // An error says that the test has ended.
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The line on the stop of a process is its last one.
#[test]
fn the_last_lines_are_written_before_the_end() {
    for _ in 0..200 {
        let written = Written::default();
        let writer = LogWriter::start(written.clone()).expect("a thread");
        writer.write("first".to_owned());
        writer.write("last".to_owned());
        writer.finish();
        let bytes = written.0.lock().expect("not poisoned").clone();
        assert_eq!(bytes, b"first\nlast\n");
    }
}

#[test]
fn nobody_waits_for_an_output_that_is_not_read() {
    let (tx, rx) = mpsc::channel();
    let writer = LogWriter::start(Stuck(rx)).expect("a thread");
    for i in 0..5_000 {
        writer.write(i.to_string());
    }
    writer.finish();
    drop(tx);
}
