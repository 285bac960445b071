package targetstub

import (
	"net/http"
	"sort"
	"time"
)

// maxRuns bounds the request IDs that a stub remembers.
const maxRuns = 1 << 20

// Run counts what became of one request ID.
type Run struct {
	ID       string `json:"id"`
	Started  int    `json:"started"`
	Finished int    `json:"finished"`
}

// Runs is what a stub has run.
type Runs struct {
	Total int `json:"total"`
	// Double is the number of request IDs that started more than once.
	Double int `json:"double"`
	Fenced int `json:"fenced"`
	Shed   int `json:"shed"`
	// Late is how long after the stub began to leave the latest request came, in
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

func (c *recorder) start(id string, now, left time.Time) {
	c.total++
	if !left.IsZero() {
		c.late = max(c.late, now.Sub(left))
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

func (c *recorder) end(id string, finished bool) {
	if r, ok := c.runs[id]; ok && finished {
		r.Finished++
	}
}

// Runs returns what the stub has run so far.
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
	answer(w, http.StatusOK, s.Runs())
}
