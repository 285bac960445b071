package audit

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"
)

// Prefix is the prefix of the names of all entries.
const Prefix = "audit/"

// nameTimeLayout is the layout of the time in an entry's name. The time is in UTC.
const nameTimeLayout = "20060102T150405.000000000Z"

// Values of Entry.What.
const (
	// Config means that a new configuration came into force.
	Config = "config"
	// Takeover means that a generation was ended because its lease expired.
	Takeover = "takeover"
	// Move means that slots or a hot key were handed over as planned.
	Move = "move"
	// Assign means that the planner changed the owners of slots.
	Assign = "assign"
	// Forget means that the row of a closed generation was deleted.
	Forget = "forget"
	// Restore means that a generation went on after the platform was restored from a copy.
	Restore = "restore"
	// Join means that a new generation was added.
	Join = "join"
	// Leave means that a generation ended as planned.
	Leave = "leave"
	// Target means that a target started or stopped accepting work.
	Target = "target"
	// Witness means that the witnesses of a generation changed.
	Witness = "witness"
)

// Entry describes one accepted change.
type Entry struct {
	At time.Time `json:"at"`
	// Who is the operator or the instance that made the change.
	Who string `json:"who"`
	// What is the kind of change, such as Config or Takeover.
	What string `json:"what"`
	// Subject is what was changed.
	Subject string `json:"subject"`
	From    string `json:"from"`
	To      string `json:"to"`
	Why     string `json:"why"`
	// Change is the request ID of the change; it must not be empty.
	Change string `json:"change"`
}

// Name returns the name of the entry's object.
func (e Entry) Name() string {
	return timePrefix(e.At) + "-" + url.PathEscape(e.Change)
}

// encode returns the content of the entry's object. It depends on the entry only, so
// that writing an entry again stores the same bytes.
func (e Entry) encode() ([]byte, error) {
	e.At = e.At.UTC().Round(0)
	data, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode audit entry: %w", err)
	}
	return data, nil
}

// timePrefix returns the part of an entry's name up to its time. The names of all
// entries from the time at on sort after it.
func timePrefix(at time.Time) string {
	return Prefix + at.UTC().Format(nameTimeLayout)
}
