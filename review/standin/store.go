//go:build review

package main

import (
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"fulmarrun/platformwire"
)

// answerTime is how long the store takes for a call: the pages of the small deployments say 4 ms.
const answerTime = 4 * time.Millisecond

type rowName struct{ table, key string }

// store is a stand-in for the platform's metadata store: rows with one version counter, and
// feeds. It loses nothing that it has acknowledged.
type store struct {
	address string

	mu      sync.Mutex
	version uint64
	rows    map[rowName]platformwire.Row
	changed chan struct{}
}

func newStore(address string) (*store, error) {
	s := &store{address: address, rows: make(map[rowName]platformwire.Row), changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	w.Header().Set("Store-Era", "1")
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
		panic(err)
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var tx platformwire.Transaction
	if _, err := tx.UnmarshalMsg(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := &platformwire.Rows{Version: s.version}
	holds := true
	for _, c := range tx.Conditions {
		row, ok := s.rows[rowName{c.Table, c.Key}]
		if ok && !row.Deleted {
			existing.Rows = append(existing.Rows, row)
		} else {
			row.Version = 0
		}
		holds = holds && row.Version == c.Version
	}
	if !holds {
		writeMessage(w, http.StatusPreconditionFailed, existing)
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

// operate writes a row as the operator, or deletes it if m is nil.
func (s *store) operate(key string, m msgp.Marshaler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := platformwire.Row{Table: "op", Key: key, Version: s.version, Deleted: m == nil}
	if m != nil {
		value, err := m.MarshalMsg(nil)
		if err != nil {
			panic(err)
		}
		row.Value = base64.StdEncoding.EncodeToString(value)
	}
	s.rows[rowName{"op", key}] = row
	s.notify()
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &platformwire.Rows{Version: s.version}
	for _, row := range s.rows {
		inRange := row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to"))
		if row.Table == q.Get("table") && inRange && !row.Deleted {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b platformwire.Row) int { return strings.Compare(a.Key, b.Key) })
	if out.More = len(out.Rows) > limit; out.More {
		out.Rows = out.Rows[:limit]
	}
	writeMessage(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed := s.changed
		out := &platformwire.Rows{Version: s.version}
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Version > after {
				out.Rows = append(out.Rows, row)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(out.Rows, func(a, b platformwire.Row) int { return int(a.Version) - int(b.Version) })
		if len(out.Rows) > 0 {
			writeMessage(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeMessage(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}
