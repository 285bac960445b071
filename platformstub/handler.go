package platformstub

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"fulmarrun/storage"
)

// Handler returns an HTTP handler for the protocol of package storage, and for
// /fault and /counts.
func (s *Stub) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storage.PathRow, func(w http.ResponseWriter, r *http.Request) {
		row, err := s.get(r.Context(), r.FormValue("key"))
		writeAnswer(w, row, err)
	})
	mux.HandleFunc("GET "+storage.PathRows, func(w http.ResponseWriter, r *http.Request) {
		rows, err := listPage(r, s.list)
		writeAnswer(w, storage.Rows{Rows: rows}, err)
	})
	mux.HandleFunc("POST "+storage.PathTransact, func(w http.ResponseWriter, r *http.Request) {
		var result storage.Result
		tx, err := decodeBody[storage.Transaction](w, r)
		if err == nil {
			result, err = s.transact(r.Context(), tx)
		}
		writeAnswer(w, result, err)
	})
	mux.HandleFunc("PUT "+storage.PathObject, s.servePutObject)
	mux.HandleFunc("GET "+storage.PathObject, s.serveGetObject)
	mux.HandleFunc("GET "+storage.PathObjects, func(w http.ResponseWriter, r *http.Request) {
		names, err := listPage(r, s.listObjects)
		writeAnswer(w, storage.Names{Names: names}, err)
	})
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		faults, err := decodeBody[Faults](w, r)
		if err == nil {
			s.SetFaults(faults)
		}
		writeAnswer(w, faults, err)
	})
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) {
		writeAnswer(w, s.Faults(), nil)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		writeAnswer(w, s.Counts(), nil)
	})
	return mux
}

func (s *Stub) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storage.MaxBodyBytes))
	if err != nil {
		err = fmt.Errorf("%w: read body: %w", storage.ErrRejected, err)
	} else {
		err = s.putObject(r.Context(), r.URL.Query().Get("name"), data)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Stub) serveGetObject(w http.ResponseWriter, r *http.Request) {
	data, err := s.getObject(r.Context(), r.FormValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

// writeAnswer writes v as JSON, or err as a refusal.
func writeAnswer[T any](w http.ResponseWriter, v T, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

// writeError writes err as a refusal, or closes the connection if the call gets no
// answer.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errLimited):
		writeJSON(w, http.StatusTooManyRequests, storage.ErrorResponse{Code: "limited", Reason: err.Error()})
	case errors.Is(err, storage.ErrUnavailable):
		panic(http.ErrAbortHandler)
	case errors.Is(err, storage.ErrMissing):
		writeJSON(w, http.StatusNotFound, storage.ErrorResponse{Code: storage.CodeMissing, Reason: err.Error()})
	default:
		writeJSON(w, http.StatusBadRequest, storage.ErrorResponse{Code: "rejected", Reason: err.Error()})
	}
}

func writeJSON[T any](w http.ResponseWriter, status int, v T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// decodeBody decodes the JSON body of r.
func decodeBody[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var v T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, storage.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		return v, fmt.Errorf("%w: decode body: %w", storage.ErrRejected, err)
	}
	return v, nil
}

// listPage calls list with the page parameters of r.
func listPage[T any](r *http.Request, list func(ctx context.Context, prefix, after string, limit int) ([]T, error)) ([]T, error) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		return nil, fmt.Errorf("%w: limit: %w", storage.ErrRejected, err)
	}
	return list(r.Context(), r.FormValue("prefix"), r.FormValue("after"), limit)
}
