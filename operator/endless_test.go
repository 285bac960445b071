package operator_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"fulmarrun/operator"
)

// maxEndlessBytes is how much of an endless answer a client may take before it closes the
// connection: what it reads at most, and what the buffers of the sockets hold.
const maxEndlessBytes = 2*operator.DefaultMaxBody + 16<<20

// TestEndlessAnswerOfDaemon checks that the operators' commands stop reading an answer that does not
// end.
func TestEndlessAnswerOfDaemon(t *testing.T) {
	x := strings.Repeat("x", 32<<10)
	for _, text := range [][2]string{
		{"", x},
		{"HTTP/1.1 200 OK\r\nA: ", x},
		{"HTTP/1.1 200 OK\r\n", "A: " + x + "\r\n"},
		{"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 1000)},
		{"HTTP/1.1 200 OK\r\n\r\n", x},
		{"HTTP/1.1 500 Odd\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + x + "\r\n"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", x},
	} {
		taken := make(chan int, 1)
		client := newRawClient(t, func(conn net.Conn) {
			n, err := io.WriteString(conn, text[0])
			total := n
			for err == nil && total <= maxEndlessBytes {
				n, err = io.WriteString(conn, text[1])
				total += n
			}
			taken <- total
		})
		if reply, err := client.Apply(t.Context(), operator.ApplyRequest{}); !errors.Is(err, operator.ErrUnreachable) {
			t.Errorf("%.40q: reply %+v, error %v", text[0], reply, err)
		}
		if n := <-taken; n > maxEndlessBytes {
			t.Errorf("%.40q: more than %d bytes were read", text[0], maxEndlessBytes)
		}
	}
}
