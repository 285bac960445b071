package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fulmarrun/config"
	"fulmarrun/target"
	"fulmarrun/wire"
)

const (
	// HeaderOutcome states the outcome of each request.
	HeaderOutcome = "Fulmar-Outcome"
	// HeaderReason gives the reason for an outcome other than answered.
	HeaderReason = "Fulmar-Reason"
	// HeaderRequestID gives the ID that the request had.
	HeaderRequestID = "Fulmar-Id"
	// HeaderIdempotencyKey carries the caller's request ID.
	HeaderIdempotencyKey = "Idempotency-Key"

	// MaxKey is the longest key, in bytes.
	MaxKey = 512
	// MaxID is the longest request ID, in bytes.
	MaxID = 128

	// DefaultMaxBody is the longest request body, in bytes.
	DefaultMaxBody = 1 << 20
)

const (
	reasonConfig   = "config"
	reasonKey      = "key"
	reasonID       = "id"
	reasonDepth    = "depth"
	reasonDeadline = "deadline"
	reasonBody     = "body"

	configRetry = time.Second
)

// Option configures a Handler.
type Option func(*Handler)

// WithMaxBody is a functional option that sets the longest request body, in
// bytes.
func WithMaxBody(bytes int64) Option {
	return func(h *Handler) { h.maxBody = bytes }
}

// Handler answers callers.
type Handler struct {
	table   func() *config.Table
	route   func(context.Context, *config.Kind, *wire.Request) *wire.Response
	maxBody int64
}

// NewHandler returns a handler that finds the kind of a request in the table in
// force and has it routed.
func NewHandler(table func() *config.Table,
	route func(context.Context, *config.Kind, *wire.Request) *wire.Response, opts ...Option,
) *Handler {
	h := &Handler{table: table, route: route, maxBody: DefaultMaxBody}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, req, refused := h.read(w, r)
	if refused != nil {
		write(w, r.Header.Get(HeaderIdempotencyKey), refused)
		return
	}
	write(w, req.ID, h.route(r.Context(), kind, req))
}

// read turns HTTP into a request, or returns the refusal.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (*config.Kind, *wire.Request, *wire.Response) {
	table := h.table()
	if table == nil {
		return nil, nil, wire.Refuse(reasonConfig, configRetry)
	}
	match, ok := table.Match(r.Method, r.URL.EscapedPath())
	if !ok {
		return nil, nil, unmatched(match.Reason)
	}
	req := &wire.Request{
		Service: match.Service.Name, Kind: match.Kind.Name,
		Method: r.Method, Path: match.Path, Wait: match.Kind.Wait,
	}
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	if refused := nesting(r.Header, req); refused != nil {
		return nil, nil, refused
	}
	if refused := identify(r, &match, req); refused != nil {
		return nil, nil, refused
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.maxBody))
	if err != nil {
		return nil, nil, badBody(err)
	}
	req.Body = body
	req.Headers = headers(r.Header)
	return match.Kind, req, nil
}

func bad(status uint16, reason string) *wire.Response {
	return &wire.Response{Outcome: wire.OutcomeNotRun, Status: status, Reason: reason}
}

func unmatched(reason config.Reason) *wire.Response {
	if reason == config.ReasonMethod {
		return bad(http.StatusMethodNotAllowed, reason.String())
	}
	return bad(http.StatusNotFound, reason.String())
}

func badBody(err error) *wire.Response {
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return bad(http.StatusRequestEntityTooLarge, reasonBody)
	}
	return bad(http.StatusBadRequest, reasonBody)
}

// nesting takes over the depth and the deadline of the call that this one is
// nested in.
func nesting(h http.Header, req *wire.Request) *wire.Response {
	if text := h.Get(target.HeaderDepth); text != "" {
		depth, err := strconv.ParseUint(text, 10, 7)
		if err != nil {
			return bad(http.StatusBadRequest, reasonDepth)
		}
		req.Depth = uint8(depth) + 1
	}
	if text := h.Get(target.HeaderDeadline); text != "" {
		left, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return bad(http.StatusBadRequest, reasonDeadline)
		}
		req.Wait = min(req.Wait, time.Duration(left)*time.Millisecond)
	}
	return nil
}

// identify sets the request's ID and key.
func identify(r *http.Request, match *config.Match, req *wire.Request) *wire.Response {
	ids := r.Header.Values(HeaderIdempotencyKey)
	switch {
	case len(ids) > 1, len(ids) == 1 && (ids[0] == "" || len(ids[0]) > MaxID):
		return bad(http.StatusBadRequest, reasonID)
	case len(ids) == 1:
		req.ID = ids[0]
	default:
		id, err := uuid.NewV7()
		if err != nil {
			return wire.Refuse(reasonID, configRetry)
		}
		req.ID, req.Fresh = id.String(), true
	}
	if match.Kind.KeyedByID() {
		req.Key = req.ID
		return nil
	}
	if !match.Kind.Key.Declared() {
		return nil
	}
	key, ok := match.Key(r)
	if !ok || len(key) > MaxKey {
		return bad(http.StatusBadRequest, reasonKey)
	}
	req.Key = key
	return nil
}

func headers(h http.Header) []wire.Header {
	out := make([]wire.Header, 0, len(h))
	for name, values := range h {
		switch name {
		case HeaderIdempotencyKey, target.HeaderDepth, target.HeaderDeadline:
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}
