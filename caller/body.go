package caller

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/buffer"
	"fulmarrun/wire"
)

// MaxForwardBody is the longest body in bytes that can be brought to another daemon.
const MaxForwardBody = 8 << 20

const (
	// minBodyWait is the shortest time that a caller has for sending its body.
	minBodyWait = time.Second
	// roomRetry is when to come back with a long body that there was no room for.
	roomRetry = 500 * time.Millisecond
)

// ReadBody reads the whole body of a request, of up to most bytes; a longer one than
// buffer.Small waits for room in the pool. A caller that stops in the middle is cut off
// after wait, and one second at least.
func ReadBody(w http.ResponseWriter, r *http.Request, pool *buffer.Pool, most int64, wait time.Duration) ([]byte, error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil
	}
	wait = max(wait, minBodyWait)
	control := http.NewResponseController(w)
	// Where the connection has no deadline, in tests, there is none to set.
	_ = control.SetReadDeadline(time.Now().Add(wait))
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	body, err := pool.ReadAll(ctx, r.Body, r.ContentLength, most)
	if err != nil {
		// The rest is not read: the deadline stays, so that the server does not wait for
		// it either.
		w.Header().Set("Connection", "close")
		return nil, fmt.Errorf("read body: %w", err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// BodyErrorResponse returns the answer to a request whose body could not be read.
func BodyErrorResponse(err error) *wire.Response {
	switch {
	case errors.Is(err, buffer.ErrSize):
		return bad(http.StatusRequestEntityTooLarge, reasonBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bad(http.StatusRequestTimeout, reasonBody)
	case errors.Is(err, context.DeadlineExceeded):
		return wire.Refuse(reasonRoom, roomRetry)
	}
	return bad(http.StatusBadRequest, reasonBody)
}
