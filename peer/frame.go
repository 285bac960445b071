package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

// Kind is the type of a frame; it determines the type of the body.
type Kind uint8

const (
	// KindRequest carries a caller's request to the owner.
	KindRequest Kind = 1 + iota
	// KindCancel cancels the call with the same ID.
	KindCancel
	// KindRows carries updated rows.
	KindRows
	// KindSummary carries digests to compare the rows of two daemons.
	KindSummary
	// KindVersions requests the rows that are newer at the receiver.
	KindVersions
	// KindFetch requests an object of the configuration.
	KindFetch
	// KindVote asks a witness to confirm that a lease has expired.
	KindVote
	// KindRecordHandover carries the records of a slot to its next owner.
	KindRecordHandover
	// KindStatus requests the status of a daemon.
	KindStatus
	// KindConfigNotice announces the configuration in force at the sender.
	KindConfigNotice
	// KindConfigText requests the text of the configuration in force.
	KindConfigText
	// kindPing requests an Ack, to check that the peer still responds.
	kindPing
	// KindSuspects carries requests under which targets have ended.
	KindSuspects
	// KindTokens asks a lender of a team for tokens.
	KindTokens

	// kindFailed, with replyBit, replaces the reply to a call that was refused or
	// failed. Its body is an Ack; OK is true if the peer had started to handle the
	// call.
	kindFailed Kind = 0x7f

	replyBit Kind = 0x80
)

const (
	lengthSize = 4
	headerSize = 9

	// DefaultMaxFrame is the maximum length of a frame, in bytes. The longest answer of
	// a target fits into it.
	DefaultMaxFrame = 16 << 20
	bufferSize      = 4 << 10
	// maxReusedBuffer is the size, in bytes, up to which buffers are kept for reuse.
	maxReusedBuffer = 256 << 10
	// wholeBufferFrom is how much of a body, in bytes, has to arrive before its declared
	// length is believed: memory for the rest is allocated, and charged, at once.
	wholeBufferFrom = 1 << 20
)

var (
	// ErrFrameTooLong is returned for a frame over the limit.
	ErrFrameTooLong = errors.New("frame too long")
	// ErrFrameTooShort is returned for a frame that is shorter than its header.
	ErrFrameTooShort = errors.New("frame too short")

	errNoRoom = errors.New("no room for more of this frame")
)

// Frame is one message on a connection. The next read from the same FrameReader
// overwrites Body.
type Frame struct {
	Kind Kind
	ID   uint64
	Body []byte
}

// AppendFrame appends the encoded frame with body m to buf. For a frame over
// DefaultMaxFrame it returns buf unchanged and ErrFrameTooLong.
func AppendFrame(buf []byte, kind Kind, id uint64, m msgp.Marshaler) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0, byte(kind))
	buf = binary.BigEndian.AppendUint64(buf, id)
	buf, err := m.MarshalMsg(buf)
	if err != nil {
		return buf[:start], fmt.Errorf("encode frame body: %w", err)
	}
	length := len(buf) - start - lengthSize
	if length > DefaultMaxFrame {
		return buf[:start], fmt.Errorf("%d bytes: %w", length, ErrFrameTooLong)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(length))
	return buf, nil
}

// FrameReader reads frames from a stream.
type FrameReader struct {
	stream    *bufio.Reader
	maxLength int
	buf       []byte
	readFull  func(io.Reader, []byte) (int, error)
	// reserve and release charge a body that is longer than bufferSize. charged is the number of
	// bytes that are charged for buf.
	reserve func(bytes int64) bool
	release func(bytes int64)
	charged int64
}

// NewFrameReader returns a reader that rejects frames longer than limit bytes.
func NewFrameReader(stream io.Reader, limit int) *FrameReader {
	return &FrameReader{stream: bufio.NewReaderSize(stream, bufferSize), maxLength: limit, readFull: io.ReadFull, reserve: func(int64) bool { return true }, release: func(int64) {}}
}

// Next returns the next frame. The following call overwrites its body.
func (f *FrameReader) Next() (Frame, error) {
	var prefix [lengthSize + headerSize]byte
	if _, err := io.ReadFull(f.stream, prefix[:lengthSize]); err != nil {
		return Frame{}, fmt.Errorf("read frame length: %w", err)
	}
	length := int(binary.BigEndian.Uint32(prefix[:lengthSize]))
	if length < headerSize {
		return Frame{}, fmt.Errorf("%d bytes: %w", length, ErrFrameTooShort)
	}
	if length > f.maxLength {
		return Frame{}, fmt.Errorf("%d bytes: %w", length, ErrFrameTooLong)
	}
	if _, err := io.ReadFull(f.stream, prefix[lengthSize:]); err != nil {
		return Frame{}, fmt.Errorf("read frame header: %w", err)
	}
	body, err := f.readBody(length - headerSize)
	if err != nil {
		return Frame{}, err
	}
	return Frame{
		Kind: Kind(prefix[lengthSize]),
		ID:   binary.BigEndian.Uint64(prefix[lengthSize+1:]),
		Body: body,
	}, nil
}

// readBody reads n bytes in steps of bufferSize and grows the buffer step by step, so
// that a false length cannot allocate memory for bytes that never arrive.
func (f *FrameReader) readBody(n int) ([]byte, error) {
	f.reuseBuffer(n)
	for len(f.buf) < n {
		start := len(f.buf)
		end := min(start+bufferSize, n)
		if err := f.makeRoom(end, n); err != nil {
			return nil, fmt.Errorf("read frame body: %w", err)
		}
		f.buf = f.buf[:end]
		if _, err := f.readFull(f.stream, f.buf[start:]); err != nil {
			return nil, fmt.Errorf("read frame body: %w", err)
		}
	}
	return f.buf, nil
}

// reuseBuffer prepares the buffer for a body of n bytes. A long buffer that is kept remains charged.
func (f *FrameReader) reuseBuffer(n int) {
	if cap(f.buf) > maxReusedBuffer && n <= maxReusedBuffer {
		f.buf = nil
	}
	f.buf = f.buf[:0]
	if f.charged > 0 && cap(f.buf) <= maxReusedBuffer {
		f.release(f.charged)
		f.charged = 0
	}
}

// makeRoom grows the buffer to at least end bytes of a body of n bytes, and charges it. Once
// wholeBufferFrom bytes have arrived, it makes room for the whole body: the garbage of
// growing step by step took several times the length of a long frame.
func (f *FrameReader) makeRoom(end, n int) error {
	if len(f.buf) >= wholeBufferFrom {
		end = n
	}
	if more := int64(end) - f.charged; n > bufferSize && more > 0 {
		if !f.reserve(more) {
			return errNoRoom
		}
		f.charged += more
	}
	if cap(f.buf) < end {
		grown := make([]byte, len(f.buf), min(max(2*cap(f.buf), end), n))
		copy(grown, f.buf)
		f.buf = grown
	}
	return nil
}
