package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"fulmarrun/logs"
)

// belief maps each event that changes what a process believes to what it is about.
// A later event about the same takes the place of an earlier one.
func belief(event string) (about string) {
	switch event {
	case logs.EventLeaseHeld, logs.EventLeaseLost, logs.EventGenerationEnds, logs.EventClosedByPeer, logs.EventGenerationClosed:
		return "lease"
	case logs.EventStoreLost, logs.EventStoreRegained, logs.EventPlatformReadFailed:
		return "store"
	case logs.EventConfigInForce:
		return "configuration"
	case logs.EventSlotsChanged:
		return "slots"
	case logs.EventNewTarget, logs.EventTargetAnnounced:
		return "target"
	case logs.EventTargetChanged, logs.EventTargetClosed, logs.EventTargetSilent:
		return "target's work"
	case logs.EventProcessStart, logs.EventStopping, logs.EventLeaving:
		return "process"
	case logs.EventProcessLate:
		return "processor"
	case logs.EventMemberKnown, logs.EventMemberGone, logs.EventMemberIdle, logs.EventMemberActive:
		return "member"
	case logs.EventPeerLost, logs.EventPeerRegained:
		return "peer"
	case logs.EventDomainChanged:
		return "domain"
	default:
		return ""
	}
}

// subject is whom a belief is about: another member, a domain, or empty for the process
// itself.
func subject(l *Line) string {
	if member := l.Get(logs.FieldMember); member != "" {
		return member
	}
	return l.Get(logs.FieldDomain)
}

// KnownState is a line that tells what a process believed, and how old that was.
type KnownState struct {
	Line Line
	Age  time.Duration
}

// Participant is what one process had to do with a request.
type Participant struct {
	Process string
	// Beliefs are as of the first line that the process wrote about the request.
	Beliefs []KnownState
}

// Trace is what logs tell of one request.
type Trace struct {
	ID string
	// Lines are in the order of their times. Processes on different machines may
	// have clocks that differ.
	Lines []Line
	Parts []Participant
	// Skipped is how many lines of the logs could not be read.
	Skipped int
}

// Tracer collects the lines of several logs and tells the story of one request.
type Tracer struct {
	id      string
	lines   []Line
	changes []Line
	skipped int
}

// NewTracer returns a Tracer of the request with the ID.
func NewTracer(id string) *Tracer { return &Tracer{id: id} }

// Read takes in the log of one process or more.
func (t *Tracer) Read(name string, r io.Reader) error {
	skipped, err := Read(name, r, func(l Line) {
		switch {
		case l.Get(logs.FieldID) == t.id:
			t.lines = append(t.lines, l)
		case belief(l.Event) != "":
			t.changes = append(t.changes, l)
		}
	})
	t.skipped += skipped
	return err
}

// Trace returns what was found so far.
func (t *Tracer) Trace() *Trace {
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.lines, byTime)
	slices.SortStableFunc(t.changes, byTime)
	s := &Trace{ID: t.id, Lines: slices.Clone(t.lines), Skipped: t.skipped}
	named := make(map[string]bool)
	for i := range t.lines {
		named[t.lines[i].Get(logs.FieldTo)] = true
	}
	known := make(map[string]bool)
	for _, l := range t.lines {
		if !known[l.Process] {
			known[l.Process] = true
			s.Parts = append(s.Parts, Participant{Process: l.Process, Beliefs: t.beliefs(l.Process, l.At, named)})
		}
	}
	return s
}

// beliefs returns what a process believed at a moment of itself, and of the members
// that the request was sent to.
func (t *Tracer) beliefs(process string, at time.Time, named map[string]bool) []KnownState {
	type topic struct{ about, subject string }
	latest := make(map[topic]KnownState)
	for _, l := range t.changes {
		about, of := belief(l.Event), subject(&l)
		if l.Process != process || l.At.After(at) || (about == "member" || about == "peer") && !named[of] {
			continue
		}
		latest[topic{about, of}] = KnownState{Line: l, Age: at.Sub(l.At)}
	}
	out := make([]KnownState, 0, len(latest))
	for _, b := range latest {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b KnownState) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Line.Event, b.Line.Event), cmp.Compare(subject(&a.Line), subject(&b.Line)))
	})
	return out
}

// Write prints the story, for people.
func (s *Trace) Write(w io.Writer) error {
	p := &printer{w: w}
	p.line("request %s: %d lines of %d processes", s.ID, len(s.Lines), len(s.Parts))
	for i := range s.Lines {
		l := &s.Lines[i]
		p.line("%s  %s  %s", l.At.UTC().Format("15:04:05.000"), l.Process, l)
	}
	for _, part := range s.Parts {
		p.line("")
		p.line("what %s believed then, and how old that was:", part.Process)
		for i := range part.Beliefs {
			b := &part.Beliefs[i]
			p.line("%12s  %s", b.Age.Round(time.Millisecond), &b.Line)
		}
	}
	if s.Skipped > 0 {
		p.line("")
		p.line("%d lines of the logs could not be read", s.Skipped)
	}
	return p.err
}

// printer keeps the first error of several writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err != nil {
		return
	}
	if _, err := fmt.Fprintf(p.w, format+"\n", args...); err != nil {
		p.err = fmt.Errorf("print story: %w", err)
	}
}
