package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

// Kind tells what a frame's body is.
type Kind uint8

const (
	// KindRequest carries a caller's request to the owner.
	KindRequest Kind = 1 + iota
	// KindCancel ends interest in the request with the same ID.
	KindCancel
	// KindRows carries new rows.
	KindRows
	// KindSummary compares the rows of two daemons.
	KindSummary
	// KindVersions asks for rows that are newer at the receiver.
	KindVersions
	// KindFetch asks for an object of the configuration.
	KindFetch
	// KindVote asks a witness to testify.
	KindVote
	// KindRecordHandover hands over the records of a slot.
	KindRecordHandover
	// KindStatus asks a daemon for its status.
	KindStatus
	// KindConfigNotice tells which configuration is in force at the sender.
	KindConfigNotice
	// KindConfigText asks for the configuration in force.
	KindConfigText
	// kindPing asks for a sign of life, which is an Ack.
	kindPing

	// kindFailed, with the bit of a reply, answers a call that has no reply of its
	// own; its body is an Ack that is true if the call had begun.
	kindFailed Kind = 0x7f

	replyBit Kind = 0x80
)

const (
	lengthBytes = 4
	headerBytes = 9

	// DefaultMaxFrame is the longest frame, in bytes. It has room for the longest
	// answer of a target.
	DefaultMaxFrame = 16 << 20
	bufferBytes     = 4 << 10
	// maxPooledBytes bounds the buffers that are kept for reuse.
	maxPooledBytes = 256 << 10
)

var (
	// ErrFrameTooLong is returned for a frame over the limit.
	ErrFrameTooLong = errors.New("frame too long")
	// ErrFrameTooShort is returned for a frame without a whole header.
	ErrFrameTooShort = errors.New("frame too short")
)

// Frame is one message on a connection. Body is valid until the next read.
type Frame struct {
	Kind Kind
	ID   uint64
	Body []byte
}

// AppendFrame appends the encoded frame with body m to buf. It returns buf as it
// was, and ErrFrameTooLong, for a frame over DefaultMaxFrame.
func AppendFrame(buf []byte, kind Kind, id uint64, m msgp.Marshaler) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0, byte(kind))
	buf = binary.BigEndian.AppendUint64(buf, id)
	buf, err := m.MarshalMsg(buf)
	if err != nil {
		return buf[:start], fmt.Errorf("encode frame body: %w", err)
	}
	length := len(buf) - start - lengthBytes
	if length > DefaultMaxFrame {
		return buf[:start], fmt.Errorf("%d bytes: %w", length, ErrFrameTooLong)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(length))
	return buf, nil
}

// FrameReader reads frames from a stream.
type FrameReader struct {
	r    *bufio.Reader
	max  int
	buf  []byte
	fill func(io.Reader, []byte) (int, error)
}

// NewFrameReader returns a reader of frames no longer than limit bytes.
func NewFrameReader(r io.Reader, limit int) *FrameReader {
	return &FrameReader{r: bufio.NewReaderSize(r, bufferBytes), max: limit, fill: io.ReadFull}
}

// Next returns the next frame. Its body is overwritten by the call after it.
func (f *FrameReader) Next() (Frame, error) {
	var head [lengthBytes + headerBytes]byte
	if _, err := io.ReadFull(f.r, head[:lengthBytes]); err != nil {
		return Frame{}, fmt.Errorf("read frame length: %w", err)
	}
	length := int(binary.BigEndian.Uint32(head[:lengthBytes]))
	if length < headerBytes {
		return Frame{}, fmt.Errorf("%d bytes: %w", length, ErrFrameTooShort)
	}
	if length > f.max {
		return Frame{}, fmt.Errorf("%d bytes: %w", length, ErrFrameTooLong)
	}
	if _, err := io.ReadFull(f.r, head[lengthBytes:]); err != nil {
		return Frame{}, fmt.Errorf("read frame header: %w", err)
	}
	body, err := f.body(length - headerBytes)
	if err != nil {
		return Frame{}, err
	}
	return Frame{
		Kind: Kind(head[lengthBytes]),
		ID:   binary.BigEndian.Uint64(head[lengthBytes+1:]),
		Body: body,
	}, nil
}

// body reads n bytes in steps, so that a false length cannot claim memory that
// the sender never fills.
func (f *FrameReader) body(n int) ([]byte, error) {
	if cap(f.buf) > maxPooledBytes && n <= maxPooledBytes {
		f.buf = nil
	}
	f.buf = f.buf[:0]
	for len(f.buf) < n {
		step := min(n-len(f.buf), bufferBytes)
		start := len(f.buf)
		if cap(f.buf) < start+step {
			f.buf = append(f.buf, make([]byte, step)...)
		}
		f.buf = f.buf[:start+step]
		if _, err := f.fill(f.r, f.buf[start:]); err != nil {
			return nil, fmt.Errorf("read frame body: %w", err)
		}
	}
	return f.buf, nil
}
