package targetstub

import (
	"net/http"
	"sort"
	"time"
)

// maxRuns limits the number of request IDs that a stub remembers.
const maxRuns = 1 << 20

// Run counts the started and finished runs of one request ID.
type Run struct {
	ID       string `json:"id"`
	Started  int    `json:"started"`
	Finished int    `json:"finished"`
}

// Runs counts what a stub has run and rejected.
type Runs struct {
	Total int `json:"total"`
	// Double is the number of request IDs that started more than once.
	Double int `json:"double"`
	Fenced int `json:"fenced"`
	Shed   int `json:"shed"`
	// Late is the time from the start of draining to the latest request, in
	// nanoseconds.
	Late time.Duration `json:"late"`
	// Runs is sorted by ID. Requests without one are only in Total.
	Runs []Run `json:"runs"`
}

// recorder counts runs by request ID.
type recorder struct {
	runs   map[string]*Run
	total  int
	fenced int
	shed   int
	late   time.Duration
}

func newRecorder() recorder { return recorder{runs: make(map[string]*Run)} }

// start counts the start of a run; drainStart is zero unless the stub drains.
func (c *recorder) start(id string, now, drainStart time.Time) {
	c.total++
	if !drainStart.IsZero() {
		c.late = max(c.late, now.Sub(drainStart))
	}
	if id == "" {
		return
	}
	r, ok := c.runs[id]
	if !ok {
		if len(c.runs) >= maxRuns {
			return
		}
		r = &Run{ID: id}
		c.runs[id] = r
	}
	r.Started++
}

// end counts the end of a run if it finished.
func (c *recorder) end(id string, finished bool) {
	if r, ok := c.runs[id]; ok && finished {
		r.Finished++
	}
}

// Runs returns the run counts so far.
func (s *Stub) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Runs{Total: s.runs.total, Fenced: s.runs.fenced, Shed: s.runs.shed, Late: s.runs.late}
	out.Runs = make([]Run, 0, len(s.runs.runs))
	for _, r := range s.runs.runs {
		out.Runs = append(out.Runs, *r)
		if r.Started > 1 {
			out.Double++
		}
	}
	sort.Slice(out.Runs, func(i, j int) bool { return out.Runs[i].ID < out.Runs[j].ID })
	return out
}

func (s *Stub) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}
