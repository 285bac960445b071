package control_test

import (
	"flag"
	"fmt"

	"fulmarrun/control"
)

var trace = flag.Int64("control.trace", 0, "seed of the run in TestModel whose steps are printed")

// traceTo prints the steps of a run.
func (w *simulation) traceTo(print func(string)) {
	w.trace = func(format string, args ...any) {
		print(fmt.Sprintf("%v "+format, append([]any{w.now}, args...)...))
	}
}

func (p *process) traceStep(m control.Message, effects []control.Effect) {
	if p.w.trace == nil {
		return
	}
	switch m := m.(type) {
	case control.Tick, control.Heartbeat, control.SummaryArrived, control.DigestsArrived, control.VersionsArrived, control.RowsRequested, control.RowsArrived:
	case control.WriteDone:
		p.w.trace("%d: done %q applied %t", p.self.Generation, m.Write.Entry.What, m.Applied)
	default:
		p.w.trace("%d: message %T", p.self.Generation, m)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case control.Write:
			p.w.trace("%d: write %s %s to %s: %s", p.self.Generation, e.Entry.What, e.Entry.Subject, e.Entry.To, e.Entry.Why)
		case control.Move:
			p.w.trace("%d: move %v", p.self.Generation, e.Moves)
		case control.FinishMove, control.Closed, control.LeaveCompleted:
			p.w.trace("%d: effect %T %v", p.self.Generation, e, e)
		}
	}
}
