package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"fulmarrun/buffer"
	"fulmarrun/config"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

const (
	// HeaderOutcome states the outcome of the request.
	HeaderOutcome = "Fulmar-Outcome"
	// HeaderReason gives the reason for an outcome other than answered.
	HeaderReason = "Fulmar-Reason"
	// HeaderRequestID gives the ID of the request.
	HeaderRequestID = "Fulmar-Id"
	// HeaderIdempotencyKey carries the caller's request ID.
	HeaderIdempotencyKey = "Idempotency-Key"

	// MaxKeyLen is the maximum length of a key, in bytes.
	MaxKeyLen = 512
	// MaxIDLen is the maximum length of a request ID, in bytes.
	MaxIDLen = 128

	// DefaultMaxBody is the default maximum size of a request body, in bytes.
	DefaultMaxBody = 1 << 20
)

const (
	reasonConfig   = "config"
	reasonKey      = "key"
	reasonID       = "id"
	reasonDepth    = "depth"
	reasonDeadline = "deadline"
	reasonBody     = "body"
	reasonNoBuffer = "room"
	reasonPath     = "path"
	reasonStatus   = "status"

	// reservedPrefix is the prefix of the headers that only this system may set.
	reservedPrefix   = "Fulmar-"
	configRetryAfter = time.Second
)

// Option configures a Handler.
type Option func(*Handler)

// WithMaxBody is a functional option that sets the maximum size of a request body,
// in bytes.
func WithMaxBody(bytes int64) Option {
	return func(h *Handler) { h.maxBody = bytes }
}

// WithRefusalObserver is a functional option that sets a function to call for each
// request that is refused before it is routed.
func WithRefusalObserver(onRefusal func(r *http.Request, id string, response *wire.Response)) Option {
	return func(h *Handler) { h.onRefusal = onRefusal }
}

// Handler serves the requests of callers.
type Handler struct {
	table     func() *config.Table
	route     func(context.Context, *config.Kind, *wire.Request) *wire.Response
	maxBody   int64
	onRefusal func(*http.Request, string, *wire.Response)
	// pool reads the bodies.
	pool *buffer.Pool
}

