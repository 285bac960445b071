package outcome

import (
	"fmt"
	"time"

	"fulmarrun/wire"
)

// state is the state of a record.
type state uint8

const (
	stateRunning state = iota
	// stateAnswered means that data holds the answer; if data is empty, the answer is
	// no longer stored.
	stateAnswered
	// stateUnknown means that no complete answer was received.
	stateUnknown
)

// key identifies a record. Timed distinguishes a UUID in sum from a digest.
type key struct {
	sum   [16]byte
	unit  uint32
	timed bool
}

// index is the index of a record in the slab of a shard; zero means none.
type index uint32

// record is the record of one ID. It is kept small: a daemon holds up to a hundred
// thousand.
type record struct {
	key key
	// previous and next link the records of a list in the order of insertion.
	previous, next index
	// at is the creation time of the record, in milliseconds since the Unix epoch.
	at int64
	// data is the encoded answer; empty if none is stored.
	data string
	// extra is nil for most records.
	extra *extra
	state state
}

// extra holds the fields that only few records need.
type extra struct {
	// id is the text of an ID without a timestamp.
	id   string
	wait *waiter
}

// setID stores the text of an ID without a timestamp.
func (r *record) setID(id string) { r.extra = &extra{id: id} }

// join returns the waiter of a running record.
func (r *record) join() *waiter {
	if r.extra == nil {
		r.extra = &extra{}
	}
	if r.extra.wait == nil {
		r.extra.wait = &waiter{done: make(chan struct{})}
	}
	return r.extra.wait
}

// resolve passes the final answer to all waiting callers.
func (r *record) resolve(resp *wire.Response) {
	if r.extra == nil || r.extra.wait == nil {
		return
	}
	r.extra.wait.response = resp
	close(r.extra.wait.done)
	r.extra.wait = nil
}

// waiter is shared by all callers that wait for one running request.
type waiter struct {
	done     chan struct{}
	response *wire.Response
}

// encodeAnswer appends the encoding of the stored fields of an answer to b.
func encodeAnswer(b []byte, resp *wire.Response) ([]byte, error) {
	stored := wire.Response{Outcome: wire.OutcomeAnswered, Status: resp.Status, Headers: resp.Headers, Body: resp.Body}
	out, err := stored.MarshalMsg(b)
	if err != nil {
		return b, fmt.Errorf("encode answer: %w", err)
	}
	return out, nil
}

// decodeAnswer decodes a stored answer. It returns false if none is stored.
func decodeAnswer(data string) (*wire.Response, bool) {
	if data == "" {
		return nil, false
	}
	stored := &wire.Response{}
	err := wire.Decode([]byte(data), stored)
	return stored, err == nil
}

// replay returns the decision for a finished record.
func (r *record) replay() Decision {
	if r.state == stateUnknown {
		return unknown(ReasonUnanswered)
	}
	stored, ok := decodeAnswer(r.data)
	if !ok {
		return unknown(ReasonAnswerDropped)
	}
	return Decision{Action: Replay, Response: stored}
}

// export returns the record for a hand-over. A running request is exported as
// unknown.
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
	if stored, ok := decodeAnswer(r.data); ok {
		out.Status, out.Headers, out.Body = stored.Status, stored.Headers, stored.Body
	}
	return out
}
