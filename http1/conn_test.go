package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"fulmarrun/http1"
)

// textConn is a connection on which a text arrives.
type textConn struct {
	net.Conn
	io.Reader
}

func (c textConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// receive returns the error with which a Conn ends on which the text arrives, byte by byte or at
// once, and what it passed on.
func receive(text string, byByte bool) (string, error) {
	var reader io.Reader = strings.NewReader(text)
	if byByte {
		reader = iotest.OneByteReader(reader)
	}
	passed, err := io.ReadAll(http1.NewConn(textConn{Reader: reader}))
	return string(passed), err
}

// TestHeads checks which heads are rejected, whether they arrive byte by byte or at once.
func TestHeads(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for _, tc := range []struct {
		name, text string
		malformed  bool
	}{
		{"empty head", status + "\r\n", false},
		{"field", status + "A: b\r\n\r\n", false},
		{"bare line feeds", "HTTP/1.1 200 OK\nA: b\n\n", false},
		{"no phrase", "HTTP/1.1 200\r\n\r\n", false},
		{"no value", status + "A:\r\n\r\n", false},
		{"tab and other encodings in a value", status + "A: \t\xff\r\n\r\n", false},
		{"anything in a body", status + "A: b\r\n\r\n A : \x00\r\r\n", false},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + status + "\r\n B", false},
		{"end in a head", status + "A", false},
		{"nothing", "", false},
		{"least status", "HTTP/1.1 200 OK\r\n\r\n", false},
		{"greatest status", "HTTP/1.1 599 \r\n\r\n", false},
		{"greatest status of an interim answer", "HTTP/1.1 199 \r\n\r\n" + status + "\r\n", false},
		{"status of a bare line", "HTTP/1.0 404\n\n", false},
		{"status 000", "HTTP/1.1 000 OK\r\n\r\n", true},
		{"status 099", "HTTP/1.1 099 OK\r\n\r\n", true},
		{"status 101", "HTTP/1.1 101 OK\r\n\r\n", true},
		{"status 600", "HTTP/1.1 600 OK\r\n\r\n", true},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n\r\n", true},
		{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", true},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", true},
		{"status with a letter", "HTTP/1.1 2x0 OK\r\n\r\n", true},
		{"status with a tab behind it", "HTTP/1.1 200\tOK\r\n\r\n", true},
		{"no status", "HTTP/1.1\r\n\r\n", true},
		{"empty status", "HTTP/1.1 \r\n\r\n", true},
		{"two blanks ahead of a status", "HTTP/1.1  200 OK\r\n\r\n", true},
		{"no version", "200 OK\r\n\r\n", true},
		{"empty line ahead of an answer", "\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		{"status 000 behind an interim answer", "HTTP/1.1 103 OK\r\n\r\nHTTP/1.1 000 OK\r\n\r\n", true},
		{"blank before a colon", status + "A : b\r\n\r\n", true},
		{"tab before a colon", status + "A\t: b\r\n\r\n", true},
		{"blank in a name", status + "A B: b\r\n\r\n", true},
		{"folded line", status + "A: b\r\n c\r\n\r\n", true},
		{"blank in the first name", status + " A: b\r\n\r\n", true},
		{"no name", status + ": b\r\n\r\n", true},
		{"no colon", status + "A\r\n\r\n", true},
		{"name of another encoding", status + "\xc3\xb6: b\r\n\r\n", true},
		{"control byte in a value", status + "A: \x00\r\n\r\n", true},
		{"delete in a value", status + "A: \x7f\r\n\r\n", true},
		{"bare carriage return in a value", status + "A: b\rc\r\n\r\n", true},
		{"two carriage returns", status + "A: b\r\r\n\r\n", true},
		{"carriage return ahead of a name", status + "\rA: b\r\n\r\n", true},
		{"control byte in a phrase", "HTTP/1.1 200 O\x01\r\n\r\n", true},
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nA : b\r\n\r\n" + status + "\r\n", true},
		{"blank in a name behind an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + status + "A : b\r\n\r\n", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, byByte := range []bool{false, true} {
				passed, err := receive(tc.text, byByte)
				if tc.malformed != errors.Is(err, http1.ErrHead) || !tc.malformed && (err != nil || passed != tc.text) {
					t.Errorf("byte by byte %t: passed %q, error %v", byByte, passed, err)
				}
				if strings.HasPrefix(passed, tc.text) && tc.malformed {
					t.Errorf("byte by byte %t: a malformed head was passed on", byByte)
				}
			}
		})
	}
}

// TestNextAnswer checks that the head of each answer on a connection is checked, and that nothing
// is read behind a malformed one.
func TestNextAnswer(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	go func() {
		defer func() { _ = server.Close() }()
		for _, text := range []string{"HTTP/1.1 200 OK\r\n\r\nx : y\r\n", "HTTP/1.1 200 OK\r\nx : y\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"} {
			if _, err := io.WriteString(server, text); err != nil {
				return
			}
		}
	}()
	conn, buf := http1.NewConn(client), make([]byte, 100)
	if n, err := conn.Read(buf); n == 0 || err != nil {
		t.Fatalf("first answer: %d bytes, %v", n, err)
	}
	for _, answer := range []string{"second", "third"} {
		conn.ExpectAnswer()
		if n, err := conn.Read(buf); n > 0 || !errors.Is(err, http1.ErrHead) {
			t.Errorf("%s answer: %d bytes, %v", answer, n, err)
		}
	}
}

// FuzzHead checks that what a Conn rejects does not depend on how it arrives, and that net/http
// reads only valid statuses and field names behind a Conn.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\nA : b\n\n", "HTTP/1.1 200\r\n: \r\n\r\n",
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
		"HTTP/1.1 000\r\n\r\n", "HTTP/1.1 101 X\r\n\r\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, byByte := receive(text, true)
		_, atOnce := receive(text, false)
		if errors.Is(byByte, http1.ErrHead) != errors.Is(atOnce, http1.ErrHead) {
			t.Errorf("byte by byte %v, at once %v", byByte, atOnce)
		}
		resp, err := http.ReadResponse(bufio.NewReader(http1.NewConn(textConn{Reader: strings.NewReader(text)})), nil)
		if err != nil {
			return
		}
		if resp.StatusCode < 100 || resp.StatusCode > 599 || resp.StatusCode == http.StatusSwitchingProtocols {
			t.Errorf("status %q passed", resp.Status)
		}
		for name := range resp.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("field name %q passed", name)
			}
		}
	})
}
