/// How much of an empty line, which ends a head and the trailers of a body, has been read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LineState {
    /// Inside a line.
    Inside,
    /// At the start of a line.
    Start,
    /// At the start of a line, behind a carriage return.
    Return,
}

impl LineState {
    /// Reads a byte. Returns whether it ends an empty line.
    fn read(&mut self, byte: u8) -> bool {
        let empty = *self != LineState::Inside && byte == b'\n';
        *self = match (*self, byte) {
            (_, b'\n') => LineState::Start,
            (LineState::Start, b'\r') => LineState::Return,
            _ => LineState::Inside,
        };
        empty
    }
}

/// Part of a message that is being read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
    Head(LineState),
    /// Body with this many bytes left.
    Sized(u64),
    /// Line with the size of a chunk: its value, and whether its digits are over.
    ChunkSize {
        size: u64,
        ended: bool,
    },
    /// Bytes of a chunk that are left.
    Chunk(u64),
    /// Line end behind a chunk.
    ChunkEnd,
    Trailers(LineState),
    Complete,
}

/// Finds where the messages on a connection end, so that a reader can be given one at a time.
///
/// The framing is that of RFC 9112, sections 6 and 7. It checks nothing: an HTTP library does.
#[derive(Clone, Copy, Debug)]
pub struct MessageBounds(Part);

impl Default for MessageBounds {
    fn default() -> Self {
        MessageBounds(Part::Head(LineState::Inside))
    }
}

impl MessageBounds {
    /// Begins the body of the message whose head was read. `length` is its number of bytes; `None`
    /// if it is sent in chunks.
    pub fn begin_body(&mut self, length: Option<u64>) {
        self.0 = match length {
            Some(0) => Part::Complete,
            Some(length) => Part::Sized(length),
            None => Part::ChunkSize { size: 0, ended: false },
        };
    }

    /// Whether the head is being read.
    pub fn is_head(&self) -> bool {
        matches!(self.0, Part::Head(_))
    }

    /// Whether the message was read whole.
    pub fn is_complete(&self) -> bool {
        self.0 == Part::Complete
    }

    /// Reads bytes up to the end of the head or body, whichever the message is in. Returns how many.
    pub fn read(&mut self, bytes: &[u8]) -> usize {
        let mut count = 0;
        while count < bytes.len() {
            let left = bytes.len() - count;
            match &mut self.0 {
                Part::Complete => return count,
                Part::Sized(rest) | Part::Chunk(rest) if *rest > 0 => {
                    let taken = left.min(usize::try_from(*rest).unwrap_or(usize::MAX));
                    *rest -= taken as u64;
                    count += taken;
                    if self.0 == Part::Sized(0) {
                        self.0 = Part::Complete;
                    }
                }
                _ => {
                    let head_ends = self.read_byte(bytes[count]);
                    count += 1;
                    if head_ends {
                        return count;
                    }
                }
            }
        }
        count
    }

    /// Reads a byte that is not content. Returns whether it ends a head.
    fn read_byte(&mut self, byte: u8) -> bool {
        match &mut self.0 {
            Part::Head(line) => return line.read(byte),
            Part::Trailers(line) => {
                if line.read(byte) {
                    self.0 = Part::Complete;
                }
            }
            Part::ChunkSize { size, ended } => match char::from(byte).to_digit(16) {
                // A size that does not fit is refused by the HTTP library.
                Some(digit) if !*ended => {
                    *size = size.saturating_mul(16).saturating_add(digit.into());
                }
                _ if byte == b'\n' => {
                    self.0 = match *size {
                        0 => Part::Trailers(LineState::Start),
                        size => Part::Chunk(size),
                    };
                }
                // An extension of the chunk may contain digits.
                _ => *ended = true,
            },
            Part::Chunk(_) | Part::ChunkEnd => {
                self.0 = match byte {
                    b'\n' => Part::ChunkSize { size: 0, ended: false },
                    _ => Part::ChunkEnd,
                };
            }
            Part::Sized(_) | Part::Complete => {}
        }
        false
    }
}
