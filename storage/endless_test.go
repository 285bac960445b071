package storage_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"fulmarrun/storage"
)

// maxEndlessBytes is how much of an endless answer an Exchange may take before it closes the
// connection: what it reads at most, and what the buffers of the sockets hold.
const maxEndlessBytes = storage.MaxBodyBytes + 16<<20

// TestEndlessAnswerOfStore checks that an Exchange stops reading an answer that does not end.
func TestEndlessAnswerOfStore(t *testing.T) {
	x := strings.Repeat("x", 32<<10)
	for _, text := range [][2]string{
		{"", x},
		{"HTTP/1.1 200 OK\r\nA: ", x},
		{"HTTP/1.1 200 OK\r\n", "A: " + x + "\r\n"},
		{"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 1000)},
		{"HTTP/1.1 200 OK\r\n\r\n", x},
		{"HTTP/1.1 503 Odd\r\nContent-Length: 1000000000000\r\n\r\n", x},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + x + "\r\n"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", x},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + x + "\r\n"},
	} {
		taken := make(chan int, 1)
		address := listenRaw(t, func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			total, err := io.WriteString(conn, text[0])
			for n := 0; err == nil && total <= maxEndlessBytes; total += n {
				n, err = io.WriteString(conn, text[1])
			}
			taken <- total
		})
		if reply, err := storage.NewExchange(address).Do(t.Context(), http.MethodPost, "/x", nil, "", nil); err == nil {
			t.Errorf("%.40q: status %d, body of %d bytes", text[0], reply.Status, len(reply.Body))
		}
		if n := <-taken; n > maxEndlessBytes {
			t.Errorf("%.40q: more than %d bytes were read", text[0], maxEndlessBytes)
		}
	}
}
