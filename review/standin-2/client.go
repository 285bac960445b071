//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 3 * time.Second

// answer is what a client got for one request.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// head returns the head of a request as bytes on the wire.
func head(method, path, id string, deadline time.Duration, fields ...string) string {
	out := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	for _, f := range fields {
		out += f + "\r\n"
	}
	return out + "\r\n"
}

// send sends a request on a connection of its own, ends the sending side if so told, and reads the
// answer.
func send(to netip.AddrPort, method, request string, end bool) answer {
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(to))
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return answer{err: err}
	}
	if end {
		if err := conn.CloseWrite(); err != nil {
			return answer{err: err}
		}
	}
	return readAnswer(bufio.NewReader(conn), method)
}

func readAnswer(from *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(from, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// success reports whether the answer is whole and its status is 2xx.
func (a answer) success() bool {
	return a.err == nil && a.status/100 == 2
}

// seal returns the upstream's seal, or "".
func (a answer) seal() string {
	return a.header.Get("X-Response-Seal")
}

// String returns the answer as a line of the record.
func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	seal := a.seal()
	if seal == "" {
		seal = "none"
	}
	return fmt.Sprintf("status %d, X-Response-Seal %s, body %q", a.status, seal, strings.TrimSpace(a.body))
}
