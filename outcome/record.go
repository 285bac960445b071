package outcome

import (
	"fmt"
	"time"

	"fulmarrun/wire"
)

// state is how far a record has come.
type state uint8

const (
	stateRunning state = iota
	// stateAnswered means that data holds the answer, or that it is no longer
	// held if data is empty.
	stateAnswered
	// stateUnknown means that the answer never came whole.
	stateUnknown
)

// key finds a record. Timed tells the two kinds of sum apart.
type key struct {
	sum   [16]byte
	unit  uint32
	timed bool
}

// index refers to a record in the slab of a shard; zero refers to none.
type index uint32

// record is what is remembered of one ID. It is kept small: a daemon holds up to
// a hundred thousand.
type record struct {
	key key
	// previous and next link the records of a list in the order of arrival.
	previous, next index
	// at is when the record was made, in milliseconds since the Unix epoch.
	at int64
	// data is the encoded answer; empty if none is held.
	data string
	// extra is nil for most records.
	extra *extra
	state state
}

// extra is what few records have.
type extra struct {
	// id is the text of an ID without a time.
	id   string
	wait *waiter
}

// name keeps the text of an ID without a time.
func (r *record) name(id string) { r.extra = &extra{id: id} }

// join returns what to wait for while the record runs.
func (r *record) join() *waiter {
	if r.extra == nil {
		r.extra = &extra{}
	}
	if r.extra.wait == nil {
		r.extra.wait = &waiter{done: make(chan struct{})}
	}
	return r.extra.wait
}

// resolve gives the final answer to all who wait.
func (r *record) resolve(resp *wire.Response) {
	if r.extra == nil || r.extra.wait == nil {
		return
	}
	r.extra.wait.response = resp
	close(r.extra.wait.done)
	r.extra.wait = nil
}

// waiter is shared by all who wait for one running request.
type waiter struct {
	done     chan struct{}
	response *wire.Response
}

// pack appends what is kept of an answer.
func pack(b []byte, resp *wire.Response) ([]byte, error) {
	kept := wire.Response{Outcome: wire.OutcomeAnswered, Status: resp.Status, Headers: resp.Headers, Body: resp.Body}
	out, err := kept.MarshalMsg(b)
	if err != nil {
		return b, fmt.Errorf("encode answer: %w", err)
	}
	return out, nil
}

// unpack decodes an answer; it reports false if none is held.
func unpack(data string) (*wire.Response, bool) {
	if data == "" {
		return nil, false
	}
	kept := &wire.Response{}
	err := wire.Decode([]byte(data), kept)
	return kept, err == nil
}

// replay returns the decision for a record that is done.
func (r *record) replay() Decision {
	if r.state == stateUnknown {
		return unknown(ReasonUnanswered)
	}
	kept, ok := unpack(r.data)
	if !ok {
		return unknown(ReasonAnswerDropped)
	}
	return Decision{Action: Replay, Response: kept}
}

// export returns the record as it is handed over. One that still runs is handed
// over as unknown.
func (r *record) export() wire.Record {
	out := wire.Record{CreatedAt: time.UnixMilli(r.at), Done: r.state != stateRunning}
	if r.key.timed {
		out.ID = ident{sum: r.key.sum}.text()
	} else if r.extra != nil {
		out.ID = r.extra.id
	}
	if r.state != stateAnswered {
		return out
	}
	out.Outcome = wire.OutcomeAnswered
	if kept, ok := unpack(r.data); ok {
		out.Status, out.Headers, out.Body = kept.Status, kept.Headers, kept.Body
	}
	return out
}
