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
		{"nothing", 0, 0, nil},
		{"nothing, not declared", 0, -1, nil},
		{"small", 1000, 1000, nil},
		{"small, not declared", 1000, -1, nil},
		{"as much as is small", buffer.SmallMessageSize, buffer.SmallMessageSize, nil},
		{"one more than is small", buffer.SmallMessageSize + 1, -1, nil},
		{"long", limit - 1, limit - 1, nil},
		{"as long as may be", limit, -1, nil},
		{"too long", limit + 1, -1, buffer.ErrTooLong},
		{"far too long", 10 * limit, -1, buffer.ErrTooLong},
		{"declared too long", 10, limit + 1, buffer.ErrTooLong},
	} {
		for _, room := range []int64{1 << 20, 1000} {
			want := bytes.Repeat([]byte("abcdefg"), tc.size/7+1)[:tc.size]
			got, err := buffer.NewPool(room).ReadAll(t.Context(), bytes.NewReader(want), tc.declared, limit)
			if !errors.Is(err, tc.err) || err == nil && !bytes.Equal(got, want) {
				t.Errorf("%s: %d bytes, error %v; want %d, %v", tc.name, len(got), err, tc.size, tc.err)
			}
		}
	}
}

func TestReadAllFails(t *testing.T) {
	for _, size := range []int{10, buffer.SmallMessageSize + 10} {
		r := io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, err := buffer.NewPool(1<<20).ReadAll(t.Context(), r, -1, 1<<20); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d bytes before the error: got %v", size, err)
		}
	}
}

// stuck is a message whose first bytes come and whose rest does not.
func stuck(t *testing.T, size int) (io.Reader, chan struct{}) {
	t.Helper()
	r, w := io.Pipe()
	t.Cleanup(func() { _ = w.Close() })
	written := make(chan struct{})
	go func() {
		_, _ = w.Write(make([]byte, size))
		close(written)
	}()
	return r, written
}

// TestRoom checks that long messages wait for each other, and small ones for nobody.
func TestRoom(t *testing.T) {
	const limit = 1 << 20
	pool := buffer.NewPool(limit)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first, written := stuck(t, buffer.SmallMessageSize+segments)
	go func() { _, _ = pool.ReadAll(ctx, first, -1, limit) }()
	<-written
	if _, err := pool.ReadAll(ctx, bytes.NewReader(make([]byte, buffer.SmallMessageSize)), -1, limit); err != nil {
		t.Errorf("a small message: %v", err)
	}
	short, done := context.WithTimeout(ctx, 20*time.Millisecond)
	defer done()
	long := bytes.NewReader(make([]byte, limit/2))
	if _, err := pool.ReadAll(short, long, -1, limit); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a long message: %v", err)
	}
	if left := long.Len(); left != limit/2-buffer.SmallMessageSize-1 {
		t.Errorf("%d bytes of it are unread", left)
	}
}

// segments is so much that a reader which has taken it has got room.
const segments = 64 << 10
