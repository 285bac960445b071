package peer_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"fulmarrun/peer"
	"fulmarrun/wire"
)

func TestFramesRoundTrip(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 60
	properties := gopter.NewProperties(params)
	properties.Property("frames are read in order and complete", prop.ForAll(
		func(sizes []int, id uint64) bool {
			var stream []byte
			for i, n := range sizes {
				var err error
				stream, err = peer.AppendFrame(stream, peer.KindFetch, id+uint64(i), newObject(n, byte(i)))
				if err != nil {
					return false
				}
			}
			reader := peer.NewFrameReader(bytes.NewReader(stream), peer.DefaultMaxFrame)
			for i, n := range sizes {
				frame, err := reader.Next()
				var got wire.Object
				if err != nil || frame.Kind != peer.KindFetch || frame.ID != id+uint64(i) ||
					wire.Decode(frame.Body, &got) != nil || !bytes.Equal(got.Data, newObject(n, byte(i)).Data) {
					return false
				}
			}
			_, err := reader.Next()
			return errors.Is(err, io.EOF)
		},
		gen.SliceOfN(6, gen.OneGenOf(gen.IntRange(0, 100), gen.IntRange(0, 300_000))), gen.UInt64(),
	))
	properties.TestingRun(t)
}

func newObject(n int, fill byte) *wire.Object {
	return &wire.Object{Data: bytes.Repeat([]byte{fill}, n)}
}

func TestBadFrames(t *testing.T) {
	frame, err := peer.AppendFrame(nil, peer.KindFetch, 7, newObject(10, 1))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		data []byte
		want error
	}{
		{"no bytes", nil, io.EOF},
		{"truncated in the length", frame[:3], io.ErrUnexpectedEOF},
		{"truncated in the header", frame[:9], io.ErrUnexpectedEOF},
		{"truncated in the body", frame[:len(frame)-1], io.ErrUnexpectedEOF},
		{"shorter than a header", binary.BigEndian.AppendUint32(nil, 8), peer.ErrFrameTooShort},
		{"longer than the limit", binary.BigEndian.AppendUint32(nil, 101), peer.ErrFrameTooLong},
		{"length greater than the data", append(binary.BigEndian.AppendUint32(nil, 100), 1, 2), io.ErrUnexpectedEOF},
	}
	for _, c := range cases {
		if _, err := peer.NewFrameReader(bytes.NewReader(c.data), 100).Next(); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	buf := []byte("kept")
	if got, err := peer.AppendFrame(buf, peer.KindFetch, 1, newObject(peer.DefaultMaxFrame, 0)); !errors.Is(err, peer.ErrFrameTooLong) || string(got) != "kept" {
		t.Errorf("frame over the limit: %d bytes, %v", len(got), err)
	}
}

func FuzzFrame(f *testing.F) {
	encoded, _ := peer.AppendFrame(nil, peer.KindRequest, 1, &wire.Request{Service: "agenda", Body: []byte("x")})
	for _, seed := range [][]byte{encoded, append(encoded, encoded[:5]...), {0, 0, 0, 8}, {0xff, 0xff, 0xff, 0xff, 1}} {
		f.Add(seed)
	}
	const limit = 1 << 16
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := peer.NewFrameReader(bytes.NewReader(data), limit)
		for read := 0; ; {
			frame, err := reader.Next()
			if err != nil {
				return
			}
			start := read
			read += 13 + len(frame.Body)
			if read > len(data) || len(frame.Body)+9 > limit {
				t.Fatalf("read a body of %d bytes from %d bytes of input", len(frame.Body), len(data))
			}
			if !bytes.Equal(frame.Body, data[start+13:read]) {
				t.Fatal("body differs from the input")
			}
		}
	})
}
