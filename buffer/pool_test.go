package buffer_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/buffer"
)

func TestReadAll(t *testing.T) {
	const limit = 300 << 10
	for _, tc := range []struct {
		name     string
		size     int
		declared int64
		err      error
	}{
		{"empty", 0, 0, nil},
		{"empty, length not declared", 0, -1, nil},
		{"small", 1000, 1000, nil},
		{"small, length not declared", 1000, -1, nil},
		{"largest small message", buffer.SmallMessageSize, buffer.SmallMessageSize, nil},
		{"one byte over the small size", buffer.SmallMessageSize + 1, -1, nil},
		{"long", limit - 1, limit - 1, nil},
		{"as long as the limit", limit, -1, nil},
		{"one byte over the limit", limit + 1, -1, buffer.ErrTooLong},
		{"ten times the limit", 10 * limit, -1, buffer.ErrTooLong},
		{"declared length over the limit", 10, limit + 1, buffer.ErrTooLong},
	} {
		for _, capacity := range []int64{1 << 20, 1000} {
			want := bytes.Repeat([]byte("abcdefg"), tc.size/7+1)[:tc.size]
			got, err := buffer.NewPool(capacity).ReadAll(t.Context(), bytes.NewReader(want), tc.declared, limit)
			if !errors.Is(err, tc.err) || err == nil && !bytes.Equal(got, want) {
				t.Errorf("%s: %d bytes, error %v; want %d, %v", tc.name, len(got), err, tc.size, tc.err)
			}
		}
	}
}

func TestReadAllReturnsReadError(t *testing.T) {
	for _, size := range []int{10, buffer.SmallMessageSize + 10} {
		r := io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, err := buffer.NewPool(1<<20).ReadAll(t.Context(), r, -1, 1<<20); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d bytes before the error: got %v", size, err)
		}
	}
}

// stalledMessage returns a message that delivers size bytes and never ends, and a
// channel that is closed once those bytes are read.
func stalledMessage(t *testing.T, size int) (io.Reader, chan struct{}) {
	t.Helper()
	r, w := io.Pipe()
	t.Cleanup(func() { _ = w.Close() })
	headRead := make(chan struct{})
	go func() {
		_, _ = w.Write(make([]byte, size))
		close(headRead)
	}()
	return r, headRead
}

// TestLongMessagesWaitForCapacity checks that a long message waits while another one
// holds the capacity, and that a small message does not wait.
func TestLongMessagesWaitForCapacity(t *testing.T) {
	const limit = 1 << 20
	pool := buffer.NewPool(limit)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stalled, headRead := stalledMessage(t, buffer.SmallMessageSize+beyondSmall)
	go func() { _, _ = pool.ReadAll(ctx, stalled, -1, limit) }()
	<-headRead
	if _, err := pool.ReadAll(ctx, bytes.NewReader(make([]byte, buffer.SmallMessageSize)), -1, limit); err != nil {
		t.Errorf("small message while a long one is read: %v", err)
	}
	short, done := context.WithTimeout(ctx, 20*time.Millisecond)
	defer done()
	long := bytes.NewReader(make([]byte, limit/2))
	if _, err := pool.ReadAll(short, long, -1, limit); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("long message without capacity: %v", err)
	}
	if left := long.Len(); left != limit/2-buffer.SmallMessageSize-1 {
		t.Errorf("%d bytes of the waiting message are unread", left)
	}
}

// beyondSmall is how many bytes a reader reads beyond SmallMessageSize only after it
// has reserved capacity.
const beyondSmall = 64 << 10

// TestReadWhole checks that a message that is read without capacity arrives whole, and that what is declared
// and does not arrive takes no memory.
func TestReadWhole(t *testing.T) {
	const limit = 300 << 10
	for _, tc := range []struct {
		name           string
		size, declared int
		err            error
	}{
		{"empty", 0, 0, nil},
		{"small", 1000, 1000, nil},
		{"long", limit, limit, nil},
		{"length not declared", limit, -1, nil},
		{"one byte over the limit", limit + 1, -1, buffer.ErrTooLong},
		{"declared length over the limit", 10, limit + 1, buffer.ErrTooLong},
	} {
		want := bytes.Repeat([]byte("abcdefg"), tc.size/7+1)[:tc.size]
		got, err := buffer.NewPool(1).ReadWhole(bytes.NewReader(want), int64(tc.declared), limit)
		if !errors.Is(err, tc.err) || err == nil && !bytes.Equal(got, want) {
			t.Errorf("%s: %d bytes, error %v; want %d, %v", tc.name, len(got), err, tc.size, tc.err)
		}
	}
	// No reader asks for more than it gets.
	asked := 0
	stalled := readerFunc(func(p []byte) (int, error) {
		asked = max(asked, len(p))
		return 0, io.ErrUnexpectedEOF
	})
	if _, err := buffer.NewPool(1).ReadWhole(stalled, limit, limit); !errors.Is(err, io.ErrUnexpectedEOF) || asked > 64<<10 {
		t.Errorf("error %v, a buffer of %d bytes", err, asked)
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
