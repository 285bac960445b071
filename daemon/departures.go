package daemon

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"fulmarrun/grants"
)

// Marks in the text of a departure.
const (
	markNamed  = "<"
	markDrains = "+"
)

// departure is the announcement of a target process that it leaves for good or drains.
type departure struct {
	grants.Process
	// named is true if only the name of the process is known, which started no later than
	// Started.
	named bool
	// drains is true if the process drains, which a later beat may take back. sequence is then
	// that of a beat that says so.
	drains   bool
	sequence uint64
}

// String returns the text of the departure that is stored in rows.
func (x departure) String() string {
	text := x.Process.String()
	switch {
	case x.named:
		text += markNamed
	case x.drains:
		text += fmt.Sprint(markDrains, x.sequence)
	}
	return text
}

// parseDeparture parses a text that departure.String has returned.
func parseDeparture(text string) (x departure, ok bool) {
	slash := strings.LastIndexByte(text, '/') + 1
	name, rest := text[:slash], text[slash:]
	rest, x.named = strings.CutSuffix(rest, markNamed)
	rest, sequence, drains := strings.Cut(rest, markDrains)
	if x.drains = drains; drains {
		var err error
		if x.sequence, err = strconv.ParseUint(sequence, 10, 64); err != nil || x.named {
			return departure{}, false
		}
	}
	x.Process, ok = grants.ParseProcess(name + rest)
	return x, ok
}

// departures are the known departures of the target's processes, each with whether a row of the
// platform contains it.
type departures map[departure]bool

func (d departures) has(x departure) bool {
	_, ok := d[x]
	return ok
}

func (d departures) add(x departure) { d[x] = d[x] || false }

// find returns a departure of a process that the function accepts; a zero start stands for any.
func (d departures) find(p grants.Process, accept func(departure) bool) (departure, bool) {
	for x := range d {
		if x.Name == p.Name && (p.Started.IsZero() || x.Started.Equal(p.Started)) && accept(x) {
			return x, true
		}
	}
	return departure{}, false
}

// hasLeft reports whether a process leaves for good.
func (d departures) hasLeft(p grants.Process) bool {
	if d.has(departure{Process: p}) {
		return true
	}
	_, named := d.find(grants.Process{Name: p.Name}, func(x departure) bool { return x.named && !p.Started.After(x.Started) })
	return named
}

// drainOf returns the departure of a process that drains.
func (d departures) drainOf(p grants.Process) (departure, bool) {
	return d.find(p, func(x departure) bool { return x.drains })
}

// named returns the departure of a process of which only the name is known. It is the same one
// until it is stored, however often the process announces it.
func (d departures) named(name string) departure {
	if x, ok := d.find(grants.Process{Name: name}, func(x departure) bool { return x.named && !d[x] }); ok {
		return x
	}
	return departure{Process: grants.Process{Name: name, Started: time.UnixMilli(time.Now().UnixMilli())}, named: true}
}

// dropNamed drops the departures of which only this name is known, once the process is met.
func (d departures) dropNamed(name string) {
	maps.DeleteFunc(d, func(x departure, _ bool) bool { return x.named && x.Name == name })
}

// dropBefore drops the departures of processes that started earlier, whose beats count as stale.
func (d departures) dropBefore(started time.Time) {
	maps.DeleteFunc(d, func(x departure, _ bool) bool { return x.Started.Before(started) })
}
