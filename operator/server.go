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

// DefaultMaxBody bounds a request to a Server, in bytes.
const DefaultMaxBody = 16 << 20

// PathMetrics is where metrics are served.
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

// Server is the daemon's side of the operator protocol. The daemon sets the
// fields before the first request; a call whose field is nil is refused with
// ErrUnsupported.
type Server struct {
	// Apply puts a file in force.
	Apply func(context.Context, ApplyRequest) (ApplyReply, error)
	// Show returns the file in force.
	Show func(context.Context) (ShowReply, error)
	// Status asks the instances what is in force there.
	Status func(context.Context) (StatusReply, error)
	// Audit reads the audit trail.
	Audit func(context.Context, AuditRequest) (AuditReply, error)
	// Key tells who owns a key.
	Key func(context.Context, KeyRequest) (KeyReply, error)
	// Leave makes the daemon give its keys away and stop.
	Leave func(context.Context) error
	// Ready returns why the daemon takes no work, or nil if it does.
	Ready func() error

	registry metrics.Registry
	maxBody  int64
	mux      *http.ServeMux
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithRegistry is a functional option that names the metrics to show.
func WithRegistry(r metrics.Registry) ServerOption {
	return func(s *Server) { s.registry = r }
}

// WithMaxBody is a functional option that bounds the bytes of a request.
func WithMaxBody(n int64) ServerOption {
	return func(s *Server) { s.maxBody = n }
}

// NewServer returns a Server without abilities.
func NewServer(opts ...ServerOption) *Server {
	s := &Server{registry: metrics.NewRegistry(), maxBody: DefaultMaxBody, mux: http.NewServeMux()}
	for _, opt := range opts {
		opt(s)
	}
	s.mux.HandleFunc("POST "+pathApply, func(w http.ResponseWriter, r *http.Request) {
		req, err := posted[ApplyRequest](w, r, s.maxBody)
		serve(w, r, req, err, s.Apply)
	})
	s.mux.HandleFunc("POST "+pathLeave, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, s.maxBody))
		serve(w, r, none{}, err, plain(withReply(s.Leave)))
	})
	s.mux.HandleFunc("GET "+pathShow, func(w http.ResponseWriter, r *http.Request) {
		get(w, r, parseNone, plain(s.Show))
	})
	s.mux.HandleFunc("GET "+pathStatus, func(w http.ResponseWriter, r *http.Request) {
		get(w, r, parseNone, plain(s.Status))
	})
	s.mux.HandleFunc("GET "+pathAudit, func(w http.ResponseWriter, r *http.Request) {
		get(w, r, parseAudit, s.Audit)
	})
	s.mux.HandleFunc("GET "+pathKey, func(w http.ResponseWriter, r *http.Request) {
		get(w, r, parseKey, s.Key)
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

// MetricsHandler returns a handler that answers with the metrics of r.
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

// request is what a call takes.
type request interface {
	Validate() error
}

// posted reads the JSON body of r.
func posted[Req request](w http.ResponseWriter, r *http.Request, limit int64) (Req, error) {
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

// get serves a call whose request is in the URL.
func get[Req request, Rep any](w http.ResponseWriter, r *http.Request, parse func(url.Values) (Req, error), call func(context.Context, Req) (Rep, error)) {
	req, err := parse(r.URL.Query())
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	serve(w, r, req, err, readOnly(call))
}

// readOnly adapts a call that changes nothing, so that it may be refused as
// unavailable whenever the platform gave no answer.
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

// serve answers with the reply of call, unless err is set.
func serve[Req request, Rep any](w http.ResponseWriter, r *http.Request, req Req, err error, call func(context.Context, Req) (Rep, error)) {
	if err == nil {
		err = req.Validate()
	}
	if err == nil && call == nil {
		err = ErrUnsupported
	}
	if err != nil {
		refuse(w, err)
		return
	}
	reply, err := call(r.Context(), req)
	if err != nil {
		refuse(w, err)
		return
	}
	write(w, http.StatusOK, reply)
}

// plain adapts a call without a request.
func plain[Rep any](call func(context.Context) (Rep, error)) func(context.Context, none) (Rep, error) {
	if call == nil {
		return nil
	}
	return func(ctx context.Context, _ none) (Rep, error) { return call(ctx) }
}

// withReply adapts a call without a reply.
func withReply(call func(context.Context) error) func(context.Context) (none, error) {
	if call == nil {
		return nil
	}
	return func(ctx context.Context) (none, error) { return none{}, call(ctx) }
}

func refuse(w http.ResponseWriter, err error) {
	status, body := refusalOf(err)
	write(w, status, body)
}

func write[T any](w http.ResponseWriter, status int, v T) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"code":"internal","reason":"encode reply"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