// NewHandler returns a handler that looks up the kind of a request in the current
// configuration, which table returns, and passes the request to route. The table is
// nil while there is no configuration.
func NewHandler(table func() *config.Table,
	route func(context.Context, *config.Kind, *wire.Request) *wire.Response, opts ...Option,
) *Handler {
	h := &Handler{
		table: table, route: route, maxBody: DefaultMaxBody, pool: buffer.NewPool(buffer.DefaultCapacity),
		onRefusal: func(*http.Request, string, *wire.Response) {},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, req, refused := h.parseRequest(w, r)
	if refused != nil {
		id, _ := suppliedID(r.Header)
		h.onRefusal(r, id, refused)
		writeResponse(w, r.Method, id, refused)
		return
	}
	writeResponse(w, r.Method, req.ID, h.route(r.Context(), kind, req))
}

// MayStartEarly reports whether a request may be started before the requests ahead of it
// on its connection are answered.
func (h *Handler) MayStartEarly(r *http.Request) bool {
	table := h.table()
	if table == nil || r.Method != http.MethodGet && r.Method != http.MethodHead {
		return false
	}
	match, ok := table.Match(r.Method, r.URL.EscapedPath())
	return ok && match.Kind.Repeatable()
}

// parseRequest converts an HTTP request for routing, or returns the refusal.
func (h *Handler) parseRequest(w http.ResponseWriter, r *http.Request) (*config.Kind, *wire.Request, *wire.Response) {
	table := h.table()
	if table == nil {
		return nil, nil, noConfigResponse(r.Header)
	}
	if hasDotSegment(r.URL.Path) {
		return nil, nil, reject(http.StatusBadRequest, reasonPath)
	}
	match, ok := table.Match(r.Method, r.URL.EscapedPath())
	if !ok {
		return nil, nil, noMatchResponse(match.Reason)
	}
	req := &wire.Request{
		Service: match.Service.Name, Kind: match.Kind.Name,
		Method: r.Method, Path: match.Path, Wait: match.Kind.Wait,
	}
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	if refused := applyNesting(r.Header, req); refused != nil {
		return nil, nil, refused
	}
	if refused := setIDAndKey(r, &match, req); refused != nil {
		return nil, nil, refused
	}
	body, err := ReadBody(w, r, h.pool, h.maxBody, req.Wait)
	if err != nil {
		return nil, nil, BodyErrorResponse(err)
	}
	req.Body = body
	req.Headers = forwardedHeaders(r.Header)
	return match.Kind, req, nil
}

// noConfigResponse returns the refusal while there is no configuration. A request with
// an ID from the caller may have run before, and without a configuration it is not
// known whether its kind may be repeated, so its outcome is unknown.
func noConfigResponse(h http.Header) *wire.Response {
	r := wire.Refuse(reasonConfig, configRetryAfter)
	if len(h.Values(HeaderIdempotencyKey)) > 0 {
		r.Outcome, r.Status = wire.OutcomeUnknown, http.StatusServiceUnavailable
	}
	return r
}

// hasDotSegment reports whether a path has a segment "." or "..", which would lead to
// another path at the target. It expects the unescaped path, so that the value of a
// wildcard cannot hide one.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// reject returns the response to a request that can never run.
func reject(status uint16, reason string) *wire.Response {
	return &wire.Response{Outcome: wire.OutcomeNotRun, Status: status, Reason: reason}
}

func noMatchResponse(reason config.Reason) *wire.Response {
	if reason == config.ReasonOtherMethod {
		return reject(http.StatusMethodNotAllowed, reason.String())
	}
	return reject(http.StatusNotFound, reason.String())
}

// applyNesting sets the depth and the deadline of a request that a target sends while
// it serves another one, from the headers that the target copied.
func applyNesting(h http.Header, req *wire.Request) *wire.Response {
	if text := h.Get(targethttp.HeaderDepth); text != "" {
		depth, err := strconv.ParseUint(text, 10, 7)
		if err != nil {
			return reject(http.StatusBadRequest, reasonDepth)
		}
		req.Depth = uint8(depth) + 1
	}
	if text := h.Get(targethttp.HeaderDeadline); text != "" {
		millis, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return reject(http.StatusBadRequest, reasonDeadline)
		}
		req.Wait = min(req.Wait, time.Duration(millis)*time.Millisecond)
	}
	return nil
}

// setIDAndKey sets the request's ID and key, or returns the refusal.
func setIDAndKey(r *http.Request, match *config.Match, req *wire.Request) *wire.Response {
	supplied, ok := suppliedID(r.Header)
	switch {
	case !ok:
		return reject(http.StatusBadRequest, reasonID)
	case supplied != "":
		req.ID = supplied
	default:
		id, err := uuid.NewV7()
		if err != nil {
			return wire.Refuse(reasonID, configRetryAfter)
		}
		req.ID, req.FirstAttempt = id.String(), true
	}
	if match.Kind.KeyedByID() {
		req.Key = req.ID
		return nil
	}
	if !match.Kind.Key.IsSet() {
		return nil
	}
	key, ok := match.Key(r)
	if !ok || len(key) > MaxKeyLen {
		return reject(http.StatusBadRequest, reasonKey)
	}
	req.Key = key
	return nil
}

// suppliedID returns the ID that the caller sent, which is empty if there is none. It
// returns false for an invalid ID; one with a comma is invalid because a proxy may
// have joined two IDs.
func suppliedID(h http.Header) (string, bool) {
	ids := h.Values(HeaderIdempotencyKey)
	if len(ids) == 0 {
		return "", true
	}
	id := ids[0]
	if len(ids) > 1 || id == "" || len(id) > MaxIDLen {
		return "", false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' || id[i] == ',' {
			return "", false
		}
	}
	return id, true
}

// isReserved reports whether only this system may send the target a header of this
// name. Some targets treat an underscore as a hyphen, so it does the same.
func isReserved(name string) bool {
	if strings.Contains(name, "_") {
		name = http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
	}
	return name == HeaderIdempotencyKey || strings.HasPrefix(name, reservedPrefix)
}

// forwardedHeaders returns the headers that are passed on to the target.
func forwardedHeaders(h http.Header) []wire.Header {
	out := make([]wire.Header, 0, len(h))
	for name, values := range h {
		if isReserved(name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}
