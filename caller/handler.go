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
	// HeaderOutcome states the outcome of each request.
	HeaderOutcome = "Fulmar-Outcome"
	// HeaderReason gives the reason for an outcome other than answered.
	HeaderReason = "Fulmar-Reason"
	// HeaderRequestID gives the ID that the request had.
	HeaderRequestID = "Fulmar-Id"
	// HeaderIdempotencyKey carries the caller's request ID.
	HeaderIdempotencyKey = "Idempotency-Key"

	// MaxKeyLen is the longest key, in bytes.
	MaxKeyLen = 512
	// MaxIDLen is the longest request ID, in bytes.
	MaxIDLen = 128

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
	reasonRoom     = "room"
	reasonPath     = "path"
	reasonStatus   = "status"

	// ownPrefix starts the names of this system's own headers.
	ownPrefix   = "Fulmar-"
	configRetry = time.Second
)

// Option configures a Handler.
type Option func(*Handler)

// WithMaxBody is a functional option that sets the longest request body, in
// bytes.
func WithMaxBody(bytes int64) Option {
	return func(h *Handler) { h.maxBody = bytes }
}

// WithRefusalObserver is a functional option that names what is told of each request that is
// refused before it is routed.
func WithRefusalObserver(refused func(r *http.Request, id string, response *wire.Response)) Option {
	return func(h *Handler) { h.refused = refused }
}

// Handler answers callers.
type Handler struct {
	table   func() *config.Table
	route   func(context.Context, *config.Kind, *wire.Request) *wire.Response
	maxBody int64
	pool    *buffer.Pool
	refused func(*http.Request, string, *wire.Response)
}

// NewHandler returns a handler that finds the kind of a request in the table in
// force and has it routed.
func NewHandler(table func() *config.Table,
	route func(context.Context, *config.Kind, *wire.Request) *wire.Response, opts ...Option,
) *Handler {
	h := &Handler{
		table: table, route: route, maxBody: DefaultMaxBody, pool: buffer.NewPool(buffer.DefaultSize),
		refused: func(*http.Request, string, *wire.Response) {},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, req, refused := h.read(w, r)
	if refused != nil {
		id, _ := ownID(r.Header)
		h.refused(r, id, refused)
		write(w, r.Method, id, refused)
		return
	}
	write(w, r.Method, req.ID, h.route(r.Context(), kind, req))
}

// MayStartEarly tells whether a request may be begun before others that came ahead of it on
// its connection are answered.
func (h *Handler) MayStartEarly(r *http.Request) bool {
	table := h.table()
	if table == nil || r.Method != http.MethodGet && r.Method != http.MethodHead {
		return false
	}
	match, ok := table.Match(r.Method, r.URL.EscapedPath())
	return ok && match.Kind.Repeatable()
}

// read turns HTTP into a request, or returns the refusal.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (*config.Kind, *wire.Request, *wire.Response) {
	table := h.table()
	if table == nil {
		return nil, nil, unready(r.Header)
	}
	if dotted(r.URL.Path) {
		return nil, nil, bad(http.StatusBadRequest, reasonPath)
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
	body, err := ReadBody(w, r, h.pool, h.maxBody, req.Wait)
	if err != nil {
		return nil, nil, BodyErrorResponse(err)
	}
	req.Body = body
	req.Headers = headers(r.Header)
	return match.Kind, req, nil
}

// unready answers while no configuration is in force. An ID of the caller's own
// may have run before, and whether it may be repeated is not known here.
func unready(h http.Header) *wire.Response {
	r := wire.Refuse(reasonConfig, configRetry)
	if len(h.Values(HeaderIdempotencyKey)) > 0 {
		r.Outcome, r.Status = wire.OutcomeUnknown, http.StatusServiceUnavailable
	}
	return r
}

// dotted tells whether a path has a segment that would lead elsewhere at the
// target. The path is unescaped, so that none is hidden in the value of a
// wildcard.
func dotted(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
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

// nesting takes over the depth and the deadline of the call that this one is
// nested in.
func nesting(h http.Header, req *wire.Request) *wire.Response {
	if text := h.Get(targethttp.HeaderDepth); text != "" {
		depth, err := strconv.ParseUint(text, 10, 7)
		if err != nil {
			return bad(http.StatusBadRequest, reasonDepth)
		}
		req.Depth = uint8(depth) + 1
	}
	if text := h.Get(targethttp.HeaderDeadline); text != "" {
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
	own, ok := ownID(r.Header)
	switch {
	case !ok:
		return bad(http.StatusBadRequest, reasonID)
	case own != "":
		req.ID = own
	default:
		id, err := uuid.NewV7()
		if err != nil {
			return wire.Refuse(reasonID, configRetry)
		}
		req.ID, req.FirstAttempt = id.String(), true
	}
	if match.Kind.KeyedByID() {
		req.Key = req.ID
		return nil
	}
	if !match.Kind.Key.Declared() {
		return nil
	}
	key, ok := match.Key(r)
	if !ok || len(key) > MaxKeyLen {
		return bad(http.StatusBadRequest, reasonKey)
	}
	req.Key = key
	return nil
}

// ownID returns the caller's own ID, which is empty if there is none. It returns
// false for one that can't be used: a comma may stand between two that were
// joined on the way.
func ownID(h http.Header) (string, bool) {
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

// reserved tells whether only this system may give the target a header of this
// name. Some targets take an underscore for a hyphen.
func reserved(name string) bool {
	if strings.Contains(name, "_") {
		name = http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
	}
	return name == HeaderIdempotencyKey || strings.HasPrefix(name, ownPrefix)
}

// headers returns those that may go on to the target.
func headers(h http.Header) []wire.Header {
	out := make([]wire.Header, 0, len(h))
	for name, values := range h {
		if reserved(name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}
