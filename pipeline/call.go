package pipeline

import (
	"bytes"
	"net/http"

	"fulmarrun/guard"
)

// call is a request that was begun before its turn.
type call struct {
	request *http.Request
	// done is closed once the answer is complete.
	done   chan struct{}
	answer answer
	// err is a *guard.PanicError if the handler has panicked.
	err error
}

// run has the handler answer the request.
func (c *call) run(next http.Handler) {
	defer close(c.done)
	c.err = guard.Run(func() { next.ServeHTTP(&c.answer, c.request) })
}

// answer is an http.ResponseWriter that keeps what is written.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header that will be sent.
func (a *answer) Header() http.Header {
	if a.header == nil {
		a.header = make(http.Header)
	}
	return a.header
}

// WriteHeader sets the status, once.
func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write adds to the body.
func (a *answer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.body.Write(p) //nolint:wrapcheck // It never fails.
}

// writeTo sends the answer on. A handler that wrote nothing has answered with 200, as
// it has to net/http.
func (a *answer) writeTo(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	a.WriteHeader(http.StatusOK)
	w.WriteHeader(a.status)
	// A caller who has left is noticed by the reading side.
	_, _ = w.Write(a.body.Bytes())
}
