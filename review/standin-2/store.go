//go:build review

package main

import (
	"cmp"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"fulmarrun/platformwire"
)

const (
	// maxRows is the maximum number of rows in an answer of the store.
	maxRows = 500
	// transactTime is how long a transaction takes.
	transactTime = 3 * time.Millisecond
	// storeEra is the value of Store-Era in all answers: the store is never restored.
	storeEra = "1"
)

type rowName struct{ table, key string }

// store is a stand-in for the platform's store: tables with one version counter, transactions
// and feeds, all in memory.
type store struct {
	address netip.AddrPort

	mu      sync.Mutex
	version uint64
	rows    map[rowName]platformwire.Row
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() (*store, error) {
	s := &store{rows: make(map[rowName]platformwire.Row), changed: make(chan struct{})}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("listen for store: %w", err)
	}
	s.address, err = netip.ParseAddrPort(l.Addr().String())
	go func() { _ = http.Serve(l, s) }()
	return s, err
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", storeEra)
	switch r.URL.Path {
	case "/-/rows-tx":
		s.transact(w, r)
	case "/-/rows-get":
		s.read(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func writeMessage(w http.ResponseWriter, status int, m msgp.Marshaler) {
	data, err := m.MarshalMsg(nil)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var tx platformwire.Transaction
	if err == nil {
		_, err = tx.UnmarshalMsg(body)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := &platformwire.Rows{Version: s.version}, true
	for _, c := range tx.Conditions {
		row, ok := s.rows[rowName{c.Table, c.Key}]
		if ok && !row.Deleted {
			current.Rows = append(current.Rows, row)
		} else {
			row.Version = 0
		}
		holds = holds && row.Version == c.Version
	}
	if !holds {
		writeMessage(w, http.StatusPreconditionFailed, current)
		return
	}
	s.version++
	for _, p := range tx.Puts {
		s.rows[rowName{p.Table, p.Key}] = platformwire.Row{Table: p.Table, Key: p.Key, Value: p.Value, Version: s.version}
	}
	for _, d := range tx.Deletes {
		s.rows[rowName{d.Table, d.Key}] = platformwire.Row{Table: d.Table, Key: d.Key, Version: s.version, Deleted: true}
	}
	s.notify()
	writeMessage(w, http.StatusOK, &platformwire.Rows{Version: s.version})
}

// notify wakes the waiting feeds. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a row of the operators' table as the operator does.
func (s *store) write(key string, m msgp.Marshaler) error {
	value, err := m.MarshalMsg(nil)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowName{"op", key}] = platformwire.Row{
		Table: "op", Key: key, Value: base64.StdEncoding.EncodeToString(value), Version: s.version,
	}
	s.notify()
	return nil
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &platformwire.Rows{Version: s.version}
	for name, row := range s.rows {
		if name.table == q.Get("table") && !row.Deleted && name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to")) {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b platformwire.Row) int { return strings.Compare(a.Key, b.Key) })
	if out.More = len(out.Rows) > limit; out.More {
		out.Rows = out.Rows[:limit]
	}
	writeMessage(w, http.StatusOK, out)
}

// changes returns the rows that changed after a version; ok is false if the store has no such version.
func (s *store) changes(table string, after uint64) (out *platformwire.Rows, changed chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after > s.version {
		return nil, nil, false
	}
	out = &platformwire.Rows{Version: s.version}
	for name, row := range s.rows {
		if name.table == table && row.Version > after {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b platformwire.Row) int { return cmp.Compare(a.Version, b.Version) })
	return out, s.changed, true
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, afterErr := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if afterErr != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		out, changed, ok := s.changes(q.Get("table"), after)
		switch {
		case !ok:
			w.WriteHeader(http.StatusGone)
			return
		case ended || len(out.Rows) > 0:
			writeMessage(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
