package control

import (
	"time"

	"fulmarrun/handover"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// Message is what a Core reacts to; the types of this file and no others.
type Message interface{ message() }

// Tick lets time pass; the shell sends one every TickInterval.
type Tick struct {
	// StoreAnswered is when the platform last gave any answer.
	StoreAnswered time.Time
	// Wall is the wall clock.
	Wall time.Time
}

// Heartbeat is a datagram that arrived.
type Heartbeat struct{ wire.Heartbeat }

// RowsArrived are rows from a peer or from the platform.
type RowsArrived struct {
	// From is the generation that sent them; zero for the platform.
	From   wire.Generation
	Rows   []wire.Row
	Deltas []wire.Delta
	// Reply takes what could not be made of Deltas; nil if nobody waits for it.
	Reply func(wire.ResendRequest)
}

// Loaded ends the first reading of the platform's rows.
type Loaded struct {
	Rows []wire.Row
	// Wall is the wall clock.
	Wall time.Time
}

// WriteDone is the known result of a Write.
type WriteDone struct {
	Write   Write
	Applied bool
	Rows    []storage.Row
}

// VoteArrived is a peer's question; the answer goes through Reply.
type VoteArrived struct {
	Vote  wire.Vote
	Reply func(wire.Verdict)
}

// VerdictArrived answers an AskVote.
type VerdictArrived struct {
	Witness wire.Generation
	Verdict wire.Verdict
}

// SummaryArrived is a peer's summary; the groups that differ go to Reply.
type SummaryArrived struct {
	Summary wire.Summary
	Reply   func(wire.Digests)
}

// DigestsArrived answers a Summary; what is known in the buckets that differ goes
// to Reply.
type DigestsArrived struct {
	Digests wire.Digests
	Reply   func(wire.Versions)
}

// VersionsArrived asks for newer rows; they go to Reply, with what is wanted here.
type VersionsArrived struct {
	Versions wire.Versions
	Reply    func(wire.Rows)
}

// WantedArrived asks for what is newer than the versions named; it goes to Reply.
type WantedArrived struct {
	ResendRequest wire.ResendRequest
	Reply         func(wire.Rows)
}

// ConfigLoaded says that the configuration of a number is in force here.
type ConfigLoaded struct {
	Number   uint64
	Out      []string
	Services []ServiceShape
	// Serves tells whether an instance may serve all keyed kinds of a service.
	Serves func(service, domain, instance string) bool
}

// ServiceShape is what planning needs to know of a service.
type ServiceShape struct {
	Name  string
	Slots uint32
	// Ranged is true if slots are ranges of keys. Neighbours in number then go to
	// different owners, since keys that are busy together are close.
	Ranged bool
}

// TargetChanged says whether the target beside the daemon takes work.
type TargetChanged struct {
	Idle bool
	// DepartedTarget names the life of the target that has left for good; empty if none has.
	DepartedTarget string
	Reason         string
}

// LeaveAsked starts a planned leave.
type LeaveAsked struct{ Reason string }

// MoveReady says that nothing runs in the slots of a Move and that their
// records are with the next owners.
type MoveReady struct{ Move Move }

// MoveFailed says that a Move was given up and its slots are admitted again.
type MoveFailed struct{ Move Move }

// LoadFound says which own slots another member should have, since the target here
// has too much to do.
type LoadFound struct{ Moves []handover.Move }

// HotFound says that a key of an own slot is hot and who has room for it.
type HotFound struct {
	Key string
	To  wire.Generation
}

// HotCooled says that an own hot key is no longer hot.
type HotCooled struct{ Key string }

// Drained says that no request runs at a leaving daemon any more.
type Drained struct{}

// Forsaken says that no keyed request runs here since the Forsake of that turn.
type Forsaken struct{ Turn int }

func (Tick) message()            {}
func (Heartbeat) message()       {}
func (RowsArrived) message()     {}
func (Loaded) message()          {}
func (WriteDone) message()       {}
func (VoteArrived) message()     {}
func (VerdictArrived) message()  {}
func (SummaryArrived) message()  {}
func (DigestsArrived) message()  {}
func (VersionsArrived) message() {}
func (WantedArrived) message()   {}
func (ConfigLoaded) message()    {}
func (LeaveAsked) message()      {}
func (MoveReady) message()       {}
func (MoveFailed) message()      {}
func (LoadFound) message()       {}
func (HotFound) message()        {}
func (HotCooled) message()       {}
func (TargetChanged) message()   {}
func (Drained) message()         {}
func (Forsaken) message()        {}
