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

// RowsLoaded ends the first reading of the platform's rows.
type RowsLoaded struct {
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

// VoteRequested is a peer's question; the answer goes through Reply.
type VoteRequested struct {
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

// RowsRequested asks for what is newer than the versions named; it goes to Reply.
type RowsRequested struct {
	ResendRequest wire.ResendRequest
	Reply         func(wire.Rows)
}

// ConfigLoaded says that the configuration of a number is in force here.
type ConfigLoaded struct {
	Number   uint64
	Out      []string
	Services []ServiceLayout
	// Serves tells whether an instance may serve all keyed kinds of a service.
	Serves func(service, domain, instance string) bool
}

// ServiceLayout is what planning needs to know of a service.
type ServiceLayout struct {
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

// LeaveRequested starts a planned leave.
type LeaveRequested struct{ Reason string }

// MoveReady says that nothing runs in the slots of a Move and that their
// records are with the next owners.
type MoveReady struct{ Move Move }

// MoveFailed says that a Move was given up and its slots are admitted again.
type MoveFailed struct{ Move Move }

// OverloadDetected says which own slots another member should have, since the target here
// has too much to do.
type OverloadDetected struct{ Moves []handover.Move }

// HotKeyDetected says that a key of an own slot is hot and who has room for it.
type HotKeyDetected struct {
	Key string
	To  wire.Generation
}

// HotKeyCooled says that an own hot key is no longer hot.
type HotKeyCooled struct{ Key string }

// Drained says that no request runs at a leaving daemon any more.
type Drained struct{}

// KeyedDrained says that no keyed request runs here since the Forsake of that turn.
type KeyedDrained struct{ Round int }

func (Tick) message()             {}
func (Heartbeat) message()        {}
func (RowsArrived) message()      {}
func (RowsLoaded) message()       {}
func (WriteDone) message()        {}
func (VoteRequested) message()    {}
func (VerdictArrived) message()   {}
func (SummaryArrived) message()   {}
func (DigestsArrived) message()   {}
func (VersionsArrived) message()  {}
func (RowsRequested) message()    {}
func (ConfigLoaded) message()     {}
func (LeaveRequested) message()   {}
func (MoveReady) message()        {}
func (MoveFailed) message()       {}
func (OverloadDetected) message() {}
func (HotKeyDetected) message()   {}
func (HotKeyCooled) message()     {}
func (TargetChanged) message()    {}
func (Drained) message()          {}
func (KeyedDrained) message()     {}
