package caller

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/budget"
	"fulmarrun/buffer"
	"fulmarrun/wire"
)

// MaxForwardBody is the maximum size in bytes of a body that can be forwarded to
// another daemon.
const MaxForwardBody = 8 << 20

const (
	// minBodyTimeout is the minimum time that a caller has for sending its body.
	minBodyTimeout = time.Second
	// bufferRetryAfter is the Retry-After of a request for whose body there was no room.
	bufferRetryAfter = 500 * time.Millisecond
)

// ReadBody reads the whole body of a request, up to limit bytes. If the caller does not send
// the whole body within timeout, or one second if that is longer, ReadBody fails.
func ReadBody(w http.ResponseWriter, r *http.Request, pool *buffer.Pool, limit int64, timeout time.Duration) ([]byte, error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil
	}
	timeout = max(timeout, minBodyTimeout)
	controller := http.NewResponseController(w)
	// In tests the connection may not support deadlines; the error is ignored then.
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	body, err := pool.ReadWhole(r.Body, r.ContentLength, limit)
	if err != nil {
		// The deadline stays, so that the server does not wait for the rest of the body
		// either.
		w.Header().Set("Connection", "close")
		return nil, fmt.Errorf("read body: %w", err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// BodyErrorResponse returns the response to a request whose body could not be read.
func BodyErrorResponse(err error) *wire.Response {
	switch {
	case errors.Is(err, buffer.ErrTooLong):
		return reject(http.StatusRequestEntityTooLarge, reasonBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reject(http.StatusRequestTimeout, reasonBody)
	case errors.Is(err, budget.ErrNoRoom):
		return wire.Refuse(reasonNoBuffer, bufferRetryAfter)
	}
	return reject(http.StatusBadRequest, reasonBody)
}
