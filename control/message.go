package control

import (
	"time"

	"fulmarrun/handover"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// Message is an input of a Core; the types in this file are the only ones.
type Message interface{ message() }

// Tick advances the time; the shell sends one every TickInterval.
type Tick struct {
	// StoreAnswered is when the platform last answered any request.
	StoreAnswered time.Time
	// Wall is the wall clock.
	Wall time.Time
	// Timeline is the platform's timeline by the latest of its answers.
	Timeline uint64
}

// Heartbeat is a heartbeat datagram that was received.
type Heartbeat struct{ wire.Heartbeat }

// RowsArrived delivers rows from a peer or from the platform.
type RowsArrived struct {
	// From is the generation that sent the rows; zero for the platform.
	From wire.Generation
	// ReloadAt is that of the Reload that the rows answer, and Timeline is the platform's
	// timeline in which they were read; both are zero for other rows.
	ReloadAt time.Time
	Timeline uint64
	Rows     []wire.Row
	Deltas   []wire.Delta
	// Reply receives the versions of the rows whose deltas could not be applied, so
	// that the sender sends them again; nil if the sender expects no answer.
	Reply func(wire.ResendRequest)
}

// RowsLoaded delivers the rows of the first read of the platform, with which the
// generation joins.
type RowsLoaded struct {
	Rows []wire.Row
	// Timeline is the platform's timeline in which all rows were read.
	Timeline uint64
	// Wall is the wall clock.
	Wall time.Time
}

// WriteDone delivers the outcome of a Write.
type WriteDone struct {
	Write   Write
	Applied bool
	Rows    []storage.Row
}

// VoteRequested asks this generation, as a witness, for a vote; the answer is
// passed to Reply.
type VoteRequested struct {
	Vote  wire.Vote
	Reply func(wire.Verdict)
}

// VerdictArrived delivers a witness's answer to a RequestVote.
type VerdictArrived struct {
	Witness wire.Generation
	Verdict wire.Verdict
}

// SummaryArrived delivers a peer's summary of its rows; the digests of the groups
// that differ are passed to Reply.
type SummaryArrived struct {
	Summary wire.Summary
	Reply   func(wire.Digests)
}

// DigestsArrived delivers a peer's answer to a Summary; the versions known here of
// the rows in the buckets that differ are passed to Reply.
type DigestsArrived struct {
	Digests wire.Digests
	Reply   func(wire.Versions)
}

// VersionsArrived delivers the versions that a peer has. Rows that are newer here
// are passed to Reply, with the versions of those that are older here.
type VersionsArrived struct {
	Versions wire.Versions
	Reply    func(wire.Rows)
}

// RowsRequested asks for the rows that are newer than the given versions; they are
// passed to Reply.
type RowsRequested struct {
	ResendRequest wire.ResendRequest
	Reply         func(wire.Rows)
}

// ConfigLoaded reports that the configuration with this number is in force at this
// daemon.
type ConfigLoaded struct {
	Number   wire.ConfigNumber
	Out      []string
	Services []ServiceLayout
	// Serves reports whether an instance may serve all keyed kinds of a service.
	Serves func(service, domain, instance string) bool
}

// ServiceLayout is the part of a service's configuration that planning uses.
type ServiceLayout struct {
	Name  string
	Slots uint32
	// Ranged is true if slots are ranges of keys. Adjacent slots are then assigned
	// to different owners, since keys that are close together tend to be busy at
	// the same time.
	Ranged bool
}

// TargetChanged reports whether the target beside the daemon takes work.
type TargetChanged struct {
	Idle bool
	// DepartedTarget tells which run of the target has left permanently or drains; empty if none
	// does.
	DepartedTarget string
	Reason         string
}

// LeaveRequested starts a planned leave.
type LeaveRequested struct{ Reason string }

// MoveReady reports that no request runs in the slots of a Move and that the next
// owners have received the records of the slots.
type MoveReady struct{ Move Move }

// MoveFailed reports that a Move was abandoned and that its slots admit requests
// again.
type MoveFailed struct{ Move Move }

// OverloadDetected lists the slots of this owner that should move to another member
// because the target here is overloaded.
type OverloadDetected struct{ Moves []handover.Move }

// HotKeyDetected reports that a key in one of the owner's slots is hot, and names a
// member with spare capacity.
type HotKeyDetected struct {
	Key string
	To  wire.Generation
}

// HotKeyCooled reports that a hot key owned here is no longer hot.
type HotKeyCooled struct{ Key string }

// Drained reports that no request runs at a leaving daemon any more.
type Drained struct{}

// KeyedDrained reports that no keyed request has run here since the DrainKeyed with
// the same round.
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
