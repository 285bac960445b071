package pipeline

import (
	"bytes"
	"net/http"

	"fulmarrun/guard"
)

// call is a request that was started early, with its recorded answer.
type call struct {
	request *http.Request
	// done is closed once the recorded answer is complete.
	done     chan struct{}
	recorder recorder
	// release returns what is charged for the recorded answer.
	release func()
	// err is a *guard.PanicError if the handler panicked.
	err error
}

// run calls the handler and records its answer.
func (c *call) run(i *Ingress) {
	defer close(c.done)
	c.err = guard.Run(func() { i.handler.ServeHTTP(&c.recorder, c.request) })
	c.release = i.config.charge(c.request.Context(), c.recorder.body.Len())
}

// recorder is an http.ResponseWriter that keeps what is written.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the response header.
func (a *recorder) Header() http.Header {
	if a.header == nil {
		a.header = make(http.Header)
	}
	return a.header
}

// WriteHeader sets the status; only the first call has an effect.
func (a *recorder) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write appends to the body.
func (a *recorder) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.body.Write(p) //nolint:wrapcheck // It never fails.
}

// writeTo writes the recorded answer to w. If the handler wrote nothing, the status is
// 200, as in net/http.
func (a *recorder) writeTo(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	a.WriteHeader(http.StatusOK)
	w.WriteHeader(a.status)
	// The reading side detects a caller that closed its connection.
	_, _ = w.Write(a.body.Bytes())
}
