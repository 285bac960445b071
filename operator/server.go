package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"fulmarrun/storage"
)

// DefaultMaxBody is the maximum size of a request body, in bytes.
const DefaultMaxBody = 16 << 20

// PathMetrics is the path of the metrics.
const PathMetrics = "/metrics"

// Paths of the protocol.
const (
	pathApply  = "/apply"
	pathShow   = "/show"
	pathStatus = "/status"
	pathAudit  = "/audit"
	pathKey    = "/key"
	pathLeave  = "/leave"
)

// Server implements the daemon's side of the operator protocol. The daemon sets the
// fields before the first request. A call whose field is nil fails with
// ErrUnsupported.
type Server struct {
	// Apply puts a file in force.
	Apply func(context.Context, ApplyRequest) (ApplyReply, error)
	// Show returns the file in force.
	Show func(context.Context) (ShowReply, error)
	// Status queries all instances for the configuration in force there.
	Status func(context.Context) (StatusReply, error)
	// Audit reads the audit trail.
	Audit func(context.Context, AuditRequest) (AuditReply, error)
	// Key returns the owner of a key.
	Key func(context.Context, KeyRequest) (KeyReply, error)
	// Leave makes the daemon transfer its keys to other daemons and stop.
	Leave func(context.Context) error
	// Ready returns nil if the daemon accepts work, and otherwise the reason why not.
	Ready func() error

	registry metrics.Registry
	maxBody  int64
	mux      *http.ServeMux
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithRegistry is a functional option that sets the registry whose metrics are
// served.
func WithRegistry(r metrics.Registry) ServerOption {
	return func(s *Server) { s.registry = r }
}

// WithMaxBody is a functional option that sets the maximum size of a request body,
// in bytes.
func WithMaxBody(n int64) ServerOption {
	return func(s *Server) { s.maxBody = n }
}

// NewServer returns a Server without any calls set.
func NewServer(opts ...ServerOption) *Server {
	s := &Server{registry: metrics.NewRegistry(), maxBody: DefaultMaxBody, mux: http.NewServeMux()}
	for _, opt := range opts {
		opt(s)
	}
	s.mux.HandleFunc("POST "+pathApply, func(w http.ResponseWriter, r *http.Request) {
		req, err := parseBody[ApplyRequest](w, r, s.maxBody)
		serve(w, r, req, err, s.Apply)
	})
	s.mux.HandleFunc("POST "+pathLeave, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, s.maxBody))
		serve(w, r, empty{}, err, withoutRequest(withoutReply(s.Leave)))
	})
	s.mux.HandleFunc("GET "+pathShow, func(w http.ResponseWriter, r *http.Request) {
		serveQuery(w, r, parseEmpty, withoutRequest(s.Show))
	})
	s.mux.HandleFunc("GET "+pathStatus, func(w http.ResponseWriter, r *http.Request) {
		serveQuery(w, r, parseEmpty, withoutRequest(s.Status))
	})
	s.mux.HandleFunc("GET "+pathAudit, func(w http.ResponseWriter, r *http.Request) {
		serveQuery(w, r, parseAudit, s.Audit)
	})
	s.mux.HandleFunc("GET "+pathKey, func(w http.ResponseWriter, r *http.Request) {
		serveQuery(w, r, parseKey, s.Key)
	})
	s.mux.Handle("GET "+PathMetrics, MetricsHandler(s.registry))
	s.mux.HandleFunc("GET /healthz", s.serveHealth)
	s.mux.HandleFunc("GET /readyz", s.serveReady)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// MetricsHandler returns a handler that serves the metrics of r.
func MetricsHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = WriteMetrics(w, r)
	})
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.Ready != nil {
		if err := s.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	_, _ = io.WriteString(w, "ok\n")
}

// request is the type of request of a call.
type request interface {
	Validate() error
}

// parseBody reads the JSON body of r.
func parseBody[Req request](w http.ResponseWriter, r *http.Request, limit int64) (Req, error) {
	var zero Req
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return zero, fmt.Errorf("%w: read body: %w", ErrBadRequest, err)
	}
	req, err := Decode[Req](data)
	if err != nil {
		return zero, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	return req, nil
}

// serveQuery serves a call whose request is encoded in the URL query.
func serveQuery[Req request, Rep any](w http.ResponseWriter, r *http.Request, parse func(url.Values) (Req, error), call func(context.Context, Req) (Rep, error)) {
	req, err := parse(r.URL.Query())
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	serve(w, r, req, err, readOnly(call))
}

// readOnly adapts a call that changes nothing: whenever the platform gives no answer,
// the call can safely report ErrUnavailable.
func readOnly[Req, Rep any](call func(context.Context, Req) (Rep, error)) func(context.Context, Req) (Rep, error) {
	if call == nil {
		return nil
	}
	return func(ctx context.Context, req Req) (Rep, error) {
		reply, err := call(ctx, req)
		if errors.Is(err, storage.ErrUnavailable) {
			err = fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return reply, err
	}
}

// serve validates req and responds with the reply of call. If err is set or a step
// fails, it responds with the error.
func serve[Req request, Rep any](w http.ResponseWriter, r *http.Request, req Req, err error, call func(context.Context, Req) (Rep, error)) {
	if err == nil {
		err = req.Validate()
	}
	if err == nil && call == nil {
		err = ErrUnsupported
	}
	if err != nil {
		writeError(w, err)
		return
	}
	reply, err := call(r.Context(), req)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// withoutRequest adapts a call without request parameters.
func withoutRequest[Rep any](call func(context.Context) (Rep, error)) func(context.Context, empty) (Rep, error) {
	if call == nil {
		return nil
	}
	return func(ctx context.Context, _ empty) (Rep, error) { return call(ctx) }
}

// withoutReply adapts a call without a reply.
func withoutReply(call func(context.Context) error) func(context.Context) (empty, error) {
	if call == nil {
		return nil
	}
	return func(ctx context.Context) (empty, error) { return empty{}, call(ctx) }
}

func writeError(w http.ResponseWriter, err error) {
	status, body := errorResponseOf(err)
	writeJSON(w, status, body)
}

func writeJSON[T any](w http.ResponseWriter, status int, v T) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"code":"internal","reason":"encode reply"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
