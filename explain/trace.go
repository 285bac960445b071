package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"fulmarrun/logs"
)

// stateTopic returns the part of a process's known state that an event changes, or an
// empty string if the event changes none. A later event with the same topic and subject
// supersedes an earlier one.
func stateTopic(event string) (topic string) {
	switch event {
	case logs.EventLeaseHeld, logs.EventLeaseLost, logs.EventGenerationEnds, logs.EventClosedByPeer, logs.EventGenerationClosed:
		return "lease"
	case logs.EventStoreLost, logs.EventStoreRegained, logs.EventStoreRestored, logs.EventPlatformReadFailed:
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

// subject returns whose state a line is about: another member, a domain, or an empty
// string for the process itself.
func subject(l *Line) string {
	if member := l.Get(logs.FieldMember); member != "" {
		return member
	}
	return l.Get(logs.FieldDomain)
}

// KnownState is a log line that records a part of the state that a process knew. Age is
// the age of the line at the process's first line about the request.
type KnownState struct {
	Line Line
	Age  time.Duration
}

// Participant describes a process that logged lines about a request.
type Participant struct {
	Process string
	// Beliefs is the state that the process knew when it wrote its first line about the
	// request. It may have been outdated.
	Beliefs []KnownState
}

// Trace holds the log lines about one request and the processes that wrote them. The
// field names of Trace, Participant, KnownState, Line and Field are part of the JSON
// output of the command explain.
type Trace struct {
	ID string
	// Team is the team that the request belongs to; empty if the lines name none.
	Team string `json:",omitempty"`
	// Lines is sorted by time. The clocks of processes on different machines may
	// differ.
	Lines []Line
	// Parts holds the processes in the order of their first lines about the request.
	Parts []Participant
	// Skipped is the number of log lines that could not be parsed.
	Skipped int
}

// Tracer reads several logs and builds the Trace of one request.
type Tracer struct {
	id         string
	lines      []Line
	stateLines []Line
	skipped    int
}

// NewTracer returns a Tracer for the request with the given ID.
func NewTracer(id string) *Tracer { return &Tracer{id: id} }

// Read reads a log, which may contain the lines of several processes.
func (t *Tracer) Read(name string, r io.Reader) error {
	skipped, err := Read(name, r, func(l Line) {
		switch {
		case l.Get(logs.FieldID) == t.id:
			t.lines = append(t.lines, l)
		case stateTopic(l.Event) != "":
			t.stateLines = append(t.stateLines, l)
		}
	})
	t.skipped += skipped
	return err
}

// Trace returns the Trace from the logs that were read so far.
func (t *Tracer) Trace() *Trace {
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.lines, byTime)
	slices.SortStableFunc(t.stateLines, byTime)
	s := &Trace{ID: t.id, Lines: slices.Clone(t.lines), Skipped: t.skipped}
	recipients := make(map[string]bool)
	for i := range t.lines {
		recipients[t.lines[i].Get(logs.FieldTo)] = true
		s.Team = cmp.Or(s.Team, t.lines[i].Get(logs.FieldTeam))
	}
	seen := make(map[string]bool)
	for _, l := range t.lines {
		if !seen[l.Process] {
			seen[l.Process] = true
			s.Parts = append(s.Parts, Participant{Process: l.Process, Beliefs: t.knownStates(l.Process, l.At, recipients)})
		}
	}
	return s
}

// knownStates returns the state that a process knew at the given time, oldest first. Of
// other members and peers, it includes only those that the request was sent to.
func (t *Tracer) knownStates(process string, at time.Time, recipients map[string]bool) []KnownState {
	type stateKey struct{ topic, subject string }
	latest := make(map[stateKey]KnownState)
	for _, l := range t.stateLines {
		topic, subjectName := stateTopic(l.Event), subject(&l)
		if l.Process != process || l.At.After(at) || (topic == "member" || topic == "peer") && !recipients[subjectName] {
			continue
		}
		latest[stateKey{topic, subjectName}] = KnownState{Line: l, Age: at.Sub(l.At)}
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

// Write prints the trace in human-readable form.
func (s *Trace) Write(w io.Writer) error {
	p := &printer{w: w}
	of := ""
	if s.Team != "" {
		of = " of team " + s.Team
	}
	p.line("request %s%s: %d lines of %d processes", s.ID, of, len(s.Lines), len(s.Parts))
	for i := range s.Lines {
		l := &s.Lines[i]
		p.line("%s  %s  %s", l.At.UTC().Format("15:04:05.000"), l.Process, l)
	}
	for _, part := range s.Parts {
		p.line("")
		p.line("state known to %s at that time, with its age:", part.Process)
		for i := range part.Beliefs {
			b := &part.Beliefs[i]
			p.line("%12s  %s", b.Age.Round(time.Millisecond), &b.Line)
		}
	}
	if s.Skipped > 0 {
		p.line("")
		p.line("%d lines of the logs could not be parsed", s.Skipped)
	}
	return p.err
}

// printer writes lines and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err != nil {
		return
	}
	if _, err := fmt.Fprintf(p.w, format+"\n", args...); err != nil {
		p.err = fmt.Errorf("print trace: %w", err)
	}
}
