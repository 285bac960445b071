package outcome_test

import (
	"runtime"
	"strings"
	"time"

	"fulmarrun/outcome"
	"fulmarrun/wire"
)

const (
	records = 100_000
	slots   = 512
)

// heapPerRecord fills a ledger and returns the heap growth per record in bytes.
func heapPerRecord(size int) float64 {
	l := outcome.NewLedger(outcome.WithMaxAnswerMemory(1 << 30))
	for n := range slots {
		l.Open(outcome.Unit{Service: "agenda", Slot: uint32(n)}, time.Time{})
	}
	resp := &wire.Response{Outcome: wire.OutcomeAnswered, Status: 200, Body: []byte(strings.Repeat("x", size))}
	before := heap()
	for n := range records {
		u := outcome.Unit{Service: "agenda", Slot: uint32(n % slots)}
		id := timedID(start.Add(time.Duration(n>>16)*time.Millisecond), n)
		l.Begin(start, u, id, false)
		l.Finish(u, id, resp)
	}
	after := heap()
	held := l.Usage().Records
	return float64(after-before) / float64(held)
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
